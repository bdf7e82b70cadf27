package node

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// slowStart is the time over which the gate raises the concurrency limit of a
// newly started upstream to its full number of slots.
const slowStart = 5 * time.Second

// appliedState holds the values last passed to the gate, the claim registry and
// the handler, so that only changes are passed on.
type appliedState struct {
	mutex sync.Mutex
	// gate, version and candidates are accessed by the control thread only.
	gate       gate.Config
	version    mesh.Version
	candidates *pick.CandidateSet
	// snapshot is the last snapshot that the gate and the claim registry follow.
	snapshot atomic.Pointer[cells.Snapshot]
	// address and connections are those of the local upstream; guarded by mutex.
	address     netip.AddrPort
	connections int
}

// onSnapshot configures the gate, the claim registry and the objectives from the
// new snapshot and wakes the goroutines that wait for it. It runs on the control
// thread.
func (n *Node) onSnapshot(mesh.Version) {
	traffic := n.cells.Snapshot.Load()
	n.configureGate(traffic)
	n.updateClaimHosts(traffic)
	if traffic.Table != nil && traffic.Version != n.applied.version {
		n.applied.version = traffic.Version
		n.burn.SetObjectives(serviceObjectives(traffic))
	}
	n.applied.snapshot.Store(&traffic)
	n.snapshotChanged.notify()
}

func (n *Node) configureGate(traffic cells.Snapshot) {
	if traffic.LocalRecord.Host == "" {
		return
	}
	config := gate.Config{Slots: traffic.LocalRecord.Slots, SlowStart: slowStart}
	if traffic.Table != nil {
		if settings, ok := traffic.Table.Settings(traffic.LocalRecord.ID); ok {
			config.QueueLimit, config.Floors = settings.QueueLimit, settings.Floors
		}
	}
	if config != n.applied.gate {
		n.applied.gate = config
		n.gate.Configure(config)
	}
}

// updateClaimHosts passes the hosts of the local service to the claim registry,
// which distributes the shards of idempotency keys among them.
func (n *Node) updateClaimHosts(traffic cells.Snapshot) {
	set := traffic.CandidateSets[traffic.LocalRecord.ID]
	if set == nil || set == n.applied.candidates {
		return
	}
	n.applied.candidates = set
	candidates := set.Candidates()
	hosts := make([]mesh.HostID, 0, len(candidates))
	for _, c := range candidates {
		hosts = append(hosts, c.Host)
	}
	n.claims.SetHosts(time.Now(), traffic.LocalRecord.ID, hosts)
}

// serviceObjectives returns the service-level objectives of the services in the
// routing table.
func serviceObjectives(traffic cells.Snapshot) map[mesh.ServiceID]burn.Objectives {
	all := make(map[mesh.ServiceID]burn.Objectives)
	for _, id := range traffic.Table.Services() {
		settings, ok := traffic.Table.Settings(id)
		if !ok {
			continue
		}
		all[id] = burnObjectives(settings)
	}
	return all
}

func burnObjectives(settings *tree.Settings) (list burn.Objectives) {
	for p, o := range settings.Objectives {
		list[p] = burn.Objective{Latency: o.Latency, Percent: o.Percent}
	}
	return list
}

// withdrawUpstream removes the local upstream from the membership until it
// announces itself again, so that other nodes stop sending calls to it at once.
func (n *Node) withdrawUpstream() {
	n.cells.Announcements.Post(cells.Announcement{Kind: cells.LeaveUpstream})
}

// setUpstream passes the address and the connection limit of the upstream to the
// handler if they changed.
func (n *Node) setUpstream(address netip.AddrPort, connections int) {
	n.applied.mutex.Lock()
	defer n.applied.mutex.Unlock()
	if address == n.applied.address && connections == n.applied.connections {
		return
	}
	n.applied.address, n.applied.connections = address, connections
	n.handler.SetUpstream(address, connections)
}

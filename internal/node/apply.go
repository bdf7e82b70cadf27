package node

import (
	"net/netip"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// slowStart is the time in which a cold upstream comes up to its slots.
const slowStart = 5 * time.Second

// applied holds what the gate and the handler were last told.
type applied struct {
	mutex sync.Mutex
	// gate, version and set are touched by the control thread only.
	gate    gate.Config
	version mesh.Version
	set     *pick.CandidateSet
	// address and connections are the upstream's; guarded by mutex.
	address     netip.AddrPort
	connections int
}

// published brings the gate and the objectives in line with the new snapshot
// and wakes whoever waits for it. It runs on the control thread.
func (n *Node) published(mesh.Version) {
	traffic := n.cells.Snapshot.Load()
	n.configureGate(traffic)
	n.tellOwners(traffic)
	if traffic.Table != nil && traffic.Version != n.applied.version {
		n.applied.version = traffic.Version
		n.burn.SetObjectives(objectivesOf(traffic))
	}
	n.changed.tell()
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

// tellOwners tells the keeper of keys among which hosts shards are spread.
func (n *Node) tellOwners(traffic cells.Snapshot) {
	set := traffic.CandidateSets[traffic.LocalRecord.ID]
	if set == nil || set == n.applied.set {
		return
	}
	n.applied.set = set
	candidates := set.Candidates()
	hosts := make([]mesh.HostID, 0, len(candidates))
	for _, c := range candidates {
		hosts = append(hosts, c.Host)
	}
	n.claims.SetHosts(time.Now(), traffic.LocalRecord.ID, hosts)
}

// objectivesOf lists the service-level objectives of the routes' services.
func objectivesOf(traffic cells.Snapshot) map[mesh.ServiceID]burn.Objectives {
	all := make(map[mesh.ServiceID]burn.Objectives)
	for _, id := range traffic.Table.Services() {
		settings, ok := traffic.Table.Settings(id)
		if !ok {
			continue
		}
		all[id] = objectives(settings)
	}
	return all
}

func objectives(settings *tree.Settings) (list burn.Objectives) {
	for p, o := range settings.Objectives {
		list[p] = burn.Objective{Latency: o.Latency, Percent: o.Percent}
	}
	return list
}

// upstreamUnreachable takes the upstream out of the membership until it
// announces itself again, so that callers' nodes stop choosing it at once.
func (n *Node) upstreamUnreachable() {
	n.cells.Announcements.Post(cells.Announcement{Kind: cells.LeaveUpstream})
}

// setUpstream tells the handler where the upstream is, when that changed.
func (n *Node) setUpstream(address netip.AddrPort, connections int) {
	n.applied.mutex.Lock()
	defer n.applied.mutex.Unlock()
	if address == n.applied.address && connections == n.applied.connections {
		return
	}
	n.applied.address, n.applied.connections = address, connections
	n.handler.SetUpstream(address, connections)
}

package cells

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// Proxy is the blackboard of one proxy, a node whose versions and records lie
// in the platform as single objects. The zero Proxy is ready to use.
type Proxy struct {
	// LinkEvents brings what happens on control links, in order for each link.
	LinkEvents board.Inbox[LinkEvent]
	// ObjectEvents brings the platform's answers.
	ObjectEvents board.Inbox[ObjectEvent]
	// UpstreamReports brings what the upstream beside the proxy says of itself.
	UpstreamReports board.Inbox[PendingReport]
	// HealthResults brings the answers of upstreams that were asked whether they serve.
	HealthResults board.Inbox[HealthResult]
	// UnreachableInstances brings the lifetimes of upstreams that could not be connected to.
	UnreachableInstances board.Inbox[string]
	// LifecycleCommands brings orders to the proxy itself.
	LifecycleCommands board.Inbox[LifecycleCommand]

	// LinkCommands dials, sends on and closes control links.
	LinkCommands board.Outbox[LinkCommand]
	// ObjectCommands asks the platform.
	ObjectCommands board.Outbox[ObjectCommand]
	// HealthChecks asks an upstream whether it serves.
	HealthChecks board.Outbox[HealthCheck]
	// ReportAcks names words that may be acknowledged.
	ReportAcks board.Outbox[ReportAck]
	// SnapshotUpdates tells that Snapshot was replaced.
	SnapshotUpdates board.Outbox[mesh.Version]
	// MetricsTicks asks once a second for the counters of traffic threads.
	MetricsTicks board.Outbox[time.Time]
	// LogEvents tells changes of state that are worth a line in the log.
	LogEvents board.Outbox[LogEvent]

	// Self is set before the board runs and never changes.
	Self board.Cell[ProxySelf]
	// Phase is the proxy's life cycle.
	Phase board.Cell[Phase]
	// Peers holds the links that are up.
	Peers board.State[Peers]
	// LocalUpstream is what is known of the upstream beside the proxy.
	LocalUpstream board.Cell[LocalUpstream]
	// StoredRecord is what of this proxy's record lies in the platform.
	StoredRecord board.Cell[StoredRecord]
	// Roster holds the records of all nodes.
	Roster board.State[Roster]
	// PlatformStatus tells whether the platform answers.
	PlatformStatus board.Cell[PlatformStatus]
	// ReadsPlatform is true while this proxy reads versions and records from the
	// platform itself.
	ReadsPlatform board.Cell[bool]
	// ActiveVersion is the version in force.
	ActiveVersion board.Cell[ActiveVersion]
	// Snapshot is what traffic threads work on.
	Snapshot board.Cell[ProxySnapshot]
}

// ProxySelf is what a proxy knows of itself from its settings.
type ProxySelf struct {
	Host  mesh.HostID
	Place mesh.Place
	// Address is where this proxy accepts sessions.
	Address netip.AddrPort
	// LinkRate is the rate of the host's link in bytes a second, zero when it is not told.
	LinkRate int64
	// StartedAt is when the process began.
	StartedAt time.Time
	// Heartbeat is the usual time between two words of the upstream.
	Heartbeat time.Duration
}

// PendingReport is a word of the upstream that waits to be acknowledged.
type PendingReport struct {
	Report fleet.Report
	// ID names the word until it is acknowledged.
	ID uint64
}

// HealthCheck asks an upstream whether it serves.
type HealthCheck struct {
	Address netip.AddrPort
	// Path is where it answers that.
	Path string
}

// HealthResult is the answer to a HealthCheck.
type HealthResult struct {
	// Instance is the lifetime that serves by its own word; empty when none does.
	Instance string
	// Reason says why there is none; empty when there is one.
	Reason string
}

// ReportAck says that a word may be acknowledged.
type ReportAck struct {
	ID     uint64
	Result fleet.ReportResult
	// Recorded is false when the platform could not be told in time.
	Recorded bool
}

// LocalUpstream is the upstream beside the proxy.
type LocalUpstream struct {
	fleet.Upstream
	// Unconfirmed is true while it is asked whether it serves as its record says.
	Unconfirmed bool
	// AdmitUntil is when no further request may be sent to it; zero while it
	// neither drains nor left.
	AdmitUntil time.Time
}

// StoredRecord is what of a proxy's own record lies in the platform.
type StoredRecord struct {
	// Loaded is true once the platform was asked for an earlier record.
	Loaded bool
	// Node is the record as it lies there, with an empty Host when there is none.
	Node fleet.Node
	// Version is that of the object, zero when there is none.
	Version uint64
}

// PlatformStatus tells whether the platform answers.
type PlatformStatus struct {
	// Reachable is true after an answer and false after a failure.
	Reachable bool
	// Since is when OK last changed.
	Since time.Time
	// Reason is the last failure; empty while OK.
	Reason string
	// RTT is the time that a connection to the platform took, zero before the first.
	RTT time.Duration
}

// ActiveVersion is a version in force.
type ActiveVersion struct {
	Plan *plan.Plan
	// Document is the document that Plan was read from.
	Document []byte
	// Since is when it came in force here.
	Since time.Time
	// Source is the host that told it, empty when it was read from the platform.
	Source mesh.HostID
	// RefusalReason says why the newest document was refused; empty when it was not.
	RefusalReason string
}

// ProxySnapshot is what traffic threads work on. It is immutable.
type ProxySnapshot struct {
	// Plan is nil until the first version is in force.
	Plan *plan.Plan
	// CandidateSets holds the upstreams of each service.
	CandidateSets map[mesh.Service]*pick.CandidateSet
	// LocalUpstream is the upstream beside the proxy, with an empty Instance when there is none.
	LocalUpstream fleet.Upstream
	// AdmitUntil is when the upstream's gate closes; zero while it stays open.
	AdmitUntil time.Time
	// NodeCount counts the nodes that share budgets, this one included.
	NodeCount int
	// ServiceShare is the part of the nodes that stand beside an upstream of Own's service.
	ServiceShare float64
	Phase        Phase
}

// RosterEntry is one node's record as it lies in the platform.
type RosterEntry struct {
	Node fleet.Node
	// Version is that of the object.
	Version uint64
	// Record is the object's value.
	Record []byte
}

// Roster holds the records of all nodes. The zero Roster is empty.
type Roster struct {
	// Loaded is true once it was complete.
	Loaded bool
	// Revision is the platform's that it was last complete up to.
	Revision uint64
	entries  map[mesh.HostID]RosterEntry
	// holders names, by address, the host whose record of it is the latest.
	holders map[netip.AddrPort]mesh.HostID
	// gone holds the version at which a record was removed.
	gone map[mesh.HostID]uint64
	// log holds the hosts whose records changed, the oldest first; it is bounded.
	log []mesh.HostID
	// dropped counts what was cut off the beginning of log.
	dropped int
}

// rosterLog bounds the changes that are kept for links, in entries.
const rosterLog = 4096

// Put takes in a record unless a later one is known.
func (r *Roster) Put(entry RosterEntry) (changed bool) {
	host := entry.Node.Host
	old, known := r.entries[host]
	if known && old.Version >= entry.Version {
		return false
	}
	if r.gone[host] >= entry.Version && r.gone[host] > 0 {
		return false
	}
	if r.entries == nil {
		r.entries = make(map[mesh.HostID]RosterEntry)
	}
	r.entries[host] = entry
	r.take(entry)
	if known && old.Node.Address != entry.Node.Address {
		r.release(old.Node.Address)
	}
	r.note(host)
	return true
}

// take makes the record's host the holder of its address unless another recorded
// that later.
func (r *Roster) take(entry RosterEntry) {
	address, host := entry.Node.Address, entry.Node.Host
	if holder := r.entries[r.holders[address]]; holder.Version > entry.Version {
		return
	}
	if r.holders == nil {
		r.holders = make(map[netip.AddrPort]mesh.HostID)
	}
	r.holders[address] = host
}

// release finds the holder of an address that a host has given up.
func (r *Roster) release(address netip.AddrPort) {
	holder, version := mesh.HostID(""), uint64(0)
	for host, e := range r.entries {
		if e.Node.Address == address && e.Version > version {
			holder, version = host, e.Version
		}
	}
	if holder == "" {
		delete(r.holders, address)
		return
	}
	r.holders[address] = holder
}

// Remove forgets a record unless one later than the version is known.
func (r *Roster) Remove(host mesh.HostID, version uint64) (changed bool) {
	old, ok := r.entries[host]
	if ok && old.Version > version {
		return false
	}
	if r.gone == nil {
		r.gone = make(map[mesh.HostID]uint64)
	}
	r.gone[host] = max(r.gone[host], version)
	if !ok {
		return false
	}
	delete(r.entries, host)
	r.release(old.Node.Address)
	r.note(host)
	return true
}

func (r *Roster) note(host mesh.HostID) {
	r.log = append(r.log, host)
	if len(r.log) > rosterLog {
		cut := len(r.log) - rosterLog/2
		r.log = append([]mesh.HostID(nil), r.log[cut:]...)
		r.dropped += cut
	}
}

// Get returns the record of a host.
func (r *Roster) Get(host mesh.HostID) (entry RosterEntry, ok bool) {
	entry, ok = r.entries[host]
	return entry, ok
}

// RemovedVersion returns the version at which the record of a host was removed.
func (r *Roster) RemovedVersion(host mesh.HostID) uint64 {
	return r.gone[host]
}

// Len returns the number of records.
func (r *Roster) Len() int {
	return len(r.entries)
}

// Position returns a position for ChangedSince.
func (r *Roster) Position() int {
	return r.dropped + len(r.log)
}

// ChangedSince returns the hosts whose records changed after the mark; ok is false
// when that is not known any more.
func (r *Roster) ChangedSince(mark int) (hosts []mesh.HostID, ok bool) {
	if mark < r.dropped || mark > r.Position() {
		return nil, false
	}
	seen := make(map[mesh.HostID]bool)
	for _, h := range r.log[mark-r.dropped:] {
		if !seen[h] {
			seen[h] = true
			hosts = append(hosts, h)
		}
	}
	return hosts, true
}

// Nodes lists the records, sorted by host.
func (r *Roster) Nodes() (nodes []fleet.Node) {
	nodes = make([]fleet.Node, 0, len(r.entries))
	for _, e := range r.entries {
		nodes = append(nodes, e.Node)
	}
	sortNodes(nodes)
	return nodes
}

// OwnsAddress reports whether a node is the last that recorded its address: another
// host may have got the address of one that is gone.
func (r *Roster) OwnsAddress(n fleet.Node) bool {
	return r.holders[n.Address] == n.Host
}

// Hosts lists the hosts that have a record, sorted.
func (r *Roster) Hosts() (hosts []mesh.HostID) {
	for _, n := range r.Nodes() {
		hosts = append(hosts, n.Host)
	}
	return hosts
}

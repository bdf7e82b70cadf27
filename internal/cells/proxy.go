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
	// Links brings what happens on control links, in order for each link.
	Links board.Inbox[LinkEvent]
	// Objects brings the platform's answers.
	Objects board.Inbox[ObjectEvent]
	// Words brings what the upstream beside the proxy says of itself.
	Words board.Inbox[Spoken]
	// Checked brings the answers of upstreams that were asked whether they serve.
	Checked board.Inbox[Checked]
	// Unreachable brings the lifetimes of upstreams that could not be connected to.
	Unreachable board.Inbox[string]
	// Ordered brings orders to the proxy itself.
	Ordered board.Inbox[Order]

	// LinkOut dials, sends on and closes control links.
	LinkOut board.Outbox[LinkCommand]
	// ObjectOut asks the platform.
	ObjectOut board.Outbox[ObjectCommand]
	// CheckOut asks an upstream whether it serves.
	CheckOut board.Outbox[Check]
	// Acked names words that may be acknowledged.
	Acked board.Outbox[Ack]
	// Published tells that Traffic was replaced.
	Published board.Outbox[mesh.Version]
	// Ticked asks once a second for the counters of traffic threads.
	Ticked board.Outbox[time.Time]
	// Noted tells changes of state that are worth a line in the log.
	Noted board.Outbox[Note]

	// Self is set before the board runs and never changes.
	Self board.Cell[ProxySelf]
	// Phase is the proxy's life cycle.
	Phase board.Cell[Phase]
	// Peers holds the links that are up.
	Peers board.State[Peers]
	// Guest is what is known of the upstream beside the proxy.
	Guest board.Cell[Guest]
	// Recorded is what of this proxy's record lies in the platform.
	Recorded board.Cell[Recorded]
	// Roster holds the records of all nodes.
	Roster board.State[Roster]
	// Reached tells whether the platform answers.
	Reached board.Cell[Reached]
	// Reading is true while this proxy reads versions and records from the
	// platform itself.
	Reading board.Cell[bool]
	// Held is the version in force.
	Held board.Cell[Held]
	// Traffic is what traffic threads work on.
	Traffic board.Cell[ProxyTraffic]
}

// ProxySelf is what a proxy knows of itself from its settings.
type ProxySelf struct {
	Host  mesh.HostID
	Place mesh.Place
	// Node is where this proxy accepts sessions.
	Node netip.AddrPort
	// Link is the rate of the host's link in bytes a second, zero when it is not told.
	Link int64
	// Started is when the process began.
	Started time.Time
	// Heartbeat is the usual time between two words of the upstream.
	Heartbeat time.Duration
}

// Spoken is a word of the upstream that waits to be acknowledged.
type Spoken struct {
	Word fleet.Report
	// Ack names the word until it is acknowledged.
	Ack uint64
}

// Check asks an upstream whether it serves.
type Check struct {
	Address netip.AddrPort
	// Path is where it answers that.
	Path string
}

// Checked is the answer to a Check.
type Checked struct {
	// Instance is the lifetime that serves by its own word; empty when none does.
	Instance string
	// Reason says why there is none; empty when there is one.
	Reason string
}

// Ack says that a word may be acknowledged.
type Ack struct {
	Ack     uint64
	Verdict fleet.ReportResult
	// Recorded is false when the platform could not be told in time.
	Recorded bool
}

// Guest is the upstream beside the proxy.
type Guest struct {
	fleet.Upstream
	// Doubted is true while it is asked whether it serves as its record says.
	Doubted bool
	// AdmitUntil is when no further request may be sent to it; zero while it
	// neither drains nor left.
	AdmitUntil time.Time
}

// Recorded is what of a proxy's own record lies in the platform.
type Recorded struct {
	// Known is true once the platform was asked for an earlier record.
	Known bool
	// Node is the record as it lies there, with an empty Host when there is none.
	Node fleet.Node
	// Version is that of the object, zero when there is none.
	Version uint64
}

// Reached tells whether the platform answers.
type Reached struct {
	// OK is true after an answer and false after a failure.
	OK bool
	// Since is when OK last changed.
	Since time.Time
	// Reason is the last failure; empty while OK.
	Reason string
	// Trip is the time that a connection to the platform took, zero before the first.
	Trip time.Duration
}

// Held is a version in force.
type Held struct {
	Plan *plan.Plan
	// Data is the document that Plan was read from.
	Data []byte
	// Since is when it came in force here.
	Since time.Time
	// From is the host that told it, empty when it was read from the platform.
	From mesh.HostID
	// Reason says why the newest document was refused; empty when it was not.
	Reason string
}

// ProxyTraffic is what traffic threads work on. It is immutable.
type ProxyTraffic struct {
	// Plan is nil until the first version is in force.
	Plan *plan.Plan
	// Sets holds the upstreams of each service.
	Sets map[mesh.Service]*pick.CandidateSet
	// Own is the upstream beside the proxy, with an empty Instance when there is none.
	Own fleet.Upstream
	// AdmitUntil is when the upstream's gate closes; zero while it stays open.
	AdmitUntil time.Time
	// Nodes counts the nodes that share budgets, this one included.
	Nodes int
	// Share is the part of the nodes that stand beside an upstream of Own's service.
	Share float64
	Phase Phase
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

// Gone returns the version at which the record of a host was removed.
func (r *Roster) Gone(host mesh.HostID) uint64 {
	return r.gone[host]
}

// Len returns the number of records.
func (r *Roster) Len() int {
	return len(r.entries)
}

// Mark returns a position for Since.
func (r *Roster) Mark() int {
	return r.dropped + len(r.log)
}

// Since returns the hosts whose records changed after the mark; ok is false
// when that is not known any more.
func (r *Roster) Since(mark int) (hosts []mesh.HostID, ok bool) {
	if mark < r.dropped || mark > r.Mark() {
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

// Holds reports whether a node is the last that recorded its address: another
// host may have got the address of one that is gone.
func (r *Roster) Holds(n fleet.Node) bool {
	return r.holders[n.Address] == n.Host
}

// Hosts lists the hosts that have a record, sorted.
func (r *Roster) Hosts() (hosts []mesh.HostID) {
	for _, n := range r.Nodes() {
		hosts = append(hosts, n.Host)
	}
	return hosts
}

// Package cells declares the blackboards of the two kinds of processes: Node and
// Proxy. A node receives the settings tree in chunks through relays. A proxy uses a
// single configuration document. Both store their shared state as objects in the
// platform.
//
// A blackboard contains all state that controllers share: inboxes with events from
// I/O, outboxes with commands to I/O, and cells with the control state.
package cells

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/adopt"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Node is the blackboard of one node. The zero Node is ready to use.
type Node struct {
	// LinkEvents receives the events of control links, in order for each link.
	LinkEvents board.Inbox[LinkEvent]
	// StoreEvents receives the platform's responses.
	StoreEvents board.Inbox[StoreEvent]
	// Announcements receives the announcements of the host's upstream.
	Announcements board.Inbox[Announcement]
	// MissingCustomers receives customers whose calls arrived although the node does
	// not hold their settings.
	MissingCustomers board.Inbox[mesh.Customer]
	// LifecycleCommands receives requests to drain the node.
	LifecycleCommands board.Inbox[LifecycleCommand]

	// LinkCommands dials control links, sends on them and closes them.
	LinkCommands board.Outbox[LinkCommand]
	// StoreCommands reads and writes the platform's objects.
	StoreCommands board.Outbox[StoreCommand]
	// SnapshotUpdates signals that Snapshot was replaced, with its version.
	SnapshotUpdates board.Outbox[mesh.Version]
	// MetricsTicks triggers the collection of the traffic threads' counters once a
	// second.
	MetricsTicks board.Outbox[time.Time]
	// LogEvents sends state changes to the log.
	LogEvents board.Outbox[LogEvent]

	// Self is set before the board runs and does not change afterwards.
	Self board.Cell[Self]
	// Phase is the current phase of the node's life cycle.
	Phase board.Cell[Phase]
	// Peers contains the open control links.
	Peers board.State[Peers]
	// LocalRecord is the record of the host's upstream; its Host is empty if there is none.
	LocalRecord board.Cell[member.Record]
	// Directory lists the relays known to the node.
	Directory board.Cell[Directory]
	// PlatformReachable is true while the platform answers reads of relay slots.
	PlatformReachable board.Cell[bool]
	// RelaySlot is the relay slot that this node holds, if any.
	RelaySlot board.Cell[RelaySlot]
	// Uplinks lists the links over which this node receives configuration and records.
	Uplinks board.Cell[Uplinks]
	// Subscription selects the chunks that the node holds.
	Subscription board.Cell[Subscription]
	// Config is the configuration in force.
	Config board.Cell[Config]
	// Adoption is the state of the adoption of the newest version.
	Adoption board.Cell[adopt.Status]
	// NeededServices lists the services whose records the node needs.
	NeededServices board.Cell[[]mesh.ServiceID]
	// FullChunkRequests counts the requests for full chunks that follow deltas that could
	// not be applied. Each increase makes the node send one.
	FullChunkRequests board.Cell[uint64]
	// ChunkHistory keeps recent chunks as bases for deltas.
	ChunkHistory board.State[ChunkHistory]
	// Records contains the records of the upstreams known to the node.
	Records board.State[member.Table]
	// CompleteServices contains the services of which all records are known.
	CompleteServices board.State[CompleteServices]
	// ChildSummary is the report of this relay about the nodes that it serves.
	ChildSummary board.Cell[relay.Summary]
	// Snapshot is the state that traffic threads read.
	Snapshot board.Cell[Snapshot]
}

// Self is the node's identity and settings.
type Self struct {
	Host  mesh.HostID
	Place mesh.Place
	// Address is the address at which this node accepts sessions.
	Address netip.AddrPort
	// Incarnation increases each time the process starts.
	Incarnation uint64
	// PlatformRegion is the region of the platform; empty if not configured.
	PlatformRegion mesh.Region
	// Customer is the customer whose settings the node always holds; empty for none.
	Customer mesh.Customer
	// Seeds are nodes to join while the platform is unreachable.
	Seeds []netip.AddrPort
	// RelaysPerZone is the number of relay slots in each availability zone.
	RelaysPerZone int
	// Heartbeat is the interval between heartbeats to the relay.
	Heartbeat time.Duration
	// LeaseTTL is how long a relay slot stays held without a renewal.
	LeaseTTL time.Duration
}

// Phase is a phase of the life cycle of a node or proxy.
type Phase string

// The phases of the life cycle.
const (
	// Starting lasts until the first configuration is in force and, on a proxy, all
	// records are loaded.
	Starting Phase = "starting"
	Serving  Phase = "serving"
	// Draining lasts while the process completes its calls before it stops.
	Draining Phase = "draining"
	// Withdrawn follows Draining on a proxy: its record then says that its upstream
	// accepts no more calls through it.
	Withdrawn Phase = "withdrawn"
	Stopped   Phase = "stopped"
)

// LifecycleCommand asks a node or proxy to enter another phase.
type LifecycleCommand string

// Drain asks the process to stop without interrupting calls. Withdraw asks a
// draining proxy to publish that its upstream is no longer reachable through it.
const (
	Drain    LifecycleCommand = "drain"
	Withdraw LifecycleCommand = "withdraw"
)

// Announcement is a message from the host's upstream about itself. Only Kind is set
// unless it is Announce.
type Announcement struct {
	Kind AnnouncementKind
	ID   mesh.ServiceID
	// Address is the address at which the upstream accepts calls.
	Address netip.AddrPort
	// Slots is the number of calls that the upstream processes concurrently.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
}

// AnnouncementKind is the kind of an Announcement.
type AnnouncementKind uint8

// The kinds of announcements.
const (
	// Announce registers the upstream or renews its registration.
	Announce AnnouncementKind = iota
	// DrainUpstream means the upstream accepts no new calls.
	DrainUpstream
	// LeaveUpstream ends the registration of the upstream.
	LeaveUpstream
)

// Directory is a list of relays.
type Directory struct {
	Relays []relay.Relay
}

// RelaySlot identifies a relay slot in the node's availability zone.
type RelaySlot struct {
	// Held is true while the lease is valid.
	Held bool
	// Number is the number of the slot in the zone, from zero.
	Number int
}

// Uplinks describes the links over which a node receives configuration and records.
type Uplinks struct {
	// Links are the established links, sorted. Their far ends have sent Hello.
	Links []LinkID
	// Lead is true if this node exchanges control messages with other regions on
	// behalf of its region.
	Lead bool
	// Served is true if this node is the lead or a link leads to a relay. Links to
	// other nodes are used only while no relay is available.
	Served bool
}

// Subscription selects the chunks that a node holds.
type Subscription struct {
	// All is true if the node holds every chunk and every record.
	All bool
	// Customers are the customers whose chunks the node holds, sorted. It always
	// holds the root chunk.
	Customers []mesh.Customer
}

// Config is a configuration.
type Config struct {
	// Manifest lists all chunks, including those that the node does not hold.
	Manifest tree.Manifest
	// Tree contains the chunks that the node subscribes to.
	Tree *tree.Tree
	// Table is the route table for the node's region.
	Table *route.Table
}

// Snapshot is the state that traffic threads read. It is immutable.
type Snapshot struct {
	Version mesh.Version
	// Table is nil until the first version is in force.
	Table *route.Table
	// CandidateSets contains the upstreams of each known service that accept requests.
	CandidateSets map[mesh.ServiceID]*pick.CandidateSet
	// LocalRecord is the record of the host's upstream; its Host is empty if there is none.
	LocalRecord member.Record
	// LoadedCustomers are the customers whose settings the node holds.
	LoadedCustomers map[mesh.Customer]bool
	// KnownCustomers are all customers in the manifest.
	KnownCustomers map[mesh.Customer]bool
	// Phase determines whether new calls are accepted.
	Phase Phase
}

// LogEvent is a state change to be logged.
type LogEvent struct {
	// Name is the message of the log line.
	Name   string
	Fields []LogField
}

// LogField is a named value in a LogEvent.
type LogField struct {
	Name string
	// Value is a string, a number, a boolean, a time.Time or a time.Duration, and is
	// logged as that type.
	Value any
}

// CompleteServices is the set of services of which all records are known.
type CompleteServices struct {
	// All is true if every service is complete.
	All      bool
	Services map[mesh.ServiceID]bool
}

// Has reports whether all records of the service are known.
func (c *CompleteServices) Has(id mesh.ServiceID) bool {
	return c.All || c.Services[id]
}

// Add marks the service as complete.
func (c *CompleteServices) Add(id mesh.ServiceID) {
	if c.Services == nil {
		c.Services = make(map[mesh.ServiceID]bool)
	}
	c.Services[id] = true
}

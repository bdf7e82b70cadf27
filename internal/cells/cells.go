// Package cells declares the node's blackboard: every place that its
// controllers share, with the events that come in and the commands that go out.
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

// Set is the blackboard of one node. The zero Set is ready to use.
type Set struct {
	// LinkEvents brings what happens on control links, in order for each link.
	LinkEvents board.Inbox[LinkEvent]
	// StoreEvents brings the platform's answers.
	StoreEvents board.Inbox[StoreEvent]
	// Announcements brings what the host's upstream says of itself.
	Announcements board.Inbox[Announcement]
	// MissingCustomers brings customers whose calls arrived and whose settings are not held.
	MissingCustomers board.Inbox[mesh.Customer]
	// LifecycleCommands brings orders to the node itself.
	LifecycleCommands board.Inbox[LifecycleCommand]

	// LinkCommands dials, sends on and closes control links.
	LinkCommands board.Outbox[LinkCommand]
	// StoreCommands asks the platform.
	StoreCommands board.Outbox[StoreCommand]
	// SnapshotUpdates tells that Snapshot was replaced.
	SnapshotUpdates board.Outbox[mesh.Version]
	// MetricsTicks asks once a second for the counters of traffic threads.
	MetricsTicks board.Outbox[time.Time]
	// LogEvents tells changes of state that are worth a line in the log.
	LogEvents board.Outbox[LogEvent]

	// Self is set before the board runs and never changes.
	Self board.Cell[Self]
	// Phase is the node's life cycle.
	Phase board.Cell[Phase]
	// Peers holds the links that are up.
	Peers board.State[Peers]
	// LocalRecord is the record of the host's upstream; its Host is empty when there is none.
	LocalRecord board.Cell[member.Record]
	// Directory lists the relays that the node knows.
	Directory board.Cell[Directory]
	// PlatformReachable is true while the platform answers the reads of relay slots.
	PlatformReachable board.Cell[bool]
	// RelaySlot is the relay slot that this node holds in the platform.
	RelaySlot board.Cell[RelaySlot]
	// Uplinks lists the links over which this node is served.
	Uplinks board.Cell[Uplinks]
	// Subscription says which chunks the node holds.
	Subscription board.Cell[Subscription]
	// Config is what is in force.
	Config board.Cell[Config]
	// Adoption is the progress of the newest version.
	Adoption board.Cell[adopt.Status]
	// NeededServices lists the services whose records the node wants.
	NeededServices board.Cell[[]mesh.ServiceID]
	// DeltaFailures rises each time a delta did not verify and whole chunks are needed.
	DeltaFailures board.Cell[uint64]
	// ChunkHistory keeps recent chunks, so that deltas can be made.
	ChunkHistory board.State[ChunkHistory]
	// Records holds the upstreams that the node knows.
	Records board.State[member.Table]
	// CompleteServices holds the services whose records are complete.
	CompleteServices board.State[CompleteServices]
	// ChildSummary is what this relay reports of its children.
	ChildSummary board.Cell[relay.Summary]
	// Snapshot is what traffic threads work on.
	Snapshot board.Cell[Snapshot]
}

// Self is what a node knows of itself from its settings.
type Self struct {
	Host  mesh.HostID
	Place mesh.Place
	// Address is where this node accepts sessions.
	Address netip.AddrPort
	// Incarnation rises each time the process starts.
	Incarnation uint64
	// PlatformRegion is where the platform stands; empty when that is not told.
	PlatformRegion mesh.Region
	// Customer is whose settings the node always holds; empty for none.
	Customer mesh.Customer
	// Seeds are nodes to join while the platform is unreachable.
	Seeds []netip.AddrPort
	// RelaysPerZone is the count of relay slots in each availability zone.
	RelaysPerZone int
	// Heartbeat is the time between two beats to the relay.
	Heartbeat time.Duration
	// LeaseTTL is how long a relay slot stays held without renewal.
	LeaseTTL time.Duration
}

// Phase is a state of the node's life cycle.
type Phase string

// The phases of a node.
const (
	Starting Phase = "starting"
	Serving  Phase = "serving"
	Draining Phase = "draining"
	// Withdrawn is a draining proxy whose upstream takes no new calls through it.
	Withdrawn Phase = "withdrawn"
	Stopped   Phase = "stopped"
)

// LifecycleCommand is an order to the node itself.
type LifecycleCommand string

// Drain asks the node to leave without cutting a call, and Withdraw asks a draining
// proxy to tell the others that its upstream can't be reached through it any more.
const (
	Drain    LifecycleCommand = "drain"
	Withdraw LifecycleCommand = "withdraw"
)

// Announcement is what the host's upstream says of itself.
type Announcement struct {
	Kind        AnnouncementKind
	ID          mesh.ServiceID
	Address     netip.AddrPort
	Slots       int
	Connections int
}

// AnnouncementKind tells announcements apart.
type AnnouncementKind uint8

// The kinds of announcements.
const (
	Announce AnnouncementKind = iota
	DrainUpstream
	LeaveUpstream
)

// Directory lists relays, sorted by host.
type Directory struct {
	Relays []relay.Relay
}

// RelaySlot is a relay slot of the node's availability zone.
type RelaySlot struct {
	// Held is true while the lease is valid.
	Held bool
	// Number is the slot's number in the zone, from zero.
	Number int
}

// Uplinks lists the links over which this node is served.
type Uplinks struct {
	// Links are up and greeted, sorted.
	Links []LinkID
	// Lead is true when this node carries what crosses regions for its region.
	Lead bool
	// Served is true when a relay is at the far end of a link, or this node is
	// the lead. A link to another node serves only for want of a relay.
	Served bool
}

// Subscription says which chunks a node holds.
type Subscription struct {
	// All is true when it holds every chunk and every record.
	All bool
	// Customers are those whose chunks it holds, sorted; the root chunk is always held.
	Customers []mesh.Customer
}

// Config is a configuration in force.
type Config struct {
	// Manifest covers every chunk, held or not.
	Manifest tree.Manifest
	// Tree holds the wanted chunks.
	Tree *tree.Tree
	// Table is the route table of the node's region.
	Table *route.Table
}

// Snapshot is what traffic threads work on. It is immutable.
type Snapshot struct {
	Version mesh.Version
	// Table is nil until the first version is in force.
	Table *route.Table
	// CandidateSets holds the upstreams of each known service.
	CandidateSets map[mesh.ServiceID]*pick.CandidateSet
	// LocalRecord is the host's upstream, with an empty Host when there is none.
	LocalRecord member.Record
	// LoadedCustomers are those whose settings are held.
	LoadedCustomers map[mesh.Customer]bool
	// KnownCustomers are the customers of the manifest, held or not.
	KnownCustomers map[mesh.Customer]bool
	// Phase tells whether new work is taken.
	Phase Phase
}

// LogEvent is a change of state.
type LogEvent struct {
	// Name names what changed.
	Name string
	// Fields are pairs of a name and its value.
	Fields []LogField
}

// LogField is one detail of a note.
type LogField struct {
	Name string
	// Value keeps its type in the log: text, a number, a boolean or a time.
	Value any
}

// CompleteServices holds services whose records are complete.
type CompleteServices struct {
	// All is true when every service is complete.
	All      bool
	Services map[mesh.ServiceID]bool
}

// Has reports whether the records of the service are complete.
func (k *CompleteServices) Has(id mesh.ServiceID) bool {
	return k.All || k.Services[id]
}

// Add notes that the records of the service are complete.
func (k *CompleteServices) Add(id mesh.ServiceID) {
	if k.Services == nil {
		k.Services = make(map[mesh.ServiceID]bool)
	}
	k.Services[id] = true
}

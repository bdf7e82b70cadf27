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
	// Links brings what happens on control links, in order for each link.
	Links board.Inbox[LinkEvent]
	// Stored brings the platform's answers.
	Stored board.Inbox[StoreEvent]
	// Announced brings what the host's upstream says of itself.
	Announced board.Inbox[Announcement]
	// Demanded brings customers whose calls arrived and whose settings are not held.
	Demanded board.Inbox[mesh.Customer]
	// Ordered brings orders to the node itself.
	Ordered board.Inbox[Order]

	// LinkOut dials, sends on and closes control links.
	LinkOut board.Outbox[LinkCommand]
	// Store asks the platform.
	Store board.Outbox[StoreCommand]
	// Published tells that Traffic was replaced.
	Published board.Outbox[mesh.Version]
	// Ticked asks once a second for the counters of traffic threads.
	Ticked board.Outbox[time.Time]
	// Noted tells changes of state that are worth a line in the log.
	Noted board.Outbox[Note]

	// Self is set before the board runs and never changes.
	Self board.Cell[Self]
	// Phase is the node's life cycle.
	Phase board.Cell[Phase]
	// Peers holds the links that are up.
	Peers board.State[Peers]
	// Own is the record of the host's upstream; its Host is empty when there is none.
	Own board.Cell[member.Record]
	// Directory lists the relays that the node knows.
	Directory board.Cell[Directory]
	// Reached is true while the platform answers the reads of relay slots.
	Reached board.Cell[bool]
	// Slot is the relay slot that this node holds in the platform.
	Slot board.Cell[Slot]
	// Uplinks lists the links over which this node is served.
	Uplinks board.Cell[Uplinks]
	// Wanted says which chunks the node holds.
	Wanted board.Cell[Wanted]
	// Config is what is in force.
	Config board.Cell[Config]
	// Adoption is the progress of the newest version.
	Adoption board.Cell[adopt.Status]
	// Needed lists the services whose records the node wants.
	Needed board.Cell[[]mesh.ServiceID]
	// Reset rises each time a delta did not verify and whole chunks are needed.
	Reset board.Cell[uint64]
	// Library keeps recent chunks, so that deltas can be made.
	Library board.State[Library]
	// Records holds the upstreams that the node knows.
	Records board.State[member.Table]
	// Known holds the services whose records are complete.
	Known board.State[Known]
	// Mark is what this relay reports of its children.
	Mark board.Cell[relay.Summary]
	// Traffic is what traffic threads work on.
	Traffic board.Cell[Traffic]
}

// Self is what a node knows of itself from its settings.
type Self struct {
	Host  mesh.HostID
	Place mesh.Place
	// Node is where this node accepts sessions.
	Node netip.AddrPort
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
	// LeaseTime is how long a relay slot stays held without renewal.
	LeaseTime time.Duration
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

// Order is an order to the node itself.
type Order string

// Drain asks the node to leave without cutting a call, and Withdraw asks a draining
// proxy to tell the others that its upstream can't be reached through it any more.
const (
	Drain    Order = "drain"
	Withdraw Order = "withdraw"
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

// Slot is a relay slot of the node's availability zone.
type Slot struct {
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

// Wanted says which chunks a node holds.
type Wanted struct {
	// Whole is true when it holds every chunk and every record.
	Whole bool
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

// Traffic is what traffic threads work on. It is immutable.
type Traffic struct {
	Version mesh.Version
	// Table is nil until the first version is in force.
	Table *route.Table
	// Sets holds the upstreams of each known service.
	Sets map[mesh.ServiceID]*pick.CandidateSet
	// Own is the host's upstream, with an empty Host when there is none.
	Own member.Record
	// Customers are those whose settings are held.
	Customers map[mesh.Customer]bool
	// Listed are the customers of the manifest, held or not.
	Listed map[mesh.Customer]bool
	// Phase tells whether new work is taken.
	Phase Phase
}

// Note is a change of state.
type Note struct {
	// Event names what changed.
	Event string
	// Fields are pairs of a name and its value.
	Fields []Field
}

// Field is one detail of a note.
type Field struct {
	Name string
	// Value keeps its type in the log: text, a number, a boolean or a time.
	Value any
}

// Known holds services whose records are complete.
type Known struct {
	// Everything is true when every service is complete.
	Everything bool
	Services   map[mesh.ServiceID]bool
}

// Has reports whether the records of the service are complete.
func (k *Known) Has(id mesh.ServiceID) bool {
	return k.Everything || k.Services[id]
}

// Add notes that the records of the service are complete.
func (k *Known) Add(id mesh.ServiceID) {
	if k.Services == nil {
		k.Services = make(map[mesh.ServiceID]bool)
	}
	k.Services[id] = true
}

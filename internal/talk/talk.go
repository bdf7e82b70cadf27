// Package talk holds what nodes tell each other on a control link, as plain
// types. Package wire encodes them; controllers never see an encoding.
package talk

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Protocol is the number of this protocol; nodes of another refuse the link.
const Protocol = 1

// Message is one of the types of this package.
type Message interface {
	message()
}

// Hello opens a link, once from each end.
type Hello struct {
	Host  mesh.HostID
	Place mesh.Place
	// Node is where the sender accepts sessions.
	Node netip.AddrPort
	// Incarnation rises each time the sender's process starts.
	Incarnation uint64
	// Relay is true when the sender holds a relay slot.
	Relay bool
	// Whole is true when the sender wants the whole tree and every record.
	Whole bool
	// Reached is true when the sender reached the platform lately.
	Reached bool
	// Protocol must equal the constant of this package.
	Protocol uint32
}

// Beat is a child's heartbeat.
type Beat struct {
	// Upstream is the record of the child's upstream; its Host is empty when
	// there is none, or when it is the one last told on the link.
	Upstream member.Record
	// Version is what the child has in force.
	Version mesh.Version
	// Refused is the version the child refuses, zero when none.
	Refused mesh.Version
	// Reason says why, when Refused is not zero.
	Reason string
}

// Held says what configuration the sender holds and what it wants.
type Held struct {
	Version mesh.Version
	Scopes  []Scope
	// Services are those whose records the sender wants.
	Services []mesh.ServiceID
	// Reset asks for whole chunks, since a delta did not verify.
	Reset bool
}

// Scope is one chunk that the sender of Held wants.
type Scope struct {
	Path tree.Path
	// Digest is zero when the sender does not hold the chunk.
	Digest mesh.Digest
}

// ChunkChange brings one chunk to a new digest.
type ChunkChange struct {
	Scope  tree.Path
	Digest mesh.Digest
	// Base is what Edits apply to; zero when there are no edits.
	Base  mesh.Digest
	Edits []tree.Edit
	// Chunk is the whole chunk, nil when Edits, Removed or DigestOnly say the rest.
	Chunk *tree.Chunk
	// Removed is true when the chunk is gone.
	Removed bool
	// DigestOnly is true when the receiver does not want the chunk itself.
	DigestOnly bool
}

// Config brings the receiver to a version, whole or not at all.
type Config struct {
	// Base is the version whose manifest the changes apply to; zero when they list every chunk.
	Base    mesh.Version
	Version mesh.Version
	// Root is the digest of the manifest at Version.
	Root   mesh.Digest
	Chunks []ChunkChange
}

// Members brings records of upstreams.
type Members struct {
	Records []member.Record
	// Complete names services whose live records are all known once these are merged.
	Complete []mesh.ServiceID
}

// Relays lists the relays that the sender knows.
type Relays struct {
	Relays []relay.Relay
}

// Digests summarises the sender's records, for repair.
type Digests struct {
	Services []ServiceDigest
}

// ServiceDigest is the combined hash of a service's records.
type ServiceDigest struct {
	ID     mesh.ServiceID
	Digest uint64
}

// Later asks the receiver to come back after a while.
type Later struct {
	After time.Duration
}

// Invite asks a child to take a vacant relay slot of its zone.
type Invite struct {
	Slot int
}

// Want asks the far end to tell versions and records from now on.
type Want struct {
	// Version is what the sender holds; zero asks to be told it whole.
	Version mesh.Version
}

// Pulse tells that the sender is there, and how fresh its word is.
type Pulse struct {
	// Version is what the sender holds.
	Version mesh.Version
	// Reached is true while the platform answers the sender.
	Reached bool
}

// Document is one version of the routes.
type Document struct {
	Version mesh.Version
	// Base is the version that the packing refers to; zero for none.
	Base mesh.Version
	// Packed is the document, compressed.
	Packed []byte
}

// Roster tells the records of nodes.
type Roster struct {
	// Revision is the platform's that the entries are complete up to.
	Revision uint64
	// Whole is true when hosts that are not listed have no record.
	Whole   bool
	Entries []RosterEntry
}

// RosterEntry is what is known of one host's record.
type RosterEntry struct {
	Host mesh.HostID
	// Version is that of the record in the platform.
	Version uint64
	// Record is as it lies in the platform; empty when it is gone.
	Record []byte
}

func (Hello) message()    {}
func (Beat) message()     {}
func (Held) message()     {}
func (Config) message()   {}
func (Members) message()  {}
func (Relays) message()   {}
func (Digests) message()  {}
func (Later) message()    {}
func (Invite) message()   {}
func (Want) message()     {}
func (Pulse) message()    {}
func (Document) message() {}
func (Roster) message()   {}

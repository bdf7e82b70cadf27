// Package ctlmsg defines the messages that nodes exchange on control links, as
// plain Go types. Package wire encodes them, so that controllers do not depend on
// an encoding.
package ctlmsg

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/shift"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// ProtocolVersion is the version of the control protocol. A node closes links to
// nodes with another version.
const ProtocolVersion = 1

// Message is implemented by the message types of this package.
type Message interface {
	message()
}

// Hello is the first message that each end sends on a link.
type Hello struct {
	Host  mesh.HostID
	Place mesh.Place
	// Node is the address at which the sender accepts sessions.
	Node netip.AddrPort
	// Incarnation increases each time the sender's process starts.
	Incarnation uint64
	// Relay is true if the sender holds a relay slot.
	Relay bool
	// WantsAll is true if the sender requests the whole settings tree and all
	// records.
	WantsAll bool
	// PlatformReachable is true if the sender is a relay and the platform
	// recently responded to it.
	PlatformReachable bool
	// ProtocolVersion must equal the constant ProtocolVersion.
	ProtocolVersion uint32
}

// Heartbeat is sent regularly by a node to its relay.
type Heartbeat struct {
	// Upstream is the record of the sender's upstream. Its Host is empty if
	// there is none or if it has not changed since it was last sent on the link.
	Upstream member.Record
	// Version is the version that the sender has in force.
	Version mesh.Version
	// RefusedVersion is the version that the sender refuses to apply; zero if none.
	RefusedVersion mesh.Version
	// RefusalReason is the reason if RefusedVersion is not zero.
	RefusalReason string
}

// ConfigRequest tells a relay which configuration the sender has and which chunks
// and records it requests.
type ConfigRequest struct {
	Version mesh.Version
	Chunks  []ChunkRequest
	// Services are the services whose records the sender requests.
	Services []mesh.ServiceID
	// FullChunks requests whole chunks because a delta failed verification.
	FullChunks bool
}

// ChunkRequest is one chunk in a ConfigRequest.
type ChunkRequest struct {
	Scope tree.Path
	// Digest is the digest of the sender's copy; zero if it has none.
	Digest mesh.Digest
}

// ChunkChange updates one chunk to a new digest.
type ChunkChange struct {
	Scope  tree.Path
	Digest mesh.Digest
	// Base is the digest of the chunk that Edits apply to; zero if there are no
	// edits.
	Base  mesh.Digest
	Edits []tree.Edit
	// Chunk is the whole chunk; nil if Edits, Removed or DigestOnly is set.
	Chunk *tree.Chunk
	// Removed is true if the chunk was removed.
	Removed bool
	// DigestOnly is true if the receiver did not request the chunk itself.
	DigestOnly bool
}

// Config updates the receiver to a version. It is applied completely or not at
// all.
type Config struct {
	// Base is the version whose manifest the changes apply to; zero if they list
	// every chunk.
	Base    mesh.Version
	Version mesh.Version
	// RootDigest is the digest of the manifest at Version.
	RootDigest mesh.Digest
	Chunks     []ChunkChange
}

// MemberRecords carries membership records of upstreams.
type MemberRecords struct {
	Records []member.Record
	// CompleteServices are the services for which the receiver has all live
	// records once it has merged these.
	CompleteServices []mesh.ServiceID
}

// RelayList lists the relays known to the sender.
type RelayList struct {
	Relays []relay.Relay
}

// MembershipDigests summarizes the sender's membership records, so that the
// receiver can find and repair differences.
type MembershipDigests struct {
	Services []ServiceDigest
}

// ServiceDigest is the combined hash of the records of one service.
type ServiceDigest struct {
	ID     mesh.ServiceID
	Digest uint64
}

// RetryLater refuses a link and asks the receiver to reconnect after a delay.
type RetryLater struct {
	After time.Duration
}

// RelayInvite asks a node to take a vacant relay slot of its zone.
type RelayInvite struct {
	Slot int
}

// Subscribe asks the receiver to send versions and records from now on.
type Subscribe struct {
	// Version is the version that the sender has; zero if it has none or requests
	// the full document.
	Version mesh.Version
	// DocumentOnly is true if the sender requests the document of a later version once,
	// and neither records nor heartbeats.
	DocumentOnly bool
}

// ReaderHeartbeat is sent regularly by a reader, so that its subscribers know that
// it is alive and whether its data is current.
type ReaderHeartbeat struct {
	// Version is the version that the sender has.
	Version mesh.Version
	// Current is true if the sender has loaded its data and knows that it was current
	// at a time.
	Current bool
	// Age is the time since the platform confirmed that the data is current. It includes
	// the ages that the readers before the sender reported, so that readers that receive
	// from each other do not confirm each other for ever.
	Age time.Duration
	// Revision is the platform revision up to which the sender knows all versions.
	Revision uint64
	// Era is the highest era of the store that the sender knows, to which Revision belongs.
	Era uint64
	// VersionEra is the highest era in which the store had Version or a later one.
	VersionEra uint64
	// Verified is true if the sender has a confirmation that is dated from before the
	// call to the platform, and VerifiedAge is its age when the heartbeat was sent.
	Verified    bool
	VerifiedAge time.Duration
	// ProbeSentAt is SentAt of the latest Probe that the sender received on this link;
	// zero if there was none.
	ProbeSentAt time.Duration
	// TokenOwner is the owner of the quota tokens that the sender passes on; empty if it
	// has none.
	TokenOwner mesh.HostID
}

// Probe is sent regularly to the parents while the age of versions or quotas matter.
type Probe struct {
	// SentAt is the monotonic time of the sender since a moment of its choice, above
	// zero. Only the sender interprets it.
	SentAt time.Duration
	// Nodes is the number of nodes, the sender included, that get their quota tokens
	// through the sender from the receiver; zero if the receiver is not the sender's
	// source of tokens.
	Nodes int
}

// Document carries one version of the routes.
type Document struct {
	Version mesh.Version
	// Base is the version whose document is the compression dictionary; zero for
	// none.
	Base mesh.Version
	// Compressed is the compressed document.
	Compressed []byte
	// Era is the highest era in which the store had the version.
	Era uint64
}

// Roster carries the stored records of nodes.
type Roster struct {
	// Revision is the platform revision up to which the entries are complete.
	Revision uint64
	// Era is the era of the store to which Revision belongs.
	Era uint64
	// Complete is true if hosts that are not listed have no record.
	Complete bool
	// HasRollouts is true if the sender knows all orders to move services, and has sent
	// them.
	HasRollouts bool
	Entries     []RosterEntry
}

// RosterEntry is the stored record of one host.
type RosterEntry struct {
	Host mesh.HostID
	// Version is the object version of the record in the platform.
	Version uint64
	// Era is the era of the store to which Version belongs. It is lower than that of the
	// roster if the store lost the object when it was restored.
	Era uint64
	// Written is when Record was written. It differs from Era and Version if the restored
	// store has an older record.
	Written mesh.StoreTime
	// Retired is true if the object was removed before the store was restored.
	Retired bool
	// Record is the record as stored in the platform; empty if it was deleted.
	Record []byte
}

// ShiftState is the state of the orders to move services to other releases. A reader sends
// it to its subscribers when it changes, and regularly while an order runs.
type ShiftState struct {
	Views []shift.View
	// Age is the time since a root confirmed the state. It includes the times that the
	// readers before the sender reported.
	Age time.Duration
}

// ShiftCounts adds to the outcomes of requests. It is sent to parents while orders run.
type ShiftCounts struct {
	Counts map[mesh.Service]shift.Counts
}

func (Hello) message()             {}
func (Heartbeat) message()         {}
func (ConfigRequest) message()     {}
func (Config) message()            {}
func (MemberRecords) message()     {}
func (RelayList) message()         {}
func (MembershipDigests) message() {}
func (RetryLater) message()        {}
func (RelayInvite) message()       {}
func (Subscribe) message()         {}
func (ReaderHeartbeat) message()   {}
func (Document) message()          {}
func (Roster) message()            {}
func (Probe) message()             {}
func (ShiftState) message()        {}
func (ShiftCounts) message()       {}

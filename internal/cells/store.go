package cells

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// StoreAction is the action of a StoreCommand or StoreEvent.
type StoreAction uint8

// The actions on the objects that nodes read and write in the platform.
const (
	// ReadSlots reads the relay slots of one availability zone or of all zones.
	ReadSlots StoreAction = iota
	// WriteSlot creates or updates a relay slot if its version matches.
	WriteSlot
	// DeleteSlot deletes a relay slot if its version matches.
	DeleteSlot
	// WatchHead watches the head of the configuration until UnwatchHead.
	WatchHead
	// UnwatchHead ends WatchHead.
	UnwatchHead
	// ReadChunks reads chunks by digest.
	ReadChunks
)

// StoreCommand requests an action on the platform's objects.
type StoreCommand struct {
	Action StoreAction
	// Zone is the zone that ReadSlots reads; empty for all zones.
	Zone mesh.Zone
	// Slot is the slot that WriteSlot writes or DeleteSlot deletes.
	Slot SlotObject
	// Chunks are the chunks that ReadChunks reads.
	Chunks []ChunkRef
}

// ChunkRef identifies a chunk by the digest of its content.
type ChunkRef struct {
	Scope  tree.Path
	Digest mesh.Digest
}

// SlotObject is a relay slot as stored in the platform: a lease and a status report.
type SlotObject struct {
	Zone   mesh.Zone
	Number int
	// Version is the object's version, which serves as fencing token. In a command it
	// is the expected version; zero if the object must not exist.
	Version uint64
	// Token identifies the write. It starts with the name of the process that wrote
	// the slot.
	Token string
	Relay relay.Relay
	// Summary is the relay's report about the nodes that it serves.
	Summary relay.Summary
	// RenewedAt is the time of the write by the writer's clock; for display only.
	RenewedAt time.Time
}

// StoreEvent is a response of the platform.
type StoreEvent struct {
	Action StoreAction
	// Command is the command that was executed; not set for WatchHead.
	Command StoreCommand
	// Slots is the response to ReadSlots, sorted by zone and number.
	Slots []SlotObject
	// Head is the response to WatchHead.
	Head tree.Head
	// Chunks is the response to ReadChunks, in the order of the command.
	Chunks []*tree.Chunk
	// Version is the version of the written slot.
	Version uint64
	// Result is the result of the action.
	Result StoreResult
	// Err gives details if Result is not StoreDone.
	Err error
}

// StoreResult is the result of an action on the platform's objects.
type StoreResult uint8

// The results of an action.
const (
	// StoreDone means the action took effect.
	StoreDone StoreResult = iota
	// StoreConflict means the version did not match; nothing changed.
	StoreConflict
	// StoreFailed means the action did not take effect.
	StoreFailed
	// StoreUnknown means a write may have taken effect.
	StoreUnknown
)

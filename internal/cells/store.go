package cells

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// StoreAction tells platform commands and their answers apart.
type StoreAction uint8

// The actions on the platform's objects.
const (
	// ReadSlots reads the relay slots of one availability zone, or of all.
	ReadSlots StoreAction = iota
	// WriteSlot creates or updates a relay slot on condition of its version.
	WriteSlot
	// DeleteSlot deletes a relay slot on condition of its version.
	DeleteSlot
	// WatchHead follows the head of the configuration until UnwatchHead.
	WatchHead
	// UnwatchHead ends WatchHead.
	UnwatchHead
	// ReadChunks reads chunks by digest.
	ReadChunks
)

// StoreCommand asks for an action on the platform's objects.
type StoreCommand struct {
	Action StoreAction
	// Zone limits ReadSlots; empty for all zones.
	Zone mesh.Zone
	// Slot is what WriteSlot writes and DeleteSlot deletes.
	Slot SlotObject
	// Chunks is what ReadChunks reads.
	Chunks []ChunkRef
}

// ChunkRef names one chunk by its content.
type ChunkRef struct {
	Scope  tree.Path
	Digest mesh.Digest
}

// SlotObject is a relay slot in the platform: a lease and a status report.
type SlotObject struct {
	Zone   mesh.Zone
	Number int
	// Version is the object's version, the fence; zero when it must not exist.
	Version uint64
	// Token proves which process wrote it.
	Token string
	Relay relay.Relay
	// Summary is what the relay reports of its children.
	Summary relay.Summary
	// RenewedAt is when it was written, by the writer's clock; for display only.
	RenewedAt time.Time
}

// StoreEvent is an answer of the platform.
type StoreEvent struct {
	Action StoreAction
	// Command is what was asked, except for WatchHead.
	Command StoreCommand
	// Slots answers ReadSlots, sorted by zone and number.
	Slots []SlotObject
	// Head answers WatchHead.
	Head tree.Head
	// Chunks answers ReadChunks, in the order asked.
	Chunks []*tree.Chunk
	// Version is the written slot's version.
	Version uint64
	// Result tells how it ended.
	Result StoreResult
	// Err gives details when Result is not StoreDone.
	Err error
}

// StoreResult tells how an action on the platform ended.
type StoreResult uint8

// The results of an action.
const (
	// StoreDone means the action took effect.
	StoreDone StoreResult = iota
	// StoreConflict means the object's version was another; nothing changed.
	StoreConflict
	// StoreFailed means the action did not take effect.
	StoreFailed
	// StoreUnknown means a write may have taken effect.
	StoreUnknown
)

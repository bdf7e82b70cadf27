package cells

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ObjectKind tells the kinds of objects apart.
type ObjectKind uint8

// The kinds of objects.
const (
	// Versions holds the operator's document.
	Versions ObjectKind = iota
	// Records holds the nodes' records.
	Records
)

// ObjectAction tells platform commands and their answers apart.
type ObjectAction uint8

// The actions on objects.
const (
	// FollowObjects lists a kind and tells its changes until LeaveObjects.
	FollowObjects ObjectAction = iota
	// LeaveObjects ends FollowObjects.
	LeaveObjects
	// PutRecord creates or updates a record on condition of its version.
	PutRecord
	// DropRecord removes a record on condition of its version.
	DropRecord
)

// ObjectCommand asks for an action on the platform's objects.
type ObjectCommand struct {
	Action ObjectAction
	Kind   ObjectKind
	// Host is whose record PutRecord and DropRecord are about.
	Host mesh.HostID
	// Node is what PutRecord writes.
	Node fleet.Node
	// Version is the object's, the condition; zero when it must not exist.
	Version uint64
	// Patient is true for FollowObjects when nobody else waits for what is followed,
	// so that failures are retried seldom.
	Patient bool
}

// Object is an object as the platform told it.
type Object struct {
	// Name is a host's for a record.
	Name    string
	Value   []byte
	Version uint64
	Deleted bool
}

// ObjectEvent is an answer of the platform.
type ObjectEvent struct {
	Action ObjectAction
	Kind   ObjectKind
	// Command is what was asked, for PutRecord and DropRecord.
	Command ObjectCommand
	// Whole is true when Objects are all there are of the kind.
	Whole   bool
	Objects []Object
	// Revision is the platform's that Objects are complete up to.
	Revision uint64
	// Current is the object after PutRecord or as a conflict told it; its Version is
	// zero when it is not known.
	Current Object
	// Result tells how it ended.
	Result StoreResult
	// Trip is the time that the last connection to the platform took.
	Trip time.Duration
	// Err gives details when Result is not StoreDone.
	Err error
}

func sortNodes(nodes []fleet.Node) {
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.Host, b.Host) })
}

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
	// VersionObjects holds the operator's document.
	VersionObjects ObjectKind = iota
	// RecordObjects holds the nodes' records.
	RecordObjects
)

// ObjectAction tells platform commands and their answers apart.
type ObjectAction uint8

// The actions on objects.
const (
	// WatchObjects lists a kind and tells its changes until UnwatchObjects.
	WatchObjects ObjectAction = iota
	// UnwatchObjects ends WatchObjects.
	UnwatchObjects
	// PutRecord creates or updates a record on condition of its version.
	PutRecord
	// DeleteRecord removes a record on condition of its version.
	DeleteRecord
)

// ObjectCommand asks for an action on the platform's objects.
type ObjectCommand struct {
	Action ObjectAction
	Kind   ObjectKind
	// Host is whose record PutRecord and DeleteRecord are about.
	Host mesh.HostID
	// Node is what PutRecord writes.
	Node fleet.Node
	// Version is the object's, the condition; zero when it must not exist.
	Version uint64
	// SlowRetry is true for WatchObjects when nobody else waits for what is followed,
	// so that failures are retried seldom.
	SlowRetry bool
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
	// Command is what was asked, for PutRecord and DeleteRecord.
	Command ObjectCommand
	// Complete is true when Objects are all there are of the kind.
	Complete bool
	Objects  []Object
	// Revision is the platform's that Objects are complete up to.
	Revision uint64
	// Current is the object after PutRecord or as a conflict told it; its Version is
	// zero when it is not known.
	Current Object
	// Result tells how it ended.
	Result StoreResult
	// RTT is the time that the last connection to the platform took.
	RTT time.Duration
	// Err gives details when Result is not StoreDone.
	Err error
}

func sortNodes(nodes []fleet.Node) {
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.Host, b.Host) })
}

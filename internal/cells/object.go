package cells

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// ObjectKind is a kind of objects that proxies read and write in the platform.
type ObjectKind uint8

// The kinds of objects.
const (
	// VersionObjects are the operator's documents.
	VersionObjects ObjectKind = iota
	// RecordObjects are the records of the nodes.
	RecordObjects
	// RolloutObjects are the operator's orders to move a service to another release.
	RolloutObjects
)

// ObjectAction is the action of an ObjectCommand or ObjectEvent.
type ObjectAction uint8

// The actions on objects.
const (
	// WatchObjects lists the objects of a kind and reports changes until UnwatchObjects.
	WatchObjects ObjectAction = iota
	// UnwatchObjects ends WatchObjects.
	UnwatchObjects
	// PutRecord creates or updates a record if its version matches.
	PutRecord
	// DeleteRecord deletes a record if its version matches.
	DeleteRecord
	// PutStatus replaces the status of an order if its version matches.
	PutStatus
)

// ObjectCommand requests an action on the platform's objects.
type ObjectCommand struct {
	Action ObjectAction
	Kind   ObjectKind
	// Host is the host whose record PutRecord or DeleteRecord changes.
	Host mesh.HostID
	// Node is the record that PutRecord writes.
	Node fleet.Node
	// Service is the service whose order PutStatus changes, and Status what it writes.
	Service mesh.Service
	Status  shift.Status
	// Version is the expected version of the object; zero if it must not exist.
	Version uint64
	// Revision is the revision up to which the objects are known, from which WatchObjects
	// continues; zero if they must be listed first.
	Revision uint64
	// Era is the era of the store to which Version and Revision belong.
	Era uint64
	// SlowRetry makes WatchObjects retry failures at longer intervals. It is set if
	// only this proxy waits for the objects.
	SlowRetry bool
}

// Object is an object as returned by the platform.
type Object struct {
	// Name is the name of the object. The name of a record is its host.
	Name    string
	Value   []byte
	Version uint64
	// Era is the era of the store in which the object was read or written.
	Era     uint64
	Deleted bool
	// Malformed is why the object could not be decoded; nil if it was. Value is then
	// empty, and so is Name if even that could not be decoded.
	Malformed error
}

// Time returns the logical time of the last write to the object.
func (o Object) Time() mesh.StoreTime {
	return mesh.StoreTime{Era: o.Era, Revision: o.Version}
}

// ObjectEvent is a response of the platform.
type ObjectEvent struct {
	Action ObjectAction
	Kind   ObjectKind
	// Command is the command that was executed; set for PutRecord, DeleteRecord and
	// PutStatus.
	Command ObjectCommand
	// Complete is true if Objects contains all objects of the kind.
	Complete bool
	Objects  []Object
	// Revision is the platform revision up to which Objects is complete.
	Revision uint64
	// Era is the era of the store to which Objects and Revision belong; if Result is not
	// StoreDone, the highest one that the store has told.
	Era uint64
	// CalledAt is a moment before the call that this responds to; set for WatchObjects if
	// Result is StoreDone. Objects contains every change accepted before it that earlier
	// events of the kind did not report.
	CalledAt verify.Moment
	// Current is the object after the write, or the one that caused a conflict; its
	// Version is zero if it is not known.
	Current Object
	// Result is the result of the action.
	Result StoreResult
	// RTT is the time in which a connection to the platform was opened.
	RTT time.Duration
	// Err gives details if Result is not StoreDone.
	Err error
}

func sortNodes(nodes []fleet.Node) {
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.Host, b.Host) })
}

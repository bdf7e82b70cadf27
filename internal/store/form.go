package store

import (
	"net/url"
	"time"
)

// Call is one call of the object API as it is sent.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	// Body is nil for none.
	Body []byte
}

// Page is a part of a list.
type Page struct {
	// Objects are ordered by key.
	Objects []Object
	// Revision is the store's at the time of the answer.
	Revision uint64
	// More is true when the list goes on after the last object.
	More bool
}

// Refusal is what a failed call's body tells.
type Refusal struct {
	// Current is the present object of a conflict, nil when it is not told.
	Current *Object
	// Revision is the store's, zero when it is not told.
	Revision uint64
	// Reason is the store's own word.
	Reason string
}

// Form is how calls and answers of an object API are written. A Form keeps no
// state. Answers name their object by the key that was asked for.
type Form interface {
	Get(key string) Call
	// List continues after the key; empty begins.
	List(prefix, after string) Call
	Create(key string, value []byte) (Call, error)
	Update(key string, value []byte, version uint64) (Call, error)
	Delete(key string, version uint64) Call
	Watch(prefix string, from uint64, wait time.Duration) Call

	ReadObject(key string, data []byte) (Object, error)
	ReadPage(prefix string, data []byte) (Page, error)
	ReadChanges(prefix string, data []byte) (events []Event, next uint64, err error)
	// ReadRefusal reads what it can; a body that says nothing gives the zero Refusal.
	ReadRefusal(key string, data []byte) Refusal
}

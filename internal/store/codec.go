package store

import (
	"net/url"
	"time"
)

// Request is one call of the object API as it is sent.
type Request struct {
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

// ErrorDetails is what a failed call's body tells.
type ErrorDetails struct {
	// Current is the present object of a conflict, nil when it is not told.
	Current *Object
	// Revision is the store's, zero when it is not told.
	Revision uint64
	// Reason is the store's own word.
	Reason string
}

// Codec is how calls and answers of an object API are written. A Codec keeps no
// state. Answers name their object by the key that was asked for.
type Codec interface {
	Get(key string) Request
	// List continues after the key; empty begins.
	List(prefix, after string) Request
	Create(key string, value []byte) (Request, error)
	Update(key string, value []byte, version uint64) (Request, error)
	Delete(key string, version uint64) Request
	Watch(prefix string, from uint64, wait time.Duration) Request

	DecodeObject(key string, data []byte) (Object, error)
	DecodePage(prefix string, data []byte) (Page, error)
	DecodeEvents(prefix string, data []byte) (events []Event, next uint64, err error)
	// DecodeErrorDetails reads what it can; a body that says nothing gives the zero ErrorDetails.
	DecodeErrorDetails(key string, data []byte) ErrorDetails
}

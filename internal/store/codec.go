package store

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Request is an encoded HTTP request to the object API.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	// Body is nil when the request has no body.
	Body []byte
}

// Page is one page of a list response.
type Page struct {
	// Objects are sorted by key.
	Objects []Object
	// Revision is the store's revision when the server built the page.
	Revision uint64
	// More is true when further pages follow.
	More bool
	// Last is the key from which the next page continues, if it is after those of Objects:
	// the codec may leave out objects that are being deleted.
	Last string
}

// MissingMemberError means that a response lacks a member. What it would tell is not known,
// and in particular not that there is nothing.
type MissingMemberError struct {
	Member string
}

// Error implements error.
func (e *MissingMemberError) Error() string { return fmt.Sprintf("response without %q", e.Member) }

// ErrorDetails is the decoded body of an error response.
type ErrorDetails struct {
	// Current is the stored object on a conflict, nil when the response does not
	// contain it.
	Current *Object
	// Revision is the store's current revision, zero when the response does not
	// contain it.
	Revision uint64
	// Reason is the server's error message.
	Reason string
}

// Codec encodes the requests and decodes the responses of an object API. It is
// stateless. Decoded objects have the key under which they were requested.
type Codec interface {
	Get(key string) Request
	// List requests the page of objects that follows the key after; an empty
	// key requests the first page.
	List(prefix, after string) Request
	Create(key string, value []byte) (Request, error)
	Update(key string, value []byte, version uint64) (Request, error)
	// UpdateStatus replaces only the status of an object that consists of a spec and a
	// status.
	UpdateStatus(key string, status []byte, version uint64) (Request, error)
	Delete(key string, version uint64) Request
	Watch(prefix string, from uint64, wait time.Duration) Request

	// An object in a list or among events that can't be decoded doesn't fail the
	// others: it is returned with Malformed set.
	DecodeObject(key string, data []byte) (Object, error)
	DecodePage(prefix string, data []byte) (Page, error)
	DecodeEvents(prefix string, data []byte) (events []Event, next uint64, err error)
	// DecodeEra returns the era of the store from the header of a response; zero if it
	// has none.
	DecodeEra(header http.Header) (era uint64)
	// DecodeErrorDetails returns the zero ErrorDetails when the body cannot be
	// decoded.
	DecodeErrorDetails(key string, data []byte) ErrorDetails
}

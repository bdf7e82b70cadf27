package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/internal/jscan"
)

// errNoKey means that an object has no key.
var errNoKey = errors.New("object without a key")

const objectsPath = "/v1/objects"

// eraHeader is the header with the era of the store.
const eraHeader = "Object-Era"

// KeyValueCodec implements the object API in docs/PLATFORM.md, in which an
// object is a key with a value of arbitrary bytes.
type KeyValueCodec struct{}

// object is the JSON encoding of an Object.
type object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Get implements Codec.
func (KeyValueCodec) Get(key string) Request {
	return Request{Method: http.MethodGet, Path: objectPath(key)}
}

// List implements Codec.
func (KeyValueCodec) List(prefix, after string) Request {
	query := url.Values{"prefix": {prefix}}
	if after != "" {
		query.Set("after", after)
	}
	return Request{Method: http.MethodGet, Path: objectsPath, Query: query}
}

// Create implements Codec.
func (KeyValueCodec) Create(key string, value []byte) (req Request, err error) {
	body, err := json.Marshal(struct {
		Value []byte `json:"value"`
	}{nonNil(value)})
	return Request{Method: http.MethodPost, Path: objectPath(key), Body: body}, err
}

// Update implements Codec.
func (KeyValueCodec) Update(key string, value []byte, version uint64) (req Request, err error) {
	body, err := json.Marshal(struct {
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}{nonNil(value), version})
	return Request{Method: http.MethodPut, Path: objectPath(key), Body: body}, err
}

// UpdateStatus implements Codec. Objects of this API have no status.
func (KeyValueCodec) UpdateStatus(key string, _ []byte, _ uint64) (req Request, err error) {
	return req, fmt.Errorf("object %q has no status", key)
}

// Delete implements Codec.
func (KeyValueCodec) Delete(key string, version uint64) Request {
	query := url.Values{"version": {strconv.FormatUint(version, 10)}}
	return Request{Method: http.MethodDelete, Path: objectPath(key), Query: query}
}

// Watch implements Codec.
func (KeyValueCodec) Watch(prefix string, from uint64, wait time.Duration) Request {
	return Request{Method: http.MethodGet, Path: "/v1/watch", Query: url.Values{
		"prefix": {prefix}, "from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()},
	}}
}

// DecodeObject implements Codec.
func (KeyValueCodec) DecodeObject(key string, data []byte) (found Object, err error) {
	var response object
	if err = json.Unmarshal(data, &response); err != nil {
		return found, err
	}
	if response.Key != key {
		return found, fmt.Errorf("response is about another key, %q", response.Key)
	}
	return Object{Key: response.Key, Value: response.Value, Version: response.Version}, nil
}

// DecodePage implements Codec.
func (KeyValueCodec) DecodePage(prefix string, data []byte) (page Page, err error) {
	var response struct {
		Objects  json.RawMessage `json:"objects"`
		Revision *uint64         `json:"revision"`
		More     bool            `json:"more"`
	}
	if err = json.Unmarshal(data, &response); err != nil {
		return page, err
	}
	switch {
	case response.Objects == nil:
		return page, &MissingMemberError{Member: "objects"}
	case response.Revision == nil:
		return page, &MissingMemberError{Member: "revision"}
	}
	page = Page{Revision: *response.Revision, More: response.More}
	err = jscan.Array(response.Objects, func(element []byte) error {
		page.Objects = append(page.Objects, decodeElement(prefix, element, page.Revision))
		return nil
	})
	return page, err
}

// decodeElement decodes one object of a list or event. Values are encoded as strings,
// so that an element is never nested deeply.
func decodeElement(prefix string, element []byte, revision uint64) Object {
	var response object
	err := json.Unmarshal(element, &response)
	if err == nil && response.Key == "" {
		err = errNoKey
	}
	if err == nil {
		return Object{Key: response.Key, Value: response.Value, Version: response.Version}
	}
	key := cmp.Or(response.Key, prefix)
	return Object{Key: key, Version: cmp.Or(response.Version, revision), Malformed: err}
}

// DecodeEvents implements Codec.
func (KeyValueCodec) DecodeEvents(prefix string, data []byte) (events []Event, next uint64, err error) {
	var response struct {
		Events json.RawMessage `json:"events"`
		Next   *uint64         `json:"next"`
	}
	if err = json.Unmarshal(data, &response); err != nil {
		return nil, 0, err
	}
	switch {
	case response.Events == nil:
		return nil, 0, &MissingMemberError{Member: "events"}
	case response.Next == nil:
		return nil, 0, &MissingMemberError{Member: "next"}
	}
	events, next = []Event{}, *response.Next
	err = jscan.Array(response.Events, func(element []byte) error {
		events = append(events, decodeEvent(prefix, element, next))
		return nil
	})
	return events, next, err
}

// decodeEvent decodes one event. One whose kind can't be decoded is malformed.
func decodeEvent(prefix string, element []byte, revision uint64) Event {
	var body struct {
		Deleted bool `json:"deleted"`
	}
	event := Event{Object: decodeElement(prefix, element, revision)}
	if err := json.Unmarshal(element, &body); err != nil {
		event.Value, event.Malformed = nil, err
	}
	event.Deleted = body.Deleted && event.Malformed == nil
	return event
}

// DecodeEra implements Codec.
func (KeyValueCodec) DecodeEra(header http.Header) (era uint64) {
	// A header that is no number counts as missing.
	era, _ = strconv.ParseUint(header.Get(eraHeader), 10, 64)
	return era
}

// DecodeErrorDetails implements Codec.
func (KeyValueCodec) DecodeErrorDetails(_ string, data []byte) (details ErrorDetails) {
	var body struct {
		Error    string  `json:"error"`
		Current  *object `json:"current"`
		Revision uint64  `json:"revision"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		// The body is not JSON or is truncated: the caller has only the status.
		return details
	}
	details = ErrorDetails{Revision: body.Revision, Reason: body.Error}
	if body.Current != nil {
		details.Current = &Object{Key: body.Current.Key, Value: body.Current.Value, Version: body.Current.Version}
	}
	return details
}

func objectPath(key string) string {
	return objectsPath + "/" + key
}

// nonNil replaces nil by an empty slice, because JSON encodes nil as null.
func nonNil(value []byte) []byte {
	if value == nil {
		return []byte{}
	}
	return value
}

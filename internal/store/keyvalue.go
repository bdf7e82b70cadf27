package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const objectsPath = "/v1/objects"

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
	return Object(response), nil
}

// DecodePage implements Codec.
func (KeyValueCodec) DecodePage(_ string, data []byte) (page Page, err error) {
	var response struct {
		Objects  []object `json:"objects"`
		Revision uint64   `json:"revision"`
		More     bool     `json:"more"`
	}
	if err = json.Unmarshal(data, &response); err != nil {
		return page, err
	}
	page = Page{Objects: make([]Object, len(response.Objects)), Revision: response.Revision, More: response.More}
	for i, o := range response.Objects {
		page.Objects[i] = Object(o)
	}
	return page, nil
}

// DecodeEvents implements Codec.
func (KeyValueCodec) DecodeEvents(_ string, data []byte) (events []Event, next uint64, err error) {
	var response struct {
		Events []struct {
			object
			Deleted bool `json:"deleted"`
		} `json:"events"`
		Next uint64 `json:"next"`
	}
	if err = json.Unmarshal(data, &response); err != nil {
		return nil, 0, err
	}
	events = make([]Event, len(response.Events))
	for i, e := range response.Events {
		events[i] = Event{Object: Object(e.object), Deleted: e.Deleted}
	}
	return events, response.Next, nil
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
		current := Object(*body.Current)
		details.Current = &current
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

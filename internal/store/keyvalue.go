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

// KeyValueCodec is the form of docs/PLATFORM.md: objects with keys and bytes as values.
type KeyValueCodec struct{}

// object is the JSON form of an Object.
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
func (KeyValueCodec) Create(key string, value []byte) (call Request, err error) {
	body, err := json.Marshal(struct {
		Value []byte `json:"value"`
	}{notNil(value)})
	return Request{Method: http.MethodPost, Path: objectPath(key), Body: body}, err
}

// Update implements Codec.
func (KeyValueCodec) Update(key string, value []byte, version uint64) (call Request, err error) {
	body, err := json.Marshal(struct {
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}{notNil(value), version})
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
	var answer object
	if err = json.Unmarshal(data, &answer); err != nil {
		return found, err
	}
	if answer.Key != key {
		return found, fmt.Errorf("answer about %q", answer.Key)
	}
	return Object(answer), nil
}

// DecodePage implements Codec.
func (KeyValueCodec) DecodePage(_ string, data []byte) (page Page, err error) {
	var answer struct {
		Objects  []object `json:"objects"`
		Revision uint64   `json:"revision"`
		More     bool     `json:"more"`
	}
	if err = json.Unmarshal(data, &answer); err != nil {
		return page, err
	}
	page = Page{Objects: make([]Object, len(answer.Objects)), Revision: answer.Revision, More: answer.More}
	for i, o := range answer.Objects {
		page.Objects[i] = Object(o)
	}
	return page, nil
}

// DecodeEvents implements Codec.
func (KeyValueCodec) DecodeEvents(_ string, data []byte) (events []Event, next uint64, err error) {
	var answer struct {
		Events []struct {
			object
			Deleted bool `json:"deleted"`
		} `json:"events"`
		Next uint64 `json:"next"`
	}
	if err = json.Unmarshal(data, &answer); err != nil {
		return nil, 0, err
	}
	events = make([]Event, len(answer.Events))
	for i, e := range answer.Events {
		events[i] = Event{Object: Object(e.object), Deleted: e.Deleted}
	}
	return events, answer.Next, nil
}

// DecodeErrorDetails implements Codec.
func (KeyValueCodec) DecodeErrorDetails(_ string, data []byte) (refusal ErrorDetails) {
	var body struct {
		Error    string  `json:"error"`
		Current  *object `json:"current"`
		Revision uint64  `json:"revision"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		// A body that is no JSON, or cut short, leaves the status to speak alone.
		return refusal
	}
	refusal = ErrorDetails{Revision: body.Revision, Reason: body.Error}
	if body.Current != nil {
		current := Object(*body.Current)
		refusal.Current = &current
	}
	return refusal
}

func objectPath(key string) string {
	return objectsPath + "/" + key
}

// notNil lets no value be sent as null.
func notNil(value []byte) []byte {
	if value == nil {
		return []byte{}
	}
	return value
}

package objapi

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model is a reference implementation that derives everything from the list of
// all events.
type model struct {
	events []Event
}

func (m *model) get(key string) (object Object, ok bool) {
	for _, e := range slices.Backward(m.events) {
		if e.Key == key {
			return e.Object, !e.Deleted
		}
	}
	return object, false
}

func (m *model) write(key string, value []byte, version uint64, deleted bool) (err error) {
	current, ok := m.get(key)
	switch {
	case !ok && (version != 0 || deleted):
		return errNotFound
	case ok && current.Version != version:
		return errConflict
	}
	object := Object{Key: key, Value: value, Version: uint64(len(m.events)) + 1}
	m.events = append(m.events, Event{Object: object, Deleted: deleted})
	return nil
}

func (m *model) list(prefix string) (objects []Object) {
	for _, e := range m.events {
		if o, ok := m.get(e.Key); ok && o.Version == e.Version && strings.HasPrefix(e.Key, prefix) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

func (m *model) eventsSince(prefix string, from uint64) (events []Event) {
	for _, e := range m.events[from:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

// TestMemStoreMatchesModel compares memStore with the model under random calls.
func TestMemStoreMatchesModel(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a", "a/b", "a/c", "ab", "b"})
	prefixes := rapid.SampledFrom([]string{"", "a", "a/", "b", "c"})
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(r, "limit")
		got, want := &memStore{historyLimit: limit}, &model{}
		revision := func() uint64 { return uint64(len(want.events)) }
		version := func(key string) uint64 {
			if o, ok := want.get(key); ok && rapid.Bool().Draw(r, "current") {
				return o.Version
			}
			return rapid.Uint64Range(0, revision()+1).Draw(r, "version")
		}
		r.Repeat(map[string]func(*rapid.T){
			"put": func(r *rapid.T) {
				key, value := keys.Draw(r, "key"), []byte(rapid.StringN(0, 3, 9).Draw(r, "value"))
				v := version(key)
				_, err := got.put(key, value, v, time.Time{})
				assert.ErrorIs(r, err, want.write(key, value, v, false))
			},
			"remove": func(r *rapid.T) {
				key := keys.Draw(r, "key")
				v := version(key)
				_, err := got.remove(key, v, time.Time{})
				assert.ErrorIs(r, err, want.write(key, nil, v, true))
			},
			"list": func(r *rapid.T) {
				prefix := prefixes.Draw(r, "prefix")
				objects, current, more := got.list(prefix, "")
				assert.DeepEqual(r, objects, want.list(prefix))
				assert.Equal(r, current, revision())
				assert.Assert(r, !more)
			},
			"since": func(r *rapid.T) {
				prefix := prefixes.Draw(r, "prefix")
				from := rapid.Uint64Range(0, revision()).Draw(r, "from")
				events, next, _, err := got.eventsSince(prefix, from, time.Now())
				if from+uint64(limit) < revision() {
					assert.ErrorIs(r, err, errGone)
					return
				}
				assert.NilError(r, err)
				assert.Equal(r, next, revision())
				assert.DeepEqual(r, events, want.eventsSince(prefix, from))
			},
		})
	})
}

package objapi

import (
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Limits of the server, in bytes unless stated otherwise.
const (
	// MaxValueSize is the maximum size of an object's value.
	MaxValueSize = 1 << 20
	// MaxKeyLength is the maximum length of an object's key.
	MaxKeyLength = 512
	// DefaultHistoryLimit is the default of Server.HistoryLimit, in events.
	DefaultHistoryLimit = 8192

	maxHistorySize = 32 << 20
	// maxResponseSize limits the total size of the objects in one page of a
	// list, or of the events in one watch response. A single one always fits.
	maxResponseSize = 2 << 20
	// entrySize is the estimated overhead of an object or event besides its key
	// and value.
	entrySize = 64
)

// Object is a versioned key-value pair.
type Object struct {
	// Key is unique in the store.
	Key string
	// Value must not be modified.
	Value []byte
	// Version is the store-wide revision of the last write to the object.
	Version uint64
}

// Event describes a write to an object. For a deletion, Version is the revision
// of the deletion and Value is nil.
type Event struct {
	Object
	// Deleted is true when the write removed the object.
	Deleted bool
}

var (
	errNotFound = errors.New("no such object")
	errConflict = errors.New("version conflict")
	errGone     = errors.New("revision is not in the history")
)

// historyEvent is an event in the history.
type historyEvent struct {
	Event
	// visible is the earliest time at which watches may see the event.
	visible time.Time
}

// memStore is an in-memory store of objects and their recent events. It is safe
// for concurrent use.
type memStore struct {
	// historyLimit is the maximum length of history.
	historyLimit int

	mutex sync.Mutex
	// objects and all below are guarded by mutex.
	objects map[string]Object
	// keys contains the keys of objects in ascending order.
	keys []string
	// revision is the version of the last write, zero before the first write.
	revision uint64
	// era is the number of times that the store was restored from a copy.
	era uint64
	// history contains the most recent events. Their versions are consecutive
	// and end with revision.
	history []historyEvent
	// historySize is the total size of the events in history.
	historySize int
	// watchers are woken by each write of a key with their prefix.
	watchers map[*watcher]struct{}
}

// watcher is one waiting watch.
type watcher struct {
	prefix string
	// signal holds at most one wake-up.
	signal chan struct{}
}

func (o Object) size() int {
	return len(o.Key) + len(o.Value) + entrySize
}

func (s *memStore) get(key string) (object Object, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return object, errNotFound
	}
	return object, nil
}

// list returns a page of the objects whose key starts with prefix and is greater
// than after, the current revision, and whether more objects follow.
func (s *memStore) list(prefix, after string) (objects []Object, revision uint64, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := sort.SearchStrings(s.keys, prefix)
	if after != "" && after >= prefix {
		i = sort.Search(len(s.keys), func(i int) bool { return s.keys[i] > after })
	}
	size := 0
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], prefix); i++ {
		o := s.objects[s.keys[i]]
		if size += o.size(); size > maxResponseSize && len(objects) > 0 {
			return objects, s.revision, true
		}
		objects = append(objects, o)
	}
	return objects, s.revision, false
}

// put creates an object when version is zero and otherwise replaces the object
// of that version. On a conflict it returns the stored object.
func (s *memStore) put(key string, value []byte, version uint64, visible time.Time) (object Object, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, ok := s.objects[key]
	switch {
	case !ok && version != 0:
		return current, errNotFound
	case ok && current.Version != version:
		return current, errConflict
	}
	if !ok {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	object = Object{Key: key, Value: value, Version: s.revision + 1}
	if s.objects == nil {
		s.objects = make(map[string]Object)
	}
	s.objects[key] = object
	s.appendEvent(Event{Object: object}, visible)
	return object, nil
}

// remove deletes the object of that version. On a conflict it returns the stored
// object.
func (s *memStore) remove(key string, version uint64, visible time.Time) (current Object, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, ok := s.objects[key]
	switch {
	case !ok:
		return current, errNotFound
	case current.Version != version:
		return current, errConflict
	}
	delete(s.objects, key)
	i, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, i, i+1)
	deleted := Object{Key: key, Version: s.revision + 1}
	s.appendEvent(Event{Object: deleted, Deleted: true}, visible)
	return deleted, nil
}

// appendEvent appends the event to the history, drops the events over the
// limits, and wakes the watchers of the key. The caller must hold the mutex.
func (s *memStore) appendEvent(event Event, visible time.Time) {
	s.revision = event.Version
	s.history = append(s.history, historyEvent{Event: event, visible: visible})
	s.historySize += event.size()
	limit := s.historyLimit
	if limit == 0 {
		limit = DefaultHistoryLimit
	}
	drop := 0
	for len(s.history)-drop > limit || s.historySize > maxHistorySize {
		s.historySize -= s.history[drop].size()
		drop++
	}
	clear(s.history[:drop])
	s.history = s.history[drop:]
	for w := range s.watchers {
		if strings.HasPrefix(event.Key, w.prefix) {
			w.wake()
		}
	}
}

// compact discards the history and wakes all watchers.
func (s *memStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.historySize = 0
	for w := range s.watchers {
		w.wake()
	}
}

// eventsSince returns the visible events after the revision from whose key starts
// with the prefix, the revision from which to continue, and the time at which
// the next event becomes visible, zero when no event is delayed.
func (s *memStore) eventsSince(prefix string, from uint64, now time.Time) (events []Event, next uint64, nextVisible time.Time, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	oldest := s.revision - uint64(len(s.history))
	if from < oldest || from > s.revision {
		return nil, s.revision, nextVisible, errGone
	}
	next = from
	size := 0
	for _, e := range s.history[from-oldest:] {
		if e.visible.After(now) {
			return events, next, e.visible, nil
		}
		if strings.HasPrefix(e.Key, prefix) {
			if size += e.size(); size > maxResponseSize && len(events) > 0 {
				return events, next, nextVisible, nil
			}
			events = append(events, e.Event)
		}
		next = e.Version
	}
	return events, next, nextVisible, nil
}

func (s *memStore) watch(prefix string) *watcher {
	w := &watcher{prefix: prefix, signal: make(chan struct{}, 1)}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watchers == nil {
		s.watchers = make(map[*watcher]struct{})
	}
	s.watchers[w] = struct{}{}
	return w
}

func (s *memStore) unwatch(w *watcher) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.watchers, w)
}

func (s *memStore) count() (objects int, revision uint64, watchers int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.objects), s.revision, len(s.watchers)
}

func (w *watcher) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

package objapi

import (
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Limits of the stand-in, in bytes unless they say otherwise.
const (
	// MaxValueSize bounds the value of one object.
	MaxValueSize = 1 << 20
	// MaxKeyLength bounds the key of one object.
	MaxKeyLength = 512
	// DefaultHistoryLimit bounds the events that a watch can still ask for.
	DefaultHistoryLimit = 8192

	maxHistorySize = 32 << 20
	// maxAnswerSize bounds the values in one page of a list or one answer of a
	// watch; a single value always fits.
	maxAnswerSize = 2 << 20
	// entrySize is what an object or event counts besides its value and key.
	entrySize = 64
)

// Object is one stored value.
type Object struct {
	// Key is unique in the store.
	Key string
	// Value is never changed in place.
	Value []byte
	// Version is the store-wide revision of the last write to the object.
	Version uint64
}

// Event tells one write. Of a deletion, Version is the revision of the
// deletion and Value is nil.
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

// record is an event in the history.
type record struct {
	Event
	// visible is when watches may first see the event.
	visible time.Time
}

// table holds the objects and the recent events.
type table struct {
	// historyLimit bounds history, in events.
	historyLimit int

	mutex sync.Mutex
	// objects and all below are guarded by mutex.
	objects map[string]Object
	// keys holds the keys of objects in ascending order.
	keys []string
	// revision is the version of the last write, zero before the first.
	revision uint64
	// history holds the last events; their versions are consecutive and end
	// with revision.
	history []record
	// historySize sums size over history.
	historySize int
	// watchers are told of each write under their prefix.
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

func (t *table) get(key string) (object Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	object, ok := t.objects[key]
	if !ok {
		return object, errNotFound
	}
	return object, nil
}

// list returns the objects under the prefix with keys above after, and whether
// more follow.
func (t *table) list(prefix, after string) (objects []Object, revision uint64, more bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	i := sort.SearchStrings(t.keys, prefix)
	if after != "" && after >= prefix {
		i = sort.Search(len(t.keys), func(i int) bool { return t.keys[i] > after })
	}
	size := 0
	for ; i < len(t.keys) && strings.HasPrefix(t.keys[i], prefix); i++ {
		o := t.objects[t.keys[i]]
		if size += o.size(); size > maxAnswerSize && len(objects) > 0 {
			return objects, t.revision, true
		}
		objects = append(objects, o)
	}
	return objects, t.revision, false
}

// put creates the object when version is zero and else replaces the object of
// that version. On a conflict it returns the current object.
func (t *table) put(key string, value []byte, version uint64, visible time.Time) (object Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, ok := t.objects[key]
	switch {
	case !ok && version != 0:
		return current, errNotFound
	case ok && current.Version != version:
		return current, errConflict
	}
	if !ok {
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	object = Object{Key: key, Value: value, Version: t.revision + 1}
	if t.objects == nil {
		t.objects = make(map[string]Object)
	}
	t.objects[key] = object
	t.record(Event{Object: object}, visible)
	return object, nil
}

// remove deletes the object of that version. On a conflict it returns the
// current object.
func (t *table) remove(key string, version uint64, visible time.Time) (current Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, ok := t.objects[key]
	switch {
	case !ok:
		return current, errNotFound
	case current.Version != version:
		return current, errConflict
	}
	delete(t.objects, key)
	i, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, i, i+1)
	gone := Object{Key: key, Version: t.revision + 1}
	t.record(Event{Object: gone, Deleted: true}, visible)
	return gone, nil
}

// record appends the event to the history and wakes its watchers; the caller
// holds the mutex.
func (t *table) record(event Event, visible time.Time) {
	t.revision = event.Version
	t.history = append(t.history, record{Event: event, visible: visible})
	t.historySize += event.size()
	limit := t.historyLimit
	if limit == 0 {
		limit = DefaultHistoryLimit
	}
	drop := 0
	for len(t.history)-drop > limit || t.historySize > maxHistorySize {
		t.historySize -= t.history[drop].size()
		drop++
	}
	clear(t.history[:drop])
	t.history = t.history[drop:]
	for w := range t.watchers {
		if strings.HasPrefix(event.Key, w.prefix) {
			w.wake()
		}
	}
}

// compact forgets the whole history.
func (t *table) compact() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
	t.historySize = 0
	for w := range t.watchers {
		w.wake()
	}
}

// since returns the visible events under the prefix after the revision from,
// the revision to go on from, and the time at which the next event becomes
// visible, zero when none waits for that.
func (t *table) since(prefix string, from uint64, now time.Time) (events []Event, next uint64, due time.Time, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	oldest := t.revision - uint64(len(t.history))
	if from < oldest || from > t.revision {
		return nil, t.revision, due, errGone
	}
	next = from
	size := 0
	for _, r := range t.history[from-oldest:] {
		if r.visible.After(now) {
			return events, next, r.visible, nil
		}
		if strings.HasPrefix(r.Key, prefix) {
			if size += r.size(); size > maxAnswerSize && len(events) > 0 {
				return events, next, due, nil
			}
			events = append(events, r.Event)
		}
		next = r.Version
	}
	return events, next, due, nil
}

func (t *table) watch(prefix string) *watcher {
	w := &watcher{prefix: prefix, signal: make(chan struct{}, 1)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.watchers == nil {
		t.watchers = make(map[*watcher]struct{})
	}
	t.watchers[w] = struct{}{}
	return w
}

func (t *table) unwatch(w *watcher) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.watchers, w)
}

func (t *table) count() (objects int, revision uint64, watchers int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.objects), t.revision, len(t.watchers)
}

func (w *watcher) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// pageItems is the number of items in a page of a list.
const pageItems = 500

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Addr string

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object // by kind and name
	history []event
	// floor is the revision up to which the history is gone.
	floor   uint64
	changed chan struct{}
	// era is the number of times that the store came back from a copy.
	era    uint64
	away   bool
	copies []storeCopy
	// servers are those of the addresses at which the store answers.
	servers map[string]*http.Server
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

type event struct {
	rev     uint64
	kind    string
	Deleted bool            `json:"deleted"`
	Object  json.RawMessage `json:"object"`
}

// storeCopy is the state of the store at a time.
type storeCopy struct {
	at      time.Time
	rev     uint64
	objects map[string]map[string]*object
}

func newStore() *Store {
	s := &Store{rev: 100, floor: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), servers: map[string]*http.Server{}}
	s.Addr = s.listen()
	return s
}

// listen makes the store answer at one more address, which it returns.
func (s *Store) listen() (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.servers[address] = server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return address
}

// closeListener makes the store leave an address.
func (s *Store) closeListener(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.servers[address].Close()
}

// record adds a change to the history. The mutex must be held.
func (s *Store) record(kind string, o *object, deleted bool) {
	data, err := json.Marshal(o)
	must(err)
	s.history = append(s.history, event{rev: s.rev, kind: kind, Deleted: deleted, Object: data})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object as the operator does, without a condition.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	o := s.objects[kind][name]
	if o == nil {
		o = s.add(kind, &object{Metadata: metadata{Name: name, Created: s.rev}})
	}
	o.Spec, o.Metadata.Revision = data, s.rev
	s.record(kind, o, false)
}

// add adds an object. The mutex must be held.
func (s *Store) add(kind string, o *object) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	return o
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return string(o.Status)
	}
	return ""
}

// SetAway makes the store answer no call, or answer again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// keepCopies takes a copy every 250 ms.
func (s *Store) keepCopies() {
	for ; ; time.Sleep(250 * time.Millisecond) {
		s.mu.Lock()
		c := storeCopy{at: time.Now(), rev: s.rev, objects: map[string]map[string]*object{}}
		for kind, byName := range s.objects {
			c.objects[kind] = map[string]*object{}
			for name, o := range byName {
				copied := *o
				c.objects[kind][name] = &copied
			}
		}
		s.copies = append(s.copies, c)
		s.mu.Unlock()
	}
}

// Restore brings the store back from the latest copy that is at least that old.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.copies) {
		if time.Since(c.at) < age {
			continue
		}
		s.objects, s.rev, s.floor, s.history = c.objects, c.rev, c.rev, nil
		s.era++
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	cannotRun("no copy is %v old", age)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil || len(parts) < 2 || parts[0] != "objects":
		send(w, http.StatusNotFound, nil)
	case len(parts) == 2 && r.Method == http.MethodPost:
		s.create(w, parts[1], body)
	case len(parts) == 2 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[1])
	case len(parts) == 2:
		s.list(w, r, parts[1])
	default:
		s.one(w, r, parts[1], parts[2], len(parts) == 4, body)
	}
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) create(w http.ResponseWriter, kind string, body []byte) {
	var o object
	if err := json.Unmarshal(body, &o); err != nil || o.Metadata.Name == "" {
		send(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[kind][o.Metadata.Name]; old != nil {
		send(w, http.StatusConflict, old)
		return
	}
	s.rev++
	o.Metadata.Revision, o.Metadata.Created = s.rev, s.rev
	s.record(kind, s.add(kind, &o), false)
	send(w, http.StatusCreated, &o)
}

// one reads or changes one object.
func (s *Store) one(w http.ResponseWriter, r *http.Request, kind, name string, status bool, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	if old == nil {
		send(w, http.StatusNotFound, nil)
		return
	}
	var next object
	if len(body) > 0 && json.Unmarshal(body, &next) != nil {
		send(w, http.StatusBadRequest, nil)
		return
	}
	expected := next.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method != http.MethodGet && expected != 0 && expected != old.Metadata.Revision {
		send(w, http.StatusConflict, old)
		return
	}
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		s.rev++
		if status {
			old.Status = next.Status
		} else {
			old.Spec, old.Metadata.Finalizers = next.Spec, next.Metadata.Finalizers
		}
		old.Metadata.Revision = s.rev
		s.record(kind, old, false)
	case http.MethodDelete:
		s.rev++
		delete(s.objects[kind], name)
		old.Metadata.Revision = s.rev
		s.record(kind, old, true)
	}
	send(w, http.StatusOK, old)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.objects[kind])), func(n string) bool { return n <= after })
	page := names[:min(len(names), pageItems)]
	items := []*object{}
	for _, n := range page {
		items = append(items, s.objects[kind][n])
	}
	send(w, http.StatusOK, map[string]any{"items": items, "has_more": len(page) < len(names), "at": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		away, gone := s.away, from < s.floor || from > s.rev
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > from {
				events = append(events, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		switch {
		case away:
			// A watch that waits is cut off.
			panic(http.ErrAbortHandler)
		case gone:
			send(w, http.StatusGone, nil)
			return
		case len(events) > 0 || !waiting:
			send(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

// event is a change of an object.
type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store plays the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]object
	events   []event
	changed  chan struct{}
	listener net.Listener
	// silent is true while the store answers nothing.
	silent atomic.Bool
}

func startStore() (s *store, err error) {
	s = &store{revision: 100, objects: make(map[string]object), changed: make(chan struct{})}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(s.listener, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, found := s.objects[kind+"/"+name]
	if !found {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed := s.eventsSince(kind, from)
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsSince(kind string, from uint64) (events []event, at uint64, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > from {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent)
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	wanted := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, found := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && found, found && wanted != 0 && wanted != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !found:
		answer(w, http.StatusNotFound, struct{}{})
	default:
		answer(w, http.StatusOK, s.apply(kind, name, old, sent, r.Method == http.MethodDelete, isStatus))
	}
}

// apply changes one object. The mutex must be held.
func (s *store) apply(kind, name string, old, sent object, deleted, isStatus bool) object {
	s.revision++
	next := old
	next.Metadata.Name, next.Metadata.Revision = name, s.revision
	if next.Metadata.Created == 0 {
		next.Metadata.Created, next.Metadata.Finalizers = s.revision, []string{}
	}
	switch {
	case deleted:
		delete(s.objects, kind+"/"+name)
	case isStatus:
		next.Status = sent.Status
	default:
		next.Spec = sent.Spec
	}
	if !deleted {
		s.objects[kind+"/"+name] = next
	}
	s.events = append(s.events, event{kind: kind, Object: next, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return next
}

// put writes an object as the operator.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(kind, name, s.objects[kind+"/"+name], object{Spec: data}, false, false)
}

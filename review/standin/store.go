package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md). It keeps its whole
// history and has no faults.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	address  string
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	revision uint64
	kind     string
	deleted  bool
	object   object
}

func newStore() *store {
	s := &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.list)
	mux.HandleFunc("POST /objects/{kind}", s.create)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// apply stores an object, or removes it, and wakes the watches. The mutex must be held.
func (s *store) apply(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{s.revision, kind, deleted, o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// write stores an object as the operator does.
func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.apply(kind, o, false)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if from := r.URL.Query().Get("watch"); from != "" {
		s.watch(w, r, kind, from)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	start, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > start {
				events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o, found := s.objects[r.PathValue("kind")][r.PathValue("name")]; found {
		reply(w, http.StatusOK, o)
		return
	}
	reply(w, http.StatusNotFound, struct{}{})
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind := r.PathValue("kind")
	if old, found := s.objects[kind][o.Metadata.Name]; found {
		reply(w, http.StatusConflict, old)
		return
	}
	o.Metadata.Revision, o.Metadata.Created = 0, 0
	reply(w, http.StatusCreated, s.apply(kind, o, false))
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	old, found := s.objects[kind][name]
	switch {
	case !found:
		reply(w, http.StatusNotFound, struct{}{})
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case string(o.Spec) == string(old.Spec):
		reply(w, http.StatusOK, old)
	default:
		old.Spec = o.Spec
		reply(w, http.StatusOK, s.apply(kind, old, false))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	old, found := s.objects[kind][name]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !found:
		reply(w, http.StatusNotFound, struct{}{})
	case revision != 0 && revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		s.apply(kind, old, true)
		reply(w, http.StatusOK, struct{}{})
	}
}

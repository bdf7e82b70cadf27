package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/store"
	customer "arbutusstep.example/arbutusstep/platform"
)

// platform serves the object API that proxies use. The objects are those of a server
// of package objapi, which also injects the faults of the store; the nodes' links add
// those of the network.
type platform struct {
	objects *objapi.Server
	client  *store.Client
	server  *http.Server
	address string
}

// objectJSON is the JSON encoding of an object.
type objectJSON struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision,omitempty"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

func encodeObject(o store.Object) (encoded objectJSON) {
	kind, name, _ := strings.Cut(o.Key, "/")
	if kind == "rollouts" {
		encoded = decodeRollout(o.Value)
	} else {
		encoded.Spec = o.Value
	}
	encoded.Metadata.Name, encoded.Metadata.Revision = name, o.Version
	return encoded
}

func newPlatform(t *testing.T) *platform {
	p := &platform{objects: new(objapi.Server)}
	assert.NilError(t, p.objects.Start(anyPort))
	t.Cleanup(func() { assert.NilError(t, p.objects.Stop(context.Background())) })
	p.client = store.New(store.Options{
		Address: p.objects.Addr(), Host: "platform", WatchWait: time.Second, Timeout: 10 * time.Second,
		RateLimiter: &store.RateLimiter{Rate: 1e6, Burst: 1e6},
	})
	t.Cleanup(p.client.Close)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", p.list)
	mux.HandleFunc("POST /objects/{kind}", p.create)
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.update)
	mux.HandleFunc("PUT /objects/{kind}/{name}/status", p.updateStatus)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.remove)
	p.server, p.address = serveHTTP(t, "127.0.0.1:0", mux)
	return p
}

func objectKey(r *http.Request) string {
	return r.PathValue("kind") + "/" + r.PathValue("name")
}

// respond runs a call to the store and writes its result with the store's era. A call
// during which the store was restored is made again.
func (p *platform) respond(w http.ResponseWriter, r *http.Request, run func(ctx context.Context) (value any, err error)) {
	for {
		era := p.client.Era()
		value, err := run(store.WithEra(r.Context(), era))
		if errors.Is(err, store.ErrNewEra) && !errors.Is(err, store.ErrOutcomeUnknown) && p.client.Era() > era {
			continue
		}
		if era > 0 {
			w.Header().Set(customer.EraHeader, strconv.FormatUint(era, 10))
		}
		writeResult(w, value, err)
		return
	}
}

// writeResult writes the value, or the status that matches the store's error.
func writeResult(w http.ResponseWriter, value any, err error) {
	var conflict *store.ConflictError
	status := http.StatusOK
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, value = http.StatusConflict, encodeObject(conflict.Current)
	case errors.Is(err, store.ErrNotFound):
		status, value = http.StatusNotFound, struct{}{}
	case errors.Is(err, store.ErrGone):
		status, value = http.StatusGone, struct{}{}
	case errors.Is(err, store.ErrUnavailable):
		status, value = http.StatusServiceUnavailable, struct{}{}
	default:
		// The outcome of the write is unknown, so the connection is aborted to leave
		// it unknown to the caller too.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("kind") + "/"
	if from := r.URL.Query().Get("watch"); from != "" {
		p.watch(w, r, prefix, from)
		return
	}
	p.respond(w, r, func(ctx context.Context) (any, error) {
		found, revision, err := p.client.List(ctx, prefix)
		answer := struct {
			Items []objectJSON `json:"items"`
			At    uint64       `json:"at"`
		}{At: revision}
		for _, o := range found {
			answer.Items = append(answer.Items, encodeObject(o))
		}
		return answer, err
	})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request, prefix, from string) {
	revision, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type event struct {
		Deleted bool       `json:"deleted"`
		Object  objectJSON `json:"object"`
	}
	p.respond(w, r, func(ctx context.Context) (any, error) {
		events, next, err := p.client.Watch(ctx, prefix, revision)
		answer := struct {
			Events []event `json:"events"`
			At     uint64  `json:"at"`
		}{Events: []event{}, At: next}
		for _, e := range events {
			answer.Events = append(answer.Events, event{Deleted: e.Deleted, Object: encodeObject(e.Object)})
		}
		return answer, err
	})
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.respond(w, r, func(ctx context.Context) (any, error) {
		found, err := p.client.Get(ctx, objectKey(r))
		return encodeObject(found), err
	})
}

func (p *platform) create(w http.ResponseWriter, r *http.Request) {
	var body objectJSON
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.respond(w, r, func(ctx context.Context) (any, error) {
		created, err := p.client.Create(ctx, r.PathValue("kind")+"/"+body.Metadata.Name, body.Spec)
		return encodeObject(created), err
	})
}

func (p *platform) update(w http.ResponseWriter, r *http.Request) {
	var body objectJSON
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.respond(w, r, func(ctx context.Context) (any, error) {
		updated, err := p.client.Update(ctx, objectKey(r), body.Spec, body.Metadata.Revision)
		return encodeObject(updated), err
	})
}

func (p *platform) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.respond(w, r, func(ctx context.Context) (any, error) {
		return struct{}{}, p.client.Delete(ctx, objectKey(r), revision)
	})
}

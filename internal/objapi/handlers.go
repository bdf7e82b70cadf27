package objapi

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"arbutusstep.example/arbutusstep/internal/pause"
)

// object is the JSON encoding of an Object.
type object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
	// Current is the stored object on a conflict.
	Current *object `json:"current,omitempty"`
	// Revision is the store's revision when the requested one is gone.
	Revision uint64 `json:"revision,omitempty"`
}

// handler processes one call. It returns false when the connection must be
// closed without a response.
type handler func(ctx context.Context, rc *app.RequestContext) (respond bool)

func (s *Server) registerRoutes(stopping context.Context, engine *server.Hertz) {
	engine.GET("/v1/objects", s.handle(stopping, kindList, s.list))
	engine.GET("/v1/objects/*key", s.handle(stopping, kindGet, s.get))
	engine.POST("/v1/objects/*key", s.handle(stopping, kindCreate, s.write(false)))
	engine.PUT("/v1/objects/*key", s.handle(stopping, kindUpdate, s.write(true)))
	engine.DELETE("/v1/objects/*key", s.handle(stopping, kindDelete, s.delete))
	engine.GET("/v1/watch", s.handle(stopping, kindWatch, s.watch))
	engine.GET("/v1/stats", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, s.Stats())
	})
	engine.GET("/v1/faults", s.getFaults)
	engine.PUT("/v1/faults", s.putFaults)
	engine.POST("/v1/restore", s.postRestore)
	engine.POST("/v1/compact", func(_ context.Context, rc *app.RequestContext) {
		s.Compact()
		rc.SetStatusCode(consts.StatusNoContent)
	})
}

// handle wraps a handler: it counts the call, applies the faults that affect
// every call, and cancels the context when the client disconnects or the server
// stops.
func (s *Server) handle(stopping context.Context, k callKind, h handler) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		detach := context.AfterFunc(stopping, cancel)
		defer detach()
		s.calls.add(k, time.Now())
		setEra(rc, s.store.currentEra())
		if !s.admit(ctx, k, rc) || rc.Response.StatusCode() != consts.StatusOK {
			return
		}
		respond := s.runInEra(ctx, rc, h)
		if respond && k.isWrite() && rc.Response.StatusCode() == consts.StatusOK && s.faults.takeLostResponse() {
			s.calls.increment(&s.calls.lostResponses)
			respond = false
		}
		if !respond {
			dropConnection(rc)
		}
	}
}

// admit applies the latency, outage and rate limits. It returns false when the
// connection was dropped. When the call was rejected it returns true and the
// response has an error status.
func (s *Server) admit(ctx context.Context, k callKind, rc *app.RequestContext) bool {
	faults, _, _ := s.faults.get()
	if pause.For(ctx, faults.Latency) != nil {
		dropConnection(rc)
		return false
	}
	if !s.checkOutage(rc) {
		dropConnection(rc)
		return false
	}
	if rc.Response.StatusCode() == consts.StatusOK && !s.faults.allow(k.isWrite()) {
		s.calls.increment(&s.calls.rateLimited)
		rc.Header("Retry-After", "1")
		rc.JSON(consts.StatusTooManyRequests, errorBody{Error: "rate exceeded"})
	}
	return true
}

// checkOutage rejects the call with 503 during an OutageRefuse. It returns false
// when the connection must be dropped.
func (s *Server) checkOutage(rc *app.RequestContext) bool {
	faults, _, _ := s.faults.get()
	switch faults.Outage {
	case OutageDrop:
		s.calls.increment(&s.calls.failedByOutage)
		return false
	case OutageRefuse:
		s.calls.increment(&s.calls.failedByOutage)
		rc.JSON(consts.StatusServiceUnavailable, errorBody{Error: "down"})
	}
	return true
}

// dropConnection closes the connection without a response.
func dropConnection(rc *app.RequestContext) {
	rc.Response.HijackWriter(discardWriter{})
	rc.SetConnectionClose()
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{}

// Write implements network.ExtWriter.
func (discardWriter) Write(data []byte) (n int, err error) { return len(data), nil }

// Flush implements network.ExtWriter.
func (discardWriter) Flush() (err error) { return nil }

// Finalize implements network.ExtWriter.
func (discardWriter) Finalize() (err error) { return nil }

// key returns the key in the path. It responds with 400 and returns false when
// the key is malformed.
func key(rc *app.RequestContext) (key string, ok bool) {
	key = strings.TrimPrefix(rc.Param("key"), "/")
	if err := validateKey(key); err != nil {
		badRequest(rc, err)
		return key, false
	}
	return key, true
}

func badRequest(rc *app.RequestContext, err error) {
	rc.JSON(consts.StatusBadRequest, errorBody{Error: err.Error()})
}

func (s *Server) get(_ context.Context, rc *app.RequestContext) (respond bool) {
	key, ok := key(rc)
	if !ok {
		return true
	}
	o, err := s.store.get(key)
	s.respond(rc, o, err)
	return true
}

func (s *Server) list(_ context.Context, rc *app.RequestContext) (respond bool) {
	prefix, after := rc.Query("prefix"), rc.Query("after")
	if err := errors.Join(validatePrefix(prefix), validatePrefix(after)); err != nil {
		badRequest(rc, err)
		return true
	}
	found, revision, more := s.store.list(prefix, after)
	objects := make([]object, len(found))
	for i, o := range found {
		objects[i] = object(o)
	}
	rc.JSON(consts.StatusOK, struct {
		Objects  []object `json:"objects"`
		Revision uint64   `json:"revision"`
		More     bool     `json:"more"`
	}{objects, revision, more})
	return true
}

func (s *Server) write(update bool) handler {
	return func(_ context.Context, rc *app.RequestContext) (respond bool) {
		key, ok := key(rc)
		if !ok {
			return true
		}
		value, version, err := decodeWrite(rc.Request.Body(), update)
		if errors.Is(err, errTooLarge) {
			rc.JSON(consts.StatusRequestEntityTooLarge, errorBody{Error: err.Error()})
			return true
		}
		if err != nil {
			badRequest(rc, err)
			return true
		}
		o, err := s.store.put(key, value, version, s.eventVisibleAt())
		s.respond(rc, o, err)
		return true
	}
}

func (s *Server) delete(_ context.Context, rc *app.RequestContext) (respond bool) {
	key, ok := key(rc)
	if !ok {
		return true
	}
	version, err := decodeVersion(rc.Query("version"))
	if err == nil && version == 0 {
		err = errors.New("a delete needs a version")
	}
	if err != nil {
		badRequest(rc, err)
		return true
	}
	o, err := s.store.remove(key, version, s.eventVisibleAt())
	s.respond(rc, o, err)
	return true
}

// eventVisibleAt returns when watches may see the event of a write made now.
func (s *Server) eventVisibleAt() time.Time {
	faults, _, _ := s.faults.get()
	return time.Now().Add(faults.EventDelay)
}

// respond sends the object, or the error and, on a conflict, the stored object.
func (s *Server) respond(rc *app.RequestContext, o Object, err error) {
	body := object(o)
	switch {
	case errors.Is(err, errNotFound):
		rc.JSON(consts.StatusNotFound, errorBody{Error: err.Error()})
	case errors.Is(err, errConflict):
		rc.JSON(consts.StatusConflict, errorBody{Error: err.Error(), Current: &body})
	default:
		rc.JSON(consts.StatusOK, body)
	}
}

func (s *Server) getFaults(_ context.Context, rc *app.RequestContext) {
	rc.JSON(consts.StatusOK, encodeFaults(s.Faults()))
}

func (s *Server) putFaults(_ context.Context, rc *app.RequestContext) {
	faults, err := decodeFaults(rc.Request.Body())
	if err != nil {
		badRequest(rc, err)
		return
	}
	s.faults.set(faults)
	rc.JSON(consts.StatusOK, encodeFaults(faults))
}

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

// object is the JSON form of an Object.
type object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// failure is the JSON form of an error.
type failure struct {
	Error string `json:"error"`
	// Current is the present object on a conflict.
	Current *object `json:"current,omitempty"`
	// Revision is the store's revision when the asked one is gone.
	Revision uint64 `json:"revision,omitempty"`
}

// call carries out one call; it returns false when the connection is to be
// closed without an answer.
type call func(ctx context.Context, rc *app.RequestContext) (answer bool)

func (s *Server) route(stopping context.Context, engine *server.Hertz) {
	engine.GET("/v1/objects", s.handle(stopping, kindList, s.list))
	engine.GET("/v1/objects/*key", s.handle(stopping, kindGet, s.get))
	engine.POST("/v1/objects/*key", s.handle(stopping, kindCreate, s.write(false)))
	engine.PUT("/v1/objects/*key", s.handle(stopping, kindUpdate, s.write(true)))
	engine.DELETE("/v1/objects/*key", s.handle(stopping, kindDelete, s.remove))
	engine.GET("/v1/watch", s.handle(stopping, kindWatch, s.watch))
	engine.GET("/v1/stats", func(_ context.Context, rc *app.RequestContext) {
		rc.JSON(consts.StatusOK, s.Stats())
	})
	engine.GET("/v1/faults", s.getFaults)
	engine.PUT("/v1/faults", s.putFaults)
	engine.POST("/v1/compact", func(_ context.Context, rc *app.RequestContext) {
		s.Compact()
		rc.SetStatusCode(consts.StatusNoContent)
	})
}

// handle counts the call, applies the faults that hold for every call, and
// lets the call end when the client leaves or the server stops.
func (s *Server) handle(stopping context.Context, k kind, c call) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		detach := context.AfterFunc(stopping, cancel)
		defer detach()
		s.calls.add(k, time.Now())
		if !s.admit(ctx, k, rc) || rc.Response.StatusCode() != consts.StatusOK {
			return
		}
		answer := c(ctx, rc)
		if answer && k.write() && rc.Response.StatusCode() == consts.StatusOK && s.faults.loseAnswer() {
			s.calls.bump(&s.calls.lostReply)
			answer = false
		}
		if !answer {
			drop(rc)
		}
	}
}

// admit applies latency, outages and rates. It returns false when the call is
// dropped; a refused call has its status set.
func (s *Server) admit(ctx context.Context, k kind, rc *app.RequestContext) bool {
	faults, _, _ := s.faults.get()
	if pause.For(ctx, faults.Latency) != nil {
		drop(rc)
		return false
	}
	if !s.checkDown(rc) {
		drop(rc)
		return false
	}
	if rc.Response.StatusCode() == consts.StatusOK && !s.faults.allow(k.write()) {
		s.calls.bump(&s.calls.rate)
		rc.Header("Retry-After", "1")
		rc.JSON(consts.StatusTooManyRequests, failure{Error: "rate exceeded"})
	}
	return true
}

// checkDown refuses the call while the server is down. It returns false when
// the call is to be dropped.
func (s *Server) checkDown(rc *app.RequestContext) bool {
	faults, _, _ := s.faults.get()
	switch faults.Outage {
	case OutageDrop:
		s.calls.bump(&s.calls.down)
		return false
	case OutageRefuse:
		s.calls.bump(&s.calls.down)
		rc.JSON(consts.StatusServiceUnavailable, failure{Error: "down"})
	}
	return true
}

// drop closes the connection in place of an answer.
func drop(rc *app.RequestContext) {
	rc.Response.HijackWriter(silence{})
	rc.SetConnectionClose()
}

// silence is a writer of answers that writes none.
type silence struct{}

// Write implements network.ExtWriter.
func (silence) Write(data []byte) (n int, err error) { return len(data), nil }

// Flush implements network.ExtWriter.
func (silence) Flush() (err error) { return nil }

// Finalize implements network.ExtWriter.
func (silence) Finalize() (err error) { return nil }

// key returns the key in the path, and answers when it is malformed.
func key(rc *app.RequestContext) (key string, ok bool) {
	key = strings.TrimPrefix(rc.Param("key"), "/")
	if err := checkKey(key); err != nil {
		refuse(rc, err)
		return key, false
	}
	return key, true
}

func refuse(rc *app.RequestContext, err error) {
	rc.JSON(consts.StatusBadRequest, failure{Error: err.Error()})
}

func (s *Server) get(_ context.Context, rc *app.RequestContext) (answer bool) {
	key, ok := key(rc)
	if !ok {
		return true
	}
	o, err := s.table.get(key)
	s.reply(rc, o, err)
	return true
}

func (s *Server) list(_ context.Context, rc *app.RequestContext) (answer bool) {
	prefix, after := rc.Query("prefix"), rc.Query("after")
	if err := errors.Join(checkPrefix(prefix), checkPrefix(after)); err != nil {
		refuse(rc, err)
		return true
	}
	found, revision, more := s.table.list(prefix, after)
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

func (s *Server) write(update bool) call {
	return func(_ context.Context, rc *app.RequestContext) (answer bool) {
		key, ok := key(rc)
		if !ok {
			return true
		}
		value, version, err := decodeWrite(rc.Request.Body(), update)
		if errors.Is(err, errTooLarge) {
			rc.JSON(consts.StatusRequestEntityTooLarge, failure{Error: err.Error()})
			return true
		}
		if err != nil {
			refuse(rc, err)
			return true
		}
		o, err := s.table.put(key, value, version, s.visible())
		s.reply(rc, o, err)
		return true
	}
}

func (s *Server) remove(_ context.Context, rc *app.RequestContext) (answer bool) {
	key, ok := key(rc)
	if !ok {
		return true
	}
	version, err := decodeVersion(rc.Query("version"))
	if err == nil && version == 0 {
		err = errors.New("a delete needs a version")
	}
	if err != nil {
		refuse(rc, err)
		return true
	}
	o, err := s.table.remove(key, version, s.visible())
	s.reply(rc, o, err)
	return true
}

// visible returns when watches may see a write of now.
func (s *Server) visible() time.Time {
	faults, _, _ := s.faults.get()
	return time.Now().Add(faults.EventDelay)
}

// reply answers with the object, or with the error and, on a conflict, the
// current object.
func (s *Server) reply(rc *app.RequestContext, o Object, err error) {
	form := object(o)
	switch {
	case errors.Is(err, errNotFound):
		rc.JSON(consts.StatusNotFound, failure{Error: err.Error()})
	case errors.Is(err, errConflict):
		rc.JSON(consts.StatusConflict, failure{Error: err.Error(), Current: &form})
	default:
		rc.JSON(consts.StatusOK, form)
	}
}

func (s *Server) getFaults(_ context.Context, rc *app.RequestContext) {
	rc.JSON(consts.StatusOK, encodeFaults(s.Faults()))
}

func (s *Server) putFaults(_ context.Context, rc *app.RequestContext) {
	faults, err := decodeFaults(rc.Request.Body())
	if err != nil {
		refuse(rc, err)
		return
	}
	s.faults.set(faults)
	rc.JSON(consts.StatusOK, encodeFaults(faults))
}

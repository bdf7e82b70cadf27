package serve

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"arbutusstep.example/arbutusstep/pkg/silent"
)

// errSilent means that the upstream sent no byte of a response while it answered other
// requests.
var errSilent = errors.New("no response while other requests were answered")

// occupancy adds the system clock, locking and timers to a silent.Tracker, and tells the
// gate how many slots must not be used. It is off while the target has no slots.
type occupancy struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	handler *Handler
	tracker silent.Tracker
	// address and instance are those of the tracked upstream, and slots is its number of
	// slots.
	address, instance string
	slots             int
	// held is what the gate was last told.
	held int
	// limited is what OnLimited was last told.
	limited bool
	// timer calls update when held may fall; nil until it is first needed.
	timer *time.Timer
}

// setTarget starts with another upstream, or changes the slots of the same one. While
// there is no upstream, calls may still run at the last one, which may come back.
func (o *occupancy) setTarget(handler *Handler, target Target) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.handler = handler
	address := target.Address.String()
	switch {
	case !target.Address.IsValid():
		return
	case address != o.address || target.Instance != o.instance:
		o.tracker.Reset(target.Slots, target.InheritedUntil)
	case target.Slots != o.slots:
		o.tracker.Resize(target.Slots)
	}
	o.address, o.instance, o.slots = address, target.Instance, target.Slots
	o.updateLocked(time.Now())
}

// updateLocked tells the gate how many slots are held, and sets the timer. The mutex must
// be held.
func (o *occupancy) updateLocked(now time.Time) {
	held, next := o.tracker.Held(now)
	if held != o.held {
		o.held = held
		o.handler.Gate.Hold(held)
	}
	if limited := o.tracker.Limited(); limited != o.limited {
		o.limited = limited
		if o.handler.OnLimited != nil {
			o.handler.OnLimited(limited, o.tracker.Limit())
		}
	}
	switch {
	case next.IsZero() && o.timer != nil:
		o.timer.Stop()
	case next.IsZero():
	case o.timer == nil:
		o.timer = time.AfterFunc(next.Sub(now), o.update)
	default:
		o.timer.Reset(next.Sub(now))
	}
}

func (o *occupancy) update() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.updateLocked(time.Now())
}

// load returns the number of slots that are held, and the number of requests that the
// upstream gets at once.
func (o *occupancy) load() (held, limit int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.held, o.tracker.Limit()
}

// tracked is one request that the occupancy tracks.
type tracked struct {
	occupancy *occupancy
	conn      *conn
	// The fields below are guarded by the mutex of the occupancy.
	request silent.Request
	// timer checks whether the request is to be given up; nil if it never is.
	timer *time.Timer
	// answered is true once the response has begun, ended once the exchange has ended,
	// and givenUp once the connection was closed because of the silence.
	answered, ended, givenUp bool
}

// begin records that a request is sent on the connection.
func (o *occupancy) begin(c *conn, request silent.Request) (t *tracked) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.slots == 0 {
		return nil
	}
	t = &tracked{occupancy: o, conn: c, request: request}
	now := time.Now()
	o.tracker.Begin(now, &t.request)
	if _, next := o.tracker.Check(now, &t.request); !next.IsZero() {
		t.timer = time.AfterFunc(next.Sub(now), t.check)
	}
	return t
}

// check gives the request up if the upstream is silent.
func (t *tracked) check() {
	t.occupancy.mutex.Lock()
	defer t.occupancy.mutex.Unlock()
	if t.answered || t.ended || t.conn.received.Load() {
		return
	}
	now := time.Now()
	giveUp, next := t.occupancy.tracker.Check(now, &t.request)
	switch {
	case giveUp:
		t.givenUp = true
		_ = t.conn.SetDeadline(pastDeadline)
	case !next.IsZero():
		t.timer.Reset(next.Sub(now))
	default:
		t.occupancy.updateLocked(now)
	}
}

// begun records that the response has begun. It fails if the request was given up just
// before, because the connection was closed then.
func (t *tracked) begun() (err error) {
	if t == nil {
		return nil
	}
	t.occupancy.mutex.Lock()
	defer t.occupancy.mutex.Unlock()
	if t.givenUp {
		return errSilent
	}
	t.answered = true
	t.stopTimer()
	now := time.Now()
	t.occupancy.tracker.Answered(now, &t.request)
	t.occupancy.updateLocked(now)
	return nil
}

// end records how the request ended. Only the first call has an effect.
func (t *tracked) end(end silent.End) {
	if t == nil {
		return
	}
	t.occupancy.mutex.Lock()
	defer t.occupancy.mutex.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.stopTimer()
	now := time.Now()
	t.occupancy.tracker.End(now, &t.request, end)
	t.occupancy.updateLocked(now)
}

func (t *tracked) stopTimer() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// failed records the failure of the exchange before its response, and returns the error
// that states the reason. sent is true if any part of the request may have been sent.
func (t *tracked) failed(ctx context.Context, sent bool, err error) error {
	if t == nil {
		return err
	}
	end := silent.Left
	switch {
	case t.isGivenUp() && ctx.Err() == nil:
		end, err = silent.Silent, errSilent
		t.occupancy.handler.counters.Silent.Add(1)
	case !sent:
		end = silent.Complete
	case ctx.Err() == nil && !t.conn.received.Load() && isClosedByUpstream(err):
		end = silent.Reset
		t.occupancy.handler.counters.Reset.Add(1)
	}
	t.end(end)
	return err
}

func (t *tracked) isGivenUp() bool {
	t.occupancy.mutex.Lock()
	defer t.occupancy.mutex.Unlock()
	return t.givenUp
}

// isClosedByUpstream reports whether the upstream closed the connection.
func isClosedByUpstream(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// BeginCheck records that a health check is sent to the upstream, which occupies a slot.
// The returned function must be called when it has ended.
func (h *Handler) BeginCheck() (end func(answered bool)) {
	h.occupancy.mutex.Lock()
	defer h.occupancy.mutex.Unlock()
	h.occupancy.handler = h
	h.occupancy.tracker.BeginCheck()
	h.occupancy.updateLocked(time.Now())
	return func(answered bool) {
		h.occupancy.mutex.Lock()
		defer h.occupancy.mutex.Unlock()
		now := time.Now()
		h.occupancy.tracker.EndCheck(now, answered)
		h.occupancy.updateLocked(now)
	}
}

// Held returns the number of slots that are held for requests which may still run at the
// upstream, and the number of requests that it gets at once; zero if it is not tracked.
func (h *Handler) Held() (held, limit int) {
	return h.occupancy.load()
}

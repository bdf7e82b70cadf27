// Package silent decides, without I/O, how an upstream is treated that may not answer
// when it is full: how many requests may still run there without anybody waiting for
// them, when a request without a response is given up, and how many requests such an
// upstream gets until it answers again.
package silent

import "time"

const (
	// maxLinger limits the time for which a request that nobody waits for any more is
	// assumed to run, and defaultLinger is that time for a class without samples.
	maxLinger     = time.Second
	defaultLinger = 250 * time.Millisecond
	// unqueuedFactor is the service time, in multiples of the typical one, up to which a
	// request cannot have waited at the upstream for a whole service time.
	unqueuedFactor = 2
	// reduction is the part of the ceiling to which the limit is reduced, and limitGrowth
	// how much it grows with each answered request up to the ceiling.
	reduction   = 0.75
	limitGrowth = 0.5
	// minProbeTime and maxProbeTime limit the time after which the limit exceeds the
	// ceiling by one. It doubles with each reduction, because an upstream that accepts
	// fewer requests than its slots loses one each time.
	minProbeTime = time.Second
	maxProbeTime = 8 * time.Second
)

// End says how a request ended.
type End uint8

// The ways in which a request ends.
const (
	// Complete means that the upstream has finished the request.
	Complete End = iota
	// Left means that the connection was closed before the response was complete. The
	// upstream may still run the request.
	Left
	// Silent means that the request was given up according to Check.
	Silent
	// Reset means that the upstream closed the connection before the first byte of a
	// response.
	Reset
)

// Request is a request at the upstream.
type Request struct {
	// Class groups requests that take about the same time.
	Class string
	// Typical is the service time of such requests at other upstreams, used until there
	// are samples; zero if unknown.
	Typical time.Duration
	// Deadline is when the request must be finished; zero means no deadline.
	Deadline time.Time
	// Repeatable is true if the request may be sent to another upstream after it was
	// given up.
	Repeatable bool

	// sent is when the request was sent, and inFlight the number of requests in flight
	// then, this one included.
	sent     time.Time
	inFlight int
	// longest is that of the class when the request was sent.
	longest time.Duration
	// passedBy is when enough requests that were sent later had been answered; zero
	// before.
	passedBy time.Time
	// answered is true once the response has begun.
	answered bool
	// index is that of the request in Tracker.pending.
	index int
	// generation is that of the tracker when the request was sent.
	generation uint64
}

// Tracker tracks the requests at one upstream. The zero Tracker holds no slots until
// Reset is called. It does no locking.
type Tracker struct {
	// slots is the number of requests that the upstream runs at once; zero means that it
	// is unknown and that no slots are held.
	slots int
	// generation counts the upstreams. Requests of earlier ones are ignored.
	generation uint64
	// pending holds the requests in flight, in no order.
	pending []*Request
	// checks is the number of health checks in flight.
	checks int
	// lingering holds until when each request that nobody waits for is assumed to run.
	lingering []time.Time
	// inherited is the number of requests of an earlier process that are assumed to run
	// until inheritedUntil.
	inherited      int
	inheritedUntil time.Time
	// limit is the number of requests that the upstream gets at once, from 1 to slots.
	limit float64
	// ceiling is the number of requests in flight up to which the upstream answered when
	// limit was last reduced. While limit exceeds it, limit grows with the time since
	// ceilingAt, by one in probeTime at first.
	ceiling   float64
	ceilingAt time.Time
	probeTime time.Duration
	// reducedAt is when limit was last reduced. Requests that were sent earlier say
	// nothing about the present limit.
	reducedAt time.Time
	// reducedBy is the request because of which limit was last reduced; nil if none was.
	reducedBy *Request
	classes   map[string]*responseTimes
	answers   answerLog
}

// Reset starts with another upstream. Requests of an earlier process may occupy all of its
// slots until inheritedUntil; zero if there are none. Health checks are kept, because they
// precede the first request.
func (t *Tracker) Reset(slots int, inheritedUntil time.Time) {
	*t = Tracker{slots: max(slots, 0), generation: t.generation + 1, checks: t.checks, lingering: t.lingering, limit: float64(slots), ceiling: float64(slots)}
	if !inheritedUntil.IsZero() {
		t.inherited, t.inheritedUntil = t.slots, inheritedUntil
	}
}

// Resize changes the number of slots of the upstream.
func (t *Tracker) Resize(slots int) {
	grown := float64(slots - t.slots)
	t.slots = max(slots, 0)
	t.limit = min(max(t.limit+grown, 1), float64(slots))
	t.ceiling = min(max(t.ceiling+grown, 1), float64(slots))
	t.inherited = min(t.inherited, t.slots)
}

// Begin records that the request is sent.
func (t *Tracker) Begin(now time.Time, r *Request) {
	r.sent, r.index, r.inFlight, r.generation = now, len(t.pending), len(t.pending)+1, t.generation
	t.pending = append(t.pending, r)
	if c := t.classes[r.Class]; c != nil {
		r.longest = c.longest
	}
}

// BeginCheck records that a health check is sent.
func (t *Tracker) BeginCheck() {
	t.checks++
}

// EndCheck records that a health check has ended. If it was not answered, it may still run.
func (t *Tracker) EndCheck(now time.Time, answered bool) {
	t.checks--
	if !answered {
		t.lingering = append(t.lingering, now.Add(defaultLinger))
	}
}

// Answered records that the response to the request has begun.
func (t *Tracker) Answered(now time.Time, r *Request) {
	if r.generation != t.generation {
		return
	}
	r.answered = true
	elapsed := now.Sub(r.sent)
	typical := r.Typical
	c := t.class(r.Class)
	if c != nil && c.samples >= minTypicalSamples {
		typical = c.typical()
	}
	if elapsed <= unqueuedFactor*typical {
		// The upstream ran this request at once, so that many slots were free. The next
		// answers show whether one more is.
		t.inherited = min(t.inherited, max(t.slots-r.inFlight-1, 0))
	}
	switch {
	case r == t.reducedBy:
		// The upstream was slow with this request, and not silent.
		t.limit, t.ceiling, t.probeTime, t.reducedBy = float64(t.slots), float64(t.slots), 0, nil
	case !r.sent.Before(t.reducedAt):
		t.raise(now)
	}
	t.answers.add(r, elapsed)
	if c != nil {
		c.observe(elapsed)
	}
}

// raise raises the limit after an answer.
func (t *Tracker) raise(now time.Time) {
	if t.limit < t.ceiling {
		t.limit, t.ceilingAt = min(t.limit+limitGrowth, t.ceiling), now
		return
	}
	if probes := float64(now.Sub(t.ceilingAt)) / float64(max(t.probeTime, 1)); t.limit < float64(t.slots) {
		t.limit = min(t.ceiling+probes*probes, float64(t.slots))
	}
	if t.limit == float64(t.slots) {
		t.ceiling, t.probeTime = t.limit, 0
	}
}

// End records that the request has ended.
func (t *Tracker) End(now time.Time, r *Request, end End) {
	if r.generation != t.generation {
		return
	}
	last := t.pending[len(t.pending)-1]
	t.pending[r.index], last.index = last, r.index
	t.pending[len(t.pending)-1] = nil
	t.pending = t.pending[:len(t.pending)-1]
	switch end {
	case Complete:
		return
	case Left, Silent:
		if r.passedBy.IsZero() && !r.answered && t.endedSilently(now, r) {
			t.reduce(now, r)
		}
		t.lingering = append(t.lingering, t.runsUntil(now, r))
	case Reset:
		// A lightly used upstream that closes a connection is not full.
		if 2*r.inFlight > t.slots {
			t.reduce(now, r)
		}
	}
}

// runsUntil returns how long the upstream may run a request that nobody waits for.
func (t *Tracker) runsUntil(now time.Time, r *Request) (until time.Time) {
	c := t.classes[r.Class]
	if c == nil || c.samples == 0 {
		return now.Add(defaultLinger)
	}
	until = now.Add(c.typical())
	if longest := r.sent.Add(c.longest); longest.After(until) {
		until = longest
	}
	if latest := now.Add(maxLinger); until.After(latest) {
		until = latest
	}
	return until
}

// reduce reduces the limit after the upstream did not answer the request.
func (t *Tracker) reduce(now time.Time, r *Request) {
	if r.sent.Before(t.reducedAt) {
		return
	}
	t.ceiling = max(min(t.limit, max(float64(r.inFlight-1), t.alive(now))), 1)
	t.limit = max(t.ceiling*reduction, 1)
	t.reducedAt, t.ceilingAt, t.reducedBy = now, now, r
	t.probeTime = min(max(2*t.probeTime, minProbeTime), maxProbeTime)
}

// alive returns the number of requests in flight that have not waited longer than usual.
func (t *Tracker) alive(now time.Time) (requests float64) {
	for _, r := range t.pending {
		if c := t.classes[r.Class]; c != nil && now.Sub(r.sent) <= c.longest {
			requests++
		}
	}
	return requests
}

// Limited reports whether the upstream gets fewer requests because it did not answer.
func (t *Tracker) Limited() bool {
	return t.Limit() < t.slots
}

// Limit returns the number of requests that the upstream gets at once.
func (t *Tracker) Limit() int {
	return int(t.limit)
}

// Held returns the number of slots that must not be used, and when it falls without a
// further event; zero if it does not.
func (t *Tracker) Held(now time.Time) (held int, next time.Time) {
	if t.slots == 0 {
		return 0, next
	}
	if t.inherited > 0 && now.Before(t.inheritedUntil) {
		next = t.inheritedUntil
	} else {
		t.inherited = 0
	}
	kept := t.lingering[:0]
	for _, until := range t.lingering {
		if !now.Before(until) {
			continue
		}
		kept = append(kept, until)
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	t.lingering = kept
	return min(t.inherited+len(t.lingering)+t.checks+t.slots-t.Limit(), t.slots), next
}

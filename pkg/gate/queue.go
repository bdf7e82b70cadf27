package gate

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// waitingPerSlot sets the queue limit when the configuration has none.
	waitingPerSlot = 16
	// drainHold is how long a caller leaves a draining upstream alone.
	drainHold = 5 * time.Second
	// maxRetryAfter bounds the advice given with a refusal.
	maxRetryAfter = 5 * time.Second
	// leastShare is the part of the slots that less urgent work is expected to get
	// at least; floors give it about that.
	leastShare = 0.1
	// maxClasses bounds the classes whose service times are kept.
	maxClasses = 4096
)

// Config sets up a gate.
type Config struct {
	// Slots is the upstream's own limit of concurrent requests; below 1 counts as 1.
	Slots int
	// QueueLimit bounds the waiting requests of all priorities; 0 means 16 for each slot.
	QueueLimit int
	// Floors holds the percent of grants that each priority gets at least while
	// it has waiting work; sums above 100 are scaled down to 100.
	Floors [mesh.NumPriorities]int
	// SlowStart is the time in which a cold upstream comes up to its slots; 0 means at once.
	SlowStart time.Duration
	// FixedLimit keeps the concurrency at Slots, for an upstream whose own count of
	// slots is exact.
	FixedLimit bool
	// PredictWait refuses work at once when what waits before it leaves it no time,
	// and serves the work of a priority in the order in which it must start.
	PredictWait bool
}

// Queue decides which request gets one of an upstream's slots. It is not safe
// for concurrent use. The zero Queue has one slot.
//
// Offer, Done, Cancel, Expire and Configure return the works whose state the
// call changed from New or Waiting; the slice is valid until the next call.
type Queue struct {
	config Config
	lines  [mesh.NumPriorities]line
	// count is the sum of the lengths of lines.
	count int
	// running is the number of granted works that are not done.
	running int
	// draining refuses every new offer while it is true.
	draining bool
	shares   shares
	limit    limiter
	times    [mesh.NumPriorities]estimate
	// classes holds the service times of named classes.
	classes map[string]*estimate
	// demands hold how many slots the offers of each priority would keep busy.
	demands [mesh.NumPriorities]demand
	strain  strain
	settled []*Request
}

// Configure changes the configuration; running and waiting work stays.
func (q *Queue) Configure(now time.Time, config Config) (settled []*Request) {
	q.config = config
	q.shares.configure(config.Floors)
	q.limit.fixed = config.FixedLimit
	q.limit.configure(now, q.slots(), config.SlowStart)
	return q.Expire(now)
}

// Drain makes the queue refuse new offers; waiting and running work goes on.
func (q *Queue) Drain() {
	q.draining = true
}

// Offer asks for a slot. The work must be New.
func (q *Queue) Offer(now time.Time, w *Request) (settled []*Request) {
	q.settled = q.settled[:0]
	w.Priority = min(w.Priority, mesh.NumPriorities-1)
	q.demands[w.Priority].add(now, q.need(now, w))
	switch {
	case q.draining:
		q.refuse(now, w, Draining)
	case q.late(now, w), q.config.PredictWait && q.hopeless(now, w):
		q.refuse(now, w, Late)
	case q.enqueue(now, w):
		q.dispatch(now)
	default:
		q.refuse(now, w, Full)
	}
	return q.settled
}

// Done frees the slot of running work and learns from its result; a repeated
// call does nothing.
func (q *Queue) Done(now time.Time, w *Request, result Result) (settled []*Request) {
	q.settled = q.settled[:0]
	if w.state != Running {
		return nil
	}
	w.state = Finished
	q.strain.end(w)
	elapsed := now.Sub(w.started)
	if !result.NotRun {
		q.limit.learn(now, w, elapsed, result, q.running)
		q.times[w.Priority].learn(now, elapsed, result, q.limit.pace)
		if e := q.class(w.Class); e != nil {
			e.learn(now, elapsed, result, q.limit.pace)
		}
	}
	q.running--
	q.dispatch(now)
	return q.settled
}

// Cancel gives up on waiting work. It does nothing in any other state.
func (q *Queue) Cancel(now time.Time, w *Request) (settled []*Request) {
	q.settled = q.settled[:0]
	if w.state != Waiting {
		return nil
	}
	q.lines[w.Priority].remove(w)
	q.count--
	q.refuse(now, w, Cancelled)
	return q.settled
}

// Expire refuses the waiting work that can no longer finish in time and grants
// the slots that became free by time alone.
func (q *Queue) Expire(now time.Time) (settled []*Request) {
	q.settled = q.settled[:0]
	q.expire(now)
	q.dispatch(now)
	return q.settled
}

// NextWakeup returns when Expire has something to do, zero when nothing waits for a time.
func (q *Queue) NextWakeup(now time.Time) (next time.Time) {
	if q.count == 0 {
		return next
	}
	for p := range q.lines {
		if soonest := q.lines[p].soonest; !soonest.IsZero() {
			// The nanosecond makes the remaining time fall below the service time.
			margin := q.serviceTime(now, mesh.Priority(p))
			next = earliest(next, soonest.Add(1-margin))
		}
		if startBy := q.lines[p].startBy; !startBy.IsZero() {
			next = earliest(next, startBy.Add(1))
		}
	}
	return earliest(next, q.limit.nextRise(now))
}

// Load reports the present use of the upstream.
func (q *Queue) Load(now time.Time) Load {
	return Load{Running: q.running, Waiting: q.count, Limit: q.limit.current(now), Slots: q.slots()}
}

func (q *Queue) slots() int {
	return max(q.config.Slots, 1)
}

func (q *Queue) queueLimit() int {
	if q.config.QueueLimit > 0 {
		return q.config.QueueLimit
	}
	return q.slots() * waitingPerSlot
}

// serviceTime returns the estimated service time of a priority.
func (q *Queue) serviceTime(now time.Time, priority mesh.Priority) time.Duration {
	return q.times[priority].get(now, q.limit.pace)
}

// class returns the estimate of a named class, nil when there is none.
func (q *Queue) class(name string) (e *estimate) {
	if e = q.classes[name]; e != nil || name == "" || len(q.classes) >= maxClasses {
		return e
	}
	if q.classes == nil {
		q.classes = make(map[string]*estimate)
	}
	e = &estimate{}
	q.classes[name] = e
	return e
}

// typical returns the service time of the work by what was completed, or else by
// what others told of such work: other work of its priority may take far longer.
func (q *Queue) typical(now time.Time, w *Request) time.Duration {
	if e := q.classes[w.Class]; e != nil && !e.updated.IsZero() {
		return e.get(now, q.limit.pace)
	}
	if w.TypicalServiceTime > 0 {
		return w.TypicalServiceTime
	}
	return q.serviceTime(now, w.Priority)
}

// need returns the estimated service time of the work. With foresight it counts
// how long running work has taken already.
func (q *Queue) need(now time.Time, w *Request) time.Duration {
	typical := q.typical(now, w)
	if !q.config.PredictWait {
		return typical
	}
	slowness := q.strain.slowness(now, q.limit.current(now))
	if e := q.classes[w.Class]; e != nil && slowness > 1 {
		// Without a completion the estimate has faded, though work runs.
		typical = max(typical, e.last())
	}
	return time.Duration(float64(typical) * slowness)
}

// late reports whether the work can no longer start or finish in time.
func (q *Queue) late(now time.Time, w *Request) bool {
	if !w.StartBy.IsZero() && now.After(w.StartBy) {
		return true
	}
	return isLate(now, w.Deadline, q.need(now, w))
}

// hopeless reports whether what goes first leaves the work no time.
func (q *Queue) hopeless(now time.Time, w *Request) bool {
	if q.running < q.limit.current(now) {
		return false
	}
	start := now.Add(q.expectedWait(now, w))
	if !w.StartBy.IsZero() && start.After(w.StartBy) {
		return true
	}
	return isLate(start, w.Deadline, q.need(now, w))
}

// expectedWait estimates when work that came now would get a slot: the slots
// become free one after the other, spread over a service time, and more urgent
// work that is still to come takes its part of them.
func (q *Queue) expectedWait(now time.Time, w *Request) (wait time.Duration) {
	slots := time.Duration(q.limit.current(now))
	for p := int(w.Priority); p < len(q.lines); p++ {
		for _, o := range q.lines[p].works {
			if p > int(w.Priority) || !o.after(w) {
				wait += q.need(now, o) / slots
			}
		}
	}
	wait += max(q.serviceTime(now, w.Priority), q.need(now, w)) / slots
	urgent := 0.0
	for p := int(w.Priority) + 1; p < len(q.demands); p++ {
		urgent += q.demands[p].at(now)
	}
	return time.Duration(float64(wait) / max(1-urgent/float64(slots), leastShare))
}

// isLate reports whether less time remains than the work needs.
func isLate(now, deadline time.Time, need time.Duration) bool {
	return !deadline.IsZero() && deadline.Sub(now) < max(need, 1)
}

// enqueue puts the work in line, making a place where it may.
func (q *Queue) enqueue(now time.Time, w *Request) (queued bool) {
	if q.full(now, w.Priority) {
		q.expire(now)
	}
	if q.full(now, w.Priority) && !q.displace(now, w.Priority) {
		return false
	}
	w.state = Waiting
	q.lines[w.Priority].push(now, w)
	q.count++
	return true
}

// full reports whether a work of that priority finds no place; the places that
// floors reserve for other priorities count as taken.
func (q *Queue) full(now time.Time, priority mesh.Priority) bool {
	if q.count == 0 && q.running < q.limit.current(now) {
		return false
	}
	taken := q.count
	for p := range q.lines {
		if p != int(priority) {
			taken += max(q.reserved(p)-q.lines[p].len(), 0)
		}
	}
	return taken >= q.queueLimit()
}

// reserved returns the places in the queue that no other priority may take.
func (q *Queue) reserved(priority int) int {
	return q.shares.floors[priority] * q.queueLimit() / 100
}

// displace refuses the least urgent waiting work that the arrival goes before.
func (q *Queue) displace(now time.Time, arriving mesh.Priority) (displaced bool) {
	for p := range int(arriving) {
		if q.lines[p].len() > q.reserved(p) {
			q.refuse(now, q.take(q.lines[p].last(now, q.config.PredictWait), p), Displaced)
			return true
		}
	}
	own := &q.lines[arriving]
	if own.len() > 0 && own.newestFirst(now) && !q.config.PredictWait {
		q.refuse(now, q.take(0, int(arriving)), Displaced)
		return true
	}
	return false
}

// take removes and returns the work at that index of a line.
func (q *Queue) take(index, priority int) (w *Request) {
	q.count--
	return q.lines[priority].takeAt(index)
}

// dispatch grants free slots in order.
func (q *Queue) dispatch(now time.Time) {
	for q.count > 0 && q.running < q.limit.current(now) {
		p := q.shares.next(&q.lines)
		w := q.take(q.lines[p].first(now, q.config.PredictWait), p)
		if q.late(now, w) {
			q.refuse(now, w, Late)
			continue
		}
		q.shares.granted(&q.lines, p)
		q.running++
		w.state = Running
		w.started = now
		q.strain.begin(now, w, q.typical(now, w))
		q.settled = append(q.settled, w)
	}
}

func (q *Queue) expire(now time.Time) {
	for p := range q.lines {
		l := &q.lines[p]
		need := q.serviceTime(now, mesh.Priority(p))
		if !isLate(now, l.soonest, need) && (l.startBy.IsZero() || !now.After(l.startBy)) {
			continue
		}
		for i := l.len() - 1; i >= 0; i-- {
			if w := l.works[i]; q.late(now, w) {
				q.refuse(now, q.take(i, p), Late)
			}
		}
	}
}

func (q *Queue) refuse(now time.Time, w *Request, reason Reason) {
	w.state = Rejected
	w.refused = RejectedError{Reason: reason, RetryAfter: q.retryAfter(now, w, reason), ServiceTime: q.need(now, w)}
	q.settled = append(q.settled, w)
}

// retryAfter estimates when a request of that priority would find a slot.
func (q *Queue) retryAfter(now time.Time, w *Request, reason Reason) time.Duration {
	switch reason {
	case Draining:
		return drainHold
	case Cancelled:
		return 0
	}
	ahead := 0
	for p := int(w.Priority); p < len(q.lines); p++ {
		ahead += q.lines[p].len()
	}
	wait := q.serviceTime(now, w.Priority) * time.Duration(ahead) / time.Duration(q.limit.current(now))
	return min(wait, maxRetryAfter)
}

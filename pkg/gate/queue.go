package gate

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// defaultQueuePerSlot is the number of places in the queue for each slot if no
	// queue limit is configured.
	defaultQueuePerSlot = 16
	// drainRetryAfter is how long a caller should avoid a draining upstream.
	drainRetryAfter = 5 * time.Second
	// maxRetryAfter bounds RejectedError.RetryAfter.
	maxRetryAfter = 5 * time.Second
	// minSlotShare is the smallest part of the slots that less urgent requests are
	// expected to get; floors guarantee them about that.
	minSlotShare = 0.1
	// maxClasses bounds the number of classes with an estimate or failure rate of
	// their own, and with it the memory.
	maxClasses = 4096
)

// Config configures a gate.
type Config struct {
	// Slots is the number of requests that the upstream can run at once; a value
	// below 1 counts as 1.
	Slots int
	// QueueLimit bounds the number of waiting requests of all priorities together; 0
	// means 16 per slot.
	QueueLimit int
	// Floors holds the minimum percentage of slots that are granted to each priority
	// while it has waiting requests. If they add up to more than 100, they are
	// scaled down to 100.
	Floors [mesh.NumPriorities]int
	// SlowStart is the time over which the limit of a new upstream rises to Slots; 0
	// means that there is no slow start.
	SlowStart time.Duration
	// FixedLimit keeps the concurrency limit at Slots, for an upstream that reports
	// its exact number of slots.
	FixedLimit bool
	// PredictWait rejects a request on arrival if the predicted wait leaves it too
	// little time, and serves the requests of a priority in the order of StartBy.
	PredictWait bool
}

// Queue decides which requests get the slots of one upstream. It does no locking
// and has no clock: Gate adds both. The zero Queue has one slot.
//
// Offer, Done, Cancel, Expire and Configure return the requests that got a slot or
// were rejected by the call. The slice is valid until the next call.
type Queue struct {
	config    Config
	subqueues [mesh.NumPriorities]subqueue
	// waiting is the total length of the subqueues.
	waiting int
	// running is the number of requests that hold a slot.
	running int
	// held is the number of slots that are not granted.
	held int
	// draining rejects every new request.
	draining  bool
	scheduler scheduler
	limiter   limiter
	estimates [mesh.NumPriorities]estimate
	// classEstimates hold the service times of request classes.
	classEstimates map[string]*estimate
	// offeredLoads hold the offered load of each priority.
	offeredLoads [mesh.NumPriorities]offeredLoad
	// timelyLoads hold the part of it by requests that are not overdue.
	timelyLoads [mesh.NumPriorities]offeredLoad
	stall       stallDetector
	// displacedByShare counts the requests that lost their place to another account.
	displacedByShare uint64
	changed          []*Request
}

// Configure changes the configuration. Running and waiting requests are kept.
func (q *Queue) Configure(now time.Time, config Config) (changed []*Request) {
	q.config = config
	q.scheduler.configure(config.Floors)
	q.limiter.fixed = config.FixedLimit
	q.limiter.configure(now, q.slots(), config.SlowStart)
	return q.Expire(now)
}

// Hold keeps that many slots from being granted, for requests that the upstream may run
// without a slot. One slot is always granted, because only a response shows that the
// upstream has capacity again.
func (q *Queue) Hold(now time.Time, slots int) (changed []*Request) {
	q.held = max(slots, 0)
	return q.Expire(now)
}

// limit returns the number of slots that may be granted, at least 1.
func (q *Queue) limit(now time.Time) int {
	return max(q.limiter.current(now)-q.held, 1)
}

// Drain rejects new requests from now on. Running and waiting requests are kept.
func (q *Queue) Drain() {
	q.draining = true
}

// Offer asks for a slot for a request, whose state must be New.
func (q *Queue) Offer(now time.Time, r *Request) (changed []*Request) {
	q.changed = q.changed[:0]
	r.Priority = min(r.Priority, mesh.NumPriorities-1)
	r.cost = max(q.typicalServiceTime(now, r), minCost)
	q.subqueues[r.Priority].flows.setOrder(now, r)
	q.subqueues[r.Priority].flows.learn(now, r)
	q.offeredLoads[r.Priority].add(now, q.expectedServiceTime(now, r))
	if !r.Overdue {
		q.timelyLoads[r.Priority].add(now, q.expectedServiceTime(now, r))
	}
	switch {
	case q.draining:
		q.reject(now, r, Draining)
	case q.late(now, r), q.config.PredictWait && q.predictedLate(now, r):
		q.reject(now, r, Late)
	case q.enqueue(now, r):
		q.dispatch(now)
	default:
		q.reject(now, r, Full)
	}
	return q.changed
}

// Done frees the slot of a running request and updates the estimates with its
// result. Repeated calls have no effect.
func (q *Queue) Done(now time.Time, r *Request, result Result) (changed []*Request) {
	q.changed = q.changed[:0]
	if r.state != Running {
		return nil
	}
	r.state = Finished
	q.stall.finish(r)
	elapsed := now.Sub(r.started)
	if !result.NotRun {
		q.limiter.observe(now, r, elapsed, result, q.running)
		q.estimates[r.Priority].observe(now, elapsed, result, q.limiter.logSlowdown)
		if e := q.classEstimate(r.Class); e != nil {
			e.observe(now, elapsed, result, q.limiter.logSlowdown)
		}
	}
	q.running--
	q.dispatch(now)
	return q.changed
}

// Cancel rejects a waiting request. It has no effect in any other state.
func (q *Queue) Cancel(now time.Time, r *Request) (changed []*Request) {
	q.changed = q.changed[:0]
	if r.state != Waiting {
		return nil
	}
	q.subqueues[r.Priority].remove(r)
	q.waiting--
	q.reject(now, r, Canceled)
	return q.changed
}

// Expire rejects the waiting requests that can no longer finish in time and grants
// slots that a rise of the limit has made available.
func (q *Queue) Expire(now time.Time) (changed []*Request) {
	q.changed = q.changed[:0]
	q.expire(now)
	q.dispatch(now)
	return q.changed
}

// NextWakeup returns when Expire next has something to do, zero if there is no
// such time.
func (q *Queue) NextWakeup(now time.Time) (next time.Time) {
	if q.waiting == 0 {
		return next
	}
	for p := range q.subqueues {
		if deadline := q.subqueues[p].earliestDeadline; !deadline.IsZero() {
			// The extra nanosecond makes the remaining time less than the service time,
			// since a request with exactly that time left is not late yet.
			margin := q.serviceTime(now, mesh.Priority(p))
			next = earliest(next, deadline.Add(1-margin))
		}
		if startBy := q.subqueues[p].earliestStartBy; !startBy.IsZero() {
			next = earliest(next, startBy.Add(1))
		}
	}
	return earliest(next, q.limiter.nextIncrease(now))
}

// Load returns the current load.
func (q *Queue) Load(now time.Time) Load {
	return Load{Running: q.running, Waiting: q.waiting, Limit: q.limit(now), Slots: q.slots()}
}

func (q *Queue) slots() int {
	return max(q.config.Slots, 1)
}

func (q *Queue) queueLimit() int {
	if q.config.QueueLimit > 0 {
		return q.config.QueueLimit
	}
	return q.slots() * defaultQueuePerSlot
}

// serviceTime returns the estimated service time of a priority.
func (q *Queue) serviceTime(now time.Time, priority mesh.Priority) time.Duration {
	return q.estimates[priority].get(now, q.limiter.logSlowdown)
}

// classEstimate returns the estimate of a class and creates it if needed. It
// returns nil for requests without a class and when there are too many classes.
func (q *Queue) classEstimate(name string) (e *estimate) {
	if e = q.classEstimates[name]; e != nil || name == "" || len(q.classEstimates) >= maxClasses {
		return e
	}
	if q.classEstimates == nil {
		q.classEstimates = make(map[string]*estimate)
	}
	e = &estimate{}
	q.classEstimates[name] = e
	return e
}

// typicalServiceTime returns the service time of a request like this one: the
// estimate of its class, or else what other upstreams took. The estimate of its
// priority comes last, because other requests of that priority may take far
// longer.
func (q *Queue) typicalServiceTime(now time.Time, r *Request) time.Duration {
	if e := q.classEstimates[r.Class]; e != nil && !e.updated.IsZero() {
		return e.get(now, q.limiter.logSlowdown)
	}
	if r.TypicalServiceTime > 0 {
		return r.TypicalServiceTime
	}
	return q.serviceTime(now, r.Priority)
}

// expectedServiceTime returns the expected service time of the request. With
// PredictWait it accounts for a stall of the upstream.
func (q *Queue) expectedServiceTime(now time.Time, r *Request) time.Duration {
	typical := q.typicalServiceTime(now, r)
	if !q.config.PredictWait {
		return typical
	}
	slowdown := q.stall.slowdown(now, q.limit(now))
	if e := q.classEstimates[r.Class]; e != nil && slowdown > 1 {
		// While the upstream is stalled, nothing completes and the estimate decays, so
		// use the value without decay.
		typical = max(typical, e.lastValue())
	}
	return time.Duration(float64(typical) * slowdown)
}

// enqueue adds the request to its subqueue. If the queue is full, it first rejects
// late requests, then tries to displace a less urgent one.
func (q *Queue) enqueue(now time.Time, r *Request) (queued bool) {
	if q.full(now, r.Priority) {
		q.expire(now)
	}
	if q.full(now, r.Priority) && !q.displace(now, r) {
		return false
	}
	r.state = Waiting
	q.subqueues[r.Priority].push(now, r)
	q.waiting++
	return true
}

// full reports whether there is no place for a request of the priority. Places
// reserved for the floors of other priorities count as taken.
func (q *Queue) full(now time.Time, priority mesh.Priority) bool {
	if q.waiting == 0 && q.running < q.limit(now) {
		return false
	}
	taken := q.waiting
	for p := range q.subqueues {
		if p != int(priority) {
			taken += max(q.reservedPlaces(p)-q.subqueues[p].len(), 0)
		}
	}
	return taken >= q.queueLimit()
}

// reservedPlaces returns the number of places in the queue that only this priority
// may take.
func (q *Queue) reservedPlaces(priority int) int {
	return q.scheduler.floors[priority] * q.queueLimit() / 100
}

// displace rejects a waiting request to make room for an arriving one: the last one of
// the least urgent priority that uses more than its reserved places, or else one of the
// same priority, of another account that uses more than its share or the oldest of the
// same account if the newest is served first.
func (q *Queue) displace(now time.Time, arriving *Request) (displaced bool) {
	for p := range int(arriving.Priority) {
		if q.subqueues[p].len() > q.reservedPlaces(p) {
			q.reject(now, q.removeAt(q.subqueues[p].last(now, q.config.PredictWait), p), Displaced)
			return true
		}
	}
	own := &q.subqueues[arriving.Priority]
	if i := own.overShare(now, arriving, q.config.PredictWait); i >= 0 {
		q.displacedByShare++
		q.reject(now, q.removeAt(i, int(arriving.Priority)), Displaced)
		return true
	}
	if own.len() > 0 && own.newestFirst(now) && !q.config.PredictWait {
		if i := own.lastOf(own.flows.of(arriving), now, false); i >= 0 {
			q.reject(now, q.removeAt(i, int(arriving.Priority)), Displaced)
			return true
		}
	}
	return false
}

// removeAt removes and returns the request at the index of a subqueue.
func (q *Queue) removeAt(index, priority int) (r *Request) {
	q.waiting--
	return q.subqueues[priority].removeAt(index)
}

// dispatch grants the free slots to waiting requests.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.running < q.limit(now) {
		p := q.scheduler.next(&q.subqueues)
		r := q.removeAt(q.subqueues[p].first(now, q.config.PredictWait), p)
		if q.late(now, r) {
			q.reject(now, r, Late)
			continue
		}
		q.scheduler.granted(&q.subqueues, p)
		q.subqueues[p].flows.charge(r)
		q.running++
		r.state = Running
		r.started = now
		q.stall.start(now, r, q.typicalServiceTime(now, r))
		q.changed = append(q.changed, r)
	}
}

func (q *Queue) expire(now time.Time) {
	for p := range q.subqueues {
		s := &q.subqueues[p]
		serviceTime := q.serviceTime(now, mesh.Priority(p))
		if !missesDeadline(now, s.earliestDeadline, serviceTime) && (s.earliestStartBy.IsZero() || !now.After(s.earliestStartBy)) {
			continue
		}
		for i := s.len() - 1; i >= 0; i-- {
			if r := s.requests[i]; q.late(now, r) {
				q.reject(now, q.removeAt(i, p), Late)
			}
		}
	}
}

func (q *Queue) reject(now time.Time, r *Request, reason Reason) {
	r.state = Rejected
	r.rejection = RejectedError{Reason: reason, RetryAfter: q.retryAfter(now, r, reason), ExpectedServiceTime: q.expectedServiceTime(now, r)}
	q.changed = append(q.changed, r)
}

// retryAfter estimates after how long a new request of that priority would get a
// slot.
func (q *Queue) retryAfter(now time.Time, r *Request, reason Reason) time.Duration {
	switch reason {
	case Draining:
		return drainRetryAfter
	case Canceled:
		return 0
	}
	ahead := 0
	for p := int(r.Priority); p < len(q.subqueues); p++ {
		ahead += q.subqueues[p].len()
	}
	wait := q.serviceTime(now, r.Priority) * time.Duration(ahead) / time.Duration(q.limit(now))
	return min(wait, maxRetryAfter)
}

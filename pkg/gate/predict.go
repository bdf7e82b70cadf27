package gate

import "time"

// late reports whether the request can no longer start or finish in time.
func (q *Queue) late(now time.Time, r *Request) bool {
	if !r.StartBy.IsZero() && now.After(r.StartBy) {
		return true
	}
	return missesDeadline(now, r.Deadline, q.expectedServiceTime(now, r))
}

// predictedLate reports whether the request will be late after its predicted wait.
func (q *Queue) predictedLate(now time.Time, r *Request) bool {
	if q.running < q.limit(now) {
		return false
	}
	start := now.Add(q.predictedWait(now, r))
	if !r.StartBy.IsZero() && start.After(r.StartBy) {
		return true
	}
	return missesDeadline(start, r.Deadline, q.expectedServiceTime(now, r))
}

// predictedWait estimates how long a request that arrives now waits for a slot. It
// assumes that slots become free one at a time, evenly spread over a service time,
// and that the requests that go before this one keep arriving at their recent rate and
// take their part of the slots.
func (q *Queue) predictedWait(now time.Time, r *Request) (wait time.Duration) {
	slots := time.Duration(q.limit(now))
	own := &q.subqueues[r.Priority]
	urgentLoad := 0.0
	switch {
	case own.flows.sharedWith(r):
		work, laterLoad := own.predictShared(r, int(slots))
		wait = time.Duration(float64(work)*q.stallSlowdown(now)) / slots
		urgentLoad = laterLoad
	default:
		for _, o := range own.requests {
			if !o.startsAfter(r) {
				wait += q.expectedServiceTime(now, o) / slots
			}
		}
		if r.Overdue {
			urgentLoad = q.timelyLoads[r.Priority].at(now)
		}
	}
	for p := int(r.Priority) + 1; p < len(q.subqueues); p++ {
		for _, o := range q.subqueues[p].requests {
			wait += q.expectedServiceTime(now, o) / slots
		}
		urgentLoad += q.offeredLoads[p].at(now)
	}
	wait += max(q.serviceTime(now, r.Priority), q.expectedServiceTime(now, r)) / slots
	return time.Duration(float64(wait) / max(1-urgentLoad/float64(slots), minSlotShare))
}

// stallSlowdown returns the factor by which service times have grown in a stall.
func (q *Queue) stallSlowdown(now time.Time) float64 {
	return q.stall.slowdown(now, q.limiter.current(now))
}

// missesDeadline reports whether less time remains until the deadline than the
// service time.
func missesDeadline(now, deadline time.Time, serviceTime time.Duration) bool {
	return !deadline.IsZero() && deadline.Sub(now) < max(serviceTime, 1)
}

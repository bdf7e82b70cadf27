package gate

import (
	"slices"
	"time"
)

// standingQueueDelay is how long a subqueue may stay non-empty before it serves
// its newest request first. By then the oldest requests would spend slots on
// responses that come too late.
const standingQueueDelay = 300 * time.Millisecond

// subqueue holds the waiting requests of one priority.
type subqueue struct {
	// requests are in the order of arrival.
	requests []*Request
	// nonEmptySince is valid only while there are requests.
	nonEmptySince time.Time
	// earliestDeadline is the earliest deadline of all requests, zero if none has
	// one.
	earliestDeadline time.Time
	// earliestStartBy is the earliest StartBy of all requests, zero if none has one.
	earliestStartBy time.Time
	// flows shares the service between accounts.
	flows flows
}

func (s *subqueue) len() int {
	return len(s.requests)
}

func (s *subqueue) push(now time.Time, r *Request) {
	if len(s.requests) == 0 {
		s.nonEmptySince = now
	}
	s.requests = append(s.requests, r)
	s.flows.add(r)
	s.earliestDeadline = earliest(s.earliestDeadline, r.Deadline)
	s.earliestStartBy = earliest(s.earliestStartBy, r.StartBy)
}

// newestFirst reports whether the subqueue has become a standing queue, which
// serves its newest request first.
func (s *subqueue) newestFirst(now time.Time) bool {
	return now.Sub(s.nonEmptySince) > standingQueueDelay
}

// first returns the index of the request to serve next. byStartBy selects the
// order of StartBy over the order of arrival. Accounts take turns.
func (s *subqueue) first(now time.Time, byStartBy bool) (first int) {
	switch {
	case s.flows.shared():
		return s.firstShared(now, byStartBy)
	case byStartBy:
		for i, r := range s.requests {
			if s.requests[first].startsAfter(r) {
				first = i
			}
		}
		return first
	case s.newestFirst(now):
		return len(s.requests) - 1
	}
	return 0
}

// last returns the index of the request that would be served last, of the account that
// holds the most places for its weight.
func (s *subqueue) last(now time.Time, byStartBy bool) (last int) {
	switch {
	case s.flows.shared():
		return s.lastOf(s.flows.largest(s, nil), now, byStartBy)
	case byStartBy:
		for i, r := range s.requests {
			if !s.requests[last].startsAfter(r) {
				last = i
			}
		}
		return last
	case s.newestFirst(now):
		return 0
	}
	return len(s.requests) - 1
}

// startsAfter reports whether the other request must start before this one. An overdue
// request goes after those that are not, and one without StartBy last.
func (r *Request) startsAfter(other *Request) bool {
	switch {
	case r.Overdue != other.Overdue:
		return r.Overdue
	case other.StartBy.IsZero():
		return false
	case r.StartBy.IsZero():
		return true
	}
	return r.StartBy.After(other.StartBy)
}

func (s *subqueue) removeAt(index int) (r *Request) {
	r = s.requests[index]
	s.requests = slices.Delete(s.requests, index, index+1)
	s.flows.remove(r)
	if !r.Deadline.IsZero() && r.Deadline.Equal(s.earliestDeadline) {
		s.earliestDeadline = s.nextDeadline()
	}
	if !r.StartBy.IsZero() && r.StartBy.Equal(s.earliestStartBy) {
		s.earliestStartBy = s.nextStartBy()
	}
	return r
}

// nextDeadline returns the earliest deadline, zero if no request has one. It copies no
// times, since it is called for most requests that leave a long queue.
func (s *subqueue) nextDeadline() (next time.Time) {
	var first *Request
	for _, o := range s.requests {
		if !o.Deadline.IsZero() && (first == nil || o.Deadline.Before(first.Deadline)) {
			first = o
		}
	}
	if first == nil {
		return next
	}
	return first.Deadline
}

// nextStartBy returns the earliest StartBy, zero if no request has one.
func (s *subqueue) nextStartBy() (next time.Time) {
	var first *Request
	for _, o := range s.requests {
		if !o.StartBy.IsZero() && (first == nil || o.order < first.order) {
			first = o
		}
	}
	if first == nil {
		return next
	}
	return first.StartBy
}

func (s *subqueue) remove(r *Request) {
	if i := slices.Index(s.requests, r); i >= 0 {
		s.removeAt(i)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

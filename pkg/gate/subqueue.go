package gate

import (
	"slices"
	"time"
)

// standingAfter is how long a line may stay occupied before its newest work goes
// first: by then the oldest would use slots on answers that come too late.
const standingAfter = 300 * time.Millisecond

// line holds the waiting works of one priority.
type line struct {
	// works are in the order of arrival.
	works []*Request
	// occupied is when the line was last empty; it has no meaning while works is empty.
	occupied time.Time
	// soonest is the earliest deadline of works, zero when none has one.
	soonest time.Time
	// startBy is the earliest time by which one of works must start, zero when none
	// is bound.
	startBy time.Time
}

func (l *line) len() int {
	return len(l.works)
}

func (l *line) push(now time.Time, w *Request) {
	if len(l.works) == 0 {
		l.occupied = now
	}
	l.works = append(l.works, w)
	l.soonest = earliest(l.soonest, w.Deadline)
	l.startBy = earliest(l.startBy, w.StartBy)
}

// newestFirst reports whether the line has become a standing queue.
func (l *line) newestFirst(now time.Time) bool {
	return now.Sub(l.occupied) > standingAfter
}

// first returns the index of the work to serve next; byStart is for the order in
// which work must start.
func (l *line) first(now time.Time, byStart bool) (first int) {
	switch {
	case byStart:
		for i, w := range l.works {
			if l.works[first].after(w) {
				first = i
			}
		}
		return first
	case l.newestFirst(now):
		return len(l.works) - 1
	}
	return 0
}

// last returns the index of the work that would be served last.
func (l *line) last(now time.Time, byStart bool) (last int) {
	switch {
	case byStart:
		for i, w := range l.works {
			if !l.works[last].after(w) {
				last = i
			}
		}
		return last
	case l.newestFirst(now):
		return 0
	}
	return len(l.works) - 1
}

// after reports whether the work must start later than the other; without a
// bound it may start last.
func (w *Request) after(other *Request) bool {
	switch {
	case other.StartBy.IsZero():
		return false
	case w.StartBy.IsZero():
		return true
	}
	return w.StartBy.After(other.StartBy)
}

func (l *line) takeAt(index int) (w *Request) {
	w = l.works[index]
	l.works = slices.Delete(l.works, index, index+1)
	if !w.Deadline.IsZero() && w.Deadline.Equal(l.soonest) {
		l.soonest = time.Time{}
		for _, o := range l.works {
			l.soonest = earliest(l.soonest, o.Deadline)
		}
	}
	if !w.StartBy.IsZero() && w.StartBy.Equal(l.startBy) {
		l.startBy = time.Time{}
		for _, o := range l.works {
			l.startBy = earliest(l.startBy, o.StartBy)
		}
	}
	return w
}

func (l *line) remove(w *Request) {
	if i := slices.Index(l.works, w); i >= 0 {
		l.takeAt(i)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

package silent

import (
	"math"
	"time"
)

const (
	// minSamples is the number of response times of a class from which the longest is
	// known well enough, and minTypicalSamples from which the typical one is. Fewer samples
	// miss those of a class of which one in forty takes ten times as long.
	minSamples        = 100
	minTypicalSamples = 8
	// maxClasses limits the number of classes with response times, and with it the
	// memory.
	maxClasses = 4096
	// meanGain is the weight of a new sample in the mean, and longestDecay that of a
	// sample below the longest one. The latter is small, because few requests of a class
	// may take far longer than the others.
	meanGain     = 1.0 / 16
	longestDecay = 1.0 / 2048
	// waitFactor is how long a request waits before it may be given up, in multiples of
	// the longest usual response time. It then waits one more such time after others
	// have passed it.
	waitFactor = 2
	// minWait is the least time that a request waits before it may be given up. Pauses of
	// this length occur on a busy machine.
	minWait = 50 * time.Millisecond
	// minPassed is the number of requests that must have been sent later and answered
	// earlier, and minPassedOfClass that of the same class. A route that became slow by
	// itself answers none.
	minPassed        = 3
	minPassedOfClass = 2
	// remainingFactor is the time that must be left for another attempt, in multiples of
	// the typical response time.
	remainingFactor = 2
	// minRecheck is the least time between two checks of a request.
	minRecheck = 10 * time.Millisecond
	// loggedAnswers is the number of latest answers with which a request is compared.
	loggedAnswers = 64
)

// responseTimes holds the usual time until the first byte of a response of one class.
type responseTimes struct {
	samples int
	// mean is the moving mean of the binary logarithms.
	mean float64
	// longest is the longest of the recent samples.
	longest time.Duration
}

func (c *responseTimes) observe(elapsed time.Duration) {
	elapsed = max(elapsed, 1)
	log := math.Log2(float64(elapsed))
	c.samples++
	c.mean += max(meanGain, 1/float64(c.samples)) * (log - c.mean)
	if elapsed >= c.longest {
		c.longest = elapsed
		return
	}
	c.longest -= time.Duration(longestDecay * float64(c.longest-elapsed))
}

// typical returns the typical response time.
func (c *responseTimes) typical() time.Duration {
	return time.Duration(math.Exp2(c.mean))
}

// class returns the response times of a class; nil if there are too many classes.
func (t *Tracker) class(name string) (c *responseTimes) {
	if c = t.classes[name]; c != nil || len(t.classes) >= maxClasses {
		return c
	}
	if t.classes == nil {
		t.classes = make(map[string]*responseTimes)
	}
	c = &responseTimes{}
	t.classes[name] = c
	return c
}

// answer is one answered request.
type answer struct {
	class string
	sent  time.Time
	// slowdown is the response time in multiples of the longest usual one; zero if that
	// was unknown.
	slowdown float64
}

// answerLog holds the latest answers.
type answerLog struct {
	answers [loggedAnswers]answer
	// next is the index that is overwritten next.
	next int
}

func (l *answerLog) add(r *Request, elapsed time.Duration) {
	slowdown := 0.0
	if r.longest > 0 {
		slowdown = float64(elapsed) / float64(r.longest)
	}
	l.answers[l.next] = answer{class: r.Class, sent: r.sent, slowdown: slowdown}
	l.next = (l.next + 1) % loggedAnswers
}

// passed returns the number of answered requests that were sent after r, how many of them
// are of its class, and the largest slowdown among them, at least 1.
func (l *answerLog) passed(r *Request) (all, ofClass int, slowdown float64) {
	slowdown = 1
	for i := range l.answers {
		a := &l.answers[i]
		if !a.sent.After(r.sent) {
			continue
		}
		all++
		if a.class == r.Class {
			ofClass++
		}
		slowdown = max(slowdown, a.slowdown)
	}
	return all, ofClass, slowdown
}

// endedSilently reports whether a request that is left unanswered, mostly because of its
// deadline, waited longer than usual while others passed it.
func (t *Tracker) endedSilently(now time.Time, r *Request) bool {
	c := t.classes[r.Class]
	if c == nil || c.samples < minSamples || now.Sub(r.sent) < max(c.longest, minWait) {
		return false
	}
	all, ofClass, slowdown := t.answers.passed(r)
	return all >= minPassed && ofClass >= minPassedOfClass && float64(now.Sub(r.sent)) >= float64(r.longest)*slowdown
}

// Check reports whether a request without a response is to be given up, and otherwise
// when to check it again; zero means never. An upstream that is slow as a whole answers
// nothing meanwhile, or slowly, so that its requests wait longer: a request is given up
// only after others that were sent later were answered, and after that has left it
// another usual response time. A request that can't be repeated is not given up, but the
// upstream gets fewer others from when it was passed.
func (t *Tracker) Check(now time.Time, r *Request) (giveUp bool, next time.Time) {
	c := t.class(r.Class)
	if t.slots == 0 || c == nil || r.generation != t.generation {
		return false, next
	}
	if c.samples < minSamples {
		return false, now.Add(max(minWait, c.longest))
	}
	all, ofClass, slowdown := t.answers.passed(r)
	longest := max(c.longest, time.Duration(float64(r.longest)*slowdown))
	if due := r.sent.Add(max(waitFactor*longest, minWait)); now.Before(due) {
		return false, due
	}
	if r.passedBy.IsZero() {
		if all < minPassed || ofClass < minPassedOfClass {
			return false, now.Add(max(longest/2, minRecheck))
		}
		r.passedBy = now
		t.reduce(now, r)
	}
	if due := r.passedBy.Add(max(longest, minRecheck)); now.Before(due) {
		return false, due
	}
	return r.Repeatable && (r.Deadline.IsZero() || r.Deadline.Sub(now) >= remainingFactor*c.typical()), next
}

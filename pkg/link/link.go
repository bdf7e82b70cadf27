// Package link decides when long messages may use the link of a host, so that
// short ones hardly ever wait behind them.
package link

import (
	"slices"
	"time"
)

const (
	// patience is how far ahead of the link's rate a step may be sent.
	patience = 2 * time.Millisecond
	// longShare is the part of the link that long messages are expected to get, in
	// percent; short ones and the headers of packets take the rest.
	longShare = 85
)

// Link is the outgoing side of a host's link. Short messages are sent at once
// and only counted; long ones take turns for what those leave, one after the
// other. The zero Link has no bound.
type Link struct {
	// rate is in bytes a second, zero for no bound.
	rate float64
	// credit is how many bytes may be sent at that time without a queue at the
	// link; below zero it is the length of the queue.
	credit float64
	at     time.Time
	// turns hold the long messages that may be sent, the next one first.
	turns []*Turn
	// owed is the sum of what is left of all turns, booked ones too.
	owed int64
}

// Turn is one long message's use of a link. It begins booked, is queued once
// its length is known, and must be ended exactly once.
type Turn struct {
	// left is what is still to be sent, in bytes; an estimate until it is queued.
	left int64
	// order is when the message would have been sent alone on the link.
	order time.Time
}

// Configure sets the rate in bytes a second; zero means no bound.
func (l *Link) Configure(rate float64) {
	l.rate = rate
}

// Bounded reports whether the link has a bound.
func (l *Link) Bounded() bool {
	return l.rate > 0
}

// Spend counts bytes that were sent, of long messages too.
func (l *Link) Spend(now time.Time, bytes int) {
	l.refill(now)
	l.credit -= float64(bytes)
}

// refill lets the queue at the link shrink by the time that has passed.
func (l *Link) refill(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.credit = min(l.credit+l.rate*passed.Seconds(), 0)
		l.at = now
	}
}

// Book announces a long message of about that many bytes.
func (l *Link) Book(bytes int64) *Turn {
	l.owed += bytes
	return &Turn{left: bytes}
}

// Queue takes in the true length of a booked message, which may now be sent.
func (l *Link) Queue(now time.Time, t *Turn, bytes int64) {
	l.owed += bytes - t.left
	t.left = bytes
	t.order = now.Add(l.time(bytes))
	at, _ := slices.BinarySearchFunc(l.turns, t.order, func(o *Turn, order time.Time) int { return o.order.Compare(order) })
	l.turns = slices.Insert(l.turns, at, t)
}

// First reports whether the message is the one to be sent next.
func (l *Link) First(t *Turn) bool {
	return len(l.turns) > 0 && l.turns[0] == t
}

// Due returns how long the next step has to wait, zero or less when it may be sent.
func (l *Link) Due(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	return time.Duration(-l.credit/l.rate*float64(time.Second)) - patience
}

// Sent takes in that a step of the message was sent.
func (l *Link) Sent(t *Turn, bytes int64) {
	sent := min(bytes, t.left)
	t.left -= sent
	l.owed -= sent
}

// End ends a turn, whatever was sent of it.
func (l *Link) End(t *Turn) {
	l.owed -= t.left
	t.left = 0
	if at := slices.Index(l.turns, t); at >= 0 {
		l.turns = slices.Delete(l.turns, at, at+1)
	}
}

// Wait returns how long a long message that came now would wait for its turn.
func (l *Link) Wait() time.Duration {
	return l.time(l.owed)
}

// Fits reports whether a long message of about that many bytes would be sent
// whole within the time. One that finds nothing before it always fits: it would
// fare no better later.
func (l *Link) Fits(bytes int64, within time.Duration) bool {
	return l.owed == 0 || l.time(l.owed+bytes) <= within
}

// time returns how long long messages of that many bytes take.
func (l *Link) time(bytes int64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.rate * longShare / 100) * float64(time.Second))
}

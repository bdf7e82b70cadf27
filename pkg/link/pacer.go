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

// Pacer is the outgoing side of a host's link. Short messages are sent at once
// and only counted; long ones take turns for what those leave, one after the
// other. The zero Pacer has no bound.
type Pacer struct {
	// rate is in bytes a second, zero for no bound.
	rate float64
	// credit is how many bytes may be sent at that time without a queue at the
	// link; below zero it is the length of the queue.
	credit float64
	at     time.Time
	// turns hold the long messages that may be sent, the next one first.
	turns []*Transfer
	// owed is the sum of what is left of all turns, booked ones too.
	owed int64
}

// Transfer is one long message's use of a link. It begins booked, is queued once
// its length is known, and must be ended exactly once.
type Transfer struct {
	// left is what is still to be sent, in bytes; an estimate until it is queued.
	left int64
	// order is when the message would have been sent alone on the link.
	order time.Time
}

// SetRate sets the rate in bytes a second; zero means no bound.
func (l *Pacer) SetRate(rate float64) {
	l.rate = rate
}

// Limited reports whether the link has a bound.
func (l *Pacer) Limited() bool {
	return l.rate > 0
}

// RecordSent counts bytes that were sent, of long messages too.
func (l *Pacer) RecordSent(now time.Time, bytes int) {
	l.refill(now)
	l.credit -= float64(bytes)
}

// refill lets the queue at the link shrink by the time that has passed.
func (l *Pacer) refill(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		l.credit = min(l.credit+l.rate*passed.Seconds(), 0)
		l.at = now
	}
}

// Reserve announces a long message of about that many bytes.
func (l *Pacer) Reserve(bytes int64) *Transfer {
	l.owed += bytes
	return &Transfer{left: bytes}
}

// Enqueue takes in the true length of a booked message, which may now be sent.
func (l *Pacer) Enqueue(now time.Time, t *Transfer, bytes int64) {
	l.owed += bytes - t.left
	t.left = bytes
	t.order = now.Add(l.time(bytes))
	at, _ := slices.BinarySearchFunc(l.turns, t.order, func(o *Transfer, order time.Time) int { return o.order.Compare(order) })
	l.turns = slices.Insert(l.turns, at, t)
}

// IsNext reports whether the message is the one to be sent next.
func (l *Pacer) IsNext(t *Transfer) bool {
	return len(l.turns) > 0 && l.turns[0] == t
}

// Delay returns how long the next step has to wait, zero or less when it may be sent.
func (l *Pacer) Delay(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	return time.Duration(-l.credit/l.rate*float64(time.Second)) - patience
}

// RecordProgress takes in that a step of the message was sent.
func (l *Pacer) RecordProgress(t *Transfer, bytes int64) {
	sent := min(bytes, t.left)
	t.left -= sent
	l.owed -= sent
}

// Remove ends a turn, whatever was sent of it.
func (l *Pacer) Remove(t *Transfer) {
	l.owed -= t.left
	t.left = 0
	if at := slices.Index(l.turns, t); at >= 0 {
		l.turns = slices.Delete(l.turns, at, at+1)
	}
}

// ExpectedWait returns how long a long message that came now would wait for its turn.
func (l *Pacer) ExpectedWait() time.Duration {
	return l.time(l.owed)
}

// FitsWithin reports whether a long message of about that many bytes would be sent
// whole within the time. One that finds nothing before it always fits: it would
// fare no better later.
func (l *Pacer) FitsWithin(bytes int64, within time.Duration) bool {
	return l.owed == 0 || l.time(l.owed+bytes) <= within
}

// time returns how long long messages of that many bytes take.
func (l *Pacer) time(bytes int64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (l.rate * longShare / 100) * float64(time.Second))
}

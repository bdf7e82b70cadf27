// Package link paces long messages on the outgoing link of a host, so that short
// messages rarely queue behind them.
package link

import (
	"slices"
	"time"
)

const (
	// maxBacklog is the longest backlog at the link, as sending time, with which the
	// next part of a long message may be sent.
	maxBacklog = 2 * time.Millisecond
	// longMessagePercent is the percentage of the link's rate that long messages are
	// expected to get. Short messages and packet headers take the rest.
	longMessagePercent = 85
)

// Pacer schedules messages on one outgoing link. Short messages are sent at once
// and only counted. Long messages are sent one after the other, in parts, with the
// bandwidth that short messages leave. The zero Pacer has no limit.
type Pacer struct {
	// rate is in bytes per second; 0 means no limit.
	rate float64
	// credit is minus the estimated number of bytes that were queued at the link at
	// the time updated. It is at most 0, so an idle link does not save up a burst.
	credit  float64
	updated time.Time
	// transfers are the enqueued long messages in the order of sending.
	transfers []*Transfer
	// pendingBytes is the sum of remaining over all transfers, reserved ones
	// included and suspended ones not.
	pendingBytes int64
}

// Transfer is the sending of one long message. It is reserved with an estimated
// length, enqueued once its length is known, and must be removed exactly once.
type Transfer struct {
	// remaining is the number of bytes to send; an estimate until the transfer is
	// enqueued.
	remaining int64
	// virtualFinish is when the message would be sent completely if it had the link
	// to itself. Transfers are sent in this order, so that a small message does not
	// wait for a large one that came shortly before.
	virtualFinish time.Time
	// suspended is true between Suspend and Resume.
	suspended bool
}

// SetRate sets the rate in bytes per second; 0 means no limit.
func (p *Pacer) SetRate(rate float64) {
	p.rate = rate
}

// Limited reports whether the link has a rate limit.
func (p *Pacer) Limited() bool {
	return p.rate > 0
}

// RecordSent counts bytes that were sent, those of long messages included.
func (p *Pacer) RecordSent(now time.Time, bytes int) {
	p.drainBacklog(now)
	p.credit -= float64(bytes)
}

// drainBacklog reduces the backlog at the link by what it has sent since the last
// update.
func (p *Pacer) drainBacklog(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.credit = min(p.credit+p.rate*elapsed.Seconds(), 0)
		p.updated = now
	}
}

// Reserve announces a long message with the estimated number of bytes.
func (p *Pacer) Reserve(bytes int64) *Transfer {
	p.pendingBytes += bytes
	return &Transfer{remaining: bytes}
}

// Enqueue sets the actual length of a reserved message and makes it ready to be
// sent.
func (p *Pacer) Enqueue(now time.Time, t *Transfer, bytes int64) {
	p.pendingBytes += bytes - t.remaining
	t.remaining = bytes
	t.virtualFinish = now.Add(p.transferTime(bytes))
	p.insert(t)
}

func (p *Pacer) insert(t *Transfer) {
	index, _ := slices.BinarySearchFunc(p.transfers, t.virtualFinish, func(o *Transfer, virtualFinish time.Time) int { return o.virtualFinish.Compare(virtualFinish) })
	p.transfers = slices.Insert(p.transfers, index, t)
}

// IsNext reports whether the message is the next one to send.
func (p *Pacer) IsNext(t *Transfer) bool {
	return len(p.transfers) > 0 && p.transfers[0] == t
}

// Delay returns how long to wait before the next part of a long message is sent;
// it may be sent now if the result is 0 or less.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.rate == 0 {
		return 0
	}
	p.drainBacklog(now)
	return time.Duration(-p.credit/p.rate*float64(time.Second)) - maxBacklog
}

// Suspend takes an enqueued transfer out of the order of sending while its receiver
// accepts no data. Until Resume, other messages neither wait for it nor count it.
func (p *Pacer) Suspend(t *Transfer) {
	if t.suspended {
		return
	}
	t.suspended = true
	p.pendingBytes -= t.remaining
	p.dequeue(t)
}

// Resume puts a suspended transfer back to its place in the order of sending.
func (p *Pacer) Resume(t *Transfer) {
	if !t.suspended {
		return
	}
	t.suspended = false
	p.pendingBytes += t.remaining
	p.insert(t)
}

// RecordProgress records that a part of the message was sent.
func (p *Pacer) RecordProgress(t *Transfer, bytes int64) {
	sent := min(bytes, t.remaining)
	t.remaining -= sent
	p.pendingBytes -= sent
}

// Remove removes a transfer, whether or not it was sent completely.
func (p *Pacer) Remove(t *Transfer) {
	if !t.suspended {
		p.pendingBytes -= t.remaining
	}
	t.remaining, t.suspended = 0, false
	p.dequeue(t)
}

func (p *Pacer) dequeue(t *Transfer) {
	if index := slices.Index(p.transfers, t); index >= 0 {
		p.transfers = slices.Delete(p.transfers, index, index+1)
	}
}

// ExpectedWait returns how long a long message that arrives now would wait before
// it is sent.
func (p *Pacer) ExpectedWait() time.Duration {
	return p.transferTime(p.pendingBytes)
}

// FitsWithin reports whether a long message with the estimated number of bytes
// would be sent completely within the given time. It always fits if no other
// message is pending, because waiting would not help it.
func (p *Pacer) FitsWithin(bytes int64, within time.Duration) bool {
	return p.pendingBytes == 0 || p.transferTime(p.pendingBytes+bytes) <= within
}

// transferTime returns how long it takes to send that many bytes of long messages.
func (p *Pacer) transferTime(bytes int64) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (p.rate * longMessagePercent / 100) * float64(time.Second))
}

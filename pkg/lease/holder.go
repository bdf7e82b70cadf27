package lease

import (
	"fmt"
	"strings"
	"time"

	"github.com/qmuntal/stateless"
)

// Defaults of a Holder.
const (
	DefaultRetryInterval = 500 * time.Millisecond
	// marginDivisor divides the time to live to give the default margin.
	marginDivisor = 5
	// renewDivisor divides the time to live to give the time after which a holder
	// renews its lease.
	renewDivisor = 3
	// maxAttempts bounds the number of writes of unknown outcome that are
	// tracked.
	maxAttempts = 64
	// maxDoublings bounds how often RetryInterval doubles while reads and writes
	// fail.
	maxDoublings = 3
)

// State is the state of a Holder.
type State string

// States of a Holder.
const (
	None     State = "none"
	Claiming State = "claiming"
	Holding  State = "held"
	Lost     State = "lost"
)

// trigger is an event that moves a holder between states.
type trigger string

const (
	claim   trigger = "claim"
	win     trigger = "win"
	lose    trigger = "lose"
	lapse   trigger = "lapse"
	release trigger = "release"
)

// Holder acquires a lease and renews it. Name must be set before the first call.
type Holder struct {
	// Name must be unique to the process, so a restarted process must use another
	// name.
	Name string
	// TimeToLive must be the same on every node; zero means DefaultTimeToLive.
	TimeToLive time.Duration
	// Margin is subtracted from the time to live to allow for clocks that run at
	// different rates. Zero means a fifth of the time to live.
	Margin time.Duration
	// RetryInterval is the time between attempts. It doubles up to maxDoublings
	// times while reads and writes fail. Zero means DefaultRetryInterval.
	RetryInterval time.Duration

	// machine is nil until the first call.
	machine *stateless.StateMachine
	// fence is the version of this holder's last confirmed write.
	fence Fence
	// sentAt is the time at which NextAction returned that write. The lease is
	// valid from then on.
	sentAt time.Time
	// attemptCount is the number of attempts so far; each token contains its
	// attempt's number.
	attemptCount uint64
	// attempts maps the tokens of writes that may have taken effect or still may,
	// to the times at which NextAction returned them.
	attempts map[Token]time.Time
	// pendingWrite is the token of the write whose result is outstanding, if any.
	pendingWrite Token
	// reading is true while the result of a read is outstanding.
	reading bool
	// readNeeded is true when only a read can tell what the object holds.
	readNeeded bool
	// nextAt is the earliest time of the next read or write.
	nextAt time.Time
	// failures is the number of consecutive failed reads and writes.
	failures int
	// renewalRequested is true while an early renewal is requested.
	renewalRequested bool
}

// newStateMachine returns the state machine of a holder.
func newStateMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(None)
	machine.Configure(None).
		Permit(claim, Claiming).
		Ignore(lose).
		Ignore(lapse).
		Ignore(release)
	machine.Configure(Claiming).
		Ignore(claim).
		Permit(win, Holding).
		Permit(lose, None).
		Ignore(lapse).
		Permit(release, None)
	machine.Configure(Holding).
		Ignore(win).
		Permit(lose, Lost).
		Permit(lapse, Lost).
		Permit(release, None)
	machine.Configure(Lost).
		Permit(claim, Claiming).
		Ignore(lose).
		Ignore(lapse).
		Permit(release, None)
	return machine
}

// State returns the holder's state. A holder that was paused stays Holding until
// the next call of NextAction, even if its lease has expired; Valid is accurate
// at any time.
func (h *Holder) State() State {
	if h.machine == nil {
		h.machine = newStateMachine()
	}
	state, _ := h.machine.MustState().(State)
	return state
}

// fire sends the event to the state machine. It panics if the state does not
// permit the event, which is a bug in this package.
func (h *Holder) fire(event trigger) {
	state := h.State()
	if err := h.machine.Fire(event); err != nil {
		panic(fmt.Sprintf("lease: trigger %s in state %s: %v", event, state, err))
	}
}

// Valid reports whether this holder may act under the lease at that time.
func (h *Holder) Valid(now time.Time) bool {
	return h.State() == Holding && now.Before(h.ValidUntil())
}

// ValidUntil returns when the lease expires, as of the last confirmed write and
// less the margin.
func (h *Holder) ValidUntil() time.Time {
	ttl := h.timeToLive()
	margin := h.Margin
	if margin == 0 {
		margin = ttl / marginDivisor
	}
	return h.sentAt.Add(ttl - margin)
}

// Fence returns the version of this holder's last confirmed write. Work done
// under the lease carries it as its fencing token.
func (h *Holder) Fence() Fence {
	return h.fence
}

func (h *Holder) timeToLive() time.Duration {
	if h.TimeToLive == 0 {
		return DefaultTimeToLive
	}
	return h.TimeToLive
}

// NextAction returns what the caller is to do now. The observer must be the one
// that is told of every read and watch of the object on this node. Each Claim and
// Renew is returned once and must be followed by HandleWrite, each ReadObject by
// HandleRead or HandleReadError.
func (h *Holder) NextAction(now time.Time, observer *Observer) Action {
	if h.State() == Holding && !now.Before(h.ValidUntil()) {
		h.fire(lapse)
		h.readNeeded = true
	}
	switch {
	case h.pendingWrite != "" || h.reading:
		return Wait{Until: now.Add(h.retryInterval())}
	case now.Before(h.nextAt):
		return Wait{Until: h.nextAt}
	case h.readNeeded || h.State() != Holding && observer.Status(now) == Unseen:
		h.reading = true
		return ReadObject{}
	case h.State() == Holding:
		return h.renew(now)
	default:
		return h.claim(now, observer)
	}
}

// renew returns the next renewal if it is due.
func (h *Holder) renew(now time.Time) Action {
	due := h.sentAt.Add(h.timeToLive() / renewDivisor)
	if now.Before(due) && !h.renewalRequested {
		return Wait{Until: due}
	}
	h.renewalRequested = false
	return Renew{Expected: h.fence, Token: h.newAttempt(now)}
}

// RequestRenewal makes the next renewal due immediately. It is for a holder that
// stores other data in the lease's object. Renewals are still at least
// RetryInterval apart.
func (h *Holder) RequestRenewal() {
	h.renewalRequested = true
}

// claim returns a claim if the lease is free or was last written by this holder.
func (h *Holder) claim(now time.Time, observer *Observer) Action {
	if observer.Status(now) == Held && !h.owns(observer.Token()) {
		if h.State() == Claiming {
			h.fire(lose)
		}
		return Wait{Until: observer.StaleAt()}
	}
	if h.State() != Claiming {
		// An earlier write no longer proves that this holder has the lease, since
		// a read may return an old version of the object.
		h.attempts = nil
	}
	h.fire(claim)
	return Claim{Expected: observer.Fence(), Token: h.newAttempt(now)}
}

// newAttempt returns the token of a new write and records the time.
func (h *Holder) newAttempt(now time.Time) Token {
	if h.attempts == nil {
		h.attempts = make(map[Token]time.Time)
	}
	if len(h.attempts) >= maxAttempts {
		h.removeOldestAttempt()
	}
	h.attemptCount++
	h.pendingWrite = Token(fmt.Sprintf("%s#%d", h.Name, h.attemptCount))
	h.attempts[h.pendingWrite] = now
	h.nextAt = now.Add(h.retryInterval())
	return h.pendingWrite
}

// removeOldestAttempt stops tracking the oldest attempt. If that write turns out
// to be in the object, the holder recognizes it as its own but not as valid, and
// claims the lease again.
func (h *Holder) removeOldestAttempt() {
	var oldest Token
	for t, at := range h.attempts {
		if oldest == "" || at.Before(h.attempts[oldest]) {
			oldest = t
		}
	}
	delete(h.attempts, oldest)
}

func (h *Holder) retryInterval() time.Duration {
	interval := h.RetryInterval
	if interval == 0 {
		interval = DefaultRetryInterval
	}
	return interval << min(h.failures, maxDoublings)
}

// owns reports whether the token is of a write by this holder.
func (h *Holder) owns(token Token) bool {
	return strings.HasPrefix(string(token), h.Name+"#")
}

// HandleWrite processes the result of a write.
func (h *Holder) HandleWrite(now time.Time, observer *Observer, result WriteResult) {
	if h.pendingWrite == result.Token {
		h.pendingWrite = ""
	}
	if result.Outcome == Failed || result.Outcome == Unknown {
		h.failures++
		h.nextAt = now.Add(h.retryInterval())
	}
	switch result.Outcome {
	case Applied:
		h.failures = 0
		observer.Observe(now, result.Fence, result.Token)
		h.confirm(now, result.Fence, result.Token)
	case Failed:
		delete(h.attempts, result.Token)
	default:
		h.readNeeded = true
	}
}

// HandleRead processes the object as it was read, whether by ReadObject or
// otherwise.
func (h *Holder) HandleRead(now time.Time, observer *Observer, fence Fence, token Token) {
	observer.Observe(now, fence, token)
	h.reading, h.readNeeded, h.failures = false, false, 0
	switch {
	case h.State() == Holding && fence == h.fence:
		// Writes of unknown outcome may still be applied. The next write expects
		// the same version, so that only one of them can take effect.
	case h.owns(token):
		h.confirm(now, fence, token)
	case h.State() == Holding && fence != 0 && fence < h.fence:
		h.readNeeded = true // the read returned an old version of the object
	case h.State() == Holding:
		h.fire(lose)
		h.attempts = nil
	}
}

// HandleReadError records that a ReadObject failed.
func (h *Holder) HandleReadError(now time.Time) {
	h.reading, h.readNeeded = false, true
	h.failures++
	h.nextAt = now.Add(h.retryInterval())
}

// confirm records that a write of this holder is in the object.
func (h *Holder) confirm(now time.Time, fence Fence, token Token) {
	sentAt, known := h.attempts[token]
	if !known || h.State() == Holding && fence < h.fence {
		return
	}
	h.fence, h.sentAt = fence, sentAt
	// All other attempts expected an earlier version and can't take effect.
	h.attempts = map[Token]time.Time{token: sentAt}
	if h.State() == Claiming && now.Before(h.ValidUntil()) {
		h.fire(win)
	}
}

// Release gives up the lease; Valid returns false from now on. If needed is true,
// the caller must perform the returned action, because the object may still name
// this holder.
func (h *Holder) Release() (action Release, needed bool) {
	holding := h.State() == Holding
	h.fire(release)
	return Release{Expected: h.fence}, holding
}

package lease

import (
	"fmt"
	"strings"
	"time"

	"github.com/qmuntal/stateless"
)

// The holder's defaults.
const (
	DefaultRetryInterval = 500 * time.Millisecond
	// marginPart is the default margin's part of the time to live.
	marginPart = 5
	// renewPart is the part of the time to live after which a holder renews.
	renewPart = 3
	// maxAttempts bounds the writes of unknown outcome that are remembered.
	maxAttempts = 64
	// maxDoublings bounds how often Retry doubles while nothing is answered.
	maxDoublings = 3
)

// State is a stage of a holder.
type State string

// The states of a holder.
const (
	None     State = "none"
	Claiming State = "claiming"
	Holding  State = "held"
	Lost     State = "lost"
)

// trigger is what moves a holder between states.
type trigger string

const (
	claim   trigger = "claim"
	win     trigger = "win"
	lose    trigger = "lose"
	lapse   trigger = "lapse"
	release trigger = "release"
)

// Holder wants a lease and keeps it. Name is set before the first call.
type Holder struct {
	// Name is unique to the process: another start of it has another name.
	Name string
	// TimeToLive is the same at every node; zero means DefaultTimeToLive.
	TimeToLive time.Duration
	// Margin is taken from the time to live for clocks that run at other rates;
	// zero means a fifth of the time to live.
	Margin time.Duration
	// RetryInterval is the time between attempts; it doubles a few times while reads and
	// writes fail. Zero means DefaultRetry.
	RetryInterval time.Duration

	// machine is nil until the first call.
	machine *stateless.StateMachine
	// fence is the version of this holder's last write that is known to stand.
	fence Fence
	// sent is when that write was decided; validity counts from it.
	sent time.Time
	// count numbers the attempts.
	count uint64
	// attempts holds when each write of unknown outcome was decided.
	attempts map[Token]time.Time
	// flight is the write that is not answered yet; empty when there is none.
	flight Token
	// reading is true while a read is not answered yet.
	reading bool
	// doubt is true when only a read can tell what the object holds.
	doubt bool
	// after is the earliest time of the next read or write.
	after time.Time
	// failures counts the reads and writes that failed in a row.
	failures int
	// hurry is true while a renewal is due before its time.
	hurry bool
}

// newMachine returns the machine of a holder.
func newMachine() *stateless.StateMachine {
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

// State returns the holder's state. A holder that was paused is Holding until
// it is asked for its next intention; Valid tells the truth at any time.
func (h *Holder) State() State {
	if h.machine == nil {
		h.machine = newMachine()
	}
	state, _ := h.machine.MustState().(State)
	return state
}

// fire moves the machine on. A trigger that the state does not permit is a
// fault of this package.
func (h *Holder) fire(move trigger) {
	state := h.State()
	if err := h.machine.Fire(move); err != nil {
		panic(fmt.Sprintf("lease: %s while %s: %v", move, state, err))
	}
}

// Valid reports whether this holder may act under the lease at that time.
func (h *Holder) Valid(now time.Time) bool {
	return h.State() == Holding && now.Before(h.ValidUntil())
}

// ValidUntil returns when the last write that stands runs out, by the holder's
// margin.
func (h *Holder) ValidUntil() time.Time {
	live := h.timeToLive()
	margin := h.Margin
	if margin == 0 {
		margin = live / marginPart
	}
	return h.sent.Add(live - margin)
}

// Fence returns the version of this holder's last write that is known to stand.
// Work done under the lease carries it.
func (h *Holder) Fence() Fence {
	return h.fence
}

func (h *Holder) timeToLive() time.Duration {
	if h.TimeToLive == 0 {
		return DefaultTimeToLive
	}
	return h.TimeToLive
}

// NextAction returns what to do now. The observer is the one that sees every read and
// watch of the object at this node. Each Claim, Renew and ReadBack is returned
// once and answered by Answered or Read.
func (h *Holder) NextAction(now time.Time, observer *Observer) Action {
	if h.State() == Holding && !now.Before(h.ValidUntil()) {
		h.fire(lapse)
		h.doubt = true
	}
	switch {
	case h.flight != "" || h.reading:
		return Wait{Until: now.Add(h.retry())}
	case now.Before(h.after):
		return Wait{Until: h.after}
	case h.doubt || h.State() != Holding && observer.Status(now) == Unseen:
		h.reading = true
		return ReadObject{}
	case h.State() == Holding:
		return h.renew(now)
	default:
		return h.claim(now, observer)
	}
}

// renew sends the next renewal when it is due.
func (h *Holder) renew(now time.Time) Action {
	due := h.sent.Add(h.timeToLive() / renewPart)
	if now.Before(due) && !h.hurry {
		return Wait{Until: due}
	}
	h.hurry = false
	return Renew{Expected: h.fence, Token: h.attempt(now)}
}

// RequestRenewal makes the next renewal due at once, for a holder whose object carries
// more than the lease. Renewals stay at least Retry apart.
func (h *Holder) RequestRenewal() {
	h.hurry = true
}

// claim sends a claim when the lease is free or stands under this holder's name.
func (h *Holder) claim(now time.Time, observer *Observer) Action {
	if observer.Status(now) == Held && !h.owns(observer.Token()) {
		if h.State() == Claiming {
			h.fire(lose)
		}
		return Wait{Until: observer.StaleAt()}
	}
	if h.State() != Claiming {
		// What stood before is not proof now: an old copy of the object may show it.
		h.attempts = nil
	}
	h.fire(claim)
	return Claim{Expected: observer.Fence(), Token: h.attempt(now)}
}

// attempt numbers a new write and remembers when it was decided.
func (h *Holder) attempt(now time.Time) Token {
	if h.attempts == nil {
		h.attempts = make(map[Token]time.Time)
	}
	if len(h.attempts) >= maxAttempts {
		h.forgetOldest()
	}
	h.count++
	h.flight = Token(fmt.Sprintf("%s#%d", h.Name, h.count))
	h.attempts[h.flight] = now
	h.after = now.Add(h.retry())
	return h.flight
}

// forgetOldest drops the oldest attempt. Should it turn out to stand, the
// holder knows it for its own but not valid, and claims again on top of it.
func (h *Holder) forgetOldest() {
	var oldest Token
	for t, at := range h.attempts {
		if oldest == "" || at.Before(h.attempts[oldest]) {
			oldest = t
		}
	}
	delete(h.attempts, oldest)
}

func (h *Holder) retry() time.Duration {
	retry := h.RetryInterval
	if retry == 0 {
		retry = DefaultRetryInterval
	}
	return retry << min(h.failures, maxDoublings)
}

// owns reports whether a write of this holder left the token.
func (h *Holder) owns(token Token) bool {
	return strings.HasPrefix(string(token), h.Name+"#")
}

// HandleWrite takes in how a write ended.
func (h *Holder) HandleWrite(now time.Time, observer *Observer, answer WriteResult) {
	if h.flight == answer.Token {
		h.flight = ""
	}
	if answer.Outcome == Failed || answer.Outcome == Unknown {
		h.failures++
		h.after = now.Add(h.retry())
	}
	switch answer.Outcome {
	case Applied:
		h.failures = 0
		observer.Observe(now, answer.Fence, answer.Token)
		h.stand(now, answer.Fence, answer.Token)
	case Failed:
		delete(h.attempts, answer.Token)
	default:
		h.doubt = true
	}
}

// HandleRead takes in the object as a read showed it, after a ReadBack or otherwise.
func (h *Holder) HandleRead(now time.Time, observer *Observer, fence Fence, token Token) {
	observer.Observe(now, fence, token)
	h.reading, h.doubt, h.failures = false, false, 0
	switch {
	case h.State() == Holding && fence == h.fence:
		// The writes of unknown outcome may still arrive; the next one expects
		// the same version, so that only one of them can take effect.
	case h.owns(token):
		h.stand(now, fence, token)
	case h.State() == Holding && fence != 0 && fence < h.fence:
		h.doubt = true // an old copy of the object
	case h.State() == Holding:
		h.fire(lose)
		h.attempts = nil
	}
}

// HandleReadError takes in that a ReadBack got no answer.
func (h *Holder) HandleReadError(now time.Time) {
	h.reading, h.doubt = false, true
	h.failures++
	h.after = now.Add(h.retry())
}

// stand takes in that a write of this holder stands in the object.
func (h *Holder) stand(now time.Time, fence Fence, token Token) {
	sent, known := h.attempts[token]
	if !known || h.State() == Holding && fence < h.fence {
		return
	}
	h.fence, h.sent = fence, sent
	// Any other attempt expected an earlier version and can't take effect.
	h.attempts = map[Token]time.Time{token: sent}
	if h.State() == Claiming && now.Before(h.ValidUntil()) {
		h.fire(win)
	}
}

// Release gives the lease up: Valid is false from now on. It returns a Release
// to carry out when the lease may stand under this holder's name.
func (h *Holder) Release() (intention Release, needed bool) {
	held := h.State() == Holding
	h.fire(release)
	return Release{Expected: h.fence}, held
}

package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// Defaults of Admission and Backoff.
const (
	DefaultRate           = 50 // children per second
	DefaultBurst          = 20
	DefaultMaxDelay       = 10 * time.Second
	DefaultBackoffInitial = 200 * time.Millisecond
	DefaultBackoffMax     = 30 * time.Second
	// backoffMultiplier is the factor between two successive upper bounds of a
	// Backoff.
	backoffMultiplier = 2
)

// Admission limits how many children a relay accepts per second. The zero
// Admission is ready to use.
type Admission struct {
	// Rate is the number of children accepted per second; zero means DefaultRate.
	Rate float64
	// Burst is the number of children accepted at once; zero means DefaultBurst.
	Burst int
	// MaxDelay bounds the delay returned by Admit; zero means DefaultMaxDelay.
	MaxDelay time.Duration
	// Source is the source of the jitter; nil means a random one.
	Source rand.Source

	// limiter is nil until the first call.
	limiter *rate.Limiter
	// lastRetryAt is the latest time for which a rejected child was told to
	// retry.
	lastRetryAt time.Time
}

// Admit accepts a child or returns the delay after which it should retry. Retries
// are scheduled at the rate of acceptance, so that many children that reconnect
// at once are spread over time.
func (a *Admission) Admit(now time.Time) (delay time.Duration, ok bool) {
	a.init()
	if a.limiter.AllowN(now, 1) {
		return 0, true
	}
	if a.lastRetryAt.Before(now) {
		a.lastRetryAt = now
	}
	interval := time.Duration(float64(time.Second) / a.Rate)
	a.lastRetryAt = a.lastRetryAt.Add(interval)
	delay = a.lastRetryAt.Sub(now)
	if delay > a.MaxDelay {
		a.lastRetryAt = now.Add(a.MaxDelay)
		delay = a.MaxDelay/2 + time.Duration(uniform(a.Source)*float64(a.MaxDelay/2))
	}
	return delay, false
}

func (a *Admission) init() {
	if a.limiter != nil {
		return
	}
	if a.Rate == 0 {
		a.Rate = DefaultRate
	}
	if a.Burst == 0 {
		a.Burst = DefaultBurst
	}
	if a.MaxDelay == 0 {
		a.MaxDelay = DefaultMaxDelay
	}
	a.limiter = rate.NewLimiter(rate.Limit(a.Rate), a.Burst)
}

// Backoff spaces retries with full jitter: each delay is drawn uniformly between
// zero and an upper bound that doubles. The zero Backoff is ready to use.
type Backoff struct {
	// Initial is the first upper bound; zero means DefaultBackoffInitial.
	Initial time.Duration
	// Max is the largest upper bound; zero means DefaultBackoffMax.
	Max time.Duration
	// Source is the source of the jitter; nil means a random one.
	Source rand.Source

	// upperBound produces the upper bounds; nil until the first call.
	upperBound *backoff.ExponentialBackOff
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	if b.upperBound == nil {
		b.upperBound = &backoff.ExponentialBackOff{
			InitialInterval: b.Initial, MaxInterval: b.Max, Multiplier: backoffMultiplier,
		}
		if b.Initial == 0 {
			b.upperBound.InitialInterval = DefaultBackoffInitial
		}
		if b.Max == 0 {
			b.upperBound.MaxInterval = DefaultBackoffMax
		}
		b.upperBound.Reset()
	}
	return time.Duration(uniform(b.Source) * float64(b.upperBound.NextBackOff()))
}

// Reset returns to the initial upper bound. It is called after a success.
func (b *Backoff) Reset() {
	if b.upperBound != nil {
		b.upperBound.Reset()
	}
}

// uniform returns a random number in [0, 1).
func uniform(source rand.Source) float64 {
	if source == nil {
		return rand.Float64()
	}
	return rand.New(source).Float64()
}

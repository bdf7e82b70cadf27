package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// The admission's and the backoff's defaults.
const (
	DefaultRate           = 50 // accepts a second
	DefaultBurst          = 20
	DefaultMaxDelay       = 10 * time.Second
	DefaultBackoffInitial = 200 * time.Millisecond
	DefaultBackoffMax     = 30 * time.Second
	// growth is the factor between two upper bounds of a backoff.
	growth = 2
)

// Admission caps how many children a relay accepts a second. The zero
// Admission is ready to use.
type Admission struct {
	// Rate is the accepts a second; zero means DefaultRate.
	Rate float64
	// Burst is how many are accepted at once; zero means DefaultBurst.
	Burst int
	// MaxDelay bounds the delay told; zero means DefaultMaxDelay.
	MaxDelay time.Duration
	// Source gives jitter; nil means a random one.
	Source rand.Source

	// limiter is nil until the first call.
	limiter *rate.Limiter
	// promised is the latest time at which a refused child was asked back.
	promised time.Time
}

// Admit accepts a child, or says after which delay it should come back. The
// children refused are asked back at the accepted rate, so that a herd arrives
// spread over time.
func (a *Admission) Admit(now time.Time) (delay time.Duration, ok bool) {
	a.init()
	if a.limiter.AllowN(now, 1) {
		return 0, true
	}
	if a.promised.Before(now) {
		a.promised = now
	}
	step := time.Duration(float64(time.Second) / a.Rate)
	a.promised = a.promised.Add(step)
	delay = a.promised.Sub(now)
	if delay > a.MaxDelay {
		a.promised = now.Add(a.MaxDelay)
		delay = a.MaxDelay/2 + time.Duration(unit(a.Source)*float64(a.MaxDelay/2))
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

// Backoff spaces attempts with full jitter: each delay is drawn evenly between
// zero and a bound that doubles. The zero Backoff is ready to use.
type Backoff struct {
	// Initial is the first bound; zero means DefaultFirst.
	Initial time.Duration
	// Max is the highest bound; zero means DefaultLongest.
	Max time.Duration
	// Source gives jitter; nil means a random one.
	Source rand.Source

	// bounds grows the bound; nil until the first call.
	bounds *backoff.ExponentialBackOff
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	if b.bounds == nil {
		b.bounds = &backoff.ExponentialBackOff{
			InitialInterval: b.Initial, MaxInterval: b.Max, Multiplier: growth,
		}
		if b.Initial == 0 {
			b.bounds.InitialInterval = DefaultBackoffInitial
		}
		if b.Max == 0 {
			b.bounds.MaxInterval = DefaultBackoffMax
		}
		b.bounds.Reset()
	}
	return time.Duration(unit(b.Source) * float64(b.bounds.NextBackOff()))
}

// Reset starts over after a success.
func (b *Backoff) Reset() {
	if b.bounds != nil {
		b.bounds.Reset()
	}
}

// unit draws from [0, 1).
func unit(source rand.Source) float64 {
	if source == nil {
		return rand.Float64()
	}
	return rand.New(source).Float64()
}

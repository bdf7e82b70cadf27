package proxy

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/gate"
)

const (
	// plainEvery is how many requests that went well at the first upstream come to
	// one line in the log.
	plainEvery = 64
	// linesPerSecond bounds the lines on requests.
	linesPerSecond = 200
)

// latencies are the upper bounds of the histogram's buckets.
var latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second,
}

// recorder counts the ends of requests and logs those that tell something: each
// that did not go well at the first upstream, and a few of the rest.
type recorder struct {
	logger  zerolog.Logger
	metrics tally.Scope
	// answered, refused and failed take the latencies of requests by their end.
	answered, refused, failed tally.Histogram
	plain                     atomic.Uint64
	// second is the Unix second that lines were last counted in, and lines how many
	// it had.
	second, lines atomic.Int64
	// skipped counts the lines that the bound left out.
	skipped atomic.Uint64
}

// start prepares the recorder; it is called before the control thread runs.
func (r *recorder) start(logger zerolog.Logger, metrics tally.Scope) {
	r.logger, r.metrics = logger, metrics
	histogram := func(outcome string) tally.Histogram {
		return r.metrics.Tagged(map[string]string{"outcome": outcome}).Histogram("request_seconds", latencies)
	}
	r.answered, r.refused, r.failed = histogram("answered"), histogram("refused"), histogram("failed")
}

// Record implements steer.Recorder.
func (r *recorder) Record(end steer.RequestRecord) {
	switch {
	case end.Reason == "":
		r.answered.RecordDuration(end.Duration)
	case end.Status == 502 || end.Status == 504:
		r.failed.RecordDuration(end.Duration)
	default:
		r.refused.RecordDuration(end.Duration)
	}
	plain := end.Reason == "" && end.Status < 500 && len(end.Attempts) == 1 && !end.Canceled
	if plain && r.plain.Add(1)%plainEvery != 0 || !r.admit() {
		return
	}
	r.log(end)
}

// admit bounds the lines a second and counts those that are left out.
func (r *recorder) admit() bool {
	second := time.Now().Unix()
	if old := r.second.Swap(second); old != second {
		r.lines.Store(0)
	}
	if r.lines.Add(1) > linesPerSecond {
		r.skipped.Add(1)
		return false
	}
	return true
}

// unanswered logs a call that this node's upstream did not answer, with what
// the gate held then.
func (r *recorder) unanswered(head *wire.CallHead, outcome wire.Outcome, reason string, load gate.Load) {
	if !r.admit() {
		return
	}
	r.logger.Info().Str("id", head.GetId()).Str("attempt", head.GetAttempt()).Str("rule", head.GetRoute()).
		Str("service", head.GetService()).Uint32("priority", head.GetPriority()).Bool("notRun", outcome == wire.Outcome_OUTCOME_NOT_RUN).
		Str("reason", reason).Int("running", load.Running).Int("waiting", load.Waiting).Int("slots", load.Slots).
		Dur("left", time.Duration(head.GetRemainingMicros())*time.Microsecond).Msg("call")
}

func (r *recorder) log(end steer.RequestRecord) {
	attempts := zerolog.Arr()
	for _, a := range end.Attempts {
		attempts = attempts.Dict(zerolog.Dict().Str("host", string(a.Host)).Str("outcome", a.Outcome).Str("reason", a.Reason).
			Int("status", a.Status).Int("loadPercent", a.LoadPercent).Dur("expected", a.ExpectedLatency).Dur("took", a.Duration).Dur("atNode", a.NodeTime).Dur("work", a.ServiceTime))
	}
	r.logger.Info().Str("id", end.ID).Str("method", end.Method).Str("for", end.Host).Str("path", end.Path).
		Uint64("version", uint64(end.Version)).Str("rule", end.Rule).Str("service", string(end.Service)).Int("rank", end.Rank).
		Dur("allowed", end.Timeout).Dur("took", end.Duration).Int("status", end.Status).Str("reason", end.Reason).
		Dur("retryAfter", end.RetryAfter).Bool("gone", end.Canceled).Int("attemptCount", len(end.Attempts)).
		Array("attempts", attempts).Msg("request")
}

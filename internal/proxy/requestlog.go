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
	// logSampleInterval is the number of requests answered by the first upstream for
	// each of which one is logged.
	logSampleInterval = 64
	// maxLinesPerSecond limits the log lines about requests.
	maxLinesPerSecond = 200
)

// latencyBuckets are the upper bounds of the histogram buckets.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second,
}

// requestLog counts finished requests and logs a part of them: all that were not
// answered successfully by the first upstream, and a sample of the others.
type requestLog struct {
	logger  zerolog.Logger
	metrics tally.Scope
	// answered, refused and failed hold the latencies of requests by their result.
	answered, refused, failed tally.Histogram
	// unverified counts the requests refused because their key may have been revoked.
	unverified atomic.Uint64
	successes  atomic.Uint64
	// second is the Unix time of the current one-second window, and lines the number
	// of lines logged in it.
	second, lines atomic.Int64
	// droppedLines counts the lines that exceeded the limit.
	droppedLines atomic.Uint64
}

// init sets the logger and the metrics. It must be called before the control thread
// starts.
func (r *requestLog) init(logger zerolog.Logger, metrics tally.Scope) {
	r.logger, r.metrics = logger, metrics
	histogram := func(outcome string) tally.Histogram {
		return r.metrics.Tagged(map[string]string{"outcome": outcome}).Histogram("request_seconds", latencyBuckets)
	}
	r.answered, r.refused, r.failed = histogram("answered"), histogram("refused"), histogram("failed")
}

// Record implements steer.Recorder.
func (r *requestLog) Record(record steer.RequestRecord) {
	if record.Reason == steer.ReasonVersionUnverified {
		r.unverified.Add(1)
	}
	switch {
	case record.Reason == "":
		r.answered.RecordDuration(record.Duration)
	case record.Status == 502 || record.Status == 504:
		r.failed.RecordDuration(record.Duration)
	default:
		r.refused.RecordDuration(record.Duration)
	}
	success := record.Reason == "" && record.Status < 500 && len(record.Attempts) == 1 && !record.Canceled
	if success && r.successes.Add(1)%logSampleInterval != 0 || !r.allowLine() {
		return
	}
	r.log(record)
}

// allowLine reports whether another line may be logged in this second. If not, it
// counts a dropped line.
func (r *requestLog) allowLine() bool {
	second := time.Now().Unix()
	if old := r.second.Swap(second); old != second {
		r.lines.Store(0)
	}
	if r.lines.Add(1) > maxLinesPerSecond {
		r.droppedLines.Add(1)
		return false
	}
	return true
}

// logUnanswered logs a call that the upstream of this node did not answer, with the
// load of the gate at that time.
func (r *requestLog) logUnanswered(head *wire.CallHead, outcome wire.Outcome, reason string, load gate.Load) {
	if !r.allowLine() {
		return
	}
	r.logger.Info().Str("id", head.GetId()).Str("attempt", head.GetAttempt()).Str("rule", head.GetRoute()).
		Str("service", head.GetService()).Uint32("priority", head.GetPriority()).Bool("notRun", outcome == wire.Outcome_OUTCOME_NOT_RUN).
		Str("reason", reason).Int("running", load.Running).Int("waiting", load.Waiting).Int("slots", load.Slots).
		Dur("left", time.Duration(head.GetRemainingMicros())*time.Microsecond).Msg("call")
}

func (r *requestLog) log(record steer.RequestRecord) {
	attempts := zerolog.Arr()
	for _, a := range record.Attempts {
		attempts = attempts.Dict(zerolog.Dict().Str("host", string(a.Host)).Str("outcome", a.Outcome).Str("reason", a.Reason).
			Int("status", a.Status).Int("loadPercent", a.LoadPercent).Dur("expected", a.ExpectedLatency).Dur("took", a.Duration).Dur("atNode", a.NodeTime).Dur("work", a.ServiceTime))
	}
	r.logger.Info().Str("id", record.ID).Str("method", record.Method).Str("for", record.Host).Str("path", record.Path).
		Uint64("version", uint64(record.Version)).Str("rule", record.Rule).Str("service", string(record.Service)).Int("rank", record.Rank).Str("account", string(record.Account)).
		Dur("allowed", record.Timeout).Dur("took", record.Duration).Int("status", record.Status).Str("reason", record.Reason).
		Dur("retryAfter", record.RetryAfter).Bool("gone", record.Canceled).Int("attemptCount", len(record.Attempts)).
		Array("attempts", attempts).Msg("request")
}

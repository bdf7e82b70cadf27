package gate

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// waitPeriod is how long waits are counted together, and waitPeriods the number of
	// periods that a quantile covers.
	waitPeriod  = 10 * time.Second
	waitPeriods = 6
	// maxRecordedWait is the greatest wait that is distinguished, and waitDigits the
	// number of its significant digits.
	maxRecordedWait = time.Minute
	waitDigits      = 2
)

// waitHistogram counts the waits for a slot of the last minute. The zero waitHistogram is
// empty.
type waitHistogram struct {
	mutex sync.Mutex
	// counts is nil before the first wait; guarded by mutex.
	counts *hdrhistogram.WindowedHistogram
	// periodEnd is the end of the current period; guarded by mutex.
	periodEnd time.Time
}

// record counts a wait that ended now.
func (w *waitHistogram) record(now time.Time, wait time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	_ = w.counts.Current.RecordValue(min(max(wait, 0), maxRecordedWait).Microseconds())
}

// quantile returns the wait that the given percentage of requests did not exceed; zero
// without requests.
func (w *waitHistogram) quantile(now time.Time, percent float64) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rotate(now)
	return time.Duration(w.counts.Merge().ValueAtQuantile(percent)) * time.Microsecond
}

// rotate discards the periods that are over.
func (w *waitHistogram) rotate(now time.Time) {
	if w.counts == nil {
		w.counts = hdrhistogram.NewWindowed(waitPeriods, 1, maxRecordedWait.Microseconds(), waitDigits)
		w.periodEnd = now.Add(waitPeriod)
	}
	for n := 0; n < waitPeriods && !now.Before(w.periodEnd); n++ {
		w.counts.Rotate()
		w.periodEnd = w.periodEnd.Add(waitPeriod)
	}
	if !now.Before(w.periodEnd) {
		w.periodEnd = now.Add(waitPeriod)
	}
}

// WaitQuantile returns the wait for a slot that the given percentage of the requests of
// the last minute did not exceed. Refused requests do not count.
func (g *Gate) WaitQuantile(now time.Time, percent float64) time.Duration {
	return g.waits.quantile(now, percent)
}

package gate

import "time"

const (
	// baselineDecreaseGain is the weight of a new mean that is faster than the
	// baseline.
	baselineDecreaseGain = 0.25
	// baselineIncreaseGain is the weight of a new mean that is slower than the
	// baseline, so that the baseline follows a lasting change within minutes.
	baselineIncreaseGain = 0.01
)

// baseline tracks the typical service time of one priority while the upstream is
// healthy, as a binary logarithm. The zero baseline has no value yet.
type baseline struct {
	// value is valid only if known is set.
	value float64
	known bool
	sum   float64
	// samples is the number of samples in sum, below windowSamples.
	samples int
}

func (b *baseline) observe(elapsed time.Duration) {
	b.sum += log2(elapsed)
	b.samples++
	if b.samples < windowSamples {
		return
	}
	mean := b.sum / windowSamples
	b.sum, b.samples = 0, 0
	switch {
	case !b.known:
		b.value, b.known = mean, true
	case mean < b.value:
		b.value += baselineDecreaseGain * (mean - b.value)
	default:
		b.value += baselineIncreaseGain * (mean - b.value)
	}
}

// logRatio returns the binary logarithm of the ratio of the service time to the
// baseline, or 0 if there is no baseline yet.
func (b *baseline) logRatio(elapsed time.Duration) float64 {
	if !b.known {
		return 0
	}
	return log2(elapsed) - b.value
}

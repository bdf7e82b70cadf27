package sizing

import (
	"math"
	"slices"
	"time"
)

// point is one measured value at one size.
type point struct {
	size  float64
	value float64
}

// line is the line value = intercept + slope * size.
type line struct {
	intercept float64
	slope     float64
}

// fitLine returns the least-squares line through the points. With fewer than two
// different sizes the slope is zero.
func fitLine(points []point) (l line) {
	if len(points) == 0 {
		return l
	}
	var size, value float64
	for _, p := range points {
		size += p.size / float64(len(points))
		value += p.value / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.size - size) * (p.value - value)
		variance += (p.size - size) * (p.size - size)
	}
	if variance > 0 {
		l.slope = covariance / variance
	}
	l.intercept = value - l.slope*size
	return l
}

// quantile returns the smallest duration that at least that share of all durations
// does not exceed (the nearest-rank method), zero if there are none.
func quantile(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

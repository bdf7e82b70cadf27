package sizing

import (
	"math"
	"slices"
	"time"
)

// point is one reading at one size.
type point struct {
	size  float64
	value float64
}

// line is value = Base + Slope * size.
type line struct {
	base  float64
	slope float64
}

// fit returns the line of least squares through the points. Fewer than two
// sizes have a slope of zero.
func fit(points []point) (l line) {
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
	l.base = value - l.slope*size
	return l
}

// quantile returns the least duration that the share of all does not exceed.
func quantile(all []time.Duration, share float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

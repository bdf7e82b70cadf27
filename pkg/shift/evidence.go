package shift

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// sliceTime is the resolution of the evidence.
	sliceTime = 500 * time.Millisecond
	// minFailures is the number of failures below which a release is not bad.
	minFailures = 4
	// failureFloor is the rate of failures, or of late requests, that is tolerated in any
	// release, and failureFactor the tolerated multiple of the rate of the others.
	failureFloor, failureFactor = 0.03, 2.0
	// failureDoubt is the negative logarithm of the probability that a tolerable release
	// shows such failures in one test.
	failureDoubt = 10.0
	// minTimed is the number of service times below which they are not compared.
	minTimed = 6
	// slowRatio is the ratio of service times above which a release is slow. Hosts of the
	// same service differ by up to a factor of three.
	slowRatio = 3.5
	// slowDeviations is the number of standard errors by which service times must differ.
	slowDeviations = 4.0
	// minLogVariance is the least assumed variance of the logarithm of service times.
	minLogVariance = 0.1
	// spreadRatio is the ratio of the variances of the logarithm of service times, each within
	// its routes, above which a part of the requests is slow. The speed of a host does not
	// change its variance. spreadDeviations is the number of standard errors by which the
	// logarithm of the ratio must be above zero, and spreadKurtosis the assumed kurtosis less
	// one, which the standard error depends on.
	spreadRatio      = 3.0
	spreadDeviations = 4.0
	spreadKurtosis   = 5.0
	// minRouteResponses is the number of responses on a route that count as evidence.
	minRouteResponses = 8
	// reportDelay is the time after which the counts of all proxies have arrived.
	reportDelay = 750 * time.Millisecond
	// maxMaturity limits the time after which a request counts as evidence.
	maxMaturity = 10 * time.Second
)

// windows are the spans over which the outcomes are tested. A fault that begins late
// shows in the short ones first, a rare one in the whole time (zero).
var windows = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 0}

// slice holds the counts of one sliceTime.
type slice struct {
	from   time.Time
	counts Counts
}

// Evidence holds the outcomes of the releases of a service since an order. The zero
// Evidence is empty.
type Evidence struct {
	slices []slice
	total  Counts
}

// Add adds counts that were received now.
func (e *Evidence) Add(now time.Time, counts Counts) {
	if len(counts) == 0 {
		return
	}
	if n := len(e.slices); n == 0 || now.Sub(e.slices[n-1].from) >= sliceTime {
		e.slices = append(e.slices, slice{from: now, counts: make(Counts)})
		e.slices = slices.DeleteFunc(e.slices, func(s slice) bool { return now.Sub(s.from) > maxMaturity+sliceTime })
	}
	if e.total == nil {
		e.total = make(Counts)
	}
	e.slices[len(e.slices)-1].counts.Add(counts)
	e.total.Add(counts)
}

// Judge returns why the target is worse than the other releases; empty if nothing shows
// that.
func (e *Evidence) Judge(now time.Time, target mesh.Release) (reason string) {
	for _, w := range windows {
		if reason = judge(e.countsOf(now, w, target), target); reason != "" {
			return reason
		}
	}
	return ""
}

// countsOf returns the counts of one of the windows.
func (e *Evidence) countsOf(now time.Time, window time.Duration, target mesh.Release) Counts {
	if window == 0 {
		return e.withOverdue(now, target)
	}
	sum := make(Counts)
	for _, s := range e.slices {
		if now.Sub(s.from) <= window {
			sum.Add(s.counts)
		}
	}
	return sum
}

// maturity returns the time after which a request on a route would be late, and all proxies
// have told of it.
func maturity(c Comparison) time.Duration {
	usual := c.Others
	if usual.Timed == 0 {
		usual = c.Target
	}
	mean, _ := usual.meanLog()
	return min(maxMaturity, time.Duration(LateFactor*math.Exp(mean)*float64(time.Millisecond))+reportDelay)
}

// Matured returns, for each route, the number of requests that ran at the target and were
// given the time that a slow one takes. The first responses are always those of quick requests.
func (e *Evidence) Matured(now time.Time, target mesh.Release) (matured map[string]uint64) {
	matured = make(map[string]uint64)
	for route, c := range e.ByRoute(target) {
		key, recent := Key{Release: target, Route: route}, Count{}
		for _, s := range e.slices {
			if now.Sub(s.from) < maturity(c) {
				recent = recent.plus(s.counts[key])
			}
		}
		started := c.Target.Started - recent.Started
		matured[route] = started - min(started, c.Target.Refused)
	}
	return matured
}

// withOverdue returns the total counts, in which each request to the target that has matured
// without an outcome counts as late. A proxy that started with the trial does not know yet
// which requests are late.
func (e *Evidence) withOverdue(now time.Time, target mesh.Release) Counts {
	counts := maps.Clone(e.total)
	for route, matured := range e.Matured(now, target) {
		key := Key{Release: target, Route: route}
		c := counts[key]
		if ended := c.Ended - c.Refused; matured > ended {
			c.Late = max(c.Late, matured-ended)
			counts[key] = c
		}
	}
	return counts
}

// Comparison holds the counts of one route: those of the target and of the others.
type Comparison struct {
	Target, Others Count
}

// ByRoute returns the counts of each route.
func (e *Evidence) ByRoute(target mesh.Release) map[string]Comparison {
	return byRoute(e.total, target)
}

func byRoute(counts Counts, target mesh.Release) map[string]Comparison {
	routes := make(map[string]Comparison)
	for key, c := range counts {
		entry := routes[key.Route]
		if key.Release == target {
			entry.Target = entry.Target.plus(c)
		} else {
			entry.Others = entry.Others.plus(c)
		}
		routes[key.Route] = entry
	}
	return routes
}

// judge tests the counts of each route and of all of them together.
func judge(counts Counts, target mesh.Release) (reason string) {
	var all pooled
	routes := byRoute(counts, target)
	for _, name := range sortedKeys(routes) {
		r := routes[name]
		if fails(r.Target.Responses, r.Target.Failures, tolerable(r.Others.failureRate())) {
			return fmt.Sprintf("route %s: %d of %d failed, others %.1f%%", name, r.Target.Failures, r.Target.Responses, 100*r.Others.failureRate())
		}
		if fails(r.Target.Responses+r.Target.Late, r.Target.Late, tolerable(r.Others.lateRate())) {
			return fmt.Sprintf("route %s: %d requests late, others %.1f%%", name, r.Target.Late, 100*r.Others.lateRate())
		}
		if ratio, slow := slower(r); slow {
			return fmt.Sprintf("route %s: %d responses %.1f times slower", name, r.Target.Timed, ratio)
		}
		all.add(r)
	}
	return all.judge()
}

// tolerable returns the rate of failures or late requests that is tolerated if others have
// the given rate.
func tolerable(others float64) float64 {
	return min(0.95, max(failureFloor, failureFactor*others))
}

// fails reports whether so many failures are improbable at the tolerable rate. The bound
// is that of Chernoff.
func fails(responses, failures uint64, rate float64) bool {
	if failures < minFailures {
		return false
	}
	n, p := float64(responses), float64(failures)/float64(responses)
	if p <= rate {
		return false
	}
	divergence := p * math.Log(p/rate)
	if p < 1 {
		divergence += (1 - p) * math.Log((1-p)/(1-rate))
	}
	return n*divergence >= failureDoubt
}

// slower reports whether the target is slower by more than slowRatio.
func slower(r Comparison) (ratio float64, slow bool) {
	if r.Target.Timed < minTimed || r.Others.Timed < minTimed {
		return 0, false
	}
	target, _ := r.Target.meanLog()
	others, variance := r.Others.meanLog()
	return isSlow(target-others, variance, float64(r.Target.Timed), float64(r.Others.Timed))
}

// isSlow tests the difference of two means of logarithms.
func isSlow(difference, variance, n, others float64) (ratio float64, slow bool) {
	deviation := math.Sqrt(max(variance, minLogVariance) * (1/n + 1/others))
	return math.Exp(difference), difference >= math.Log(slowRatio) && difference >= slowDeviations*deviation
}

// pooled combines the routes, each compared with the others on the same route. A slow
// release answers too few requests of each route to tell them apart soon.
type pooled struct {
	responses, failures, late uint64
	// expected and expectedLate are the sums of the tolerable failures and late requests.
	expected, expectedLate float64
	// difference is the weighted sum of the differences, and variance that of the
	// variances.
	timed, others        uint64
	difference, variance float64
	// spread is the weighted sum of the variances of the target, and usualSpread the one that
	// the others have.
	spread, usualSpread float64
}

func (p *pooled) add(r Comparison) {
	p.responses += r.Target.Responses
	p.failures += r.Target.Failures
	p.late += r.Target.Late
	p.expected += float64(r.Target.Responses) * tolerable(r.Others.failureRate())
	p.expectedLate += float64(r.Target.Responses+r.Target.Late) * tolerable(r.Others.lateRate())
	if r.Target.Timed == 0 || r.Others.Timed < minTimed {
		return
	}
	target, spread := r.Target.meanLog()
	others, variance := r.Others.meanLog()
	n := float64(r.Target.Timed)
	p.spread += n * spread
	p.usualSpread += n * max(variance, minLogVariance)
	p.timed += r.Target.Timed
	p.others += r.Others.Timed
	p.difference += n * (target - others)
	p.variance += n * variance
}

func (p *pooled) judge() (reason string) {
	if p.responses > 0 && fails(p.responses, p.failures, p.expected/float64(p.responses)) {
		return fmt.Sprintf("all routes: %d of %d failed", p.failures, p.responses)
	}
	if n := p.responses + p.late; n > 0 && fails(n, p.late, p.expectedLate/float64(n)) {
		return fmt.Sprintf("all routes: %d requests late", p.late)
	}
	if p.timed < minTimed {
		return ""
	}
	n := float64(p.timed)
	if ratio, slow := isSlow(p.difference/n, p.variance/n, n, float64(p.others)); slow {
		return fmt.Sprintf("all routes: %d responses %.1f times slower", p.timed, ratio)
	}
	if ratio := p.spread / p.usualSpread; isSpread(ratio, n) {
		return fmt.Sprintf("all routes: service times of %d responses vary %.1f times as much", p.timed, ratio)
	}
	return ""
}

// isSpread tests the ratio of two variances, the first one of n values.
func isSpread(ratio, n float64) bool {
	return ratio >= spreadRatio && math.Log(ratio) >= spreadDeviations*math.Sqrt(spreadKurtosis/n)
}

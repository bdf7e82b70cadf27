package gate

import (
	"math"
	"time"
)

const (
	// learnInterval is the time between two updates of the weights.
	learnInterval = time.Second
	// maxLearnGap bounds the time without requests that counts, so that the usual loads
	// outlast an idle night.
	maxLearnGap = 10 * time.Second
	// learnTime is the time at the start for which the usual load is the plain mean. The
	// weights begin equal and reach their exponent at its end, so that a flood during a
	// restart counts little as usual.
	learnTime = 5 * time.Minute
	// recentTime and usualTime are the time constants of the recent and the usual load.
	recentTime = time.Minute
	usualTime  = 10 * time.Minute
	// maxGrowth bounds the recent load, in times of the usual one, by which the usual load
	// is updated. It then grows by at most 1% a minute, so that a flood of some minutes
	// does not become usual.
	maxGrowth = 1.1
	// weightExponent makes the weights grow a little less than the usual loads. With
	// weights in proportion to these, a flood of the largest account leaves the others
	// exactly their usual share of a full upstream, and their bursts are refused.
	weightExponent = 0.9
	// leastUsualShare is the least usual load that counts for a weight, in times of the
	// mean of all accounts.
	leastUsualShare = 0.25
)

// usage measures the load that one account offers, in slots.
type usage struct {
	// work is the service time offered since the last update, and total that in the first
	// learnTime, both in seconds.
	work, total   float64
	recent, usual float64
}

// update adds the work since the last update.
func (u *usage) update(elapsed, age, least, recentGain, usualGain float64) {
	if age <= learnTime.Seconds() {
		u.total += u.work
		u.recent = u.total / age
		u.usual, u.work = u.recent, 0
		return
	}
	u.recent += recentGain * (u.work/elapsed - u.recent)
	u.usual += usualGain * (min(u.recent, maxGrowth*max(u.usual, least)) - u.usual)
	u.work = 0
}

// learn counts an arriving request and updates the weights.
func (fs *flows) learn(now time.Time, r *Request) {
	if r.Account == "" && fs.byAccount == nil {
		return
	}
	f := fs.of(r)
	f.usage.work += r.cost.Seconds()
	if fs.learnedAt.IsZero() {
		fs.learnedAt = now
	}
	elapsed := now.Sub(fs.learnedAt)
	if elapsed < learnInterval {
		return
	}
	elapsed = min(elapsed, maxLearnGap)
	fs.learnedAt = now
	fs.learnedFor += elapsed
	age := fs.learnedFor.Seconds()
	recentGain, usualGain := gain(elapsed, recentTime), gain(elapsed, usualTime)
	sum := 0.0
	for _, f := range fs.byAccount {
		f.usage.update(elapsed.Seconds(), age, fs.leastUsual, recentGain, usualGain)
		sum += f.usage.usual
	}
	fs.anonymous.usage.update(elapsed.Seconds(), age, 0, recentGain, usualGain)
	exponent := weightExponent * min(1, age/learnTime.Seconds())
	fs.anonymous.weight = math.Pow(fs.anonymous.usage.usual, exponent)
	least := leastUsualShare * sum / float64(len(fs.byAccount))
	fs.leastUsual, fs.leastWeight = least, math.Pow(least, exponent)
	for _, f := range fs.byAccount {
		f.learned = math.Pow(max(f.usage.usual, least), exponent)
	}
	fs.setWeights()
}

// setWeights sets the weights: the configured ones if all accounts have one, which hold
// from the first request, otherwise those by the usual loads, which take minutes to learn.
func (fs *flows) setWeights() {
	sum, configured := 0.0, true
	for _, f := range fs.byAccount {
		sum += f.configured
		configured = configured && f.configured > 0
	}
	least := leastUsualShare * sum / float64(max(1, len(fs.byAccount)))
	fs.weights = 0
	for _, f := range fs.byAccount {
		f.weight = f.learned
		if configured {
			f.weight = math.Pow(max(f.configured, least), weightExponent)
		}
		if f.waiting > 0 {
			fs.weights += f.weight
		}
	}
}

// gain returns the weight of the last elapsed time in a moving average.
func gain(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
}

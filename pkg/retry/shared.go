package retry

import (
	"math"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// windowBuckets is the number of buckets that a window is divided into.
	windowBuckets = 20
	// usedPercent is the percentage of the limit that is used. The rest is a margin
	// for small differences between the counts of the nodes.
	usedPercent = 80
	// fanOutGain is the weight of a new sample in the moving average of a fan-out.
	fanOutGain = 0.1
	// fanOutCap bounds a fan-out, whether measured here or reported by another node.
	fanOutCap = 5
)

// SharedLimit limits the retries that all nodes together may send to a service.
type SharedLimit struct {
	// Window is the length of the sliding window to which the limit applies.
	Window time.Duration
	// Ratio is the allowed number of retries per request, and Slack is the number of
	// retries allowed on top.
	Ratio, Slack float64
}

// SharedBudget enforces this node's part of a limit on retries that applies to all
// nodes together. A retry also makes its upstream repeat its own calls to other
// services, so it counts against their limits too. It is safe for concurrent use.
// The zero SharedBudget allows no retries.
type SharedBudget struct {
	mutex sync.Mutex
	limit SharedLimit
	// epoch is the time of the first use, when bucket 0 begins.
	epoch time.Time
	// services has at most maxAccounts entries and is cleared when full; guarded by mutex.
	services map[mesh.Service]*counters
	// runs counts the requests that this node's upstream ran; guarded by mutex.
	runs counters
}

// counters holds the requests and retries of one service in a ring of buckets.
// There is one bucket more than fits the window, because the current one is
// incomplete.
type counters struct {
	// newestBucket is the number of the current bucket, counted from epoch.
	newestBucket int64
	requests     [windowBuckets + 1]float64
	// retries includes the calls to this service that retries to other services
	// cause.
	retries [windowBuckets + 1]float64
	// fanOut is the moving average of the calls to another service that one request
	// makes.
	fanOut float64
	// byAccount holds the recent retries of each client account; nil until one has any.
	byAccount map[mesh.Account]*recentRetries
}

// recentRetries is the number of retries of one account. Their weight falls with the
// window of the limit as its time constant.
type recentRetries struct {
	count   float64
	updated time.Time
}

// Configure sets the limit.
func (b *SharedBudget) Configure(limit SharedLimit) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
}

// RecordRequest counts a request to the service.
func (b *SharedBudget) RecordRequest(now time.Time, service mesh.Service) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c, index := b.countersOf(now, service); c != nil {
		c.requests[index]++
	}
}

// RecordRun counts a request that this node's upstream runs.
func (b *SharedBudget) RecordRun(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.limit.Window >= windowBuckets {
		b.runs.requests[b.runs.advance(b.bucket(now))]++
	}
}

// MaxFanOut returns the fan-out of this node's upstream: the number of calls to
// another service that one request makes, for the service that it calls most. It
// is an upper bound, because requests that other callers sent through this node
// are counted too.
func (b *SharedBudget) MaxFanOut(now time.Time, own mesh.Service) (fanOut float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.limit.Window < windowBuckets {
		return 0
	}
	b.runs.advance(b.bucket(now))
	runs := sum(&b.runs.requests)
	if runs == 0 {
		return 0
	}
	for service := range b.services {
		if service != own {
			c, _ := b.countersOf(now, service)
			fanOut = max(fanOut, sum(&c.requests)/runs)
		}
	}
	return min(fanOut, fanOutCap)
}

// RecordFanOut adds a reported fan-out of the service: the number of calls to
// another service that one request makes.
func (b *SharedBudget) RecordFanOut(now time.Time, service mesh.Service, fanOut float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if c, _ := b.countersOf(now, service); c != nil {
		c.fanOut += fanOutGain * (min(fanOut, fanOutCap) - c.fanOut)
	}
}

// TryWithdraw counts a retry if this node's part of the limit allows another one,
// and reports whether it does. nodes is the number of nodes that share the limit.
func (b *SharedBudget) TryWithdraw(now time.Time, service mesh.Service, nodes int) (taken bool) {
	return b.TryWithdrawFor(now, service, "", nodes)
}

// TryWithdrawFor is like TryWithdraw for a request of a client account; empty means an
// anonymous request. An account gets no more retries than are left for the others, so
// that one whose requests all fail takes at most half of the budget.
func (b *SharedBudget) TryWithdrawFor(now time.Time, service mesh.Service, account mesh.Account, nodes int) (taken bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c, index := b.countersOf(now, service)
	if c == nil || !b.allows(c, 1, nodes) {
		return false
	}
	used := c.retriesOf(now, account, b.limit.Window)
	if used >= max(1, b.left(c, nodes)) {
		return false
	}
	for other := range b.services {
		if o, _ := b.countersOf(now, other); other != service && !b.allows(o, c.fanOut, nodes) {
			return false
		}
	}
	c.retries[index]++
	c.addRetry(now, account, used)
	for other, o := range b.services {
		if other != service {
			o.retries[index] += c.fanOut
		}
	}
	return true
}

// allows reports whether this node's part of the limit allows that many more
// retries.
func (b *SharedBudget) allows(c *counters, extra float64, nodes int) bool {
	return extra == 0 || extra <= b.left(c, nodes)
}

// left returns how many more retries this node's part of the limit allows.
func (b *SharedBudget) left(c *counters, nodes int) float64 {
	allowed := (b.limit.Ratio*sum(&c.requests) + b.limit.Slack/float64(max(nodes, 1))) * usedPercent / 100
	return allowed - sum(&c.retries)
}

// retriesOf returns the recent retries of an account, zero for anonymous requests.
func (c *counters) retriesOf(now time.Time, account mesh.Account, window time.Duration) float64 {
	r := c.byAccount[account]
	if r == nil {
		return 0
	}
	return r.count * math.Exp(-float64(now.Sub(r.updated))/float64(window))
}

// addRetry counts a retry of an account that had that many recent ones.
func (c *counters) addRetry(now time.Time, account mesh.Account, recent float64) {
	if account == "" {
		return
	}
	r := c.byAccount[account]
	if r == nil {
		if c.byAccount == nil || len(c.byAccount) >= maxAccounts {
			c.byAccount = make(map[mesh.Account]*recentRetries)
		}
		r = &recentRetries{}
		c.byAccount[account] = r
	}
	r.count, r.updated = recent+1, now
}

func sum(buckets *[windowBuckets + 1]float64) (total float64) {
	for _, n := range buckets {
		total += n
	}
	return total
}

// bucket returns the number of the bucket at that time. A request that arrived before
// the first use counts in bucket 0, because a waiting request is recorded with the
// time of its arrival.
func (b *SharedBudget) bucket(now time.Time) int64 {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	return max(0, int64(now.Sub(b.epoch)/(b.limit.Window/windowBuckets)))
}

// advance clears the buckets that have expired and returns the index of the
// current one.
func (c *counters) advance(bucket int64) (index int) {
	for passed := min(bucket-c.newestBucket, windowBuckets+1); passed > 0; passed-- {
		i := int((bucket - passed + 1) % (windowBuckets + 1))
		c.requests[i], c.retries[i] = 0, 0
	}
	c.newestBucket = max(c.newestBucket, bucket)
	return int(c.newestBucket % (windowBuckets + 1))
}

// countersOf returns the counters of the service, with expired buckets cleared,
// and the index of the current bucket. It returns nil if there is no limit.
func (b *SharedBudget) countersOf(now time.Time, service mesh.Service) (c *counters, index int) {
	if b.limit.Window < windowBuckets {
		return nil, 0
	}
	bucket := b.bucket(now)
	c = b.services[service]
	if c == nil {
		if b.services == nil {
			b.services = make(map[mesh.Service]*counters)
		}
		if len(b.services) >= maxAccounts {
			clear(b.services)
		}
		c = &counters{newestBucket: bucket}
		b.services[service] = c
	}
	return c, c.advance(bucket)
}

package objapi

import (
	"sync"
	"time"
)

// rateWindowSeconds is the period over which rates are averaged.
const rateWindowSeconds = 10

// CallCount counts the calls of one kind.
type CallCount struct {
	// Total is the number of calls since the Server was created.
	Total uint64 `json:"total"`
	// PerSecond is the average rate over the last ten full seconds.
	PerSecond float64 `json:"perSecond"`
	// Peak is the largest number of calls in one clock second.
	Peak uint64 `json:"peak"`
}

// Stats describes the stored objects and the calls received. A call is counted
// on arrival, even if it is then rejected. A watch is one call, however long it
// waits.
type Stats struct {
	Objects  int    `json:"objects"`
	Revision uint64 `json:"revision"`
	// Era is the number of times that the store was restored from a copy.
	Era uint64 `json:"era,omitempty"`
	// WaitingWatches is the number of watches now waiting for events.
	WaitingWatches int       `json:"waitingWatches"`
	Get            CallCount `json:"get"`
	List           CallCount `json:"list"`
	Watch          CallCount `json:"watch"`
	Create         CallCount `json:"create"`
	Update         CallCount `json:"update"`
	Delete         CallCount `json:"delete"`
	// Reads is the sum of Get, List and Watch; Writes is the sum of Create,
	// Update and Delete.
	Reads  CallCount `json:"reads"`
	Writes CallCount `json:"writes"`
	// RateLimited counts calls answered with 429.
	RateLimited uint64 `json:"refusedByRate"`
	// FailedByOutage counts calls answered with 503 or dropped.
	FailedByOutage uint64 `json:"refusedWhileDown"`
	// LostResponses counts writes that took effect but got no response.
	LostResponses uint64 `json:"lostAnswers"`
}

// callKind identifies a kind of call, or the sum of several.
type callKind int

const (
	kindGet callKind = iota
	kindList
	kindWatch
	kindCreate
	kindUpdate
	kindDelete
	kindReads
	kindWrites
	numKinds
)

func (k callKind) isWrite() bool {
	return k >= kindCreate
}

// rateMeter counts calls per second.
type rateMeter struct {
	total, peak uint64
	// second is the Unix time of the newest bucket.
	second int64
	// buckets is a ring of counts per second, for the newest second and the
	// ones before it. A second's index is its Unix time modulo the length.
	buckets [rateWindowSeconds + 1]uint64
}

// advance moves to the given second and clears the buckets of the seconds since
// the last call.
func (m *rateMeter) advance(second int64) {
	first := max(m.second+1, second-rateWindowSeconds)
	for s := first; s <= second; s++ {
		m.buckets[s%int64(len(m.buckets))] = 0
	}
	m.second = max(m.second, second)
}

func (m *rateMeter) add(second int64) {
	m.advance(second)
	m.total++
	b := &m.buckets[m.second%int64(len(m.buckets))]
	*b++
	m.peak = max(m.peak, *b)
}

func (m *rateMeter) result(second int64) CallCount {
	m.advance(second)
	sum := uint64(0)
	for _, b := range m.buckets {
		sum += b
	}
	sum -= m.buckets[m.second%int64(len(m.buckets))]
	return CallCount{Total: m.total, PerSecond: float64(sum) / rateWindowSeconds, Peak: m.peak}
}

// callStats counts calls by kind and by fault.
type callStats struct {
	mutex sync.Mutex
	// meters and all below are guarded by mutex.
	meters                                     [numKinds]rateMeter
	rateLimited, failedByOutage, lostResponses uint64
}

func (c *callStats) add(k callKind, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.meters[k].add(now.Unix())
	if k.isWrite() {
		c.meters[kindWrites].add(now.Unix())
		return
	}
	c.meters[kindReads].add(now.Unix())
}

// increment adds one to the counter, which must be a field of c.
func (c *callStats) increment(counter *uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*counter++
}

func (c *callStats) snapshot(now time.Time) Stats {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := func(k callKind) CallCount { return c.meters[k].result(now.Unix()) }
	return Stats{
		Get: count(kindGet), List: count(kindList), Watch: count(kindWatch),
		Create: count(kindCreate), Update: count(kindUpdate), Delete: count(kindDelete),
		Reads: count(kindReads), Writes: count(kindWrites),
		RateLimited: c.rateLimited, FailedByOutage: c.failedByOutage, LostResponses: c.lostResponses,
	}
}

package objapi

import (
	"sync"
	"time"
)

// rateWindow is the span over which rates are averaged, in seconds.
const rateWindow = 10

// CallCount tells how often one kind of call came.
type CallCount struct {
	// Total counts since the stand-in was made.
	Total uint64 `json:"total"`
	// PerSecond is the average over the last ten full seconds.
	PerSecond float64 `json:"perSecond"`
	// Peak is the most in one second of the clock.
	Peak uint64 `json:"peak"`
}

// Stats tells what the stand-in holds and which calls it got. A call counts
// once when it comes, whether or not it is then refused, and a watch counts as
// one however long it waits.
type Stats struct {
	Objects  int    `json:"objects"`
	Revision uint64 `json:"revision"`
	// WaitingWatches counts the watches that wait now.
	WaitingWatches int       `json:"waitingWatches"`
	Get            CallCount `json:"get"`
	List           CallCount `json:"list"`
	Watch          CallCount `json:"watch"`
	Create         CallCount `json:"create"`
	Update         CallCount `json:"update"`
	Delete         CallCount `json:"delete"`
	// Reads sums Get, List and Watch; Writes sums Create, Update and Delete.
	Reads  CallCount `json:"reads"`
	Writes CallCount `json:"writes"`
	// RateLimited counts the calls answered 429.
	RateLimited uint64 `json:"refusedByRate"`
	// FailedByOutage counts the calls answered 503 or dropped.
	FailedByOutage uint64 `json:"refusedWhileDown"`
	// LostResponses counts the writes that took effect and got no answer.
	LostResponses uint64 `json:"lostAnswers"`
}

// kind is a kind of call.
type kind int

const (
	kindGet kind = iota
	kindList
	kindWatch
	kindCreate
	kindUpdate
	kindDelete
	kindReads
	kindWrites
	numKinds
)

func (k kind) write() bool {
	return k >= kindCreate
}

// meter counts one kind of call by second.
type meter struct {
	total, peak uint64
	// second is the Unix second of the newest bucket.
	second int64
	// buckets holds the counts of the newest second and the ones before it, at
	// their second modulo the length.
	buckets [rateWindow + 1]uint64
}

// advance clears the buckets of the seconds that passed.
func (m *meter) advance(second int64) {
	first := max(m.second+1, second-rateWindow)
	for s := first; s <= second; s++ {
		m.buckets[s%int64(len(m.buckets))] = 0
	}
	m.second = max(m.second, second)
}

func (m *meter) add(second int64) {
	m.advance(second)
	m.total++
	b := &m.buckets[m.second%int64(len(m.buckets))]
	*b++
	m.peak = max(m.peak, *b)
}

func (m *meter) count(second int64) CallCount {
	m.advance(second)
	sum := uint64(0)
	for _, b := range m.buckets {
		sum += b
	}
	sum -= m.buckets[m.second%int64(len(m.buckets))]
	return CallCount{Total: m.total, PerSecond: float64(sum) / rateWindow, Peak: m.peak}
}

// ledger counts calls.
type ledger struct {
	mutex sync.Mutex
	// meters and all below are guarded by mutex.
	meters                [numKinds]meter
	rate, down, lostReply uint64
}

func (l *ledger) add(k kind, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.meters[k].add(now.Unix())
	if k.write() {
		l.meters[kindWrites].add(now.Unix())
		return
	}
	l.meters[kindReads].add(now.Unix())
}

// bump adds one to a counter of the ledger.
func (l *ledger) bump(counter *uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*counter++
}

func (l *ledger) stats(now time.Time) Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := func(k kind) CallCount { return l.meters[k].count(now.Unix()) }
	return Stats{
		Get: count(kindGet), List: count(kindList), Watch: count(kindWatch),
		Create: count(kindCreate), Update: count(kindUpdate), Delete: count(kindDelete),
		Reads: count(kindReads), Writes: count(kindWrites),
		RateLimited: l.rate, FailedByOutage: l.down, LostResponses: l.lostReply,
	}
}

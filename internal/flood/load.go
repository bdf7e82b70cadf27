package flood

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// maxLatency is the highest latency that the histogram records.
	maxLatency               = time.Minute
	latencySignificantDigits = 3
	// minTick is the shortest interval of the ticker that starts calls.
	minTick = time.Millisecond
)

// Stream describes calls of one kind that are sent at a fixed rate, no matter how
// long each takes (an open-loop load).
type Stream struct {
	// Call is the template of the calls.
	Call Call
	// Keyed gives each call a unique key.
	Keyed bool
	// Interval is the time between two calls; it must be positive.
	Interval time.Duration
}

// Sender sends one call and returns its result.
type Sender interface {
	Send(ctx context.Context, call Call) Result
}

// RoundRobin sends calls to each of its addresses in turn.
type RoundRobin struct {
	Caller *Caller
	// Addrs lists the addresses of entry nodes; it must not be empty.
	Addrs []netip.AddrPort
	next  atomic.Uint64
}

// Send implements Sender.
func (t *RoundRobin) Send(ctx context.Context, call Call) Result {
	return t.Caller.Do(ctx, t.Addrs[t.next.Add(1)%uint64(len(t.Addrs))], call)
}

// Stats counts the calls of one priority. The zero Stats is ready to use.
type Stats struct {
	mutex sync.Mutex
	// counts is indexed by outcome; guarded by mutex.
	counts [numOutcomes]int
	// latency holds the latencies of answered calls; nil before the first; guarded
	// by mutex.
	latency *hdrhistogram.Histogram
}

// Add counts one call.
func (t *Stats) Add(result Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[result.Outcome]++
	if result.Outcome != Answered {
		return
	}
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
	}
	// Longer latencies count as maxLatency.
	_ = t.latency.RecordValue(min(result.Latency, maxLatency).Microseconds())
}

// Count returns how many calls had the outcome.
func (t *Stats) Count(ending Outcome) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts[ending]
}

// Total returns how many calls ended.
func (t *Stats) Total() (total int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, n := range t.counts {
		total += n
	}
	return total
}

// Latency returns a percentile of the latencies of answered calls, zero if there
// are none.
func (t *Stats) Latency(percent float64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.latency == nil {
		return 0
	}
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Load sends several streams of calls until it is stopped.
type Load struct {
	// Stats is indexed by priority.
	Stats [mesh.NumPriorities]Stats

	sender     Sender
	prefix     string
	keys       atomic.Uint64
	ctx        context.Context
	cancel     context.CancelFunc
	generators sync.WaitGroup
	calls      sync.WaitGroup
}

// Start starts a load. The prefix starts the key of each call.
func Start(ctx context.Context, sender Sender, prefix string, streams []Stream) *Load {
	l := &Load{sender: sender, prefix: prefix, ctx: context.WithoutCancel(ctx)}
	ctx, l.cancel = context.WithCancel(ctx)
	for _, stream := range streams {
		l.generators.Go(func() { l.generate(ctx, stream) })
	}
	return l
}

// Stop starts no further calls and waits for those in flight.
func (l *Load) Stop() {
	l.cancel()
	l.generators.Wait()
	l.calls.Wait()
}

// Total returns how many calls of all priorities had the outcome.
func (l *Load) Total(ending Outcome) (total int) {
	for i := range l.Stats {
		total += l.Stats[i].Count(ending)
	}
	return total
}

// generate starts the calls of a stream when they are due. Calls that fell due while
// it was delayed start at once, to keep the rate.
func (l *Load) generate(ctx context.Context, stream Stream) {
	ticker := time.NewTicker(max(stream.Interval, minTick))
	defer ticker.Stop()
	start := time.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for due := int(now.Sub(start) / stream.Interval); sent < due; sent++ {
				l.calls.Go(func() { l.send(stream) })
			}
		}
	}
}

func (l *Load) send(stream Stream) {
	call := stream.Call
	if stream.Keyed {
		call.Key = fmt.Sprintf("%s%d", l.prefix, l.keys.Add(1))
	}
	l.Stats[call.Priority].Add(l.sender.Send(l.ctx, call))
}

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
	// maxLatency bounds the latencies that are told apart.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of a latency.
	latencyDigits = 3
	// startStep is the least time between two looks at how many calls are due.
	startStep = time.Millisecond
)

// Stream is one kind of call, sent at a fixed rate however long each takes.
type Stream struct {
	// Call is the pattern of the calls.
	Call Call
	// Keyed gives each call a key of its own.
	Keyed bool
	// Interval is the time between two calls; it is above zero.
	Interval time.Duration
}

// Sender makes one call and returns how it ended.
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
	// counts is by ending; guarded by mutex.
	counts [numEndings]int
	// latency holds the answered calls; nil before the first; guarded by mutex.
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
		t.latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	// Longer ones count as the longest.
	_ = t.latency.RecordValue(min(result.Latency, maxLatency).Microseconds())
}

// Count returns how many calls ended so.
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

// Latency returns the latency that so many percent of the answered calls did
// not exceed, zero when there is none.
func (t *Stats) Latency(percent float64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.latency == nil {
		return 0
	}
	return time.Duration(t.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Load sends calls of several kinds until it is stopped.
type Load struct {
	// Stats are by priority.
	Stats [mesh.NumPriorities]Stats

	sender  Sender
	prefix  string
	keys    atomic.Uint64
	ctx     context.Context
	cancel  context.CancelFunc
	starts  sync.WaitGroup
	callers sync.WaitGroup
}

// Start starts a load whose keys begin with the prefix.
func Start(ctx context.Context, sender Sender, prefix string, kinds []Stream) *Load {
	l := &Load{sender: sender, prefix: prefix, ctx: context.WithoutCancel(ctx)}
	ctx, l.cancel = context.WithCancel(ctx)
	for _, k := range kinds {
		l.starts.Go(func() { l.sendAll(ctx, k) })
	}
	return l
}

// Stop ends new calls and waits for those underway.
func (l *Load) Stop() {
	l.cancel()
	l.starts.Wait()
	l.callers.Wait()
}

// Total returns how many calls ended so, of every priority.
func (l *Load) Total(ending Outcome) (total int) {
	for i := range l.Stats {
		total += l.Stats[i].Count(ending)
	}
	return total
}

// sendAll starts the calls that are due, also after a delay of its own.
func (l *Load) sendAll(ctx context.Context, k Stream) {
	ticker := time.NewTicker(max(k.Interval, startStep))
	defer ticker.Stop()
	start := time.Now()
	for sent := 0; ; {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for due := int(now.Sub(start) / k.Interval); sent < due; sent++ {
				l.callers.Go(func() { l.send(k) })
			}
		}
	}
}

func (l *Load) send(k Stream) {
	call := k.Call
	if k.Keyed {
		call.Key = fmt.Sprintf("%s%d", l.prefix, l.keys.Add(1))
	}
	l.Stats[call.Priority].Add(l.sender.Send(l.ctx, call))
}

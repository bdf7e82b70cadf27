package gate

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// shareRequest describes a request of the tests by its account and what orders it.
type shareRequest struct {
	account  mesh.Account
	priority mesh.Priority
	startBy  time.Duration
	overdue  bool
	weight   float64
}

func (s shareRequest) request() *Request {
	r := &Request{Priority: s.priority, Account: s.account, Weight: s.weight, Overdue: s.overdue, TypicalServiceTime: 100 * time.Millisecond, Deadline: simStart.Add(time.Hour)}
	if s.startBy > 0 {
		r.StartBy = simStart.Add(s.startBy)
	}
	return r
}

// times returns the requests repeated that often.
func times(n int, requests ...shareRequest) []shareRequest {
	return slices.Repeat(requests, n)
}

// TestAccountsTakeTurns guards against an account whose requests all go before those of
// others because they came first, and against an order within an account that is not
// that of before.
func TestAccountsTakeTurns(t *testing.T) {
	tests := []struct {
		name     string
		predict  bool
		requests []shareRequest
		want     []int
	}{
		{name: "one account as before", requests: times(4, shareRequest{account: "a"}), want: []int{0, 1, 2, 3}},
		{name: "anonymous requests as before", predict: true, requests: []shareRequest{{startBy: 3 * time.Minute}, {startBy: time.Minute}, {startBy: 2 * time.Minute}}, want: []int{1, 2, 0}},
		{name: "two accounts", requests: append(times(4, shareRequest{account: "a"}), times(2, shareRequest{account: "b"})...), want: []int{0, 4, 1, 5, 2, 3}},
		{name: "StartBy within a turn", predict: true, requests: []shareRequest{
			{account: "a", startBy: 10 * time.Minute}, {account: "a", startBy: 9 * time.Minute}, {account: "b", startBy: 8 * time.Minute}, {account: "b", startBy: 7 * time.Minute},
		}, want: []int{3, 1, 2, 0}},
		{name: "overdue requests of a small account", predict: true, requests: append(times(4, shareRequest{account: "a", startBy: time.Minute}), shareRequest{account: "b", startBy: time.Minute, overdue: true}), want: []int{0, 4, 1, 2, 3}},
		{name: "anonymous requests beside accounts", requests: append(times(3, shareRequest{account: "a"}), times(3, shareRequest{})...), want: []int{0, 3, 1, 4, 2, 5}},
		{
			name: "configured weights hold from the first request", want: []int{0, 6, 1, 2, 3, 7, 4, 5},
			requests: append(times(6, shareRequest{account: "a", weight: 40}), times(2, shareRequest{account: "b", weight: 10})...),
		},
		{
			name: "weights that only some accounts have", want: []int{0, 4, 1, 5, 2, 3},
			requests: append(times(4, shareRequest{account: "a", weight: 40}), times(2, shareRequest{account: "b"})...),
		},
		{name: "a more urgent priority first", requests: []shareRequest{{account: "a"}, {account: "b"}, {account: "a", priority: mesh.High}, {account: "a", priority: mesh.High}}, want: []int{2, 3, 0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &Queue{}
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: tt.predict, QueueLimit: 100})
			running := shareRequest{priority: mesh.Urgent}.request()
			q.Offer(simStart, running)
			index := map[*Request]int{}
			for i, s := range tt.requests {
				r := s.request()
				index[r] = i
				q.Offer(simStart, r)
				assert.Equal(t, r.State(), Waiting, "request %d", i)
			}
			order := make([]int, 0, len(tt.requests))
			for range tt.requests {
				changed := q.Done(simStart, running, Result{NotRun: true})
				assert.Equal(t, len(changed), 1)
				running = changed[0]
				order = append(order, index[running])
			}
			assert.DeepEqual(t, order, tt.want)
		})
	}
}

// TestFullQueueDisplacesTheLargestAccount guards against an account that fills the queue,
// so that requests of others are refused.
func TestFullQueueDisplacesTheLargestAccount(t *testing.T) {
	const limit = 8
	tests := []struct {
		name     string
		predict  bool
		waiting  []shareRequest
		arriving shareRequest
		// displaced is the index of the displaced request, -1 if the arriving one is
		// refused.
		displaced int
	}{
		{name: "another account", waiting: times(limit, shareRequest{account: "a"}), arriving: shareRequest{account: "b"}, displaced: limit - 1},
		{name: "another account, by StartBy", predict: true, waiting: append(times(limit-1, shareRequest{account: "a", startBy: time.Minute}), shareRequest{account: "c", startBy: time.Hour}), arriving: shareRequest{account: "b", startBy: time.Minute}, displaced: limit - 2},
		{name: "the account itself", waiting: times(limit, shareRequest{account: "a"}), arriving: shareRequest{account: "a"}, displaced: -1},
		{name: "equal shares", waiting: times(limit/2, shareRequest{account: "a"}, shareRequest{account: "b"}), arriving: shareRequest{account: "b"}, displaced: -1},
		{name: "an anonymous request", waiting: times(limit, shareRequest{account: "a"}), arriving: shareRequest{}, displaced: limit - 1},
		{name: "only anonymous requests", waiting: times(limit, shareRequest{}), arriving: shareRequest{}, displaced: -1},
		{name: "a more urgent request", waiting: append(times(limit-1, shareRequest{account: "a"}), shareRequest{account: "b"}), arriving: shareRequest{account: "c", priority: mesh.High}, displaced: limit - 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &Queue{}
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: tt.predict, QueueLimit: limit})
			q.Offer(simStart, shareRequest{priority: mesh.Urgent}.request())
			waiting := make([]*Request, 0, limit)
			for _, s := range tt.waiting {
				waiting = append(waiting, s.request())
				q.Offer(simStart, waiting[len(waiting)-1])
			}
			arriving := tt.arriving.request()
			q.Offer(simStart, arriving)
			displaced := slices.IndexFunc(waiting, func(r *Request) bool { return r.State() == Rejected })
			assert.Equal(t, displaced, tt.displaced)
			assert.Equal(t, arriving.State() == Rejected, tt.displaced < 0)
			assert.Equal(t, q.Load(simStart).Waiting, limit)
		})
	}
}

// TestPredictedWaitCountsWhatGoesBefore guards against requests that are refused as late
// because another account has a long queue, and against a flood that is accepted and
// expires in the queue.
func TestPredictedWaitCountsWhatGoesBefore(t *testing.T) {
	tests := []struct {
		name     string
		arriving shareRequest
		want     Reason
	}{
		{name: "another account", arriving: shareRequest{account: "b", startBy: 500 * time.Millisecond}},
		{name: "overdue request of another account", arriving: shareRequest{account: "b", startBy: 500 * time.Millisecond, overdue: true}},
		{name: "the account with the long queue", arriving: shareRequest{account: "a", startBy: 500 * time.Millisecond}, want: Late},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &Queue{}
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: true, QueueLimit: 100})
			q.Offer(simStart, shareRequest{priority: mesh.Urgent}.request())
			for _, s := range times(20, shareRequest{account: "a", startBy: 400 * time.Millisecond}) {
				r := s.request()
				r.StartBy = simStart.Add(time.Minute - time.Duration(q.waiting)*time.Second)
				q.Offer(simStart, r)
				assert.Equal(t, r.State(), Waiting)
			}
			r := tt.arriving.request()
			r.StartBy = simStart.Add(time.Second)
			if tt.want == Late {
				r.StartBy = simStart.Add(time.Minute + time.Second)
				r.Deadline = simStart.Add(time.Second)
			}
			q.Offer(simStart, r)
			if tt.want == 0 {
				assert.Equal(t, r.State(), Waiting)
				return
			}
			assert.Equal(t, r.Rejection().Reason, tt.want)
		})
	}
}

// TestUsualLoadOutlastsPauses guards against weights that follow a flood of minutes, or
// that are forgotten while an upstream has no requests.
func TestUsualLoadOutlastsPauses(t *testing.T) {
	const large, small = 10, 1
	tests := []struct {
		name string
		// pause is the time without requests, and then each account sends that many
		// requests a second for a minute.
		pause        time.Duration
		large, small int
		min, max     float64
	}{
		{name: "steady", large: large, small: small, min: 9, max: 11},
		{name: "night", pause: 10 * time.Hour, large: large, small: small, min: 9, max: 11},
		{name: "flood of the small account", large: large, small: 6 * small, min: 8.5, max: 11},
		{name: "the large account stops", small: small, min: 7.5, max: 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var fs flows
			now := simStart
			send := func(seconds, large, small int) {
				for range seconds {
					now = now.Add(time.Second)
					for _, s := range append(times(large, shareRequest{account: "large"}), times(small, shareRequest{account: "small"})...) {
						r := s.request()
						r.cost = shareService
						fs.learn(now, r)
					}
				}
			}
			send(20*60, large, small)
			now = now.Add(tt.pause)
			send(60, tt.large, tt.small)
			ratio := fs.byAccount["large"].usage.usual / fs.byAccount["small"].usage.usual
			assert.Assert(t, ratio >= tt.min && ratio <= tt.max, "ratio %v", ratio)
		})
	}
}

// TestSharedQueueStaysConsistent guards against counts of flows that differ from the
// waiting requests, against lost requests, and against slots that stay free while requests
// wait.
func TestSharedQueueStaysConsistent(t *testing.T) {
	accounts := []mesh.Account{"", "a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{}
		now := simStart
		q.Configure(now, Config{
			Slots: rapid.IntRange(1, 3).Draw(t, "slots"), QueueLimit: rapid.IntRange(1, 10).Draw(t, "limit"),
			FixedLimit: true, PredictWait: rapid.Bool().Draw(t, "predict"),
		})
		var requests []*Request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if len(requests) > 0 {
					r := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
					q.Cancel(now, r)
					q.Done(now, r, Result{})
				}
			case 1:
				q.Expire(now)
			default:
				r := shareRequest{account: rapid.SampledFrom(accounts).Draw(t, "account"), priority: mesh.Priority(rapid.IntRange(0, 1).Draw(t, "priority")), overdue: rapid.Bool().Draw(t, "overdue")}.request()
				r.StartBy = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "within")) * time.Millisecond)
				requests = append(requests, r)
				q.Offer(now, r)
			}
			checkFlows(t, q, requests)
			assert.Assert(t, q.waiting == 0 || q.running >= q.slots(), "%d wait while %d of %d run", q.waiting, q.running, q.slots())
		}
	})
}

func checkFlows(t *rapid.T, q *Queue, requests []*Request) {
	waiting := 0
	for p := range q.subqueues {
		fs, counts := &q.subqueues[p].flows, map[*flow]int{}
		for _, r := range q.subqueues[p].requests {
			counts[r.flow]++
			waiting++
		}
		weights, accounts := 0.0, 0
		for _, f := range fs.byAccount {
			assert.Equal(t, f.waiting, counts[f])
			if f.waiting > 0 {
				weights += f.weight
				accounts++
			}
		}
		assert.Equal(t, fs.anonymous.waiting, counts[&fs.anonymous])
		assert.Equal(t, fs.waiting, accounts)
		assert.Assert(t, math.Abs(fs.weights-weights) < 1e-9, "weights %v, sum %v", fs.weights, weights)
	}
	states := 0
	for _, r := range requests {
		assert.Assert(t, r.State() != New)
		if r.State() == Waiting {
			states++
		}
	}
	assert.Equal(t, waiting, states)
}

// BenchmarkSharedQueue measures decisions in a full queue of 86 accounts and their memory.
func BenchmarkSharedQueue(b *testing.B) {
	q, offer := fullSharedQueue()
	samples := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r, now := offer(i), simStart.Add(time.Duration(i)*time.Millisecond)
		start := time.Now()
		changed := q.Offer(now, r)
		if r.State() == Waiting {
			changed = q.Cancel(now, r)
		}
		if len(samples) < cap(samples) {
			samples = append(samples, time.Since(start))
		}
		_ = changed
	}
	slices.Sort(samples)
	b.ReportMetric(float64(samples[len(samples)*99/100].Nanoseconds()), "p99-ns")
	b.ReportMetric(sharedQueueMemory(), "flow-bytes")
}

// BenchmarkSharedDispatch measures the choice of the next request in a full queue of 86
// accounts.
func BenchmarkSharedDispatch(b *testing.B) {
	q, offer := fullSharedQueue()
	samples := make([]time.Duration, 0, 1<<20)
	running := q.changed[:0]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := simStart.Add(time.Duration(i) * time.Microsecond)
		if len(running) == 0 {
			q.running--
			q.dispatch(now)
			running = append(running, q.changed...)
			q.changed = q.changed[:0]
		}
		r := running[0]
		start := time.Now()
		running = append(running[:0], q.Done(now, r, Result{})...)
		if len(samples) < cap(samples) {
			samples = append(samples, time.Since(start))
		}
		q.Offer(now, offer(i))
	}
	slices.Sort(samples)
	b.ReportMetric(float64(samples[len(samples)*99/100].Nanoseconds()), "p99-ns")
}

// fullSharedQueue returns a queue with 18 running and 288 waiting requests of 86 accounts.
func fullSharedQueue() (q *Queue, offer func(i int) *Request) {
	q = &Queue{}
	q.Configure(simStart, Config{Slots: shareSlots, FixedLimit: true, PredictWait: true})
	accounts := make([]mesh.Account, simAccounts)
	for a := range accounts {
		accounts[a] = mesh.Account(fmt.Sprintf("account-%d", a))
	}
	offer = func(i int) *Request {
		startBy := simStart.Add(23*time.Hour + time.Duration(i*7919%1000)*time.Second)
		return &Request{Priority: mesh.High, Account: accounts[i%simAccounts], Class: "r", TypicalServiceTime: shareService, StartBy: startBy, Deadline: startBy.Add(shareTimeout)}
	}
	for i := range shareSlots * (1 + defaultQueuePerSlot) {
		q.Offer(simStart.Add(time.Duration(i)*time.Millisecond), offer(i))
	}
	return q, offer
}

// sharedQueueMemory returns the memory that the accounts of all priorities take.
func sharedQueueMemory() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all [mesh.NumPriorities]flows
	for p := range all {
		for a := range simAccounts {
			all[p].of(&Request{Account: mesh.Account(fmt.Sprintf("account-%d", a))})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	runtime.KeepAlive(&all)
	return size
}

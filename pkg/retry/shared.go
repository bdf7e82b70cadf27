package retry

import (
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// windowParts is how many parts a window is counted in.
	windowParts = 20
	// windowShare is the part of the bound that is used, in percent: other nodes
	// count a little otherwise.
	windowShare = 80
	// callsGain is the weight of a new word on the calls of a run.
	callsGain = 0.1
	// mostCalls bounds what is believed of the calls of a run.
	mostCalls = 5
)

// SharedLimit says how many repeats all nodes together may send to a service.
type SharedLimit struct {
	// Window is the length of any window that the bound holds for.
	Window time.Duration
	// Ratio is the number of repeats for each request, and Slack what may come on top.
	Ratio, Slack float64
}

// SharedBudget keeps this node's part of a bound that all nodes share. It is safe for
// concurrent use. The zero SharedBudget allows no repeat.
type SharedBudget struct {
	mutex sync.Mutex
	bound SharedLimit
	// began is the time of the first use.
	began time.Time
	// accounts is guarded by mutex and has at most maxAccounts entries.
	accounts map[mesh.Service]*tallies
	// runs counts what the upstream of this node ran; guarded by mutex.
	runs tallies
}

// tallies counts the requests and repeats of one service in the parts of the
// last span.
type tallies struct {
	// newest is the part that was counted last, as a number since the first use.
	newest   int64
	requests [windowParts + 1]float64
	// repeats counts the calls that repeated runs of other services make, too.
	repeats [windowParts + 1]float64
	// calls is how many calls to one other service a run makes.
	calls float64
}

// Configure sets the bound.
func (w *SharedBudget) Configure(bound SharedLimit) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bound = bound
}

// RecordRequest counts a request for the service.
func (w *SharedBudget) RecordRequest(now time.Time, service mesh.Service) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if t, part := w.at(now, service); t != nil {
		t.requests[part]++
	}
}

// RecordRun counts a request that the upstream of this node runs.
func (w *SharedBudget) RecordRun(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.bound.Window >= windowParts {
		w.runs.requests[w.runs.turn(w.part(now))]++
	}
}

// MaxFanOut returns how many calls to one service other than its own a run of this
// node's upstream makes at most: callers' requests that came here count with
// them.
func (w *SharedBudget) MaxFanOut(now time.Time, own mesh.Service) (calls float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.bound.Window < windowParts {
		return 0
	}
	w.runs.turn(w.part(now))
	runs := sum(&w.runs.requests)
	if runs == 0 {
		return 0
	}
	for service := range w.accounts {
		if service != own {
			t, _ := w.at(now, service)
			calls = max(calls, sum(&t.requests)/runs)
		}
	}
	return min(calls, mostCalls)
}

// RecordFanOut takes in how many calls to one other service a run of the service makes.
func (w *SharedBudget) RecordFanOut(now time.Time, service mesh.Service, calls float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if t, _ := w.at(now, service); t != nil {
		t.calls += callsGain * (min(calls, mostCalls) - t.calls)
	}
}

// TryWithdraw counts a repeat, if this node's part of the bound allows one more; nodes
// is how many share it.
func (w *SharedBudget) TryWithdraw(now time.Time, service mesh.Service, nodes int) (taken bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t, part := w.at(now, service)
	if t == nil || !w.allows(t, 1, nodes) {
		return false
	}
	for other := range w.accounts {
		if o, _ := w.at(now, other); other != service && !w.allows(o, t.calls, nodes) {
			return false
		}
	}
	t.repeats[part]++
	for other, o := range w.accounts {
		if other != service {
			o.repeats[part] += t.calls
		}
	}
	return true
}

// allows reports whether this node's part of the bound allows so many repeats more.
func (w *SharedBudget) allows(t *tallies, more float64, nodes int) bool {
	allowed := (w.bound.Ratio*sum(&t.requests) + w.bound.Slack/float64(max(nodes, 1))) * windowShare / 100
	return more == 0 || sum(&t.repeats)+more <= allowed
}

func sum(parts *[windowParts + 1]float64) (total float64) {
	for _, n := range parts {
		total += n
	}
	return total
}

// part returns the number of the present part since the first use.
func (w *SharedBudget) part(now time.Time) int64 {
	if w.began.IsZero() {
		w.began = now
	}
	return int64(now.Sub(w.began) / (w.bound.Window / windowParts))
}

// turn clears the parts that have passed, and returns the index of the present one.
func (t *tallies) turn(number int64) (part int) {
	for passed := min(number-t.newest, windowParts+1); passed > 0; passed-- {
		i := int((number - passed + 1) % (windowParts + 1))
		t.requests[i], t.repeats[i] = 0, 0
	}
	t.newest = max(t.newest, number)
	return int(t.newest % (windowParts + 1))
}

// at returns the tallies of the service with the parts that have passed
// cleared, and the index of the present part; nil while there is no bound.
func (w *SharedBudget) at(now time.Time, service mesh.Service) (t *tallies, part int) {
	if w.bound.Window < windowParts {
		return nil, 0
	}
	number := w.part(now)
	t = w.accounts[service]
	if t == nil {
		if w.accounts == nil {
			w.accounts = make(map[mesh.Service]*tallies)
		}
		if len(w.accounts) >= maxAccounts {
			clear(w.accounts)
		}
		t = &tallies{newest: number}
		w.accounts[service] = t
	}
	return t, t.turn(number)
}

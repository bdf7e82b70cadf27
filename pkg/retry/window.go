package retry

import (
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// windowParts is how many parts a window is counted in.
	windowParts = 20
	// windowShare is the part of the bound that is used, in percent: calls that a
	// repeated request makes count as repeats too, and other nodes count a little
	// otherwise.
	windowShare = 45
)

// Allowance says how many repeats all nodes together may send to a service.
type Allowance struct {
	// Span is the length of any window that the bound holds for.
	Span time.Duration
	// Ratio is the number of repeats for each request, and Slack what may come on top.
	Ratio, Slack float64
}

// Window keeps this node's part of a bound that all nodes share. It is safe for
// concurrent use. The zero Window allows no repeat.
type Window struct {
	mutex sync.Mutex
	bound Allowance
	// began is the time of the first use.
	began time.Time
	// accounts is guarded by mutex and has at most maxAccounts entries.
	accounts map[mesh.Service]*tallies
}

// tallies counts the requests and repeats of one service in the parts of the
// last span.
type tallies struct {
	// newest is the part that was counted last, as a number since the first use.
	newest   int64
	requests [windowParts + 1]int
	repeats  [windowParts + 1]int
}

// Configure sets the bound.
func (w *Window) Configure(bound Allowance) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bound = bound
}

// Request counts a request for the service.
func (w *Window) Request(now time.Time, service mesh.Service) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if t, part := w.at(now, service); t != nil {
		t.requests[part]++
	}
}

// Take counts a repeat, if this node's part of the bound allows one more; nodes
// is how many share it.
func (w *Window) Take(now time.Time, service mesh.Service, nodes int) (taken bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	t, part := w.at(now, service)
	if t == nil {
		return false
	}
	requests, repeats := 0, 0
	for i := range t.requests {
		requests += t.requests[i]
		repeats += t.repeats[i]
	}
	allowed := (w.bound.Ratio*float64(requests) + w.bound.Slack/float64(max(nodes, 1))) * windowShare / 100
	if float64(repeats+1) > allowed {
		return false
	}
	t.repeats[part]++
	return true
}

// at returns the tallies of the service with the parts that have passed
// cleared, and the index of the present part; nil while there is no bound.
func (w *Window) at(now time.Time, service mesh.Service) (t *tallies, part int) {
	if w.bound.Span < windowParts {
		return nil, 0
	}
	if w.began.IsZero() {
		w.began = now
	}
	number := int64(now.Sub(w.began) / (w.bound.Span / windowParts))
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
	for passed := min(number-t.newest, windowParts+1); passed > 0; passed-- {
		i := int((number - passed + 1) % (windowParts + 1))
		t.requests[i], t.repeats[i] = 0, 0
	}
	t.newest = max(t.newest, number)
	return t, int(t.newest % (windowParts + 1))
}

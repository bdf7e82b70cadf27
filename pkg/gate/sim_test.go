package gate

import (
	"cmp"
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	simSlots       = 9
	simServiceTime = 20 * time.Millisecond
	simSeed        = 42
)

var (
	simStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simFloors = [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 10, mesh.High: 15}
)

// admissionQueue is the part of a queue that the simulation uses.
type admissionQueue interface {
	Offer(now time.Time, r *Request) []*Request
	Done(now time.Time, r *Request, result Result) []*Request
	Expire(now time.Time) []*Request
	NextWakeup(now time.Time) time.Time
}

// scenario configures a simulation in virtual time.
type scenario struct {
	length time.Duration
	// offered holds the offered load of each priority as a multiple of the capacity.
	offered [mesh.NumPriorities]float64
	// deadline is relative to the arrival of a request.
	deadline time.Duration
	// startWithin is how long a request may wait for a slot; zero for no bound.
	startWithin time.Duration
	// target is the time within which a response counts as good; zero means deadline.
	target time.Duration
	// tail makes one request in ten take eleven times as long as the others.
	tail bool
	// rate returns the speed at which each running request progresses; nil means 1.
	rate func(at time.Duration, running int) float64
	// shedsAbove returns the concurrency above which the upstream sheds; nil means no bound.
	shedsAbove func(at time.Duration) int
	// countFrom is when counting starts.
	countFrom time.Duration
	// overdueShare is the share of requests that are overdue. They may wait overdueWithin
	// and are counted in overdue instead of the result.
	overdueShare  float64
	overdueWithin time.Duration
	overdue       *tally
}

// tally counts the requests of one priority by result.
type tally struct {
	offered, good, wasted, shed, rejected, granted int
}

func (t tally) share() float64 { return float64(t.good) / float64(max(t.offered, 1)) }

type simRequest struct {
	request   *Request
	remaining float64
	arrived   time.Duration
}

type simulation struct {
	scenario
	queue    admissionQueue
	random   *rand.Rand
	at       time.Duration
	running  []*simRequest
	requests map[*Request]*simRequest
	result   [mesh.NumPriorities]tally
}

func simulate(queue admissionQueue, s scenario) (result [mesh.NumPriorities]tally) {
	m := &simulation{scenario: s, queue: queue, random: rand.New(rand.NewPCG(simSeed, simSeed)), requests: map[*Request]*simRequest{}}
	var arrivals [mesh.NumPriorities]time.Duration
	for p := range arrivals {
		arrivals[p] = m.interarrival(p)
	}
	for m.at < s.length {
		next, event := m.nextCompletion()
		for p, a := range arrivals {
			if a < next {
				next, event = a, p
			}
		}
		if n := queue.NextWakeup(m.now()); !n.IsZero() && n.Sub(simStart) < next {
			next, event = n.Sub(simStart), expiry
		}
		m.advance(max(next, m.at))
		switch event {
		case expiry:
			m.handle(queue.Expire(m.now()))
		case completed:
			m.complete()
		default:
			m.arrive(event)
			arrivals[event] = m.at + m.interarrival(event)
		}
	}
	return m.result
}

// Events of a simulation. Values from 0 are arrivals of that priority.
const (
	expiry    = -1
	completed = -2
)

func (m *simulation) now() time.Time { return simStart.Add(m.at) }

func (m *simulation) interarrival(p int) time.Duration {
	if m.offered[p] == 0 {
		return math.MaxInt64
	}
	mean := float64(simServiceTime) / simSlots / m.offered[p]
	return time.Duration(m.random.ExpFloat64()*mean) + 1
}

func (m *simulation) speed() float64 {
	if m.rate == nil || len(m.running) == 0 {
		return 1
	}
	return m.rate(m.at, len(m.running))
}

func (m *simulation) nextCompletion() (next time.Duration, event int) {
	next = math.MaxInt64
	for _, sr := range m.running {
		next = min(next, m.at+time.Duration(math.Ceil(sr.remaining/m.speed())))
	}
	return next, completed
}

func (m *simulation) advance(to time.Duration) {
	for _, sr := range m.running {
		sr.remaining -= float64(to-m.at) * m.speed()
	}
	m.at = to
}

func (m *simulation) arrive(p int) {
	r := &Request{Priority: mesh.Priority(p), Deadline: m.now().Add(m.deadline)}
	if m.startWithin > 0 {
		r.StartBy = m.now().Add(m.startWithin)
	}
	if m.overdueShare > 0 && m.random.Float64() < m.overdueShare {
		r.Overdue, r.StartBy = true, m.now().Add(m.overdueWithin)
	}
	service := float64(simServiceTime) * (0.5 + 0.5*m.random.ExpFloat64())
	if m.tail {
		service = float64(simServiceTime) * (0.5 + 5*float64(m.random.IntN(10)/9))
	}
	m.requests[r] = &simRequest{request: r, remaining: service, arrived: m.at}
	m.count(m.requests[r], func(t *tally) { t.offered++ })
	m.handle(m.queue.Offer(m.now(), r))
}

func (m *simulation) complete() {
	for i, sr := range m.running {
		if sr.remaining > 0.5 {
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		delete(m.requests, sr.request)
		m.count(sr, func(t *tally) {
			if m.at-sr.arrived <= cmp.Or(m.target, m.deadline) {
				t.good++
			} else {
				t.wasted++
			}
		})
		m.handle(m.queue.Done(m.now(), sr.request, Result{}))
		return
	}
}

func (m *simulation) handle(changed []*Request) {
	for _, r := range append([]*Request(nil), changed...) {
		sr := m.requests[r]
		if r.State() == Rejected {
			delete(m.requests, r)
			m.count(sr, func(t *tally) { t.rejected++ })
			continue
		}
		m.count(sr, func(t *tally) { t.granted++ })
		if m.shedsAbove != nil && len(m.running) >= m.shedsAbove(m.at) {
			delete(m.requests, r)
			m.count(sr, func(t *tally) { t.shed++ })
			m.handle(m.queue.Done(m.now(), r, Result{Shed: true}))
			continue
		}
		m.running = append(m.running, sr)
	}
}

func (m *simulation) count(sr *simRequest, add func(t *tally)) {
	if sr.arrived < m.countFrom || sr.arrived >= m.length-m.deadline {
		return
	}
	if sr.request.Overdue {
		add(m.overdue)
	} else {
		add(&m.result[sr.request.Priority])
	}
}

func goodput(result [mesh.NumPriorities]tally) (good int) {
	for _, t := range result {
		good += t.good
	}
	return good
}

// fifo is the queue to compare with: one queue in order of arrival with a fixed
// limit that ignores deadlines.
type fifo struct {
	waiting []*Request
	running int
}

func (f *fifo) Offer(now time.Time, r *Request) []*Request {
	if len(f.waiting) >= simSlots*defaultQueuePerSlot {
		r.state = Rejected
		return []*Request{r}
	}
	f.waiting = append(f.waiting, r)
	return f.Expire(now)
}

func (f *fifo) Done(now time.Time, _ *Request, _ Result) []*Request {
	f.running--
	return f.Expire(now)
}

func (f *fifo) Expire(now time.Time) (changed []*Request) {
	for f.running < simSlots && len(f.waiting) > 0 {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		r.state, r.started = Running, now
		f.running++
		changed = append(changed, r)
	}
	return changed
}

func (f *fifo) NextWakeup(time.Time) (next time.Time) { return next }

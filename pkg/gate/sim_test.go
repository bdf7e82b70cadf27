package gate

import (
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
	simSlots   = 9
	simService = 20 * time.Millisecond
	simSeed    = 42
)

var (
	simStart  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simFloors = [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 10, mesh.High: 15}
)

// admitter is what the simulation asks of a queue.
type admitter interface {
	Offer(now time.Time, w *Request) []*Request
	Done(now time.Time, w *Request, result Result) []*Request
	Expire(now time.Time) []*Request
	NextWakeup(now time.Time) time.Time
}

// scenario is one run in virtual time.
type scenario struct {
	length time.Duration
	// offered holds the arrivals of each priority in multiples of the capacity.
	offered [mesh.NumPriorities]float64
	// deadline is the time that a request has, from its arrival.
	deadline time.Duration
	// tail makes one request in ten take eleven times as long as the others.
	tail bool
	// rate returns how fast each running request advances; nil means 1.
	rate func(at time.Duration, running int) float64
	// bears returns the concurrency above which the upstream sheds; nil means no bound.
	bears func(at time.Duration) int
	// from is when counting starts.
	from time.Duration
}

// tally counts what became of the requests of one priority.
type tally struct {
	offered, good, wasted, shed, refused, granted int
}

func (t tally) share() float64 { return float64(t.good) / float64(max(t.offered, 1)) }

type job struct {
	work    *Request
	left    float64
	arrived time.Duration
}

type simulation struct {
	scenario
	queue   admitter
	random  *rand.Rand
	at      time.Duration
	running []*job
	jobs    map[*Request]*job
	result  [mesh.NumPriorities]tally
}

func simulate(queue admitter, s scenario) (result [mesh.NumPriorities]tally) {
	m := &simulation{scenario: s, queue: queue, random: rand.New(rand.NewPCG(simSeed, simSeed)), jobs: map[*Request]*job{}}
	var arrivals [mesh.NumPriorities]time.Duration
	for p := range arrivals {
		arrivals[p] = m.gap(p)
	}
	for m.at < s.length {
		next, what := m.completion()
		for p, a := range arrivals {
			if a < next {
				next, what = a, p
			}
		}
		if n := queue.NextWakeup(m.now()); !n.IsZero() && n.Sub(simStart) < next {
			next, what = n.Sub(simStart), expiry
		}
		m.advance(max(next, m.at))
		switch what {
		case expiry:
			m.settle(queue.Expire(m.now()))
		case completed:
			m.complete()
		default:
			m.arrive(what)
			arrivals[what] = m.at + m.gap(what)
		}
	}
	return m.result
}

const (
	expiry    = -1
	completed = -2
)

func (m *simulation) now() time.Time { return simStart.Add(m.at) }

func (m *simulation) gap(p int) time.Duration {
	if m.offered[p] == 0 {
		return math.MaxInt64
	}
	mean := float64(simService) / simSlots / m.offered[p]
	return time.Duration(m.random.ExpFloat64()*mean) + 1
}

func (m *simulation) speed() float64 {
	if m.rate == nil || len(m.running) == 0 {
		return 1
	}
	return m.rate(m.at, len(m.running))
}

func (m *simulation) completion() (next time.Duration, what int) {
	next = math.MaxInt64
	for _, j := range m.running {
		next = min(next, m.at+time.Duration(math.Ceil(j.left/m.speed())))
	}
	return next, completed
}

func (m *simulation) advance(to time.Duration) {
	for _, j := range m.running {
		j.left -= float64(to-m.at) * m.speed()
	}
	m.at = to
}

func (m *simulation) arrive(p int) {
	w := &Request{Priority: mesh.Priority(p), Deadline: m.now().Add(m.deadline)}
	service := float64(simService) * (0.5 + 0.5*m.random.ExpFloat64())
	if m.tail {
		service = float64(simService) * (0.5 + 5*float64(m.random.IntN(10)/9))
	}
	m.jobs[w] = &job{work: w, left: service, arrived: m.at}
	m.count(m.jobs[w], func(t *tally) { t.offered++ })
	m.settle(m.queue.Offer(m.now(), w))
}

func (m *simulation) complete() {
	for i, j := range m.running {
		if j.left > 0.5 {
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		delete(m.jobs, j.work)
		m.count(j, func(t *tally) {
			if m.at-j.arrived <= m.deadline {
				t.good++
			} else {
				t.wasted++
			}
		})
		m.settle(m.queue.Done(m.now(), j.work, Result{}))
		return
	}
}

func (m *simulation) settle(settled []*Request) {
	for _, w := range append([]*Request(nil), settled...) {
		j := m.jobs[w]
		if w.State() == Rejected {
			delete(m.jobs, w)
			m.count(j, func(t *tally) { t.refused++ })
			continue
		}
		m.count(j, func(t *tally) { t.granted++ })
		if m.bears != nil && len(m.running) >= m.bears(m.at) {
			delete(m.jobs, w)
			m.count(j, func(t *tally) { t.shed++ })
			m.settle(m.queue.Done(m.now(), w, Result{Shed: true}))
			continue
		}
		m.running = append(m.running, j)
	}
}

func (m *simulation) count(j *job, add func(t *tally)) {
	if j.arrived >= m.from && j.arrived < m.length-m.deadline {
		add(&m.result[j.work.Priority])
	}
}

func goodput(result [mesh.NumPriorities]tally) (good int) {
	for _, t := range result {
		good += t.good
	}
	return good
}

// fifo is the baseline: one queue in order of arrival with a fixed limit, and
// no look at deadlines.
type fifo struct {
	waiting []*Request
	running int
}

func (f *fifo) Offer(now time.Time, w *Request) []*Request {
	if len(f.waiting) >= simSlots*waitingPerSlot {
		w.state = Rejected
		return []*Request{w}
	}
	f.waiting = append(f.waiting, w)
	return f.Expire(now)
}

func (f *fifo) Done(now time.Time, _ *Request, _ Result) []*Request {
	f.running--
	return f.Expire(now)
}

func (f *fifo) Expire(now time.Time) (settled []*Request) {
	for f.running < simSlots && len(f.waiting) > 0 {
		w := f.waiting[0]
		f.waiting = f.waiting[1:]
		w.state, w.started = Running, now
		f.running++
		settled = append(settled, w)
	}
	return settled
}

func (f *fifo) NextWakeup(time.Time) (next time.Time) { return next }

package pick

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// The values are those of the busiest service on the users' platform.
	evenSlots   = 18
	evenService = 390 * time.Millisecond
	// evenSigma is the spread of the service times, and evenOutliers the percentage that is
	// five times longer.
	evenSigma    = 0.8
	evenOutliers = 1
	evenDelay    = 500 * time.Microsecond
	// evenLead is the part of a run that is not measured.
	evenLead = 5 * time.Second
	// evenPatience is how long a request may wait for a slot. A host refuses those that
	// would wait longer.
	evenPatience = 400 * time.Millisecond
	evenSample   = 10 * time.Millisecond
)

// evenCase is a load of many callers on the hosts of a service. The zero values of delay
// and slowest stand for evenDelay and equal speeds.
type evenCase struct {
	hosts, callers int
	// load is relative to the capacity of all hosts.
	load float64
	// slowest is the ratio of the longest to the shortest service time; a third of the
	// hosts each has these and their mean.
	slowest float64
	// delay is the one-way latency, and noise the relative error of reported loads.
	delay time.Duration
	noise float64
	// slowsDown makes the first host five times slower in the middle of the run.
	slowsDown bool
	// returns makes the first host unreachable until the middle of the run, and fails makes
	// it fail all requests until then.
	returns, fails bool
	// regions divides hosts and callers among two regions with a round trip of 60 ms.
	regions bool
}

// evenWay is a way of choosing a host.
type evenWay struct {
	name string
	// choose returns a negative index to refuse the request.
	choose func(r *evenRun, p *Picker, request CostRequest) (index int, expected time.Duration)
	// forwards makes a full host forward requests to a host that it knows to have a free
	// slot, and reserves adds a round trip to each attempt.
	forwards, reserves bool
}

type evenHost struct {
	slotFreeAt [evenSlots]time.Time
	slowdown   float64
	// present is the number of running and waiting requests.
	present, arrivals int
}

// evenRun is a run of a case in virtual time.
type evenRun struct {
	evenCase
	// length is the number of measured requests.
	length int
	way    evenWay
	// random draws the arrivals, which are the same for all ways, and errors the errors of
	// the reports.
	random, errors *rand.Rand
	set            *CandidateSet
	events         responseHeap
	now            time.Time
	fleet          []evenHost
	pickers        []*Picker
	waits          []time.Duration
	// latencies holds the times from the arrival of a request to its response.
	latencies                            []time.Duration
	requests, refusals, lost, local, far int
	spread, samples, wasted              float64
}

// evenRequest is a request of a caller.
type evenRequest struct {
	caller      int
	arrived     time.Time
	serviceTime time.Duration
	tried       []mesh.HostID
	forwarded   bool
}

func (r *evenRun) after(delay time.Duration, do func()) {
	heap.Push(&r.events, response{at: r.now.Add(delay), end: do})
}

func (r *evenRun) place(number int) mesh.Place {
	if r.regions && number%2 == 1 {
		return far
	}
	return home
}

func (r *evenRun) latency(from, to mesh.Place) time.Duration {
	if from.Region != to.Region {
		return 30 * time.Millisecond
	}
	return max(r.delay, evenDelay)
}

// speedClass returns the class of equal speed of a host: 0, 1 or 2.
func (r *evenRun) speedClass(host int) int {
	if r.slowest == 0 {
		return 0
	}
	return host % 3
}

func (r *evenRun) measured() bool { return r.now.Sub(start) >= evenLead }

func (r *evenRun) run() {
	r.random, r.errors = rand.New(rand.NewPCG(3, 5)), rand.New(rand.NewPCG(7, 5))
	r.now, r.fleet = start, make([]evenHost, r.hosts)
	candidates, capacity := make([]Candidate, r.hosts), 0.0
	for i := range r.hosts {
		candidates[i] = Candidate{Host: mesh.HostID(fmt.Sprintf("%03d", i)), Place: r.place(i), Slots: evenSlots}
		r.fleet[i].slowdown = math.Pow(max(r.slowest, 1), float64(r.speedClass(i))/2-0.5)
		capacity += evenSlots / (evenService.Seconds() * r.fleet[i].slowdown)
	}
	r.set = NewCandidateSet(service, candidates)
	for i := range r.callers {
		r.pickers = append(r.pickers, &Picker{Random: rand.New(rand.NewPCG(uint64(i), 9))})
	}
	gap := float64(time.Second) / (capacity * r.load)
	duration := time.Duration(float64(r.length) * gap)
	r.repeat(func() time.Duration {
		q := evenRequest{caller: r.random.IntN(r.callers), arrived: r.now}
		factor := math.Exp(evenSigma*r.random.NormFloat64()-evenSigma*evenSigma/2) / (1 + 4*evenOutliers/100.0)
		if r.random.IntN(100) < evenOutliers {
			factor *= 5
		}
		q.serviceTime = time.Duration(factor * float64(evenService))
		r.send(q)
		return time.Duration(r.random.ExpFloat64() * gap)
	})
	r.after(evenLead, func() { r.repeat(r.measure) })
	if r.returns {
		for _, p := range r.pickers {
			p.MarkUnreachable(r.set.candidates[0].Host)
			r.after((evenLead+duration)/2, func() { p.MarkReachable(r.set.candidates[0].Host) })
		}
	}
	if r.fails {
		r.after((evenLead+duration)/2, func() { r.fails = false })
	}
	if r.slowsDown {
		r.after((evenLead+duration)/2, func() { r.fleet[0].slowdown *= 5 })
	}
	for r.now.Before(start.Add(evenLead + duration)) {
		e := heap.Pop(&r.events).(response)
		r.now = e.at
		e.end()
	}
}

// repeat calls do again after the time that it returns.
func (r *evenRun) repeat(do func() time.Duration) {
	r.after(do(), func() { r.repeat(do) })
}

// send makes an attempt at a request.
func (r *evenRun) send(q evenRequest) {
	p, from := r.pickers[q.caller], r.place(q.caller)
	request := r.costRequest(q, from)
	i, expected := r.way.choose(r, p, request)
	first := len(q.tried) == 0
	if first && r.measured() {
		r.requests++
	}
	if i < 0 {
		r.count(&r.lost, true)
		r.count(&r.local, first)
		return
	}
	c := r.set.candidates[i]
	r.count(&r.far, first && c.Place.Region != from.Region)
	attempt, sent, delay := p.BeginWithExpectedLatency(r.now, c.Host, expected, false), r.now, r.latency(from, c.Place)
	if r.way.reserves {
		delay *= 3
	}
	r.after(delay, func() {
		r.visit(i, q, func(o Outcome) {
			r.after(r.latency(from, c.Place), func() {
				o.Latency, o.Admission = r.now.Sub(sent), request.Admission
				attempt.End(r.now, o)
				q.tried = append(slices.Clone(q.tried), c.Host)
				switch {
				case !o.Busy && r.measured():
					r.latencies = append(r.latencies, r.now.Sub(q.arrived))
				case o.Busy && len(q.tried) < 4 && r.now.Sub(q.arrived) < evenPatience/2:
					r.send(q)
				case o.Busy:
					r.count(&r.lost, true)
				}
			})
		})
	})
}

func (r *evenRun) costRequest(q evenRequest, from mesh.Place) CostRequest {
	return CostRequest{
		Set: r.set, From: from, Tried: q.tried, Class: "c", CallerNodes: r.callers,
		DistanceCosts: DistanceCosts{Zone: 40 * time.Millisecond, Region: 100 * time.Millisecond},
		Admission:     Admission{Class: RequestClass{Rule: "c"}, StartWithin: evenPatience - r.now.Sub(q.arrived)},
	}
}

func (r *evenRun) count(counter *int, when bool) {
	if when && r.measured() {
		*counter++
	}
}

// visit offers the request to a host. done is called when the host responds.
func (r *evenRun) visit(i int, q evenRequest, done func(o Outcome)) {
	h := &r.fleet[i]
	r.count(&h.arrivals, true)
	if r.fails && i == 0 {
		r.count(&r.lost, true)
		done(Outcome{Failed: true})
		return
	}
	slot := 0
	for n, at := range h.slotFreeAt {
		if at.Before(h.slotFreeAt[slot]) {
			slot = n
		}
	}
	wait := max(h.slotFreeAt[slot].Sub(r.now), 0)
	if r.way.forwards && wait > 0 && !q.forwarded && r.forward(i, q, done) {
		return
	}
	if wait > evenPatience-r.now.Sub(q.arrived) {
		r.count(&r.refusals, true)
		done(Outcome{NotRun: true, Busy: true, LoadPercent: r.report(h)})
		return
	}
	if r.measured() {
		r.waits = append(r.waits, wait)
	}
	d := time.Duration(float64(q.serviceTime) * h.slowdown)
	h.slotFreeAt[slot] = r.now.Add(wait + d)
	h.present++
	r.after(wait+d, func() {
		load := r.report(h)
		h.present--
		done(Outcome{LoadPercent: load, Timings: Timings{Class: "c", ServiceTime: d, NodeTime: wait + d}})
	})
}

// forward sends the request on to a host that has a free slot by the last report to the
// proxy of host i, if there is one.
func (r *evenRun) forward(i int, q evenRequest, done func(o Outcome)) (forwarded bool) {
	p, from := r.pickers[i%r.callers], r.set.candidates[i]
	q.forwarded, q.tried = true, append(slices.Clone(q.tried), from.Host)
	to, _ := r.way.choose(r, p, r.costRequest(q, from.Place))
	if to < 0 || p.hosts[r.set.candidates[to].Host].latestLoad >= 1 {
		return false
	}
	delay := r.latency(from.Place, r.set.candidates[to].Place)
	attempt := p.Begin(r.now, r.set.candidates[to].Host)
	r.after(delay, func() {
		r.visit(to, q, func(o Outcome) {
			r.after(delay, func() {
				attempt.End(r.now, o)
				done(o)
			})
		})
	})
	return true
}

func (r *evenRun) report(h *evenHost) (percent int) {
	return max(0, int(float64(h.present*100/evenSlots)*(1+r.noise*r.errors.NormFloat64())))
}

// measure samples the state of the hosts.
func (r *evenRun) measure() time.Duration {
	free, queued := false, false
	var sum, squares, count [3]float64
	for i, h := range r.fleet {
		if (r.slowsDown || r.returns || r.fails) && i == 0 {
			continue
		}
		free, queued = free || h.present < evenSlots, queued || h.present > evenSlots
		busy := float64(min(h.present, evenSlots))
		k := r.speedClass(i)
		sum[k], squares[k], count[k] = sum[k]+busy, squares[k]+busy*busy, count[k]+1
	}
	variance, hosts := 0.0, 0.0
	for k := range count {
		variance, hosts = variance+squares[k]-sum[k]*sum[k]/max(count[k], 1), hosts+count[k]
	}
	r.samples++
	r.spread += math.Sqrt(variance / hosts)
	if free && queued {
		r.wasted++
	}
	return evenSample
}

// evenResult is what a run measured.
type evenResult struct {
	waitP50, waitP99, latencyP99, latencyMean time.Duration
	// spread is the standard deviation of busy slots over hosts of equal speed, and
	// wasted the share of time in which requests queue while a slot is free elsewhere.
	spread, wasted float64
	// busiest is the ratio of the arrivals at the busiest host to the mean, and
	// busiestAlike that to the mean of the hosts of equal speed.
	busiest, busiestAlike float64
	// The others are in relation to the number of requests: refused attempts, requests
	// without a response, those of them that were sent to no host, and requests that were
	// first sent to another region.
	refusals, lost, local, far float64
}

func (r *evenRun) result() (result evenResult) {
	percentile := func(d []time.Duration, percent int) time.Duration {
		slices.Sort(d)
		return d[(len(d)-1)*percent/100]
	}
	result = evenResult{
		waitP50: percentile(r.waits, 50), waitP99: percentile(r.waits, 99), latencyP99: percentile(r.latencies, 99), latencyMean: mean(r.latencies),
		spread: r.spread / r.samples, wasted: r.wasted / r.samples,
	}
	var sum, most, hosts [3]float64
	for i, h := range r.fleet {
		k := r.speedClass(i)
		sum[k], most[k], hosts[k] = sum[k]+float64(h.arrivals), max(most[k], float64(h.arrivals)), hosts[k]+1
	}
	for k := range most {
		result.busiest = max(result.busiest, most[k]*float64(r.hosts)/(sum[0]+sum[1]+sum[2]))
		result.busiestAlike = max(result.busiestAlike, most[k]*hosts[k]/max(sum[k], 1))
	}
	requests := float64(r.requests)
	result.refusals, result.lost = float64(r.refusals)/requests, float64(r.lost)/requests
	result.local, result.far = float64(r.local)/requests, float64(r.far)/requests
	return result
}

func mean(values []time.Duration) (sum time.Duration) {
	for _, v := range values {
		sum += v
	}
	return sum / time.Duration(max(1, len(values)))
}

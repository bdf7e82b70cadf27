package pick

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// costOf returns the cost of a host as it was before choices were weighted, for an
// estimated number of requests at the host.
func (r *evenRun) costOf(p *Picker, h *hostState, c *Candidate, request *CostRequest, used float64) (cost float64) {
	wait := max(0, used+1-evenSlots) / evenSlots
	cost = p.assumedServiceTime("c")*h.assumedServiceTimeRatio(r.now, c)*(1+wait+0.25*used/evenSlots) + h.extraLatency(h.failureRate) + h.lateness[0].penalty(r.now)
	if c.Place.Region != request.From.Region {
		cost += float64(request.DistanceCosts.Region)
	}
	return cost * (1 + 0.15*p.Random.(*rand.Rand).Float64())
}

// lowestOf returns a function that chooses the lowest cost of the given number of random
// hosts, by an estimate of the requests at each.
func lowestOf(sample int, used func(r *evenRun, i int, h *hostState) float64) func(r *evenRun, p *Picker, request CostRequest) (int, time.Duration) {
	return func(r *evenRun, p *Picker, request CostRequest) (best int, expected time.Duration) {
		v, lowest := p.view(r.now, request.Set), math.Inf(1)
		best = -1
		for n := 0; n < min(sample, r.hosts) || best < 0; n++ {
			i := n
			if sample < r.hosts {
				i = p.intN(r.hosts)
			}
			c, h := &v.set.candidates[i], v.hosts[i]
			if slices.Contains(request.Tried, c.Host) {
				if n > 100*r.hosts {
					break
				}
				continue
			}
			if cost := r.costOf(p, h, c, &request, used(r, i, h)); cost < lowest {
				best, lowest = i, cost
			}
		}
		return best, time.Duration(min(lowest, float64(time.Minute)))
	}
}

// decayingReport reduces the reported load to zero within 2 s. Without a report, the own
// requests are multiplied by the number of callers.
func decayingReport(r *evenRun, _ int, h *hostState) float64 {
	age := r.now.Sub(h.reportedAt)
	if age >= loadReportTTL {
		return float64(h.inFlight * r.callers)
	}
	return max(h.latestLoad*(1-float64(age)/float64(loadReportTTL))*evenSlots+float64(h.inFlight-h.inFlightAtReport), float64(h.inFlight))
}

// countedCallers keeps the reported load and adds the own requests since, multiplied by
// the number of callers.
func countedCallers(callers func(r *evenRun, i int) float64) func(r *evenRun, i int, h *hostState) float64 {
	return func(r *evenRun, i int, h *hostState) float64 {
		return max(h.latestLoad*evenSlots+float64(h.inFlight-h.inFlightAtReport)*callers(r, i), float64(h.inFlight))
	}
}

func trueLoad(r *evenRun, i int, _ *hostState) float64 { return float64(r.fleet[i].present) }

// proportional chooses in proportion to the free slots by the last report.
func proportional(r *evenRun, p *Picker, request CostRequest) (index int, expected time.Duration) {
	c := choice{view: p.view(r.now, request.Set)}
	for i, h := range c.view.hosts {
		if !slices.Contains(request.Tried, c.view.set.candidates[i].Host) {
			c.options = append(c.options, option{index: i, weight: max(evenSlots*(1-h.latestLoad)-float64(h.inFlight-h.inFlightAtReport), 0.1)})
		}
	}
	if chosen := c.sample(p.intN); chosen != nil {
		return chosen.index, evenService
	}
	return -1, 0
}

// weighted is PickCheapest.
func weighted(r *evenRun, p *Picker, request CostRequest) (index int, expected time.Duration) {
	c, expected, err := p.PickCheapest(r.now, request)
	if err != nil {
		return -1, 0
	}
	index, _ = r.set.index(c.Host)
	return index, expected
}

var evenWays = []evenWay{
	{name: "lowest", choose: lowestOf(math.MaxInt, decayingReport)},
	{name: "better of two", choose: lowestOf(2, decayingReport)},
	{name: "proportional", choose: proportional},
	{name: "own times callers", choose: lowestOf(math.MaxInt, countedCallers(func(r *evenRun, _ int) float64 { return float64(r.callers) }))},
	// A host has about as many distinct callers in a second as it gets requests, up to the
	// number of callers.
	{name: "reported callers", choose: lowestOf(math.MaxInt, countedCallers(func(r *evenRun, i int) float64 {
		return min(float64(r.callers), evenSlots/(evenService.Seconds()*r.fleet[i].slowdown))
	}))},
	{name: "lowest, forwarding", choose: lowestOf(math.MaxInt, decayingReport), forwards: true},
	{name: "reservation", choose: lowestOf(2, trueLoad), reserves: true},
	{name: "weighted", choose: weighted},
	{name: "weighted, forwarding", choose: weighted, forwards: true},
}

var evenCases = []struct {
	name string
	evenCase
}{
	{name: "50%", evenCase: evenCase{hosts: 46, callers: 87, load: 0.5, slowest: 2.3}},
	{name: "80%", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8, slowest: 2.3}},
	{name: "95%", evenCase: evenCase{hosts: 46, callers: 87, load: 0.95, slowest: 2.3}},
	{name: "120%", evenCase: evenCase{hosts: 46, callers: 87, load: 1.2, slowest: 2.3}},
	{name: "80%, equal speeds", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8}},
	{name: "80%, speeds 1 to 3", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8, slowest: 3}},
	{name: "80%, 12 callers", evenCase: evenCase{hosts: 46, callers: 12, load: 0.8, slowest: 2.3}},
	{name: "95%, 12 callers", evenCase: evenCase{hosts: 46, callers: 12, load: 0.95, slowest: 2.3}},
	{name: "80%, delay 30 ms", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8, slowest: 2.3, delay: 30 * time.Millisecond}},
	{name: "80%, noise 30%", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8, slowest: 2.3, noise: 0.3}},
	{name: "60%, one slows down", evenCase: evenCase{hosts: 46, callers: 87, load: 0.6, slowsDown: true}},
	{name: "60%, one returns", evenCase: evenCase{hosts: 46, callers: 87, load: 0.6, slowest: 2.3, returns: true}},
	{name: "60%, one fails", evenCase: evenCase{hosts: 46, callers: 87, load: 0.6, slowest: 2.3, fails: true}},
	{name: "80%, two regions", evenCase: evenCase{hosts: 46, callers: 87, load: 0.8, regions: true}},
	{name: "80%, 2 callers, 2 hosts", evenCase: evenCase{hosts: 2, callers: 2, load: 0.8}},
	{name: "120%, 2 callers, 6 hosts", evenCase: evenCase{hosts: 6, callers: 2, load: 1.2, slowest: 2.3}},
	{name: "80%, 160 hosts", evenCase: evenCase{hosts: 160, callers: 87, load: 0.8, slowest: 2.3}},
}

func runEven(c evenCase, w evenWay, requests int) evenResult {
	r := &evenRun{evenCase: c, way: w, length: requests}
	r.run()
	return r.result()
}

// If all callers take the hosts of the lowest cost by outdated reports, some hosts queue
// and refuse requests while others have free slots.
func TestWeightedChoiceIsMoreEvenThanLowestCost(t *testing.T) {
	for _, tt := range evenCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			// With few requests for each host, the busiest is so by chance.
			requests := max(6000, 125*tt.hosts)
			lowest, got := runEven(tt.evenCase, evenWays[0], requests), runEven(tt.evenCase, evenWay{choose: weighted}, requests)
			assert.Assert(t, got.waitP99 <= lowest.waitP99, "wait: %v, lowest %v", got.waitP99, lowest.waitP99)
			assert.Assert(t, got.busiestAlike < 1.3, "busiest of equal speed: %v, lowest %v", got.busiestAlike, lowest.busiestAlike)
			assert.Assert(t, got.refusals <= min(lowest.refusals, 0.25)+0.005, "refused: %v, lowest %v", got.refusals, lowest.refusals)
			// 1 - 1/1.2 of the requests cannot be served at 120%.
			assert.Assert(t, got.lost <= lowest.lost+0.02, "lost: %v, lowest %v", got.lost, lowest.lost)
			assert.Assert(t, got.far < 0.1, "to another region: %v, lowest %v", got.far, lowest.far)
			if tt.load < 0.9 && tt.hosts > 2 {
				assert.Assert(t, got.spread < 0.85*lowest.spread, "spread: %v, lowest %v", got.spread, lowest.spread)
			}
		})
	}
}

// BenchmarkEvenLoad reports the table of docs/design/even-load.md.
func BenchmarkEvenLoad(b *testing.B) {
	for _, c := range evenCases {
		for _, w := range evenWays {
			b.Run(c.name+"/"+w.name, func(b *testing.B) {
				for range b.N {
					r := runEven(c.evenCase, w, 20000)
					b.ReportMetric(float64(r.waitP50.Milliseconds()), "wait_p50_ms")
					b.ReportMetric(float64(r.waitP99.Milliseconds()), "wait_p99_ms")
					b.ReportMetric(r.spread, "spread")
					b.ReportMetric(100*r.wasted, "queued_while_free_%")
					b.ReportMetric(r.busiest, "busiest")
					b.ReportMetric(r.busiestAlike, "busiest_alike")
					b.ReportMetric(r.refusals, "refusals")
					b.ReportMetric(100*r.lost, "lost_%")
					b.ReportMetric(100*r.local, "refused_at_caller_%")
					b.ReportMetric(100*r.far, "far_%")
					b.ReportMetric(float64(r.latencyP99.Milliseconds()), "latency_p99_ms")
					b.ReportMetric(float64(r.latencyMean.Milliseconds()), "latency_mean_ms")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

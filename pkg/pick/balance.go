package pick

import (
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// costScale is the difference of cost, as a fraction of the typical service time, that
	// divides the probability of a host by e. A greater value sends more requests to
	// distant hosts while near ones have free slots; see docs/design/even-load.md.
	costScale = 0.03
	// overloadCostScale is added to costScale for each full set of slots that waits at the
	// mean host. Estimated waits are less exact the longer they are, and with costScale
	// alone the busiest host got three times the mean at 120% load.
	overloadCostScale = 0.5
	// lateTolerance is the lateness, as a fraction of the typical service time, that counts
	// as the effect of a few long requests. Counting it raised the p99 wait at 80% load
	// from 141 ms to 171 ms.
	lateTolerance = 0.5
	// latenessCostScale is added to costScale for the mean lateness, divided by the number
	// of hosts. In a service of two hosts, one that is avoided after a late response makes
	// the other one queue: the p99 wait at 80% load was 302 ms instead of 111 ms.
	latenessCostScale = 0.6
	// speedExponent is the power of a host's speed that its weight is proportional to. With
	// 1, slow hosts got their full part of the requests while fast ones were half idle, and
	// with 9, too many requests went to fast hosts of another region.
	speedExponent = 6
	// minWeight is the weight of a host without a free slot.
	minWeight = 1e-6
	// maxCostExponent is the exponent above which a host is never chosen.
	maxCostExponent = 12
	// maxOptions is the number of candidates that a choice considers of a larger set, and
	// minGroupOptions how many of each place at least. More candidates would take longer
	// without a better choice.
	maxOptions      = 32
	minGroupOptions = 8
	// randomScale is the resolution of a weighted random choice.
	randomScale = 1 << 30
)

// option is one candidate of a choice.
type option struct {
	// index is that of the candidate in its set.
	index int
	// tried is true for a host of an earlier attempt, which has no weight.
	tried bool
	// weight is proportional to the probability of the candidate; zero for one that must
	// not be chosen.
	weight float64
	// cost is compared between candidates. latency is the expected latency, and wait the
	// part of it until the request gets a slot and the link of the host. All are in
	// nanoseconds.
	cost, latency, wait float64
	// ratio is the service-time ratio of the host.
	ratio float64
}

// choice is the state of one call of PickCheapest.
type choice struct {
	now     time.Time
	view    *view
	request CostRequest
	summary summary
	// typical is the assumed service time in nanoseconds.
	typical float64
	options []option
	// lateness is the sum of the lateness of the hosts of options, in nanoseconds.
	lateness float64
}

// newChoice computes the options for a request, without their costs in the weights. Unless
// all is true, it leaves out part of the hosts of large sets, which bounds its time. The
// result is valid until the next call.
func (p *Picker) newChoice(now time.Time, request CostRequest, all bool) (c *choice) {
	c = &p.choice
	c.now, c.view, c.request, c.typical = now, p.view(now, request.Set), request, p.assumedServiceTime(request.Class)
	c.options, c.lateness = c.options[:0], 0
	c.summary = c.view.summarize(now, request.Tried)
	if c.view.set == nil {
		return c
	}
	own, hasOwn := request.Set.index(request.FromHost)
	for _, g := range c.view.set.groups {
		size := g.end - g.start
		count := max(size*maxOptions/len(c.view.hosts), minGroupOptions)
		switch {
		case all || count >= size:
			c.addGroup(g, 0, size)
		case hasOwn && g.start <= own && own < g.end:
			c.addGroup(g, own-g.start, count)
		default:
			c.addGroup(g, p.intN(size), count)
		}
	}
	for _, host := range request.Tried {
		if i, found := request.Set.index(host); found {
			o := c.newOption(i)
			o.weight, o.tried = 0, true
			c.options = append(c.options, o)
		}
	}
	return c
}

// addGroup adds the options of count hosts of a group, from the given offset. Their costs
// include the mean service time of the group instead of that of each host: hosts at the
// same distance are used by their speed and free slots, but slow ones nearby compete with
// fast ones farther away. Hosts that are unavailable are used only if no other is left.
func (c *choice) addGroup(g placeGroup, offset, count int) {
	first := len(c.options)
	// The mean of the service counts as one host, so that a group without samples is
	// assumed to be as fast as the others.
	ratios, timed := c.summary.serviceTimeRatio, 1.0
	for n := range count {
		i := g.start + (offset+n)%(g.end-g.start)
		h := c.view.hosts[i]
		if c.summary.available && !h.available(c.now) || c.wasTried(i) {
			continue
		}
		c.options = append(c.options, c.newOption(i))
		if h.serviceTimeRatio > 0 {
			ratios += min(c.options[len(c.options)-1].ratio, slowServiceTimeRatio)
			timed++
		}
	}
	cost := c.distanceCost(g.place) + c.typical*ratios/timed
	added := c.options[first:]
	for i := range added {
		added[i].cost += cost
		if g.place == c.request.From && c.view.set.candidates[added[i].index].Host == c.request.FromHost {
			added[i].cost -= float64(c.request.DistanceCosts.Host)
		}
	}
}

// distanceCost returns the cost of another host at the place, in nanoseconds.
func (c *choice) distanceCost(place mesh.Place) float64 {
	switch from, costs := c.request.From, c.request.DistanceCosts; {
	case place == from:
		return float64(costs.Host)
	case place.Region == from.Region:
		return float64(costs.Zone)
	default:
		return float64(costs.Region)
	}
}

// newOption returns the option of a candidate, without the costs of its group. Its weight
// is the expected number of free slots by the speed of the host. The fraction of free slots
// counts to the fourth power: with a lower power, hosts with few free slots get too many
// requests. Together with speedExponent, fast hosts are filled first, and slow ones get
// their part as these fill up.
func (c *choice) newOption(index int) (o option) {
	candidate, h := &c.view.set.candidates[index], c.view.hosts[index]
	ratio := h.assumedServiceTimeRatio(c.now, candidate)
	o.index, o.ratio = index, ratio
	slots := float64(max(candidate.Slots, 1))
	serviceTime, perSlot := c.typical*ratio, 1/slots
	used, variance := h.estimateUsed(c.now, slots, serviceTime, &c.summary, c.request.CallerNodes)
	free := expectedExcess(slots-used, variance) * perSlot
	if o.weight = free * free * free * free * slots / math.Pow(ratio, speedExponent); o.weight < minWeight {
		o.weight = minWeight
	}
	o.wait = serviceTime * expectedExcess(used+1-slots, variance) * perSlot
	if c.request.LargeResponse {
		o.wait += h.linkWait(c.now)
	}
	rest := h.extraLatency(c.summary.failureRate)
	late := h.lateness[latenessIndex(c.request.LargeResponse)].penalty(c.now)
	c.lateness += late
	o.latency = serviceTime + o.wait + rest + late
	o.cost = o.wait + rest
	if late > lateTolerance*c.typical {
		o.cost += late - lateTolerance*c.typical
	}
	if ratio > slowServiceTimeRatio {
		// The host is too slow for a share of the requests in proportion to its speed.
		o.cost += c.typical * (ratio - slowServiceTimeRatio)
	}
	return o
}

// wasTried reports whether the request was sent to the candidate before.
func (c *choice) wasTried(index int) bool {
	return len(c.request.Tried) > 0 && slices.Contains(c.request.Tried, c.view.set.candidates[index].Host)
}

// applyCosts reduces the weights by the costs.
func (c *choice) applyCosts() {
	lowest := math.Inf(1)
	for i := range c.options {
		if o := &c.options[i]; o.weight > 0 && o.cost < lowest {
			lowest = o.cost
		}
	}
	hosts := float64(max(len(c.options), 1))
	scale := c.typical*(costScale+overloadCostScale*max(0, c.summary.latestLoad-1)) + latenessCostScale*c.lateness/(hosts*hosts)
	for i := range c.options {
		o := &c.options[i]
		if exponent := (o.cost - lowest) / scale; exponent < maxCostExponent {
			o.weight *= math.Exp(-exponent)
		} else {
			o.weight = 0
		}
	}
}

// sample returns a random option by weight, or nil if none has any.
func (c *choice) sample(random func(n int) int) (chosen *option) {
	total := 0.0
	for i := range c.options {
		total += c.options[i].weight
	}
	remaining := total * float64(random(randomScale)) / randomScale
	for i := range c.options {
		o := &c.options[i]
		if o.weight <= 0 {
			continue
		}
		chosen = o
		if remaining -= o.weight; remaining < 0 {
			break
		}
	}
	return chosen
}

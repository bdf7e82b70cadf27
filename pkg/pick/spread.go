package pick

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// spreadReportAge is the age up to which reported loads count in Balance.
	spreadReportAge = 2 * time.Second
	// speedClassesPerDoubling is the number of classes of equal speed for each factor of
	// two of the service time.
	speedClassesPerDoubling = 2
)

// Balance describes how evenly the hosts of a service are loaded by their recent reports.
type Balance struct {
	// Hosts is the number of hosts with a recent report.
	Hosts int
	// Spread is the standard deviation of the fraction of busy slots among hosts of equal
	// speed.
	Spread float64
	// HasFreeSlot is true if a host other than the excluded one has a free slot.
	HasFreeSlot bool
}

// Balance returns how evenly the hosts of the service are loaded. It knows only what the
// outcomes of this node's own attempts say, so it is zero for services that the node does
// not call.
func (p *Picker) Balance(now time.Time, service mesh.ServiceID, exclude mesh.HostID) (b Balance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.views[service]
	if v == nil {
		return b
	}
	type sums struct{ count, sum, squares float64 }
	classes := make(map[int]sums)
	for i, h := range v.hosts {
		if now.Sub(h.reportedAt) >= spreadReportAge {
			continue
		}
		candidate := &v.set.candidates[i]
		b.Hosts++
		busy := min(h.latestLoad, 1)
		if candidate.Host != exclude && h.available(now) && (1-h.latestLoad)*float64(max(candidate.Slots, 1)) >= 1 {
			b.HasFreeSlot = true
		}
		class := int(math.Round(speedClassesPerDoubling * math.Log2(h.assumedServiceTimeRatio(now, candidate))))
		s := classes[class]
		classes[class] = sums{count: s.count + 1, sum: s.sum + busy, squares: s.squares + busy*busy}
	}
	variance := 0.0
	for _, s := range classes {
		variance += s.squares - s.sum*s.sum/s.count
	}
	b.Spread = math.Sqrt(max(variance, 0) / float64(max(b.Hosts, 1)))
	return b
}

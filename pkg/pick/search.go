package pick

import (
	"slices"
	"time"
)

// quality ranks how suitable a candidate is for a request; higher is better.
type quality int

const (
	// alreadyTried candidates must not be chosen again.
	alreadyTried quality = iota
	// unavailable candidates are unreachable, ejected or in their requested backoff.
	unavailable
	// saturated candidates have no free slot within their slow-start share, or have
	// reported a queue.
	saturated
	// hasCapacity candidates are available and have a free slot.
	hasCapacity
)

// probabilityScale is the resolution of a random decision.
const probabilityScale = 1000

// search is one run of the selection over a view.
type search struct {
	now     time.Time
	view    *view
	request Request
	picker  *Picker
}

// candidateRange is a range of candidate indices; end is exclusive.
type candidateRange struct {
	start, end int
}

func (r candidateRange) len() int {
	return r.end - r.start
}

// run returns the index of the chosen candidate, or -1 when none remains.
func (s *search) run() (index int) {
	if s.view.set == nil || len(s.view.set.candidates) == 0 {
		return -1
	}
	zone, region, all := s.candidateRanges()
	if i := s.pickInZone(zone); i >= 0 {
		return i
	}
	if i := s.lessLoadedOfTwo(region, hasCapacity); i >= 0 {
		return i
	}
	crossRegion := s.request.AllowCrossRegion && s.picker.linkBudget.allows(s.now, s.request.Priority)
	if crossRegion {
		if i := s.lessLoadedOfTwo(all, hasCapacity); i >= 0 {
			return i
		}
	}
	for minQuality := saturated; minQuality >= unavailable; minQuality-- {
		if i := s.lessLoadedOfTwo(region, minQuality); i >= 0 {
			return i
		}
		if !crossRegion {
			continue
		}
		if i := s.lessLoadedOfTwo(all, minQuality); i >= 0 {
			return i
		}
	}
	return -1
}

// candidateRanges returns the candidates of the caller's zone, of its region and of
// all regions. Each range includes the one before.
func (s *search) candidateRanges() (zone, region, all candidateRange) {
	from := s.request.From
	for _, g := range s.view.set.groups {
		if g.place.Region != from.Region {
			continue
		}
		if region.len() == 0 {
			region.start = g.start
		}
		region.end = g.end
		if g.place.Zone == from.Zone {
			zone = candidateRange{start: g.start, end: g.end}
		}
	}
	return zone, region, candidateRange{end: len(s.view.set.candidates)}
}

// pickInZone chooses a host with capacity in the caller's own zone, or returns -1.
// When every host of the zone is ejected, one is probed every probeInterval, so that
// the zone is never entirely without a host.
func (s *search) pickInZone(zone candidateRange) (index int) {
	if i := s.lessLoadedOfTwo(zone, hasCapacity); i >= 0 {
		return i
	}
	probe := -1
	for i := zone.start; i < zone.end; i++ {
		h := s.view.hosts[i]
		if h.available(s.now) {
			return -1
		}
		if s.quality(i) == alreadyTried || s.now.Before(h.backoffUntil) {
			continue
		}
		if probe < 0 || h.ejectedUntil.Before(s.view.hosts[probe].ejectedUntil) {
			probe = i
		}
	}
	if probe < 0 || s.now.Sub(s.view.hosts[probe].lastProbe) < probeInterval {
		return -1
	}
	s.view.hosts[probe].lastProbe = s.now
	return probe
}

// lessLoadedOfTwo returns the less loaded of two random candidates of at least
// minQuality, or -1 when there are none. Choosing the least loaded of all would send
// every node to the same host on the same stale report.
func (s *search) lessLoadedOfTwo(among candidateRange, minQuality quality) (index int) {
	first := s.randomCandidate(among, -1, minQuality)
	if first < 0 {
		return -1
	}
	second := s.randomCandidate(among, first, minQuality)
	if second < 0 {
		return first
	}
	s.ejectIfSlow(first, second)
	return s.lessLoaded(first, second)
}

// randomCandidate starts at a random position and returns the first candidate of at
// least minQuality that is not the excluded one, or -1 when there is none.
func (s *search) randomCandidate(among candidateRange, excluded int, minQuality quality) (index int) {
	if among.len() == 0 {
		return -1
	}
	offset := s.picker.intN(among.len())
	for n := range among.len() {
		i := among.start + (offset+n)%among.len()
		if i != excluded && s.quality(i) >= minQuality {
			return i
		}
	}
	return -1
}

// ejectIfSlow compares the latency of two hosts and ejects one that is much slower.
// Hosts of different zones are not compared.
func (s *search) ejectIfSlow(a, b int) {
	candidates := s.view.set.candidates
	if candidates[a].Place != candidates[b].Place {
		return
	}
	s.view.hosts[a].ejectIfSlow(s.now, s.view.hosts[b])
	s.view.hosts[b].ejectIfSlow(s.now, s.view.hosts[a])
}

// lessLoaded returns the less loaded of two candidates. A candidate in its slow
// start is accepted only with the probability of its weight, because it would
// otherwise receive its full share at once.
func (s *search) lessLoaded(a, b int) (index int) {
	accepted := s.withProbability(s.weight(a))
	if accepted != s.withProbability(s.weight(b)) {
		if accepted {
			return a
		}
		return b
	}
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

// withProbability returns true with the given probability.
func (s *search) withProbability(probability float64) bool {
	return probability >= 1 || float64(s.picker.intN(probabilityScale)) < probability*probabilityScale
}

func (s *search) weight(index int) float64 {
	return s.view.hosts[index].weight(s.now, s.view.set.candidates[index].ReadySince)
}

func (s *search) load(index int) float64 {
	return s.view.hosts[index].load(s.now, float64(s.view.set.candidates[index].Slots))
}

// quality returns the quality of the candidate for the request.
func (s *search) quality(index int) quality {
	c, h := &s.view.set.candidates[index], s.view.hosts[index]
	if slices.Contains(s.request.Tried, c.Host) {
		return alreadyTried
	}
	if !h.available(s.now) {
		return unavailable
	}
	slots := max(float64(c.Slots)*s.weight(index), 1)
	if float64(h.inFlight+1) > slots || h.decayedMeanLoad(s.now) > saturatedLoad {
		return saturated
	}
	return hasCapacity
}

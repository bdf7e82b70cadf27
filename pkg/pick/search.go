package pick

import (
	"slices"
	"time"
)

// quality tells how well a candidate suits a request; higher is better.
type quality int

const (
	// tried candidates must not be chosen again.
	tried quality = iota
	// barred candidates are ejected or asked to be left alone.
	barred
	// usable candidates have no slot left of those that they may be given now,
	// or have reported a queue.
	usable
	// open candidates have capacity.
	open
)

// chances is the resolution of a probability.
const chances = 1000

// search is one choice over a view.
type search struct {
	now     time.Time
	view    *view
	request Request
	picker  *Picker
}

// span bounds a run of candidates; end is past the last.
type span struct {
	start, end int
}

func (s span) len() int {
	return s.end - s.start
}

// run returns the index of the chosen candidate, -1 when none is left.
func (s *search) run() (index int) {
	if s.view.set == nil || len(s.view.set.candidates) == 0 {
		return -1
	}
	zone, region, all := s.spans()
	if i := s.near(zone); i >= 0 {
		return i
	}
	if i := s.anyOf(region, open); i >= 0 {
		return i
	}
	remote := s.request.AllowOtherRegions && s.picker.link.allows(s.now, s.request.Priority)
	if remote {
		if i := s.anyOf(all, open); i >= 0 {
			return i
		}
	}
	for least := usable; least >= barred; least-- {
		if i := s.anyOf(region, least); i >= 0 {
			return i
		}
		if !remote {
			continue
		}
		if i := s.anyOf(all, least); i >= 0 {
			return i
		}
	}
	return -1
}

// spans returns the candidates of the caller's zone, of its region and of all
// regions; each holds the one before.
func (s *search) spans() (zone, region, all span) {
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
			zone = span{start: g.start, end: g.end}
		}
	}
	return zone, region, span{end: len(s.view.set.candidates)}
}

// near chooses in the caller's own zone. When every host there is ejected, one
// is tried now and then, so that the zone's set is never empty.
func (s *search) near(zone span) (index int) {
	if i := s.anyOf(zone, open); i >= 0 {
		return i
	}
	trial := -1
	for i := zone.start; i < zone.end; i++ {
		h := s.view.hosts[i]
		if h.usable(s.now) {
			return -1
		}
		if s.quality(i) == tried || s.now.Before(h.heldUntil) {
			continue
		}
		if trial < 0 || h.ejectedUntil.Before(s.view.hosts[trial].ejectedUntil) {
			trial = i
		}
	}
	if trial < 0 || s.now.Sub(s.view.hosts[trial].trialAt) < trialEvery {
		return -1
	}
	s.view.hosts[trial].trialAt = s.now
	return trial
}

// anyOf returns the better of two random candidates of at least that quality,
// -1 when there are none. Taking the best of all would
// send every node to the same host on the same late report.
func (s *search) anyOf(among span, least quality) (index int) {
	first := s.from(among, -1, least)
	if first < 0 {
		return -1
	}
	second := s.from(among, first, least)
	if second < 0 {
		return first
	}
	s.compare(first, second)
	return s.better(first, second)
}

// from returns the first candidate of that quality from a random one on, -1 when there
// is none besides the excluded one.
func (s *search) from(among span, excluded int, least quality) (index int) {
	if among.len() == 0 {
		return -1
	}
	offset := s.picker.intN(among.len())
	for n := range among.len() {
		i := among.start + (offset+n)%among.len()
		if i != excluded && s.quality(i) >= least {
			return i
		}
	}
	return -1
}

// compare lets two hosts of one place learn whether one is slow.
func (s *search) compare(a, b int) {
	candidates := s.view.set.candidates
	if candidates[a].Place != candidates[b].Place {
		return
	}
	s.view.hosts[a].compare(s.now, s.view.hosts[b])
	s.view.hosts[b].compare(s.now, s.view.hosts[a])
}

// better returns the less loaded of two candidates. One in its slow start wins
// only as often as its weight says, or it would get a full share from its first moment.
func (s *search) better(a, b int) (index int) {
	accepted := s.chance(s.weight(a))
	if accepted != s.chance(s.weight(b)) {
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

// chance returns true with the given probability.
func (s *search) chance(probability float64) bool {
	return probability >= 1 || float64(s.picker.intN(chances)) < probability*chances
}

func (s *search) weight(index int) float64 {
	return s.view.hosts[index].weight(s.now, s.view.set.candidates[index].ReadySince)
}

func (s *search) load(index int) float64 {
	return s.view.hosts[index].load(s.now, float64(s.view.set.candidates[index].Slots))
}

// quality judges a candidate.
func (s *search) quality(index int) quality {
	c, h := &s.view.set.candidates[index], s.view.hosts[index]
	if slices.Contains(s.request.Tried, c.Host) {
		return tried
	}
	if !h.usable(s.now) {
		return barred
	}
	slots := max(float64(c.Slots)*s.weight(index), 1)
	if float64(h.inFlight+1) > slots || h.report(s.now) > fullReport {
		return usable
	}
	return open
}

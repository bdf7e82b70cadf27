package fleet

import "arbutusstep.example/arbutusstep/pkg/member"

// UpstreamPair tracks the upstreams next to a node. There are two while a service moves to
// another release; otherwise the second place is empty. The zero UpstreamPair knows none.
type UpstreamPair struct {
	Trackers [2]UpstreamTracker
}

// Restore adopts the upstreams that a previous process of this node recorded, except those
// that reported to this process.
func (p *UpstreamPair) Restore(recorded, beside Upstream) {
	if beside.Instance != "" && p.Trackers[0].upstream.Instance == beside.Instance {
		// The second upstream reported first and took the first place.
		recorded, beside = beside, recorded
	}
	p.Trackers[0].Restore(recorded)
	p.Trackers[1].Restore(beside)
}

// Place returns the place that a report is about, 0 or 1. An upstream replaces one of the
// same release, but stands beside one of another release, which goes on serving.
func (p *UpstreamPair) Place(report Report) (place int) {
	places := []func(known Upstream) bool{
		func(known Upstream) bool {
			return known.Instance == report.Instance && (report.StartedAt.IsZero() || known.StartedAt.Equal(report.StartedAt))
		},
		func(known Upstream) bool {
			return known.Instance != "" && (known.Release == report.Release || report.Deregister)
		},
		func(known Upstream) bool { return known.Instance != "" && known.State == member.Left },
		func(known Upstream) bool { return known.Instance == "" },
		func(known Upstream) bool { return !known.State.AcceptsRequests() },
	}
	for _, matches := range places {
		for i := range p.Trackers {
			if matches(p.Trackers[i].upstream) {
				return i
			}
		}
	}
	if p.Trackers[1].upstream.StartedAt.Before(p.Trackers[0].upstream.StartedAt) {
		return 1
	}
	return 0
}

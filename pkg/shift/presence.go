package shift

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// AbsenceTime is how long a release must have had no upstream that accepts requests to
// count as absent. Upstreams that run report within this time after all processes were
// started again or the store was restored.
const AbsenceTime = 5 * time.Second

// Presence tells which releases of a service have upstreams that accept requests. The zero
// Presence has seen none.
type Presence struct {
	// since is the time of the first observation; zero before.
	since time.Time
	// present are the releases of the last observation.
	present []mesh.Release
	// seenAt is when each release was last present.
	seenAt map[mesh.Release]time.Time
}

// Observe takes the releases that are present from now on. It must be called on each change
// once all upstreams are known.
func (p *Presence) Observe(now time.Time, present []mesh.Release) {
	if p.since.IsZero() {
		p.since, p.seenAt = now, make(map[mesh.Release]time.Time)
	}
	for _, r := range slices.Concat(p.present, present) {
		p.seenAt[r] = now
	}
	p.present = present
}

// AbsentAt returns the time from which on all releases that serve under the view count as
// absent. missing is false while one of them is present.
func (p *Presence) AbsentAt(view *View) (at time.Time, missing bool) {
	isServing := func(r mesh.Release) bool { return view.RoleOf(r) == Serving }
	if p.since.IsZero() || slices.ContainsFunc(p.present, isServing) {
		return time.Time{}, false
	}
	last := p.since
	for r, seenAt := range p.seenAt {
		if isServing(r) && seenAt.After(last) {
			last = seenAt
		}
	}
	return last.Add(AbsenceTime), true
}

package ctrl

import (
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// serviceUpstreams holds the upstreams of one service that accept requests.
type serviceUpstreams struct {
	// serving are the candidates that share the requests, and tried those that get the
	// share of a trial.
	serving, tried []pick.Candidate
	// target and barred are the candidates that an order keeps requests from: those of its
	// target, and those of releases that get none.
	target, barred []pick.Candidate
	// releases are those of the upstreams that are known to run.
	releases []mesh.Release
}

// lastResort returns the candidates that get requests if no others are left.
func (s *serviceUpstreams) lastResort() []pick.Candidate {
	if len(s.target) > 0 {
		return s.target
	}
	return s.barred
}

// rebuildSets rebuilds the candidate sets if a record or an order changed, or if upstreams
// may have become the last resort.
func (p *proxySnapshotBuilder) rebuildSets(now time.Time) {
	roster, rollouts := p.Roster.Read(), p.Rollouts.Get()
	isDue := !p.lastResortAt.IsZero() && !now.Before(p.lastResortAt)
	if p.position == roster.Position() && p.rollouts == rollouts.Revision && !isDue {
		return
	}
	p.position, p.rollouts = roster.Position(), rollouts.Revision
	if p.loadedAt.IsZero() && roster.Loaded {
		p.loadedAt = now
	}
	services := p.collectUpstreams(now)
	if roster.Loaded {
		p.observePresence(services, now)
		p.addLastResort(services, now)
	}
	p.candidateSets = make(map[mesh.Service]*pick.CandidateSet, len(services))
	p.trialSets = make(map[mesh.Service]*pick.CandidateSet)
	for service, s := range services {
		if len(s.serving) > 0 {
			p.candidateSets[service] = pick.NewCandidateSet(mesh.ServiceID{Service: service}, s.serving)
		}
		if len(s.tried) > 0 {
			// The picker keeps one set for each ID.
			p.trialSets[service] = pick.NewCandidateSet(mesh.ServiceID{Customer: "trial", Service: service}, s.tried)
		}
	}
}

// collectUpstreams lists the upstreams in the roster by service.
func (p *proxySnapshotBuilder) collectUpstreams(now time.Time) (services map[mesh.Service]*serviceUpstreams) {
	services = make(map[mesh.Service]*serviceUpstreams)
	roster := p.Roster.Read()
	live := make(map[string]bool)
	for _, n := range roster.Nodes() {
		if !roster.OwnsAddress(n) {
			continue
		}
		for _, u := range n.Serving() {
			live[u.Instance] = true
			s := services[u.Service]
			if s == nil {
				s = &serviceUpstreams{}
				services[u.Service] = s
			}
			p.addUpstream(s, n, u, now)
		}
	}
	maps.DeleteFunc(p.firstSeen, func(instance string, _ time.Time) bool { return !live[instance] })
	return services
}

// addUpstream adds an upstream of a node by the role of its release. What the restored store
// tells of a node that has not written since does not show that its upstream runs.
func (p *proxySnapshotBuilder) addUpstream(s *serviceUpstreams, n fleet.Node, u fleet.Upstream, now time.Time) {
	candidate := pick.Candidate{
		Host: cells.CandidateHost(n.Host, u.Release, u.Instance == n.Beside.Instance), Place: n.Place, Node: n.Address, Slots: u.Slots,
		ReadySince: p.coldSince(u, now), Release: u.Release,
	}
	rollouts, known := p.Rollouts.Get(), !p.Roster.Read().IsOutdated(n.Host)
	if known && !slices.Contains(s.releases, u.Release) {
		s.releases = append(s.releases, u.Release)
	}
	trial := rollouts.Trials[u.Service]
	switch rollouts.RoleOf(u.Service, u.Release) {
	case shift.Serving:
		s.serving = append(s.serving, candidate)
	case shift.Tried:
		if trial.Includes(u.Instance) {
			s.tried = append(s.tried, candidate)
		}
		if known {
			s.target = append(s.target, candidate)
		}
	case shift.Barred:
		if known {
			s.barred = append(s.barred, candidate)
		}
	}
}

// observePresence records which releases are present, also of services that have no
// upstreams any more.
func (p *proxySnapshotBuilder) observePresence(services map[mesh.Service]*serviceUpstreams, now time.Time) {
	for service := range services {
		if p.presence[service] == nil {
			p.presence[service] = &shift.Presence{}
		}
	}
	for service, presence := range p.presence {
		var releases []mesh.Release
		if s := services[service]; s != nil {
			releases = s.releases
		}
		presence.Observe(now, releases)
	}
}

// addLastResort makes upstreams that an order keeps requests from candidates of the services
// that have no others. Otherwise, all requests would fail although upstreams are ready.
func (p *proxySnapshotBuilder) addLastResort(services map[mesh.Service]*serviceUpstreams, now time.Time) {
	before := p.lastResort
	p.lastResort, p.lastResortAt = make(map[mesh.Service]bool), time.Time{}
	for service, view := range p.Rollouts.Get().Views {
		s := services[service]
		if s == nil || len(s.lastResort()) == 0 {
			continue
		}
		at, missing := p.presence[service].AbsentAt(&view)
		switch {
		case !missing:
		case now.Before(at):
			if p.lastResortAt.IsZero() || at.Before(p.lastResortAt) {
				p.lastResortAt = at
			}
		default:
			p.lastResort[service] = true
			s.serving = append(s.serving, s.lastResort()...)
		}
	}
	if !p.lastResortAt.IsZero() {
		p.alarm.SetIfEarlier(p.lastResortAt)
	}
	p.logLastResort(before)
}

// logLastResort logs for which services the last resort begins or ends.
func (p *proxySnapshotBuilder) logLastResort(before map[mesh.Service]bool) {
	for service := range p.Rollouts.Get().Views {
		if begun := p.lastResort[service]; begun != before[service] {
			p.LogEvents.Send(cells.LogEvent{Name: "rolloutLastResort", Fields: []cells.LogField{
				{Name: "object", Value: string(service)}, {Name: "serving", Value: begun},
			}})
		}
	}
}

// coldSince returns when the instance was first seen if it is still cold, otherwise zero.
func (p *proxySnapshotBuilder) coldSince(u fleet.Upstream, now time.Time) time.Time {
	if u.ColdRemaining <= 0 || p.loadedAt.IsZero() || now.Equal(p.loadedAt) {
		return time.Time{}
	}
	since, known := p.firstSeen[u.Instance]
	if !known {
		since = now
		p.firstSeen[u.Instance] = since
	}
	return since
}

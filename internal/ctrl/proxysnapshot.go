package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// sight builds the immutable snapshot that traffic threads work on.
type sight struct {
	*cells.Proxy
	// since holds when an instance was first seen, for those that came later
	// than the rest.
	since map[string]time.Time
	// settled is when the roster was first seen.
	settled time.Time
	// mark is the position in the roster's log that sets were built from.
	mark int
	sets map[mesh.Service]*pick.CandidateSet
}

func newSight(set *cells.Proxy) board.Controller {
	s := &sight{Proxy: set, since: make(map[string]time.Time), mark: -1}
	return board.Controller{
		Name:   "sight",
		Reads:  []board.Ref{&set.ActiveVersion, &set.Roster, &set.LocalUpstream, &set.Phase},
		Writes: []board.Ref{&set.Snapshot, &set.SnapshotUpdates},
		Step:   s.step,
	}
}

func (s *sight) step(now time.Time) {
	held, guest := s.ActiveVersion.Get(), s.LocalUpstream.Get()
	s.rebuild(now)
	s.Snapshot.Set(cells.ProxySnapshot{
		Plan: held.Plan, CandidateSets: s.sets, LocalUpstream: guest.Upstream, AdmitUntil: guest.AdmitUntil,
		NodeCount: max(1, s.Roster.Read().Len()), ServiceShare: s.share(guest.Service), Phase: s.Phase.Get(),
	})
	s.SnapshotUpdates.Send(held.Plan.Version())
}

// share returns the part of the nodes that stand beside an upstream of the service.
func (s *sight) share(service mesh.Service) float64 {
	all := 0
	for _, set := range s.sets {
		all += len(set.Candidates())
	}
	return float64(len(s.sets[service].Candidates())) / float64(max(all, 1))
}

// rebuild renews the sets when a record changed.
func (s *sight) rebuild(now time.Time) {
	roster := s.Roster.Read()
	if s.mark == roster.Position() {
		return
	}
	s.mark = roster.Position()
	if s.settled.IsZero() && roster.Loaded {
		s.settled = now
	}
	candidates := make(map[mesh.Service][]pick.Candidate)
	live := make(map[string]bool)
	for _, n := range roster.Nodes() {
		if !n.AcceptsRequests() || !roster.OwnsAddress(n) {
			continue
		}
		live[n.Upstream.Instance] = true
		candidates[n.Upstream.Service] = append(candidates[n.Upstream.Service], pick.Candidate{
			Host: n.Host, Place: n.Place, Node: n.Address, Slots: n.Upstream.Slots, ReadySince: s.sinceOf(n, now),
		})
	}
	for instance := range s.since {
		if !live[instance] {
			delete(s.since, instance)
		}
	}
	s.sets = make(map[mesh.Service]*pick.CandidateSet, len(candidates))
	for service, list := range candidates {
		s.sets[service] = pick.NewCandidateSet(mesh.ServiceID{Service: service}, list)
	}
}

// sinceOf returns when an instance came that was still cold, else zero.
func (s *sight) sinceOf(n fleet.Node, now time.Time) time.Time {
	if n.Upstream.ColdRemaining <= 0 || s.settled.IsZero() || now.Equal(s.settled) {
		return time.Time{}
	}
	since, known := s.since[n.Upstream.Instance]
	if !known {
		since = now
		s.since[n.Upstream.Instance] = since
	}
	return since
}

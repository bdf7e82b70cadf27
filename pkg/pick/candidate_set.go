// Package pick chooses the upstream for a request: near before far, the less
// loaded of two, and around those that fail or are slow.
package pick

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Candidate is one upstream of a service.
type Candidate struct {
	// Host is unique within a set.
	Host mesh.HostID
	// Place is where the host stands.
	Place mesh.Place
	// Node is where the host's node listens.
	Node netip.AddrPort
	// Slots is the upstream's concurrency; below 1 counts as 1.
	Slots int
	// ReadySince is when the host was first seen ready here, zero when that is long ago.
	ReadySince time.Time
}

// CandidateSet is an immutable set of upstreams of one service. The nil CandidateSet is empty.
type CandidateSet struct {
	id mesh.ServiceID
	// candidates are sorted by region, zone and host.
	candidates []Candidate
	// groups split candidates by place, in the same order.
	groups []group
	// byHost holds the indices of candidates, sorted by host.
	byHost []int
	// hashes holds the hash of each candidate's host, by index.
	hashes []uint64
}

// group is the part of a set that stands in one place.
type group struct {
	place mesh.Place
	// start and end bound the group's candidates; end is past the last.
	start, end int
}

// NewCandidateSet returns a set of the candidates; of two with the same host the later one counts.
func NewCandidateSet(id mesh.ServiceID, candidates []Candidate) (s *CandidateSet) {
	s = &CandidateSet{id: id, candidates: make([]Candidate, 0, len(candidates))}
	last := make(map[mesh.HostID]int, len(candidates))
	for i, c := range candidates {
		last[c.Host] = i
	}
	for i, c := range candidates {
		if last[c.Host] == i {
			s.candidates = append(s.candidates, c)
		}
	}
	slices.SortFunc(s.candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Place.Region, b.Place.Region),
			cmp.Compare(a.Place.Zone, b.Place.Zone), cmp.Compare(a.Host, b.Host))
	})
	s.index()
	return s
}

func (s *CandidateSet) index() {
	s.hashes = make([]uint64, len(s.candidates))
	s.byHost = make([]int, len(s.candidates))
	for i, c := range s.candidates {
		s.hashes[i] = xxhash.Sum64String(string(c.Host))
		s.byHost[i] = i
		if n := len(s.groups); n == 0 || s.groups[n-1].place != c.Place {
			s.groups = append(s.groups, group{place: c.Place, start: i})
		}
		s.groups[len(s.groups)-1].end = i + 1
	}
	slices.SortFunc(s.byHost, func(a, b int) int {
		return cmp.Compare(s.candidates[a].Host, s.candidates[b].Host)
	})
}

// ID returns the service whose upstreams these are.
func (s *CandidateSet) ID() (id mesh.ServiceID) {
	if s == nil {
		return id
	}
	return s.id
}

// Candidates returns the candidates, sorted by region, zone and host; the
// slice must not be changed.
func (s *CandidateSet) Candidates() []Candidate {
	if s == nil {
		return nil
	}
	return s.candidates
}

// Find returns the candidate of that host.
func (s *CandidateSet) Find(host mesh.HostID) (candidate Candidate, found bool) {
	if s == nil {
		return candidate, false
	}
	i, found := slices.BinarySearchFunc(s.byHost, host, func(index int, h mesh.HostID) int {
		return cmp.Compare(s.candidates[index].Host, h)
	})
	if !found {
		return candidate, false
	}
	return s.candidates[s.byHost[i]], true
}

// ShardOwner returns the host that owns the shard by rendezvous hashing: when hosts
// come or go, only the shards of those hosts move. It returns false for an empty set.
func ShardOwner(set *CandidateSet, shard uint32) (owner mesh.HostID, found bool) {
	if set == nil || len(set.candidates) == 0 {
		return "", false
	}
	best, bestHash := -1, uint64(0)
	var key [12]byte
	binary.LittleEndian.PutUint32(key[8:], shard)
	for i, h := range set.hashes {
		binary.LittleEndian.PutUint64(key[:8], h)
		hash := xxhash.Sum64(key[:])
		if best < 0 || hash > bestHash || (hash == bestHash && set.candidates[i].Host < set.candidates[best].Host) {
			best, bestHash = i, hash
		}
	}
	return set.candidates[best].Host, true
}

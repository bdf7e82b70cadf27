// Package pick is a client-side load balancer: it chooses the upstream for each
// request. It prefers the caller's zone and region, compares the load or the
// expected latency of the upstreams, and ejects those that fail or are slow.
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
	// Host identifies the upstream; it is unique within a set.
	Host mesh.HostID
	// Place is the region and zone of the host.
	Place mesh.Place
	// Node is the address on which the node of the host accepts requests.
	Node netip.AddrPort
	// Slots is the maximum concurrency of the upstream; values below 1 count as 1.
	Slots int
	// ReadySince is when this node first saw the host ready, zero when that was long
	// ago and the host needs no slow start.
	ReadySince time.Time
	// Release is the version of the software of the upstream; empty if unknown.
	Release mesh.Release
}

// CandidateSet is an immutable set of the upstreams of one service. A nil
// *CandidateSet is an empty set.
type CandidateSet struct {
	id mesh.ServiceID
	// candidates are sorted by region, zone and host.
	candidates []Candidate
	// groups divide candidates by place, in the same order.
	groups []placeGroup
	// byHost holds the indices of candidates, sorted by host.
	byHost []int
	// hashes holds the hash of the host of each candidate, by index.
	hashes []uint64
}

// placeGroup is the range of the candidates of one place.
type placeGroup struct {
	place mesh.Place
	// start and end delimit the candidates of the group; end is exclusive.
	start, end int
}

// NewCandidateSet returns a set of the candidates. Of several with the same host,
// the last one is used.
func NewCandidateSet(id mesh.ServiceID, candidates []Candidate) (s *CandidateSet) {
	s = &CandidateSet{id: id, candidates: make([]Candidate, 0, len(candidates))}
	lastIndex := make(map[mesh.HostID]int, len(candidates))
	for i, c := range candidates {
		lastIndex[c.Host] = i
	}
	for i, c := range candidates {
		if lastIndex[c.Host] == i {
			s.candidates = append(s.candidates, c)
		}
	}
	slices.SortFunc(s.candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Place.Region, b.Place.Region),
			cmp.Compare(a.Place.Zone, b.Place.Zone), cmp.Compare(a.Host, b.Host))
	})
	s.buildIndex()
	return s
}

func (s *CandidateSet) buildIndex() {
	s.hashes = make([]uint64, len(s.candidates))
	s.byHost = make([]int, len(s.candidates))
	for i, c := range s.candidates {
		s.hashes[i] = xxhash.Sum64String(string(c.Host))
		s.byHost[i] = i
		if n := len(s.groups); n == 0 || s.groups[n-1].place != c.Place {
			s.groups = append(s.groups, placeGroup{place: c.Place, start: i})
		}
		s.groups[len(s.groups)-1].end = i + 1
	}
	slices.SortFunc(s.byHost, func(a, b int) int {
		return cmp.Compare(s.candidates[a].Host, s.candidates[b].Host)
	})
}

// ID returns the service of the upstreams.
func (s *CandidateSet) ID() (id mesh.ServiceID) {
	if s == nil {
		return id
	}
	return s.id
}

// Candidates returns the candidates, sorted by region, zone and host. The slice must
// not be modified.
func (s *CandidateSet) Candidates() []Candidate {
	if s == nil {
		return nil
	}
	return s.candidates
}

// Find returns the candidate of the host.
func (s *CandidateSet) Find(host mesh.HostID) (candidate Candidate, found bool) {
	i, found := s.index(host)
	if !found {
		return candidate, false
	}
	return s.candidates[i], true
}

// index returns the index of the host in candidates.
func (s *CandidateSet) index(host mesh.HostID) (index int, found bool) {
	if s == nil {
		return 0, false
	}
	i, found := slices.BinarySearchFunc(s.byHost, host, func(index int, h mesh.HostID) int {
		return cmp.Compare(s.candidates[index].Host, h)
	})
	if !found {
		return 0, false
	}
	return s.byHost[i], true
}

// ShardOwner returns the host that owns the shard by rendezvous hashing: when hosts
// are added or removed, only the shards of those hosts move. found is false for an
// empty set.
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

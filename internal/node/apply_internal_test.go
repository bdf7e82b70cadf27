package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// TestCandidatesCountOnceTheirKeysAreDistributed covers a caller that waits for the
// upstreams and then for the window of keys in memory: the window starts when the claim
// registry learns of the upstreams, which is later than the snapshot.
func TestCandidatesCountOnceTheirKeysAreDistributed(t *testing.T) {
	id := mesh.ServiceID{Customer: "acme", Service: "memo"}
	n := &Node{}
	n.claims.Host = "a-1"
	n.cells.Snapshot.Set(cells.Snapshot{
		LocalRecord:   member.Record{Host: "a-1", ID: id, Slots: 1},
		CandidateSets: map[mesh.ServiceID]*pick.CandidateSet{id: pick.NewCandidateSet(id, []pick.Candidate{{Host: "a-1"}, {Host: "b-3"}})},
	})
	assert.Equal(t, n.CandidateCount(id), 0)
	n.onSnapshot(0)
	assert.Equal(t, n.CandidateCount(id), 2)
}

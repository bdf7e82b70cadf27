package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// When a change arrives, leads may send each other the same delta at the same time.
// A delta that is already in force must not count as one that can't be applied,
// since that would request full chunks.
func TestCrossingDeltasBetweenLeadsRequestNoFullChunks(t *testing.T) {
	f := newFleet(t)
	for i := range 12 {
		region := mesh.Region(fmt.Sprintf("region-%d", i%4))
		f.announce(f.addHost(fmt.Sprintf("host-%d", i), region, mesh.Zone("zone-"+string(region))), "notices")
	}
	f.submit(timeoutEdit("600ms"))
	f.waitUntil(30*time.Second, "first version", f.inForce(1))
	f.advance(30 * time.Second)
	before := make([]uint64, len(f.hosts))
	for i, h := range f.hosts {
		before[i] = h.FullChunkRequests.Load()
	}
	for i := range 10 {
		version := f.submit(timeoutEdit(fmt.Sprintf("%dms", 700+i)))
		f.waitUntil(changeDeadline, "the change in force", f.inForce(version))
		f.advance(2 * time.Second)
	}
	for i, h := range f.hosts {
		assert.Equal(t, h.FullChunkRequests.Load(), before[i], "%s", h.Self.Load().Host)
	}
}

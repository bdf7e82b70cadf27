package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestDeltasThatCrossBetweenLeadsAskForNoWholeChunks(t *testing.T) {
	f := newFleet(t)
	for i := range 12 {
		region := mesh.Region(fmt.Sprintf("region-%d", i%4))
		f.announce(f.add(fmt.Sprintf("host-%d", i), region, mesh.Zone("zone-"+string(region))), "notices")
	}
	f.submit(timeout("600ms"))
	f.until(30*time.Second, "first version", f.inForce(1))
	f.run(30 * time.Second)
	before := make([]uint64, len(f.hosts))
	for i, h := range f.hosts {
		before[i] = h.DeltaFailures.Load()
	}
	for i := range 10 {
		version := f.submit(timeout(fmt.Sprintf("%dms", 700+i)))
		f.until(bound, "the change in force", f.inForce(version))
		f.run(2 * time.Second)
	}
	for i, h := range f.hosts {
		assert.Equal(t, h.DeltaFailures.Load(), before[i], "%s", h.Self.Load().Host)
	}
}

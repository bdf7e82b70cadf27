package ctrl

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestChangesInAnyOrder guards against a version that is passed over because the platform
// reported an older one after it. No later event would bring it.
func TestChangesInAnyOrder(t *testing.T) {
	var (
		b     board.Board
		proxy cells.Proxy
	)
	AddProxy(&b, &proxy, testCodec{}, &simClock{}, rand.NewPCG(1, 1))
	proxy.ObjectEvents.Post(cells.ObjectEvent{Action: cells.WatchObjects, Kind: cells.VersionObjects, Objects: []cells.Object{
		{Name: "main", Value: []byte("3"), Version: 9}, {Name: "main", Value: []byte("2"), Version: 8},
	}})
	b.Settle(time.Now())
	assert.Equal(t, proxy.ActiveVersion.Load().Plan.Version(), mesh.Version(3))
}

package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func TestBadOffersChangeNothing(t *testing.T) {
	tests := []struct {
		name string
		// offer is what the child's relay sends, made from what is in force.
		offer func(config cells.Config) ctlmsg.Config
	}{
		{name: "an older version", offer: func(cells.Config) ctlmsg.Config {
			old := (&tree.Tree{}).Manifest(1)
			return ctlmsg.Config{Version: 1, RootDigest: old.RootDigest()}
		}},
		{name: "a higher version that fails its digest", offer: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, RootDigest: mesh.Digest{1}}
		}},
		{name: "the same version with another digest", offer: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version, RootDigest: mesh.Digest{1}}
		}},
		{name: "edits for a chunk that is not held", offer: func(c cells.Config) ctlmsg.Config {
			change := ctlmsg.ChunkChange{Scope: "trauerhaus", Digest: mesh.Digest{1}, Base: mesh.Digest{2}, Edits: []tree.Edit{timeout("1s")}}
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, Chunks: []ctlmsg.ChunkChange{change}}
		}},
		{name: "a whole chunk that is another", offer: func(c cells.Config) ctlmsg.Config {
			change := ctlmsg.ChunkChange{Scope: "trauerhaus", Digest: mesh.Digest{1}, Chunk: c.Tree.Chunk("trauerhaus/ch-west")}
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, Chunks: []ctlmsg.ChunkChange{change}}
		}},
		{name: "a base that is not in force", offer: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version + 7, Version: c.Manifest.Version + 8, RootDigest: c.Manifest.RootDigest()}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.submit(timeout("900ms"))
			f.run(20 * time.Second)
			h := f.child("lsn-a")
			before := h.Config.Load()
			f.post(h, cells.LinkEvent{Link: h.Uplinks.Load().Links[0], Kind: cells.LinkMessage, Message: tt.offer(before)})
			assert.Equal(t, h.Config.Load().Manifest.RootDigest(), before.Manifest.RootDigest())
			f.run(5 * time.Second)
			assert.Equal(t, h.Config.Load().Manifest.RootDigest(), before.Manifest.RootDigest())
			version := f.submit(timeout("800ms"))
			f.until(bound, "the next version in force", f.inForce(version))
		})
	}
}

func TestRefusedVersionIsReportedAndTheNextOneTaken(t *testing.T) {
	f := newSmallFleet(t)
	f.run(20 * time.Second)
	// A head that was written past the checks: its route names no service.
	good, goodTree := f.store.head, f.store.tree
	bad, err := goodTree.Apply([]tree.Edit{{Path: "trauerhaus", Key: "routes.ghost.path", Value: "/ghost"}})
	assert.NilError(t, err)
	f.store.setHead(tree.Head{Manifest: bad.Manifest(good.Version + 1)}, bad)
	f.run(20 * time.Second)
	for _, h := range f.hosts {
		assert.Equal(t, h.version, good.Version)
	}
	refusals := 0
	for _, h := range f.relays(anywhere) {
		refusals += len(h.ChildSummary.Load().Refusals)
	}
	assert.Assert(t, refusals > 0, "no relay reports the refusal")
	f.store.setHead(tree.Head{Manifest: goodTree.Manifest(good.Version + 2)}, goodTree)
	f.until(bound, "the mended version in force", f.inForce(good.Version+2))
}

func TestRelayPausedPastItsLeaseDoesNoHarm(t *testing.T) {
	f := newSmallFleet(t)
	f.until(time.Minute, "the first agreement", f.agreed(anywhere))
	f.run(20 * time.Second)
	h := f.relays(inZone("lsn-a"))[0]
	h.paused = true
	f.run(time.Minute)
	version := f.submit(timeout("700ms"))
	f.run(30 * time.Second)
	taken := slices.Clone(f.store.slots)
	f.resume(h)
	f.run(100 * time.Millisecond)
	for i, s := range taken {
		assert.Equal(t, f.store.slots[i].Relay.Host, s.Relay.Host, "the paused relay took a slot back")
	}
	f.until(bound, "the change in force", f.inForce(version))
	f.until(time.Minute, "agreement", f.agreed(anywhere))
}

func TestHeadsToldLateTwiceAndOutOfOrder(t *testing.T) {
	f := newSmallFleet(t)
	f.run(20 * time.Second)
	heads := make([]tree.Head, 0, 3)
	for _, v := range []string{"600ms", "700ms", "800ms"} {
		f.submit(timeout(v))
		heads = append(heads, f.store.head)
	}
	for _, i := range []int{1, 0, 2, 1, 2, 0} {
		for _, h := range f.relays(anywhere) {
			h.StoreEvents.Post(cells.StoreEvent{Action: cells.WatchHead, Head: heads[i]})
			f.settle(h)
		}
	}
	f.until(bound, "the last head in force", f.inForce(heads[2].Version))
}

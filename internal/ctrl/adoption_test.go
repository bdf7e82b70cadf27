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

func TestInvalidConfigurationsAreNotApplied(t *testing.T) {
	tests := []struct {
		name string
		// message returns what the child's relay sends, given the configuration in force.
		message func(config cells.Config) ctlmsg.Config
	}{
		{name: "an older version", message: func(cells.Config) ctlmsg.Config {
			old := (&tree.Tree{}).Manifest(1)
			return ctlmsg.Config{Version: 1, RootDigest: old.RootDigest()}
		}},
		{name: "a higher version with a wrong digest", message: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, RootDigest: mesh.Digest{1}}
		}},
		{name: "the same version with another digest", message: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version, RootDigest: mesh.Digest{1}}
		}},
		{name: "edits based on a chunk that is not held", message: func(c cells.Config) ctlmsg.Config {
			change := ctlmsg.ChunkChange{Scope: "trauerhaus", Digest: mesh.Digest{1}, Base: mesh.Digest{2}, Edits: []tree.Edit{timeoutEdit("1s")}}
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, Chunks: []ctlmsg.ChunkChange{change}}
		}},
		{name: "a full chunk that does not match its digest", message: func(c cells.Config) ctlmsg.Config {
			change := ctlmsg.ChunkChange{Scope: "trauerhaus", Digest: mesh.Digest{1}, Chunk: c.Tree.Chunk("trauerhaus/ch-west")}
			return ctlmsg.Config{Base: c.Manifest.Version, Version: c.Manifest.Version + 1, Chunks: []ctlmsg.ChunkChange{change}}
		}},
		{name: "a base version that is not in force", message: func(c cells.Config) ctlmsg.Config {
			return ctlmsg.Config{Base: c.Manifest.Version + 7, Version: c.Manifest.Version + 8, RootDigest: c.Manifest.RootDigest()}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.submit(timeoutEdit("900ms"))
			f.advance(20 * time.Second)
			h := f.child("lsn-a")
			before := h.Config.Load()
			f.post(h, cells.LinkEvent{Link: h.Uplinks.Load().Links[0], Kind: cells.LinkMessage, Message: tt.message(before)})
			assert.Equal(t, h.Config.Load().Manifest.RootDigest(), before.Manifest.RootDigest())
			f.advance(5 * time.Second)
			assert.Equal(t, h.Config.Load().Manifest.RootDigest(), before.Manifest.RootDigest())
			version := f.submit(timeoutEdit("800ms"))
			f.waitUntil(changeDeadline, "the next version in force", f.inForce(version))
		})
	}
}

func TestRefusedVersionIsReportedAndNextOneApplied(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(20 * time.Second)
	// The head was written without validation: its route names no service.
	good, goodTree := f.store.head, f.store.tree
	bad, err := goodTree.Apply([]tree.Edit{{Path: "trauerhaus", Key: "routes.ghost.path", Value: "/ghost"}})
	assert.NilError(t, err)
	f.store.setHead(tree.Head{Manifest: bad.Manifest(good.Version + 1)}, bad)
	f.advance(20 * time.Second)
	for _, h := range f.hosts {
		assert.Equal(t, h.highestVersion, good.Version)
	}
	refusals := 0
	for _, h := range f.relays(anyHost) {
		refusals += len(h.ChildSummary.Load().Refusals)
	}
	assert.Assert(t, refusals > 0, "no relay reports the refusal")
	f.store.setHead(tree.Head{Manifest: goodTree.Manifest(good.Version + 2)}, goodTree)
	f.waitUntil(changeDeadline, "corrected version in force", f.inForce(good.Version+2))
}

// A relay that is paused for longer than its lease resumes with the belief that it
// still holds its slot. It must not take the slot back from the relay that claimed
// it in the meantime.
func TestRelayPausedPastItsLeaseDoesNotReclaimItsSlot(t *testing.T) {
	f := newSmallFleet(t)
	f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
	f.advance(20 * time.Second)
	h := f.relays(inZone("lsn-a"))[0]
	h.paused = true
	f.advance(time.Minute)
	version := f.submit(timeoutEdit("700ms"))
	f.advance(30 * time.Second)
	taken := slices.Clone(f.store.slots)
	f.resume(h)
	f.advance(100 * time.Millisecond)
	for i, s := range taken {
		assert.Equal(t, f.store.slots[i].Relay.Host, s.Relay.Host, "the paused relay took over a slot")
	}
	f.waitUntil(changeDeadline, "the change in force", f.inForce(version))
	f.waitUntil(time.Minute, "agreement", f.allAgree(anyHost))
}

func TestHeadsArrivingLateTwiceAndOutOfOrder(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(20 * time.Second)
	heads := make([]tree.Head, 0, 3)
	for _, v := range []string{"600ms", "700ms", "800ms"} {
		f.submit(timeoutEdit(v))
		heads = append(heads, f.store.head)
	}
	for _, i := range []int{1, 0, 2, 1, 2, 0} {
		for _, h := range f.relays(anyHost) {
			h.StoreEvents.Post(cells.StoreEvent{Action: cells.WatchHead, Head: heads[i]})
			f.settle(h)
		}
	}
	f.waitUntil(changeDeadline, "the last head in force", f.inForce(heads[2].Version))
}

package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// ask tells the nodes that serve this one what it holds and wants, whenever
// that is more than what they have been told.
type ask struct {
	*cells.Set
	// told holds the links that know what is wanted.
	told []cells.LinkID
	// wanted, needed and reset are what was last told.
	wanted cells.Subscription
	needed []mesh.ServiceID
	reset  uint64
}

func newAsk(set *cells.Set) board.Controller {
	a := &ask{Set: set}
	return board.Controller{
		Name:   "ask",
		Reads:  []board.Ref{&set.Uplinks, &set.Subscription, &set.NeededServices, &set.DeltaFailures},
		Uses:   []board.Ref{&set.Config, &set.Self},
		Writes: []board.Ref{&set.LinkCommands},
		Step:   a.step,
	}
}

func (a *ask) step(time.Time) {
	wanted, needed, reset := a.Subscription.Get(), a.NeededServices.Get(), a.DeltaFailures.Get()
	changed := wanted.All != a.wanted.All || !slices.Equal(wanted.Customers, a.wanted.Customers) ||
		!slices.Equal(needed, a.needed) || reset != a.reset
	links := a.Uplinks.Get().Links
	for _, l := range links {
		if changed || !slices.Contains(a.told, l) {
			send(a.Set, l, a.held(wanted, needed, reset != a.reset))
		}
	}
	a.told = links
	if len(links) > 0 {
		a.wanted, a.needed, a.reset = wanted, needed, reset
	}
}

func (a *ask) held(wanted cells.Subscription, needed []mesh.ServiceID, reset bool) ctlmsg.ConfigRequest {
	config := a.Config.Get()
	held := ctlmsg.ConfigRequest{Version: config.Manifest.Version, FullChunks: reset}
	if !wanted.All {
		held.Services = needed
	}
	for _, s := range wantedScopes(wanted, a.Self.Get().Place.Region, config.Manifest) {
		scope := ctlmsg.ChunkRequest{Scope: s}
		if c := config.Tree.Chunk(s); c != nil && !reset {
			scope.Digest = c.Digest()
		}
		held.Chunks = append(held.Chunks, scope)
	}
	if reset {
		held.Version = 0
	}
	return held
}

// wantedScopes lists the chunks that a node wants, sorted. A relay wants every
// chunk of the manifest.
func wantedScopes(wanted cells.Subscription, region mesh.Region, manifest tree.Manifest) []tree.Path {
	scopes := []tree.Path{""}
	if wanted.All {
		for s := range manifest.Chunks {
			scopes = append(scopes, s)
		}
	}
	for _, c := range wanted.Customers {
		scopes = append(scopes, tree.Join(c, "", ""), tree.Join(c, region, ""))
	}
	slices.Sort(scopes)
	return slices.Compact(scopes)
}

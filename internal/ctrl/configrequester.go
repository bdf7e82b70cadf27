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

// configRequester sends a ConfigRequest, which says what this node holds and wants,
// to the nodes that serve it: on each new link, and on all links when what it
// wants has changed.
type configRequester struct {
	*cells.Node
	// sentTo holds the links that have been sent a request.
	sentTo []cells.LinkID
	// lastWanted, lastNeeded and lastReset are what the last request was made from.
	lastWanted cells.Subscription
	lastNeeded []mesh.ServiceID
	lastReset  uint64
}

func newConfigRequester(set *cells.Node) board.Controller {
	r := &configRequester{Node: set}
	return board.Controller{
		Name:   "ask",
		Reads:  []board.Ref{&set.Uplinks, &set.Subscription, &set.NeededServices, &set.DeltaFailures},
		Uses:   []board.Ref{&set.Config, &set.Self},
		Writes: []board.Ref{&set.LinkCommands},
		Step:   r.step,
	}
}

func (r *configRequester) step(time.Time) {
	wanted, needed, reset := r.Subscription.Get(), r.NeededServices.Get(), r.DeltaFailures.Get()
	changed := wanted.All != r.lastWanted.All || !slices.Equal(wanted.Customers, r.lastWanted.Customers) ||
		!slices.Equal(needed, r.lastNeeded) || reset != r.lastReset
	links := r.Uplinks.Get().Links
	for _, l := range links {
		if changed || !slices.Contains(r.sentTo, l) {
			send(r.Node, l, r.request(wanted, needed, reset != r.lastReset))
		}
	}
	r.sentTo = links
	if len(links) > 0 {
		r.lastWanted, r.lastNeeded, r.lastReset = wanted, needed, reset
	}
}

// request returns the request. A reset states version zero and no digests, so
// that the response holds full chunks and is based on no version.
func (r *configRequester) request(wanted cells.Subscription, needed []mesh.ServiceID, reset bool) ctlmsg.ConfigRequest {
	config := r.Config.Get()
	request := ctlmsg.ConfigRequest{Version: config.Manifest.Version, FullChunks: reset}
	if !wanted.All {
		request.Services = needed
	}
	for _, s := range wantedScopes(wanted, r.Self.Get().Place.Region, config.Manifest) {
		chunk := ctlmsg.ChunkRequest{Scope: s}
		if c := config.Tree.Chunk(s); c != nil && !reset {
			chunk.Digest = c.Digest()
		}
		request.Chunks = append(request.Chunks, chunk)
	}
	if reset {
		request.Version = 0
	}
	return request
}

// wantedScopes returns the scopes whose chunks a node wants, sorted: the root and,
// for each wanted customer, the customer and its part of the region. A relay also
// wants every chunk of the manifest.
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

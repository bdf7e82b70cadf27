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
	// lastWanted, lastNeeded and lastFullRequests are the inputs from which the last
	// request was built.
	lastWanted       cells.Subscription
	lastNeeded       []mesh.ServiceID
	lastFullRequests uint64
}

func newConfigRequester(node *cells.Node) board.Controller {
	r := &configRequester{Node: node}
	return board.Controller{
		Name:   "configRequester",
		Reads:  []board.Ref{&node.Uplinks, &node.Subscription, &node.NeededServices, &node.FullChunkRequests},
		Uses:   []board.Ref{&node.Config, &node.Self},
		Writes: []board.Ref{&node.LinkCommands},
		Step:   r.step,
	}
}

func (r *configRequester) step(time.Time) {
	wanted, needed, fullRequests := r.Subscription.Get(), r.NeededServices.Get(), r.FullChunkRequests.Get()
	changed := wanted.All != r.lastWanted.All || !slices.Equal(wanted.Customers, r.lastWanted.Customers) ||
		!slices.Equal(needed, r.lastNeeded) || fullRequests != r.lastFullRequests
	links := r.Uplinks.Get().Links
	for _, l := range links {
		if changed || !slices.Contains(r.sentTo, l) {
			send(r.Node, l, r.request(wanted, needed, fullRequests != r.lastFullRequests))
		}
	}
	r.sentTo = links
	if len(links) > 0 {
		r.lastWanted, r.lastNeeded, r.lastFullRequests = wanted, needed, fullRequests
	}
}

// request returns the request. A request for full chunks contains version zero and no
// digests, so that the response is not based on any version.
func (r *configRequester) request(wanted cells.Subscription, needed []mesh.ServiceID, fullChunks bool) ctlmsg.ConfigRequest {
	config := r.Config.Get()
	request := ctlmsg.ConfigRequest{Version: config.Manifest.Version, FullChunks: fullChunks}
	if !wanted.All {
		request.Services = needed
	}
	for _, s := range wantedScopes(wanted, r.Self.Get().Place.Region, config.Manifest) {
		chunk := ctlmsg.ChunkRequest{Scope: s}
		if c := config.Tree.Chunk(s); c != nil && !fullChunks {
			chunk.Digest = c.Digest()
		}
		request.Chunks = append(request.Chunks, chunk)
	}
	if fullChunks {
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

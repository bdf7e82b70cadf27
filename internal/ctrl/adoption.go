package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/adopt"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// minFullRequestInterval is the minimum time between two requests for full chunks.
const minFullRequestInterval = time.Second

// adoption stages, verifies and puts in force the newest version of the
// configuration. It gets versions from the nodes that serve this one and, on a
// lead, from the platform. The part that reads from the platform is in fetch.go.
type adoption struct {
	*cells.Node
	alarm   board.Alarm
	adopter adopt.Adopter[cells.Config]
	// head is the newest head received from the platform.
	head tree.Head
	// fetchingVersion is the version whose chunks are being read from the platform,
	// zero while none are.
	fetchingVersion mesh.Version
	// fetchRetryAt is the earliest time at which the chunks of the same head are read
	// again.
	fetchRetryAt time.Time
	// nextFullRequestAt is the earliest time of the next request for full chunks.
	nextFullRequestAt time.Time
	// fullRequestPending is true while a request for full chunks waits for
	// nextFullRequestAt.
	fullRequestPending bool
	// lastRequired and lastTable are the inputs from which the needed services were
	// last computed.
	lastRequired []mesh.ServiceID
	lastTable    *route.Table
}

func newAdoption(node *cells.Node) board.Controller {
	a := &adoption{Node: node}
	return board.Controller{
		Name:  "adoption",
		Reads: []board.Ref{&node.LinkEvents, &node.StoreEvents, &node.CompleteServices, &node.Uplinks, &a.alarm},
		Uses:  []board.Ref{&node.Self, &node.Subscription},
		Writes: []board.Ref{
			&node.Config, &node.Adoption, &node.NeededServices, &node.FullChunkRequests, &node.ChunkHistory, &node.StoreCommands, &a.alarm,
		},
		Step: a.step,
	}
}

func (a *adoption) step(now time.Time) {
	for _, e := range a.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Config); ok {
			a.handleConfig(m, now)
		}
	}
	for _, e := range a.StoreEvents.Events() {
		a.handleStoreEvent(e, now)
	}
	a.markCompleteServices(now)
	a.followHead(now)
	a.requestFullChunksWhenDue(now)
	a.publishStatus()
}

// handleConfig stages a configuration sent by a node that serves this one.
func (a *adoption) handleConfig(m ctlmsg.Config, now time.Time) {
	config := a.Config.Get()
	if m.Version < config.Manifest.Version || alreadyInForce(config, m) {
		return
	}
	staged, err := stage(config, m, a.wantedScopes)
	if err != nil {
		a.fullRequestPending = true
		return
	}
	a.offer(staged, m.RootDigest, now)
}

// alreadyInForce reports whether everything in the message is already in force.
// This happens when two leads send each other a version that both got from the
// platform. Staging such a message could fail, since its base may be older than
// the version in force, and would request full chunks needlessly.
func alreadyInForce(config cells.Config, m ctlmsg.Config) bool {
	if m.Version != config.Manifest.Version || m.RootDigest != config.Manifest.RootDigest() {
		return false
	}
	return !slices.ContainsFunc(m.Chunks, func(c ctlmsg.ChunkChange) bool {
		return !c.DigestOnly && !c.Removed && config.Tree.Chunk(c.Scope).Digest() != c.Digest
	})
}

// wantedScopes returns the scopes of the manifest whose chunks this node wants.
func (a *adoption) wantedScopes(manifest tree.Manifest) []tree.Path {
	return wantedScopes(a.Subscription.Get(), a.Self.Get().Place.Region, manifest)
}

// offer compiles a staged configuration and offers it to the adopter. Chunks that
// were added to the version in force take effect immediately, since they only add
// routes, and each call waits until the upstreams of its route are known.
func (a *adoption) offer(staged cells.Config, rootDigest mesh.Digest, now time.Time) {
	table, violations := route.CompileIncremental(a.Config.Get().Table, staged.Tree, a.Self.Get().Place.Region)
	invalidReason := ""
	if len(violations) > 0 {
		invalidReason = violations.Error()
	}
	staged.Table = table
	if staged.Manifest.Version == a.Config.Get().Manifest.Version && staged.Manifest.RootDigest() == a.Config.Get().Manifest.RootDigest() {
		if invalidReason == "" {
			a.putInForce(staged)
		}
		return
	}
	offer := adopt.Offer[cells.Config]{
		Version: staged.Manifest.Version, ExpectedDigest: rootDigest, ActualDigest: staged.Manifest.RootDigest(), Value: staged, InvalidReason: invalidReason,
	}
	if table != nil {
		offer.RequiredServices = table.Services()
	}
	a.publishIfApplied(a.adopter.Offer(now, offer))
}

// publishIfApplied publishes the adopter's configuration if the outcome says that
// it was put in force.
func (a *adoption) publishIfApplied(outcome adopt.Outcome) {
	if outcome.Result != adopt.ResultApplied {
		return
	}
	if _, config, ok := a.adopter.InForce(); ok {
		a.putInForce(config)
	}
}

// putInForce publishes the configuration and keeps its chunks in the history as bases
// for deltas.
func (a *adoption) putInForce(config cells.Config) {
	a.Config.Set(config)
	history := a.ChunkHistory.Change()
	for _, s := range config.Tree.Scopes() {
		history.Add(s, config.Tree.Chunk(s))
	}
}

// markCompleteServices tells the adopter which of the services that it waits for
// have complete records now.
func (a *adoption) markCompleteServices(now time.Time) {
	complete := a.CompleteServices.Read()
	var completed []mesh.ServiceID
	for _, id := range a.adopter.Status().Missing {
		if complete.Has(id) {
			completed = append(completed, id)
		}
	}
	a.publishIfApplied(a.adopter.MarkKnown(now, completed))
}

// publishStatus publishes the adoption status and the needed services.
func (a *adoption) publishStatus() {
	status := a.adopter.Status()
	old := a.Adoption.Get()
	if status.State != old.State || status.InForce != old.InForce || status.Pending != old.Pending ||
		status.Refused != old.Refused || !slices.Equal(status.Missing, old.Missing) {
		a.Adoption.Set(status)
	}
	a.publishNeededServices()
}

// publishNeededServices publishes the services whose records this node needs: those of
// the version in force and those of the pending version.
func (a *adoption) publishNeededServices() {
	required, table := a.adopter.RequiredServices(), a.Config.Get().Table
	if table == a.lastTable && slices.Equal(required, a.lastRequired) {
		return
	}
	a.lastRequired, a.lastTable = required, table
	needed := slices.Clone(required)
	if table != nil {
		needed = append(needed, table.Services()...)
	}
	slices.SortFunc(needed, compareServices)
	needed = slices.Compact(needed)
	if !slices.Equal(needed, a.NeededServices.Get()) {
		a.NeededServices.Set(needed)
	}
}

// requestFullChunksWhenDue requests full chunks at most once per
// minFullRequestInterval, so that deltas that keep failing do not cause a tight loop
// of requests.
func (a *adoption) requestFullChunksWhenDue(now time.Time) {
	if !a.fullRequestPending {
		return
	}
	if now.Before(a.nextFullRequestAt) {
		a.alarm.SetIfEarlier(a.nextFullRequestAt)
		return
	}
	a.fullRequestPending = false
	a.nextFullRequestAt = now.Add(minFullRequestInterval)
	a.FullChunkRequests.Set(a.FullChunkRequests.Get() + 1)
}

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

// resetInterval is the shortest time between two requests for whole chunks.
const resetInterval = time.Second

// adoption brings the newest version in force: from the nodes that serve this
// one, and on a lead from the platform.
type adoption struct {
	*cells.Set
	alarm   board.Alarm
	adopter adopt.Adopter[cells.Config]
	// head is the newest head that the platform told.
	head tree.Head
	// fetching is the version whose chunks are being read, zero for none.
	fetching mesh.Version
	// fetchAt is when a failed read is tried again.
	fetchAt time.Time
	// resetAt is the earliest time of the next request for whole chunks.
	resetAt time.Time
	// resetDue is true while such a request waits for resetAt.
	resetDue bool
	// needs and table are what Needed was last worked out from.
	needs []mesh.ServiceID
	table *route.Table
}

func newAdoption(set *cells.Set) board.Controller {
	a := &adoption{Set: set}
	return board.Controller{
		Name:  "adoption",
		Reads: []board.Ref{&set.LinkEvents, &set.StoreEvents, &set.CompleteServices, &set.Uplinks, &a.alarm},
		Uses:  []board.Ref{&set.Self, &set.Subscription},
		Writes: []board.Ref{
			&set.Config, &set.Adoption, &set.NeededServices, &set.DeltaFailures, &set.ChunkHistory, &set.StoreCommands, &a.alarm,
		},
		Step: a.step,
	}
}

func (a *adoption) step(now time.Time) {
	for _, e := range a.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Config); ok {
			a.received(m, now)
		}
	}
	for _, e := range a.StoreEvents.Events() {
		a.stored(e, now)
	}
	a.learnServices(now)
	a.follow(now)
	a.resetWhenDue(now)
	a.report()
}

// received takes in what a serving node sent.
func (a *adoption) received(m ctlmsg.Config, now time.Time) {
	config := a.Config.Get()
	if m.Version < config.Manifest.Version || inForce(config, m) {
		return
	}
	staged, err := stage(config, m, a.wantedScopes)
	if err != nil {
		a.resetDue = true
		return
	}
	a.offer(staged, m.RootDigest, now)
}

// inForce reports whether the message brings nothing that is not in force, as
// when two leads tell each other what both had from the platform. Its base may
// be an older version then.
func inForce(config cells.Config, m ctlmsg.Config) bool {
	if m.Version != config.Manifest.Version || m.RootDigest != config.Manifest.RootDigest() {
		return false
	}
	return !slices.ContainsFunc(m.Chunks, func(c ctlmsg.ChunkChange) bool {
		return !c.DigestOnly && !c.Removed && config.Tree.Chunk(c.Scope).Digest() != c.Digest
	})
}

// wantedScopes lists the chunks that this node wants of a manifest.
func (a *adoption) wantedScopes(manifest tree.Manifest) []tree.Path {
	return wantedScopes(a.Subscription.Get(), a.Self.Get().Place.Region, manifest)
}

// offer compiles a staged configuration and offers it; chunks that were added
// at the version in force are put in force at once, since they only add routes
// whose upstreams each call waits for.
func (a *adoption) offer(staged cells.Config, root mesh.Digest, now time.Time) {
	table, faults := route.CompileIncremental(a.Config.Get().Table, staged.Tree, a.Self.Get().Place.Region)
	fault := ""
	if len(faults) > 0 {
		fault = faults.Error()
	}
	staged.Table = table
	if staged.Manifest.Version == a.Config.Get().Manifest.Version && staged.Manifest.RootDigest() == a.Config.Get().Manifest.RootDigest() {
		if fault == "" {
			a.enforce(staged)
		}
		return
	}
	offer := adopt.Offer[cells.Config]{
		Version: staged.Manifest.Version, ExpectedDigest: root, ActualDigest: staged.Manifest.RootDigest(), Value: staged, InvalidReason: fault,
	}
	if table != nil {
		offer.RequiredServices = table.Services()
	}
	a.applied(a.adopter.Offer(now, offer))
}

// applied publishes the configuration in force when a step put one in force.
func (a *adoption) applied(outcome adopt.Outcome) {
	if outcome.Result != adopt.ResultApplied {
		return
	}
	if _, config, ok := a.adopter.InForce(); ok {
		a.enforce(config)
	}
}

func (a *adoption) enforce(config cells.Config) {
	a.Config.Set(config)
	library := a.ChunkHistory.Change()
	for _, s := range config.Tree.Scopes() {
		library.Add(s, config.Tree.Chunk(s))
	}
}

// learnServices tells the adopter which of the services that it waits for are
// known by now.
func (a *adoption) learnServices(now time.Time) {
	known := a.CompleteServices.Read()
	var ids []mesh.ServiceID
	for _, id := range a.adopter.Status().Missing {
		if known.Has(id) {
			ids = append(ids, id)
		}
	}
	a.applied(a.adopter.MarkKnown(now, ids))
}

// report publishes the progress and the services that are needed.
func (a *adoption) report() {
	status := a.adopter.Status()
	old := a.Adoption.Get()
	if status.State != old.State || status.InForce != old.InForce || status.Pending != old.Pending ||
		status.Refused != old.Refused || !slices.Equal(status.Missing, old.Missing) {
		a.Adoption.Set(status)
	}
	a.reportNeeded()
}

// reportNeeded publishes the services of the version in force and of the
// pending one.
func (a *adoption) reportNeeded() {
	needs, table := a.adopter.RequiredServices(), a.Config.Get().Table
	if table == a.table && slices.Equal(needs, a.needs) {
		return
	}
	a.needs, a.table = needs, table
	needed := slices.Clone(needs)
	if table != nil {
		needed = append(needed, table.Services()...)
	}
	slices.SortFunc(needed, compareServices)
	needed = slices.Compact(needed)
	if !slices.Equal(needed, a.NeededServices.Get()) {
		a.NeededServices.Set(needed)
	}
}

// resetWhenDue asks for whole chunks, but not in a tight loop.
func (a *adoption) resetWhenDue(now time.Time) {
	if !a.resetDue {
		return
	}
	if now.Before(a.resetAt) {
		a.alarm.SetIfEarlier(a.resetAt)
		return
	}
	a.resetDue = false
	a.resetAt = now.Add(resetInterval)
	a.DeltaFailures.Set(a.DeltaFailures.Get() + 1)
}

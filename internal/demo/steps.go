package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// author stands in the history of the demo's changes.
const author = "demo"

// errAccepted means that a change which must be refused was accepted.
var errAccepted = errors.New("the bad change was accepted")

func (r *run) firstSettings(ctx context.Context) (err error) {
	data, err := sheet.Sample(r.shape.sample)
	if err != nil {
		return err
	}
	document, err := sheet.ParseYAML(data)
	if err != nil {
		return err
	}
	version, err := r.submit(ctx, "first", 0, document.Edits)
	if err != nil {
		return err
	}
	err = r.until(ctx, startTime, "first version in force", func(s *site) bool {
		status := s.node.Status()
		return status.Version >= version && status.UpstreamState == "ready" && status.Services >= len(r.shape.services)
	})
	if err != nil {
		return err
	}
	err = r.until(ctx, startTime, "every upstream known", r.knowsEveryUpstream)
	return err
}

// knowsEveryUpstream reports whether a node can choose among all upstreams.
func (r *run) knowsEveryUpstream(s *site) bool {
	for _, v := range r.shape.services {
		want := 0
		for _, n := range v.perZone {
			want += n
		}
		if s.node.KnownUpstreams(mesh.ServiceID{Customer: r.shape.customer, Service: v.name}) < want {
			return false
		}
	}
	return true
}

func (r *run) startLoad(ctx context.Context) error {
	r.load = startLoad(ctx, r.sites, r.shape.calls)
	return calm(ctx)
}

func (r *run) goodChange(ctx context.Context) (err error) {
	before := r.controlBytes()
	start := time.Now()
	version, err := r.submit(ctx, "good", 1, []tree.Edit{r.edit("timeout", "4s")})
	if err != nil {
		return err
	}
	if err = r.until(ctx, convergeTime, "change in force", func(s *site) bool { return s.node.Status().Version >= version }); err != nil {
		return err
	}
	r.result.Convergence = time.Since(start)
	if err = calm(ctx); err != nil {
		return err
	}
	elapsed := time.Since(start)
	r.result.ControlBytesPerSecond = float64(r.controlBytes()-before) / elapsed.Seconds() / float64(len(r.sites))
	return nil
}

func (r *run) badChange(ctx context.Context) (err error) {
	edits := []tree.Edit{r.edit("timeout", "3s"), r.edit("retry.attempts", "many"), r.edit("routes.ghost.service", "nowhere")}
	_, err = r.submit(ctx, "bad", 2, edits)
	var faults tree.Violations
	if !errors.As(err, &faults) {
		return errors.Join(errAccepted, err)
	}
	r.result.RefusedFaults = len(faults)
	for _, s := range r.sites {
		if status := s.node.Status(); status.Version != 2 {
			r.result.broke(fmt.Sprintf("%s has version %d in force after the refusal", status.Host, status.Version))
		}
	}
	return nil
}

func (r *run) drainUpstream(ctx context.Context) (err error) {
	if err = r.sites[0].upstream.Drain(ctx); err != nil {
		return err
	}
	return calm(ctx)
}

func (r *run) cutPlatform(ctx context.Context) (err error) {
	if err = r.platform.SetFaults(objapi.Faults{Down: objapi.Drop}); err != nil {
		return err
	}
	if err = calm(ctx); err != nil {
		return err
	}
	return r.platform.SetFaults(objapi.Faults{})
}

func (r *run) submit(ctx context.Context, name string, base mesh.Version, edits []tree.Edit) (version mesh.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, convergeTime)
	defer cancel()
	return r.sites[len(r.sites)-1].node.Submit(ctx, tree.Change{
		ID: mesh.ChangeID(name), Author: author, Base: base, Edits: edits,
	})
}

func (r *run) edit(key tree.Key, value string) tree.Edit {
	return tree.Edit{Path: tree.Join(r.shape.customer, "", ""), Key: key, Value: value}
}

// controlBytes sums the control bytes that all nodes sent.
func (r *run) controlBytes() (sum uint64) {
	for _, s := range r.sites {
		sum += s.node.ControlBytes()
	}
	return sum
}

// calm lets calls go on for a while.
func calm(ctx context.Context) error {
	return pause.For(ctx, calmTime)
}

// count ends the calls and counts what ran more than once.
func (r *run) count(context.Context) error {
	r.load.stop()
	runs := make(map[string]int)
	for _, s := range r.sites {
		for _, v := range s.upstream.Runs() {
			runs[v.Key] += v.Count
		}
	}
	for key, n := range runs {
		if n > 1 && strings.HasPrefix(key, keyPrefix) {
			r.result.RunTwice++
		}
	}
	for _, p := range mesh.Priorities() {
		r.result.addPriority(p, &r.load.Stats[p])
	}
	if r.result.RunTwice > 0 {
		r.result.broke(fmt.Sprintf("%d keyed requests ran more than once", r.result.RunTwice))
	}
	r.result.Nodes = len(r.sites)
	return nil
}

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

// author is the author of the demo's changes in their history.
const author = "demo"

// errAccepted is returned if the invalid change is accepted.
var errAccepted = errors.New("the invalid change was accepted")

func (d *demo) applyInitialSettings(ctx context.Context) (err error) {
	data, err := sheet.Sample(d.deployment.settingsSample)
	if err != nil {
		return err
	}
	document, err := sheet.ParseYAML(data)
	if err != nil {
		return err
	}
	version, err := d.submit(ctx, "first", 0, document.Edits)
	if err != nil {
		return err
	}
	err = d.waitAll(ctx, startTimeout, "initial version in force", func(h *host) bool {
		status := h.node.Status()
		return status.Version >= version && status.UpstreamState == "ready" && status.Services >= len(d.deployment.services)
	})
	if err != nil {
		return err
	}
	err = d.waitAll(ctx, startTimeout, "all upstreams known", d.knowsAllUpstreams)
	return err
}

// knowsAllUpstreams reports whether the host's node knows all upstreams.
func (d *demo) knowsAllUpstreams(h *host) bool {
	for _, svc := range d.deployment.services {
		want := 0
		for _, n := range svc.perZone {
			want += n
		}
		if h.node.KnownUpstreams(mesh.ServiceID{Customer: d.deployment.customer, Service: svc.name}) < want {
			return false
		}
	}
	return true
}

func (d *demo) startLoad(ctx context.Context) error {
	d.load = startLoad(ctx, d.hosts, d.deployment.streams)
	return steadyLoad(ctx)
}

func (d *demo) applyChange(ctx context.Context) (err error) {
	before := d.controlBytes()
	start := time.Now()
	version, err := d.submit(ctx, "good", 1, []tree.Edit{d.edit("timeout", "4s")})
	if err != nil {
		return err
	}
	if err = d.waitAll(ctx, convergenceTimeout, "change in force", func(h *host) bool { return h.node.Status().Version >= version }); err != nil {
		return err
	}
	d.result.Convergence = time.Since(start)
	if err = steadyLoad(ctx); err != nil {
		return err
	}
	elapsed := time.Since(start)
	d.result.ControlBytesPerSecond = float64(d.controlBytes()-before) / elapsed.Seconds() / float64(len(d.hosts))
	return nil
}

func (d *demo) refuseChange(ctx context.Context) (err error) {
	edits := []tree.Edit{d.edit("timeout", "3s"), d.edit("retry.attempts", "many"), d.edit("routes.ghost.service", "nowhere")}
	_, err = d.submit(ctx, "bad", 2, edits)
	var violations tree.Violations
	if !errors.As(err, &violations) {
		return errors.Join(errAccepted, err)
	}
	d.result.RefusedFaults = len(violations)
	for _, h := range d.hosts {
		if status := h.node.Status(); status.Version != 2 {
			d.result.addViolation(fmt.Sprintf("%s has version %d in force after the refusal", status.Host, status.Version))
		}
	}
	return nil
}

func (d *demo) drainUpstream(ctx context.Context) (err error) {
	if err = d.hosts[0].upstream.Drain(ctx); err != nil {
		return err
	}
	return steadyLoad(ctx)
}

func (d *demo) cutPlatform(ctx context.Context) (err error) {
	if err = d.platform.SetFaults(objapi.Faults{Down: objapi.Drop}); err != nil {
		return err
	}
	if err = steadyLoad(ctx); err != nil {
		return err
	}
	return d.platform.SetFaults(objapi.Faults{})
}

func (d *demo) submit(ctx context.Context, id string, base mesh.Version, edits []tree.Edit) (version mesh.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	return d.hosts[len(d.hosts)-1].node.Submit(ctx, tree.Change{
		ID: mesh.ChangeID(id), Author: author, Base: base, Edits: edits,
	})
}

func (d *demo) edit(key tree.Key, value string) tree.Edit {
	return tree.Edit{Path: tree.Join(d.deployment.customer, "", ""), Key: key, Value: value}
}

// controlBytes returns the control bytes that all nodes sent.
func (d *demo) controlBytes() (sum uint64) {
	for _, h := range d.hosts {
		sum += h.node.ControlBytes()
	}
	return sum
}

// steadyLoad waits while calls are sent.
func steadyLoad(ctx context.Context) error {
	return pause.For(ctx, steadyTime)
}

// collectResults stops the load, counts requests that ran more than once and adds
// the results of each priority.
func (d *demo) collectResults(context.Context) error {
	d.load.stop()
	runs := make(map[string]int)
	for _, h := range d.hosts {
		for _, run := range h.upstream.Runs() {
			runs[run.Key] += run.Count
		}
	}
	for key, n := range runs {
		if n > 1 && strings.HasPrefix(key, keyPrefix) {
			d.result.RunTwice++
		}
	}
	for _, p := range mesh.Priorities() {
		d.result.addPriority(p, &d.load.Stats[p])
	}
	if d.result.RunTwice > 0 {
		d.result.addViolation(fmt.Sprintf("%d keyed requests ran more than once", d.result.RunTwice))
	}
	d.result.Nodes = len(d.hosts)
	return nil
}

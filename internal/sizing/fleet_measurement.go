package sizing

import (
	"context"
	"fmt"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// changeGap is the time between two changes, in which counters are reported.
const changeGap = 1500 * time.Millisecond

// recoverTime bounds the recovery of restarted nodes.
const recoverTime = 4 * time.Minute

// submissions is how many changes are submitted at plain nodes.
const submissions = 3

// restarts is how many nodes are restarted one after the other.
const restarts = 3

// run is the measurement of one fleet.
type run struct {
	*Report
	*fleet
	name string
	// idle is what the fleet spends while nothing happens.
	idle rates
}

// fleetPart measures a fleet of the shape.
func fleetPart(name string, s shape) func(r *Report, ctx context.Context) error {
	return func(r *Report, ctx context.Context) (err error) {
		v := &run{Report: r, name: name}
		if v.fleet, err = newFleet(ctx, r.options, s); err != nil {
			return err
		}
		defer v.stop()
		steps := []func(ctx context.Context) error{
			v.measureStart, v.measureIdle, v.measureChanges, v.measureSubmissions, v.measureRestarts, v.measureHerds,
		}
		for _, step := range steps {
			if err = step(ctx); err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
		}
		return nil
	}
}

func (v *run) measureStart(ctx context.Context) (err error) {
	start := time.Now()
	if err = v.start(ctx); err != nil {
		return err
	}
	v.addTime(v.name, "start of all at once until the first settings are in force", time.Since(start))
	stats, err := v.api.stats(ctx, v.platform)
	if err != nil {
		return err
	}
	v.add(v.name, "start: most reads in a second", float64(stats.Reads.Peak), "calls")
	v.add(v.name, "start: most writes in a second", float64(stats.Writes.Peak), "calls")
	return pause.For(ctx, settleTime)
}

func (v *run) measureIdle(ctx context.Context) (err error) {
	if err = v.untilAll(ctx, convergeTime, "nodes answer", v.current); err != nil {
		return err
	}
	from, err := v.read(ctx)
	if err != nil {
		return err
	}
	if err = pause.For(ctx, v.Report.options.IdleTime); err != nil {
		return err
	}
	to, err := v.read(ctx)
	if err != nil {
		return err
	}
	v.idle = between(from, to)
	v.addRoles(from, to)
	v.add(v.name, "idle: control bytes a node, sent and received", v.idle.control/float64(v.nodes), "B/s")
	v.add(v.name, "idle: platform reads", v.idle.reads, "calls/s")
	v.add(v.name, "idle: platform writes", v.idle.writes, "calls/s")
	v.add(v.name, "idle: platform watches that wait", float64(to.platform.WaitingWatches), "calls")
	v.add(v.name, "idle: between the last region and the platform", v.idle.far, "B/s")
	if to.crossingErr != nil {
		v.add(v.name, "idle: between leads, not measured: "+to.crossingErr.Error(), 0, "B/s")
		return nil
	}
	v.add(v.name, "idle: between leads, a pair of regions", v.idle.crossing/float64(max(to.pairs, 1)), "B/s")
	return nil
}

// addRoles adds what a process of each role uses.
func (v *run) addRoles(from, to reading) {
	seconds := to.at.Sub(from.at).Seconds()
	for _, role := range []role{roleNode, roleRelay, roleLead} {
		var processor, resident, anonymous, control average
		for i, t := range v.sites {
			if t.role() != role {
				continue
			}
			processor.add((to.usages[i].processor - from.usages[i].processor).Seconds() / seconds * 100)
			resident.add(float64(to.usages[i].resident) / (1 << 20))
			anonymous.add(float64(to.usages[i].anonymous) / (1 << 20))
			control.add((to.control[i] - from.control[i]) / seconds)
		}
		if processor.count == 0 {
			continue
		}
		prefix := fmt.Sprintf("idle %s", role)
		v.add(v.name, prefix+": processes", float64(processor.count), "")
		v.add(v.name, prefix+": processor, mean", processor.mean(), "% of a core")
		v.add(v.name, prefix+": processor, highest", processor.high, "% of a core")
		v.add(v.name, prefix+": resident, mean", resident.mean(), "MiB")
		v.add(v.name, prefix+": resident, highest", resident.high, "MiB")
		v.add(v.name, prefix+": resident and backed by no file, mean", anonymous.mean(), "MiB")
		v.add(v.name, prefix+": control bytes, mean", control.mean(), "B/s")
		v.add(v.name, prefix+": control bytes, highest", control.high, "B/s")
	}
}

// nextChange returns the change of edit for a submission in this process.
func (v *run) nextChange() tree.Change {
	edits := v.edit()
	v.submitted++
	return tree.Change{
		ID: mesh.ChangeID(fmt.Sprintf("change-%d", v.submitted)), Author: "sizing", Base: v.version, Edits: edits,
	}
}

// edit returns a change of one value, another one each time.
func (v *run) edit() []tree.Edit {
	return []tree.Edit{{
		Path: tree.Join(customerOf(0), "", ""), Key: "timeout", Value: fmt.Sprintf("%dms", 5000+v.submitted),
	}}
}

func (v *run) measureChanges(ctx context.Context) (err error) {
	from, err := v.read(ctx)
	if err != nil {
		return err
	}
	var each, last []time.Duration
	count := v.Report.options.Changes
	operators := v.sitesOf(roleRelay, roleLead)
	for i := range count {
		start := time.Now()
		if err = v.submit(ctx, operators[i%len(operators)], v.edit()); err != nil {
			return err
		}
		accepted := time.Since(start)
		taken, err := v.times(ctx, convergeTime, "change in force", v.sites, v.current)
		if err != nil {
			return err
		}
		for i := range taken {
			taken[i] += accepted
		}
		each = append(each, taken...)
		last = append(last, quantile(taken, 1))
		if err = pause.For(ctx, changeGap); err != nil {
			return err
		}
	}
	v.addTime(v.name, "change: submitted until in force, p50 of nodes", quantile(each, 0.5))
	v.addTime(v.name, "change: submitted until in force, p99 of nodes", quantile(each, 0.99))
	v.addTime(v.name, "change: submitted until in force everywhere, p50", quantile(last, 0.5))
	v.addTime(v.name, "change: submitted until in force everywhere, longest", quantile(last, 1))
	return v.addExtra(ctx, from, "change", float64(count))
}

// addExtra adds what was spent since the reading beyond the idle rates, for
// each of count events.
func (v *run) addExtra(ctx context.Context, from reading, event string, count float64) (err error) {
	// The counters are reported once a second.
	if err = pause.For(ctx, 2*time.Second); err != nil {
		return err
	}
	to, err := v.read(ctx)
	if err != nil {
		return err
	}
	got, seconds := between(from, to), to.at.Sub(from.at).Seconds()
	extra := func(rate, idle float64) float64 { return (rate - idle) * seconds / count }
	v.add(v.name, event+": control bytes of all nodes", extra(got.control, v.idle.control), "B")
	v.add(v.name, event+": control bytes a node", extra(got.control, v.idle.control)/float64(v.nodes), "B")
	v.add(v.name, event+": platform reads", extra(got.reads, v.idle.reads), "calls")
	v.add(v.name, event+": platform writes", extra(got.writes, v.idle.writes), "calls")
	v.add(v.name, event+": between the last region and the platform", extra(got.far, v.idle.far), "B")
	if to.crossingErr == nil {
		v.add(v.name, event+": between leads, a pair of regions", extra(got.crossing, v.idle.crossing)/float64(max(to.pairs, 1)), "B")
	}
	return nil
}

// sitesOf lists the sites whose node has one of the roles.
func (v *run) sitesOf(roles ...role) (sites []*site) {
	for _, t := range v.sites {
		if slices.Contains(roles, t.role()) {
			sites = append(sites, t)
		}
	}
	return sites
}

// measureSubmissions submits at plain nodes, which hold a part of the tree.
func (v *run) measureSubmissions(ctx context.Context) (err error) {
	from, err := v.read(ctx)
	if err != nil {
		return err
	}
	sites := v.sitesOf(roleNode)
	sites = sites[:min(submissions, len(sites))]
	var taken []time.Duration
	refused := 0
	for _, t := range sites {
		start := time.Now()
		if submitErr := v.submit(ctx, t, v.edit()); submitErr != nil {
			refused++
		}
		taken = append(taken, time.Since(start))
		if err = pause.For(ctx, changeGap); err != nil {
			return err
		}
	}
	if len(sites) == 0 {
		return nil
	}
	v.add(v.name, "submission at a plain node: made", float64(len(sites)), "")
	v.add(v.name, "submission at a plain node: failed", float64(refused), "")
	v.addTime(v.name, "submission at a plain node: until accepted, p50", quantile(taken, 0.5))
	v.addTime(v.name, "submission at a plain node: until accepted, longest", quantile(taken, 1))
	return v.addExtra(ctx, from, "submission at a plain node", float64(len(sites)))
}

// measureRestarts kills plain nodes one after the other and starts each again.
func (v *run) measureRestarts(ctx context.Context) (err error) {
	from, err := v.read(ctx)
	if err != nil {
		return err
	}
	sites := v.sitesOf(roleNode)
	sites = sites[:min(restarts, len(sites))]
	if len(sites) == 0 {
		v.add(v.name, "restart: not measured, every node is a relay", 0, "")
		return nil
	}
	var all []time.Duration
	for _, t := range sites {
		taken, err := v.restart(ctx, []*site{t})
		if err != nil {
			return err
		}
		all = append(all, taken...)
		if err = pause.For(ctx, changeGap); err != nil {
			return err
		}
	}
	// The counters of a killed process start again from zero, which takes what
	// it had counted from the sum.
	for i, t := range v.sites {
		for _, s := range sites {
			if s == t {
				from.control[i] = 0
			}
		}
	}
	v.addTime(v.name, "restart: until the node is current, longest", quantile(all, 1))
	return v.addExtra(ctx, from, "restart", float64(len(sites)))
}

// restart kills the sites' nodes at once, starts them again, and returns how
// long each took until it was current.
func (v *run) restart(ctx context.Context, sites []*site) (taken []time.Duration, err error) {
	for _, t := range sites {
		t.process.kill()
	}
	for _, t := range sites {
		if err = t.start(v.Report.options.Binary); err != nil {
			return nil, err
		}
	}
	return v.times(ctx, recoverTime, "restarted node current", sites, v.current)
}

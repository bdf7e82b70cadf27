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

// changePause is the time between two changes. It is longer than the second after
// which nodes update their counters.
const changePause = 1500 * time.Millisecond

// recoveryTimeout bounds the recovery of restarted nodes.
const recoveryTimeout = 4 * time.Minute

// submissionCount is how many changes are submitted at plain nodes.
const submissionCount = 3

// restartCount is how many nodes are restarted one after the other.
const restartCount = 3

// measurement is the measurement of one fleet.
type measurement struct {
	*Report
	*fleet
	name string
	// idle holds the rates of the idle fleet.
	idle rates
}

// measureFleet returns the measurement of a fleet of that shape.
func measureFleet(name string, size fleetShape) func(r *Report, ctx context.Context) error {
	return func(r *Report, ctx context.Context) (err error) {
		m := &measurement{Report: r, name: name}
		if m.fleet, err = newFleet(ctx, r.options, size); err != nil {
			return err
		}
		defer m.stop()
		steps := []func(ctx context.Context) error{
			m.measureStart, m.measureIdle, m.measureChanges, m.measureSubmissions, m.measureRestarts, m.measureHerds,
		}
		for _, step := range steps {
			if err = step(ctx); err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
		}
		return nil
	}
}

func (m *measurement) measureStart(ctx context.Context) (err error) {
	start := time.Now()
	if err = m.start(ctx); err != nil {
		return err
	}
	m.addTime(m.name, "start of all at once until the first settings are in force", time.Since(start))
	stats, err := m.api.stats(ctx, m.platform)
	if err != nil {
		return err
	}
	m.add(m.name, "start: most reads in a second", float64(stats.Reads.Peak), "calls")
	m.add(m.name, "start: most writes in a second", float64(stats.Writes.Peak), "calls")
	return pause.For(ctx, settleDelay)
}

func (m *measurement) measureIdle(ctx context.Context) (err error) {
	if err = m.waitAll(ctx, convergenceTimeout, "nodes up to date", m.upToDate); err != nil {
		return err
	}
	from, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	if err = pause.For(ctx, m.Report.options.IdleTime); err != nil {
		return err
	}
	to, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	m.idle = ratesBetween(from, to)
	m.addRoles(from, to)
	m.add(m.name, "idle: control bytes a node, sent and received", m.idle.control/float64(m.nodes), "B/s")
	m.add(m.name, "idle: platform reads", m.idle.reads, "calls/s")
	m.add(m.name, "idle: platform writes", m.idle.writes, "calls/s")
	m.add(m.name, "idle: platform watches that wait", float64(to.platform.WaitingWatches), "calls")
	m.add(m.name, "idle: between the last region and the platform", m.idle.lastRegion, "B/s")
	if to.interRegionErr != nil {
		m.add(m.name, "idle: between leads, not measured: "+to.interRegionErr.Error(), 0, "B/s")
		return nil
	}
	m.add(m.name, "idle: between leads, a pair of regions", m.idle.interRegion/float64(max(to.regionPairs, 1)), "B/s")
	return nil
}

// addRoles reports the resource use of the processes of each role.
func (m *measurement) addRoles(from, to counters) {
	seconds := to.at.Sub(from.at).Seconds()
	for _, role := range []role{roleNode, roleRelay, roleLead} {
		var cpu, resident, anonymous, control summary
		for i, h := range m.hosts {
			if h.role() != role {
				continue
			}
			cpu.add((to.usages[i].cpu - from.usages[i].cpu).Seconds() / seconds * 100)
			resident.add(float64(to.usages[i].resident) / (1 << 20))
			anonymous.add(float64(to.usages[i].anonymous) / (1 << 20))
			control.add((to.control[i] - from.control[i]) / seconds)
		}
		if cpu.count == 0 {
			continue
		}
		prefix := fmt.Sprintf("idle %s", role)
		m.add(m.name, prefix+": processes", float64(cpu.count), "")
		m.add(m.name, prefix+": processor, mean", cpu.mean(), "% of a core")
		m.add(m.name, prefix+": processor, highest", cpu.highest, "% of a core")
		m.add(m.name, prefix+": resident, mean", resident.mean(), "MiB")
		m.add(m.name, prefix+": resident, highest", resident.highest, "MiB")
		m.add(m.name, prefix+": resident and backed by no file, mean", anonymous.mean(), "MiB")
		m.add(m.name, prefix+": control bytes, mean", control.mean(), "B/s")
		m.add(m.name, prefix+": control bytes, highest", control.highest, "B/s")
	}
}

// nextChange returns a change with nextEdits, for submission at a node of this
// process.
func (m *measurement) nextChange() tree.Change {
	edits := m.nextEdits()
	m.submitted++
	return tree.Change{
		ID: mesh.ChangeID(fmt.Sprintf("change-%d", m.submitted)), Author: "sizing", Base: m.version, Edits: edits,
	}
}

// nextEdits sets one value, a different one each time.
func (m *measurement) nextEdits() []tree.Edit {
	return []tree.Edit{{
		Path: tree.Join(customerOf(0), "", ""), Key: "timeout", Value: fmt.Sprintf("%dms", 5000+m.submitted),
	}}
}

func (m *measurement) measureChanges(ctx context.Context) (err error) {
	from, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	var nodeDurations, changeDurations []time.Duration
	count := m.Report.options.Changes
	operators := m.hostsWithRole(roleRelay, roleLead)
	for i := range count {
		start := time.Now()
		if err = m.submit(ctx, operators[i%len(operators)], m.nextEdits()); err != nil {
			return err
		}
		accepted := time.Since(start)
		durations, err := m.timeUntil(ctx, convergenceTimeout, "change in force", m.hosts, m.upToDate)
		if err != nil {
			return err
		}
		for i := range durations {
			durations[i] += accepted
		}
		nodeDurations = append(nodeDurations, durations...)
		changeDurations = append(changeDurations, quantile(durations, 1))
		if err = pause.For(ctx, changePause); err != nil {
			return err
		}
	}
	m.addTime(m.name, "change: submitted until in force, p50 of nodes", quantile(nodeDurations, 0.5))
	m.addTime(m.name, "change: submitted until in force, p99 of nodes", quantile(nodeDurations, 0.99))
	m.addTime(m.name, "change: submitted until in force everywhere, p50", quantile(changeDurations, 0.5))
	m.addTime(m.name, "change: submitted until in force everywhere, longest", quantile(changeDurations, 1))
	return m.addExcess(ctx, from, "change", float64(count))
}

// addExcess reports what was used since from beyond the idle rates, per event.
func (m *measurement) addExcess(ctx context.Context, from counters, event string, count float64) (err error) {
	// Nodes update their counters once a second.
	if err = pause.For(ctx, 2*time.Second); err != nil {
		return err
	}
	to, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	spent, seconds := ratesBetween(from, to), to.at.Sub(from.at).Seconds()
	extra := func(rate, idle float64) float64 { return (rate - idle) * seconds / count }
	m.add(m.name, event+": control bytes of all nodes", extra(spent.control, m.idle.control), "B")
	m.add(m.name, event+": control bytes a node", extra(spent.control, m.idle.control)/float64(m.nodes), "B")
	m.add(m.name, event+": platform reads", extra(spent.reads, m.idle.reads), "calls")
	m.add(m.name, event+": platform writes", extra(spent.writes, m.idle.writes), "calls")
	m.add(m.name, event+": between the last region and the platform", extra(spent.lastRegion, m.idle.lastRegion), "B")
	if to.interRegionErr == nil {
		m.add(m.name, event+": between leads, a pair of regions", extra(spent.interRegion, m.idle.interRegion)/float64(max(to.regionPairs, 1)), "B")
	}
	return nil
}

// hostsWithRole lists the hosts whose node has one of the roles.
func (m *measurement) hostsWithRole(roles ...role) (hosts []*host) {
	for _, h := range m.hosts {
		if slices.Contains(roles, h.role()) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// measureSubmissions submits changes at nodes that are no relays, which hold only a
// part of the settings tree.
func (m *measurement) measureSubmissions(ctx context.Context) (err error) {
	from, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	hosts := m.hostsWithRole(roleNode)
	hosts = hosts[:min(submissionCount, len(hosts))]
	var durations []time.Duration
	refused := 0
	for _, h := range hosts {
		start := time.Now()
		if submitErr := m.submit(ctx, h, m.nextEdits()); submitErr != nil {
			refused++
		}
		durations = append(durations, time.Since(start))
		if err = pause.For(ctx, changePause); err != nil {
			return err
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	m.add(m.name, "submission at a plain node: made", float64(len(hosts)), "")
	m.add(m.name, "submission at a plain node: failed", float64(refused), "")
	m.addTime(m.name, "submission at a plain node: until accepted, p50", quantile(durations, 0.5))
	m.addTime(m.name, "submission at a plain node: until accepted, longest", quantile(durations, 1))
	return m.addExcess(ctx, from, "submission at a plain node", float64(len(hosts)))
}

// measureRestarts kills and restarts nodes that are no relays, one after the other.
func (m *measurement) measureRestarts(ctx context.Context) (err error) {
	from, err := m.readCounters(ctx)
	if err != nil {
		return err
	}
	hosts := m.hostsWithRole(roleNode)
	hosts = hosts[:min(restartCount, len(hosts))]
	if len(hosts) == 0 {
		m.add(m.name, "restart: not measured, every node is a relay", 0, "")
		return nil
	}
	var durations []time.Duration
	for _, h := range hosts {
		restartDurations, err := m.restart(ctx, []*host{h})
		if err != nil {
			return err
		}
		durations = append(durations, restartDurations...)
		if err = pause.For(ctx, changePause); err != nil {
			return err
		}
	}
	// The counters of a restarted process start again at zero, so their old values
	// must not be subtracted.
	for i, h := range m.hosts {
		for _, restarted := range hosts {
			if restarted == h {
				from.control[i] = 0
			}
		}
	}
	m.addTime(m.name, "restart: until the node is current, longest", quantile(durations, 1))
	return m.addExcess(ctx, from, "restart", float64(len(hosts)))
}

// restart kills the hosts' nodes at once, starts them again and returns how long each
// took to be up to date.
func (m *measurement) restart(ctx context.Context, hosts []*host) (durations []time.Duration, err error) {
	for _, h := range hosts {
		h.process.kill()
	}
	for _, h := range hosts {
		if err = h.start(m.Report.options.Binary); err != nil {
			return nil, err
		}
	}
	return m.timeUntil(ctx, recoveryTimeout, "restarted node up to date", hosts, m.upToDate)
}

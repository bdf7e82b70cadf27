package sizing

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/internal/node"
	"arbutusstep.example/arbutusstep/internal/pause"
)

// child is a node of the relay's zone that runs in this process.
type child struct {
	node     *node.Node
	upstream *fakeup.Upstream
}

// measureChildren measures what each child costs the only relay of a zone.
func (r *Report) measureChildren(ctx context.Context) (err error) {
	var idle, resident, anonymous, changes []point
	for _, count := range []int{10, 50, 105, 150} {
		m := &measurement{Report: r, name: "children"}
		shape := fleetShape{nodes: 1, zones: 1, regions: 1, relays: 1, services: servicesPerCustomer}
		if m.fleet, err = newFleet(ctx, r.options, shape); err != nil {
			return err
		}
		cost, err := m.measureRelay(ctx, count)
		m.stop()
		if err != nil {
			return fmt.Errorf("relay of %d children: %w", count, err)
		}
		size := float64(count)
		idle = append(idle, point{size: size, value: cost.idle})
		resident = append(resident, point{size: size, value: cost.resident})
		anonymous = append(anonymous, point{size: size, value: cost.anonymous})
		changes = append(changes, point{size: size, value: cost.change})
		r.add(m.name, fmt.Sprintf("%d children: processor, idle", count), cost.idle, "% of a core")
		r.add(m.name, fmt.Sprintf("%d children: resident", count), cost.resident, "MiB")
		r.add(m.name, fmt.Sprintf("%d children: resident and backed by no file", count), cost.anonymous, "MiB")
		r.add(m.name, fmt.Sprintf("%d children: processor, a change", count), cost.change, "ms")
		r.add(m.name, fmt.Sprintf("%d children: control bytes", count), cost.control, "B/s")
	}
	r.add("children", "slope: processor, a child", fitLine(idle).slope, "% of a core")
	r.add("children", "base: processor", fitLine(idle).intercept, "% of a core")
	r.add("children", "slope: resident, a child", fitLine(resident).slope*1024, "KiB")
	r.add("children", "slope: resident and backed by no file, a child", fitLine(anonymous).slope*1024, "KiB")
	r.add("children", "base: resident", fitLine(resident).intercept, "MiB")
	r.add("children", "slope: processor, a change and child", fitLine(changes).slope*1000, "us")
	return nil
}

// relayCost is the resource use of a relay.
type relayCost struct {
	// idle is in percent of a core, resident and anonymous are in MiB, change is in
	// milliseconds of CPU time, and control in bytes a second.
	idle, resident, anonymous, change, control float64
}

func (m *measurement) measureRelay(ctx context.Context, count int) (cost relayCost, err error) {
	if err = m.start(ctx); err != nil {
		return cost, err
	}
	err = m.waitAll(ctx, startTimeout, "the node is a relay", func(s forms.Status) bool { return s.Relay })
	if err != nil {
		return cost, err
	}
	children, err := m.startChildren(ctx, count)
	defer func() { err = errors.Join(err, stopChildren(children)) }()
	if err != nil {
		return cost, err
	}
	if err = pause.For(ctx, settleDelay); err != nil {
		return cost, err
	}
	from, err := m.readCounters(ctx)
	if err != nil {
		return cost, err
	}
	if err = pause.For(ctx, m.Report.options.IdleTime); err != nil {
		return cost, err
	}
	to, err := m.readCounters(ctx)
	if err != nil {
		return cost, err
	}
	seconds := to.at.Sub(from.at).Seconds()
	cpuUsed := (to.usages[0].cpu - from.usages[0].cpu).Seconds()
	cost.idle = cpuUsed / seconds * 100
	cost.control = ratesBetween(from, to).control
	cost.change, err = m.changeCost(ctx, children, cpuUsed/seconds)
	if err != nil {
		return cost, err
	}
	last, err := m.hosts[0].process.usage()
	cost.resident = float64(last.resident) / (1 << 20)
	cost.anonymous = float64(last.anonymous) / (1 << 20)
	return cost, err
}

// changeCost returns the CPU time that a change costs the relay beyond its idle use,
// in milliseconds. idleCPU is its idle use as a fraction of a core.
func (m *measurement) changeCost(ctx context.Context, children []child, idleCPU float64) (cost float64, err error) {
	from, err := m.readCounters(ctx)
	if err != nil {
		return 0, err
	}
	count := m.Report.options.Changes
	for range count {
		// The change is submitted at a child, so that the cost of accepting it does not
		// count for the relay.
		if m.version, err = children[0].node.Submit(ctx, m.nextChange()); err != nil {
			return 0, err
		}
		err = m.waitFor(ctx, convergenceTimeout, "change in force at the children", func(context.Context) bool {
			for _, c := range children {
				if c.node.Status().Version < m.version {
					return false
				}
			}
			return true
		})
		if err != nil {
			return 0, err
		}
		if err = pause.For(ctx, changePause); err != nil {
			return 0, err
		}
	}
	to, err := m.readCounters(ctx)
	if err != nil {
		return 0, err
	}
	cpuUsed := (to.usages[0].cpu - from.usages[0].cpu).Seconds()
	return (cpuUsed - idleCPU*to.at.Sub(from.at).Seconds()) / float64(count) * 1000, nil
}

// startChildren starts nodes of the relay's zone in this process and waits until
// they have the newest version in force.
func (m *measurement) startChildren(ctx context.Context, count int) (children []child, err error) {
	relay := m.hosts[0]
	for i := range count {
		settings := conf.Default()
		record := upstreamRecord(i+1, m.services, 1, 1)
		settings.Host, settings.Region, settings.Zone = record.Host, relay.place.Region, relay.place.Zone
		listen := conf.Listen{}
		if listen.Callers, err = freePort(); err != nil {
			return children, err
		}
		if listen.Nodes, err = freePort(); err != nil {
			return children, err
		}
		if listen.Admin, err = freePort(); err != nil {
			return children, err
		}
		settings.Listen, settings.Platform, settings.Relays = listen, relay.platform, relay.relays
		settings.Customer = record.ID.Customer
		c := child{}
		if c.node, err = node.Start(settings, zerolog.Nop()); err != nil {
			return children, err
		}
		c.upstream = fakeup.New(fakeup.Options{
			Customer: record.ID.Customer, Service: record.ID.Service, Node: c.node.AdminAddr(), Slots: 9, MaxConnections: 110,
		})
		children = append(children, c)
		if err = c.upstream.Start(context.WithoutCancel(ctx)); err != nil {
			return children, err
		}
	}
	return children, m.waitFor(ctx, startTimeout, "children up to date", func(context.Context) bool {
		for _, c := range children {
			if !m.upToDate(c.node.Status()) {
				return false
			}
		}
		return true
	})
}

func stopChildren(children []child) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	errs := make([]error, len(children))
	var group sync.WaitGroup
	for i, c := range children {
		group.Go(func() { errs[i] = errors.Join(c.upstream.Stop(ctx), c.node.Stop(ctx)) })
	}
	group.Wait()
	return errors.Join(errs...)
}

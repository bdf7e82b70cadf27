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

// child is a node that runs in this process.
type child struct {
	node     *node.Node
	upstream *fakeup.Upstream
}

// measureChildren tells what each child costs the one relay of a zone.
func (r *Report) measureChildren(ctx context.Context) (err error) {
	var idle, resident, anonymous, busy []point
	for _, count := range []int{10, 50, 105, 150} {
		v := &run{Report: r, name: "children"}
		s := shape{nodes: 1, zones: 1, regions: 1, relays: 1, services: servicesPerCustomer}
		if v.fleet, err = newFleet(ctx, r.options, s); err != nil {
			return err
		}
		got, err := v.measureRelay(ctx, count)
		v.stop()
		if err != nil {
			return fmt.Errorf("relay of %d children: %w", count, err)
		}
		size := float64(count)
		idle = append(idle, point{size: size, value: got.idle})
		resident = append(resident, point{size: size, value: got.resident})
		anonymous = append(anonymous, point{size: size, value: got.anonymous})
		busy = append(busy, point{size: size, value: got.change})
		r.add(v.name, fmt.Sprintf("%d children: processor, idle", count), got.idle, "% of a core")
		r.add(v.name, fmt.Sprintf("%d children: resident", count), got.resident, "MiB")
		r.add(v.name, fmt.Sprintf("%d children: resident and backed by no file", count), got.anonymous, "MiB")
		r.add(v.name, fmt.Sprintf("%d children: processor, a change", count), got.change, "ms")
		r.add(v.name, fmt.Sprintf("%d children: control bytes", count), got.control, "B/s")
	}
	r.add("children", "slope: processor, a child", fit(idle).slope, "% of a core")
	r.add("children", "base: processor", fit(idle).base, "% of a core")
	r.add("children", "slope: resident, a child", fit(resident).slope*1024, "KiB")
	r.add("children", "slope: resident and backed by no file, a child", fit(anonymous).slope*1024, "KiB")
	r.add("children", "base: resident", fit(resident).base, "MiB")
	r.add("children", "slope: processor, a change and child", fit(busy).slope*1000, "us")
	return nil
}

// relayCost is what a relay uses.
type relayCost struct {
	// idle is in percent of a core, resident and anonymous in MiB, change in
	// milliseconds of processor time, control in bytes a second.
	idle, resident, anonymous, change, control float64
}

func (v *run) measureRelay(ctx context.Context, count int) (cost relayCost, err error) {
	if err = v.start(ctx); err != nil {
		return cost, err
	}
	err = v.untilAll(ctx, startTime, "the node is a relay", func(s forms.Status) bool { return s.Relay })
	if err != nil {
		return cost, err
	}
	children, err := v.startChildren(ctx, count)
	defer func() { err = errors.Join(err, stopChildren(children)) }()
	if err != nil {
		return cost, err
	}
	if err = pause.For(ctx, settleTime); err != nil {
		return cost, err
	}
	from, err := v.read(ctx)
	if err != nil {
		return cost, err
	}
	if err = pause.For(ctx, v.Report.options.IdleTime); err != nil {
		return cost, err
	}
	to, err := v.read(ctx)
	if err != nil {
		return cost, err
	}
	seconds := to.at.Sub(from.at).Seconds()
	used := (to.usages[0].processor - from.usages[0].processor).Seconds()
	cost.idle = used / seconds * 100
	cost.control = between(from, to).control
	cost.change, err = v.changeCost(ctx, children, used/seconds)
	if err != nil {
		return cost, err
	}
	last, err := v.sites[0].process.usage()
	cost.resident = float64(last.resident) / (1 << 20)
	cost.anonymous = float64(last.anonymous) / (1 << 20)
	return cost, err
}

// changeCost returns the processor time of a change at the relay, in
// milliseconds, beyond what it uses idle.
func (v *run) changeCost(ctx context.Context, children []child, idle float64) (cost float64, err error) {
	from, err := v.read(ctx)
	if err != nil {
		return 0, err
	}
	count := v.Report.options.Changes
	for range count {
		// The change is submitted at a child, so that its cost stays away from the relay.
		if v.version, err = children[0].node.Submit(ctx, v.nextChange()); err != nil {
			return 0, err
		}
		err = v.until(ctx, convergeTime, "change in force at the children", func(context.Context) bool {
			for _, c := range children {
				if c.node.Status().Version < v.version {
					return false
				}
			}
			return true
		})
		if err != nil {
			return 0, err
		}
		if err = pause.For(ctx, changeGap); err != nil {
			return 0, err
		}
	}
	to, err := v.read(ctx)
	if err != nil {
		return 0, err
	}
	used := (to.usages[0].processor - from.usages[0].processor).Seconds()
	return (used - idle*to.at.Sub(from.at).Seconds()) / float64(count) * 1000, nil
}

// startChildren starts nodes of the relay's zone in this process.
func (v *run) startChildren(ctx context.Context, count int) (children []child, err error) {
	relay := v.sites[0]
	for i := range count {
		settings := conf.Default()
		record := recordOf(i+1, v.services, 1, 1)
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
	return children, v.until(ctx, startTime, "children current", func(context.Context) bool {
		for _, c := range children {
			if !v.current(c.node.Status()) {
				return false
			}
		}
		return true
	})
}

func stopChildren(children []child) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	errs := make([]error, len(children))
	var group sync.WaitGroup
	for i, c := range children {
		group.Go(func() { errs[i] = errors.Join(c.upstream.Stop(ctx), c.node.Stop(ctx)) })
	}
	group.Wait()
	return errors.Join(errs...)
}

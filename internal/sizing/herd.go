package sizing

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/pause"
)

// herdObservationTime is how long after the recovery of a herd its calls are still
// counted.
const herdObservationTime = 10 * time.Second

// measureHerds measures the load on the platform when half of a zone restarts at
// once, and when every node does (a thundering herd).
func (m *measurement) measureHerds(ctx context.Context) (err error) {
	herds := []struct {
		name     string
		includes func(h *host, zoneIndex int) bool
	}{
		{name: "herd of half a zone", includes: func(h *host, zoneIndex int) bool {
			return h.place == m.hosts[0].place && zoneIndex%2 == 0
		}},
		{name: "herd of all", includes: func(*host, int) bool { return true }},
	}
	for _, herd := range herds {
		var hosts []*host
		zoneIndex := 0
		for _, h := range m.hosts {
			if h.place == m.hosts[0].place {
				zoneIndex++
			}
			if herd.includes(h, zoneIndex) {
				hosts = append(hosts, h)
			}
		}
		if err = m.measureHerd(ctx, herd.name, hosts); err != nil {
			return err
		}
		if err = pause.For(ctx, settleDelay); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) measureHerd(ctx context.Context, name string, hosts []*host) (err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		group         errgroup.Group
		reads, writes summary
	)
	group.Go(func() error { return m.watchPlatform(watchCtx, &reads, &writes) })
	durations, err := m.restart(ctx, hosts)
	if err == nil {
		err = pause.For(ctx, herdObservationTime)
	}
	cancel()
	if watchErr := group.Wait(); err == nil {
		err = watchErr
	}
	if err != nil {
		return err
	}
	m.add(m.name, name+": nodes restarted at once", float64(len(hosts)), "")
	m.addTime(m.name, name+": until current, p50 of nodes", quantile(durations, 0.5))
	m.addTime(m.name, name+": until current, longest", quantile(durations, 1))
	m.add(m.name, name+": most platform reads in a second", reads.highest, "calls")
	m.add(m.name, name+": most platform writes in a second", writes.highest, "calls")
	m.add(m.name, name+": platform reads in all", reads.sum, "calls")
	m.add(m.name, name+": platform writes in all", writes.sum, "calls")
	return nil
}

// watchPlatform counts the calls of each second until the context is cancelled.
func (m *measurement) watchPlatform(ctx context.Context, reads, writes *summary) (err error) {
	last, err := m.api.stats(ctx, m.platform)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		next, err := m.api.stats(ctx, m.platform)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		reads.add(float64(next.Reads.Total - last.Reads.Total))
		writes.add(float64(next.Writes.Total - last.Writes.Total))
		last = next
	}
}

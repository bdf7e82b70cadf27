package sizing

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/pause"
)

// herdGap is the time after a herd in which its calls are still counted.
const herdGap = 10 * time.Second

// measureHerds restarts half of a zone at once, then every node at once.
func (v *run) measureHerds(ctx context.Context) (err error) {
	herds := []struct {
		name  string
		takes func(t *site, turn int) bool
	}{
		{name: "herd of half a zone", takes: func(t *site, turn int) bool {
			return t.place == v.sites[0].place && turn%2 == 0
		}},
		{name: "herd of all", takes: func(*site, int) bool { return true }},
	}
	for _, h := range herds {
		var sites []*site
		turn := 0
		for _, t := range v.sites {
			if t.place == v.sites[0].place {
				turn++
			}
			if h.takes(t, turn) {
				sites = append(sites, t)
			}
		}
		if err = v.measureHerd(ctx, h.name, sites); err != nil {
			return err
		}
		if err = pause.For(ctx, settleTime); err != nil {
			return err
		}
	}
	return nil
}

func (v *run) measureHerd(ctx context.Context, name string, sites []*site) (err error) {
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		group        errgroup.Group
		reads, wrote average
	)
	group.Go(func() error { return v.watchPlatform(watched, &reads, &wrote) })
	taken, err := v.restart(ctx, sites)
	if err == nil {
		err = pause.For(ctx, herdGap)
	}
	cancel()
	if watchErr := group.Wait(); err == nil {
		err = watchErr
	}
	if err != nil {
		return err
	}
	v.add(v.name, name+": nodes restarted at once", float64(len(sites)), "")
	v.addTime(v.name, name+": until current, p50 of nodes", quantile(taken, 0.5))
	v.addTime(v.name, name+": until current, longest", quantile(taken, 1))
	v.add(v.name, name+": most platform reads in a second", reads.high, "calls")
	v.add(v.name, name+": most platform writes in a second", wrote.high, "calls")
	v.add(v.name, name+": platform reads in all", reads.sum, "calls")
	v.add(v.name, name+": platform writes in all", wrote.sum, "calls")
	return nil
}

// watchPlatform notes the calls of each second until the context ends.
func (v *run) watchPlatform(ctx context.Context, reads, wrote *average) (err error) {
	last, err := v.api.stats(ctx, v.platform)
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
		next, err := v.api.stats(ctx, v.platform)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		reads.add(float64(next.Reads.Total - last.Reads.Total))
		wrote.add(float64(next.Writes.Total - last.Writes.Total))
		last = next
	}
}

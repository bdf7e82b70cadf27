package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/httpd"
)

const (
	// answerShare bounds the part of the time for a stop that is kept to answer what
	// was taken, in percent; within it, that is the longest timeout in force.
	answerShare = 50
	// endShare is the part of the time for a stop after which what runs is cut, in
	// percent.
	endShare = 95
	// missesToLeave is after how many answers that it is not ready the platform
	// sends the proxy no new work.
	missesToLeave = 2
	// withdrawTime is how long before the end of the time for that the other proxies
	// are told at the latest.
	withdrawTime = time.Second
	// quietTime is how long nothing may run before the proxy ends early.
	quietTime = 700 * time.Millisecond
	// stopStep is the time between two looks at what runs.
	stopStep = 50 * time.Millisecond
)

// Drain tells callers that the proxy leaves, then the other proxies, and serves
// on until nobody sends it work any more or the time for that is over. The other
// proxies hear of it once callers are gone, so that the upstream is idle for a
// short time only.
func (p *Proxy) Drain() {
	begun := time.Now()
	p.cells.LifecycleCommands.Post(cells.Drain)
	stop := p.settings.Load().Stop
	last := p.StopDeadline(begun).Add(-min(p.cells.Snapshot.Load().Plan.MaxTimeout(), stop*answerShare/100))
	busy, withdrawn := begun, false
	ticker := time.NewTicker(stopStep)
	defer ticker.Stop()
	for now := range ticker.C {
		called := p.ready.missed.Load() < missesToLeave
		if !withdrawn && (!called || now.After(last.Add(-withdrawTime))) {
			p.cells.LifecycleCommands.Post(cells.Withdraw)
			withdrawn, busy = true, now
		}
		if called || p.front.Busy() > 0 || p.gate.Load().Running > 0 {
			busy = now
		}
		if now.Sub(busy) >= quietTime || now.After(last) {
			p.logger.Info().Dur("after", now.Sub(begun)).Int("unanswered", p.front.Busy()).Int("running", p.gate.Load().Running).
				Int64("missed", p.ready.missed.Load()).Msg("left")
			return
		}
	}
}

// StopDeadline returns when a stop that began at that time has to end.
func (p *Proxy) StopDeadline(begun time.Time) time.Time {
	return begun.Add(p.settings.Load().Stop * endShare / 100)
}

// Stop ends the proxy: what runs is finished until the context ends.
func (p *Proxy) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop proxy %s: %w", p.settings.Load().Host, err)
		}
	}()
	// Calls of other proxies that came later than this could not be finished in time.
	shut := make(chan error, 1)
	go func() { shut <- p.peers.Shutdown(ctx) }()
	p.finish(ctx)
	if p.entry != nil {
		err = errors.Join(err, p.entry.Close())
	}
	err = errors.Join(err, <-shut)
	for _, s := range []*httpd.Server{p.admin, p.asked} {
		if s != nil {
			err = errors.Join(err, s.Stop(ctx))
		}
	}
	// The control thread ends before the drivers that it hands commands to.
	p.stopControl()
	p.running.Wait()
	p.links.Close()
	p.depot.Close()
	p.pool.Close()
	p.store.Close()
	return errors.Join(err, p.metrics.Close())
}

// finish takes no more connections of callers, closes theirs once they wait,
// and waits for the rest. What was not read then goes elsewhere.
func (p *Proxy) finish(ctx context.Context) {
	if err := p.callers.Close(); err != nil {
		p.logger.Warn().Err(err).Msg("callersNotClosed")
	}
	ticker := time.NewTicker(stopStep)
	defer ticker.Stop()
	for {
		p.front.StopReading()
		if p.front.Open() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

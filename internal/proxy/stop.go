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
	// finishPercent limits the part of a stop that is reserved for answering requests
	// already accepted, in percent. Up to this limit, it is the longest timeout of the
	// version in force.
	finishPercent = 50
	// deadlinePercent is the part of a stop, in percent, after which running requests
	// are aborted.
	deadlinePercent = 95
	// answerMargin is the time between the deadline of a request and the end of a stop in
	// which its answer is sent.
	answerMargin = 250 * time.Millisecond
	// failuresUntilRemoved is the number of failed readiness checks after which the
	// platform sends the proxy no new requests.
	failuresUntilRemoved = 2
	// withdrawLeadTime is how long before the end of the drain the other proxies are
	// informed at the latest.
	withdrawLeadTime = time.Second
	// idlePeriod is how long the proxy must be idle for the drain to end early.
	idlePeriod = 700 * time.Millisecond
	// stopPollInterval is the interval at which running requests are checked during a
	// stop.
	stopPollInterval = 50 * time.Millisecond
)

// Drain tells callers that the proxy is leaving, then the other proxies. It keeps
// serving until no more requests arrive or the time for the drain is over. The other
// proxies are informed only after callers have left, so that the upstream is idle for
// as short as possible.
func (p *Proxy) Drain() {
	start := time.Now()
	p.stopStart.Store(&start)
	p.cells.LifecycleCommands.Post(cells.Drain)
	stop := p.settings.Load().Stop
	deadline := p.StopDeadline(start).Add(-min(p.cells.Snapshot.Load().Plan.MaxTimeout(), stop*finishPercent/100))
	lastBusy, withdrawn := start, false
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		mayGetRequests := p.readiness.failures.Load() < failuresUntilRemoved
		if !withdrawn && (!mayGetRequests || now.After(deadline.Add(-withdrawLeadTime))) {
			p.cells.LifecycleCommands.Post(cells.Withdraw)
			withdrawn, lastBusy = true, now
		}
		if mayGetRequests || p.front.PendingRequests() > 0 || p.local.gate.Load().Running+p.beside.gate.Load().Running > 0 {
			lastBusy = now
		}
		if now.Sub(lastBusy) >= idlePeriod || now.After(deadline) {
			p.logger.Info().Dur("after", now.Sub(start)).Int("unanswered", p.front.PendingRequests()).Int("running", p.local.gate.Load().Running).
				Int64("missed", p.readiness.failures.Load()).Msg("left")
			return
		}
	}
}

// StopDeadline returns the deadline of a stop that began at start.
func (p *Proxy) StopDeadline(start time.Time) time.Time {
	return start.Add(p.settings.Load().Stop * deadlinePercent / 100)
}

// finishBy returns the time by which a request must be finished to be taken; zero means no
// limit. Most requests that arrive early in a stop finish long before their timeout, so
// all of them are taken.
func (p *Proxy) finishBy() (deadline time.Time) {
	start := p.stopStart.Load()
	if start == nil || time.Since(*start) < p.settings.Load().Stop*finishPercent/100 {
		return time.Time{}
	}
	return p.StopDeadline(*start).Add(-answerMargin)
}

// Stop stops the proxy. Running requests are finished until the context ends.
func (p *Proxy) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop proxy %s: %w", p.settings.Load().Host, err)
		}
	}()
	// Calls of other proxies that arrive after this could not be finished in time.
	p.peers.RefuseCalls()
	peersStopped := make(chan error, 1)
	go func() { peersStopped <- p.peers.Shutdown(ctx) }()
	p.closeCallerConnections(ctx)
	if p.callerServer != nil {
		err = errors.Join(err, p.callerServer.Close())
	}
	err = errors.Join(err, <-peersStopped)
	for _, s := range []*httpd.Server{p.adminServer, p.readyServer} {
		if s != nil {
			err = errors.Join(err, s.Stop(ctx))
		}
	}
	// The control thread must end before the drivers that execute its commands.
	p.stopControl()
	p.goroutines.Wait()
	p.quotas.Close()
	p.links.Close()
	p.objects.Close()
	p.pool.Close()
	p.store.Close()
	return errors.Join(err, p.metrics.Close())
}

// closeCallerConnections accepts no new connections of callers, closes idle ones, and
// waits for the others. Callers send requests that were not read yet to another proxy.
func (p *Proxy) closeCallerConnections(ctx context.Context) {
	if err := p.callerListener.Close(); err != nil {
		p.logger.Warn().Err(err).Msg("callersNotClosed")
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		p.front.StopReading()
		if p.front.OpenConnections() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

package steer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

const (
	// minProbeInterval and maxProbeInterval limit the time between two probes of a
	// node that is unreachable.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 1600 * time.Millisecond
	// probeTimeout limits one probe.
	probeTimeout = time.Second
	// maxProbes limits the number of probes. A node that is unreachable for longer is
	// tried again by the next request.
	maxProbes = 40
)

// Pinger checks whether a node is reachable.
type Pinger interface {
	Ping(ctx context.Context, node netip.AddrPort) error
}

// isUnreachable reports whether the error means that the node is unreachable.
func isUnreachable(callErr *peer.CallError) bool {
	switch callErr.Reason {
	case peer.ReasonDialFailed, peer.ReasonSessionSilent:
		return true
	}
	return false
}

// probeUntilReachable keeps requests away from an unreachable node and probes it until
// it responds. A request sent to it would lose the time that it takes to detect the
// failure.
func (r *Router) probeUntilReachable(candidate pick.Candidate) {
	if r.Pinger != nil && r.Picker.MarkUnreachable(candidate.Host) {
		r.scheduleProbe(candidate, minProbeInterval, maxProbes)
	}
}

// scheduleProbe probes the node after the delay, which doubles after each failed
// probe. After the last probe, the node counts as reachable again.
func (r *Router) scheduleProbe(candidate pick.Candidate, delay time.Duration, remaining int) {
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		err := r.Pinger.Ping(ctx, candidate.Node)
		if err == nil || remaining == 1 || errors.Is(err, peer.ErrClosed) {
			r.Picker.MarkReachable(candidate.Host)
			return
		}
		r.scheduleProbe(candidate, min(2*delay, maxProbeInterval), remaining-1)
	})
}

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
	// reachFirst and reachLongest bound the time between two tries to reach a node
	// that did not answer.
	reachFirst   = 200 * time.Millisecond
	reachLongest = 1600 * time.Millisecond
	// reachTime bounds one try.
	reachTime = time.Second
	// reachTries bounds the tries; a node that is gone for longer is tried again by
	// the next request.
	reachTries = 40
)

// Pinger finds out whether a node answers.
type Pinger interface {
	Ping(ctx context.Context, node netip.AddrPort) error
}

// unreachable reports whether a failure says that the node does not answer.
func unreachable(failed *peer.CallError) bool {
	switch failed.Reason {
	case peer.ReasonDialFailed, peer.ReasonSessionSilent:
		return true
	}
	return false
}

// watchUnreached keeps requests from a node that does not answer, until it does.
// A request that would find out by itself would lose its time.
func (s *Router) watchUnreached(candidate pick.Candidate) {
	if s.Pinger != nil && s.Picker.MarkUnreachable(candidate.Host) {
		s.tryLater(candidate, reachFirst, reachTries)
	}
}

// tryLater tries to reach the node after the wait, and then less and less often.
func (s *Router) tryLater(candidate pick.Candidate, wait time.Duration, left int) {
	time.AfterFunc(wait, func() {
		ctx, cancel := context.WithTimeout(context.Background(), reachTime)
		defer cancel()
		err := s.Pinger.Ping(ctx, candidate.Node)
		if err == nil || left == 1 || errors.Is(err, peer.ErrClosed) {
			s.Picker.MarkReachable(candidate.Host)
			return
		}
		s.tryLater(candidate, min(2*wait, reachLongest), left-1)
	})
}

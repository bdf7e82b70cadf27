package ctrl_test

import (
	"slices"
	"testing"
	"time"
)

// TestHostIsServedSoonAfterRelaysRefusedDials guards against a host that excludes all
// relays for 10 s because they refused its dials, although there is nothing else to
// dial. This happens if the host starts shortly before its relays.
func TestHostIsServedSoonAfterRelaysRefusedDials(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(30 * time.Second)
	child := f.child("zrh-a")
	all := slices.Clone(f.hosts)
	for _, h := range all {
		f.kill(h)
	}
	child = f.restart(child)
	f.advance(1500 * time.Millisecond)
	for _, h := range all {
		if h.Self.Load().Host != child.Self.Load().Host {
			f.restart(h)
		}
	}
	f.waitUntil(changeDeadline, "the host is served", func() bool { return child.Uplinks.Load().Served })
}

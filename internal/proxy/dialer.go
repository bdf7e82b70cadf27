package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/sock"
)

// rttDialer dials the platform and keeps the lowest connection time as an estimate of
// the round-trip time.
type rttDialer struct {
	dialer sock.Transport
	// minRTT is in nanoseconds; zero before the first connection.
	minRTT atomic.Int64
}

// Dial implements store.Dialer.
func (t *rttDialer) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	start := time.Now()
	if conn, err = t.dialer.Dial(ctx, address); err != nil {
		return nil, err
	}
	rtt := int64(time.Since(start))
	if lowest := t.minRTT.Load(); lowest == 0 || rtt < lowest {
		t.minRTT.Store(rtt)
	}
	return conn, nil
}

func (t *rttDialer) lowestRTT() time.Duration {
	return time.Duration(t.minRTT.Load())
}

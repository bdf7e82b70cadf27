package demo

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/flood"
)

// callTimeout bounds each call.
const callTimeout = 10 * time.Second

// keyPrefix starts the idempotency key of each call.
const keyPrefix = "demo-"

// load sends the deployment's streams of calls to all nodes in turn until it is
// stopped.
type load struct {
	*flood.Load
	caller flood.Caller
}

func startLoad(ctx context.Context, hosts []*host, streams []stream) *load {
	l := &load{caller: flood.Caller{Timeout: callTimeout}}
	addresses := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		addresses = append(addresses, h.node.CallerAddr())
	}
	floodStreams := make([]flood.Stream, 0, len(streams))
	for _, s := range streams {
		floodStreams = append(floodStreams, flood.Stream{Interval: s.interval, Keyed: s.hasKey, Call: flood.Call{
			Method: s.method, Path: s.path, Body: requestBody(s), Priority: s.priority,
		}})
	}
	l.Load = flood.Start(ctx, &flood.RoundRobin{Caller: &l.caller, Addrs: addresses}, keyPrefix, floodStreams)
	return l
}

// stop starts no further calls and waits for those in flight.
func (l *load) stop() {
	l.Stop()
	l.caller.Close()
}

func requestBody(s stream) string {
	if s.method == http.MethodGet {
		return ""
	}
	return "entry for " + s.name
}

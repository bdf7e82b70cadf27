package demo

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/flood"
)

// callTimeout bounds one call of the demo's callers.
const callTimeout = 10 * time.Second

// keyPrefix starts the key of each of the demo's calls.
const keyPrefix = "demo-"

// load sends calls of every kind to all sites in turn until it is stopped.
type load struct {
	*flood.Load
	caller flood.Caller
}

func startLoad(ctx context.Context, sites []*site, kinds []kind) *load {
	l := &load{caller: flood.Caller{Timeout: callTimeout}}
	at := make([]netip.AddrPort, 0, len(sites))
	for _, s := range sites {
		at = append(at, s.node.CallerAddr())
	}
	calls := make([]flood.Stream, 0, len(kinds))
	for _, k := range kinds {
		calls = append(calls, flood.Stream{Interval: k.interval, Keyed: k.keyed, Call: flood.Call{
			Method: k.method, Path: k.path, Body: bodyOf(k), Priority: k.priority,
		}})
	}
	l.Load = flood.Start(ctx, &flood.RoundRobin{Caller: &l.caller, Addrs: at}, keyPrefix, calls)
	return l
}

// stop ends new calls and waits for those underway.
func (l *load) stop() {
	l.Stop()
	l.caller.Close()
}

func bodyOf(k kind) string {
	if k.method == http.MethodGet {
		return ""
	}
	return "entry for " + k.name
}

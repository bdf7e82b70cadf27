package grants_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/grants"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/sock"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// BenchmarkCall measures the processor time at both ends, and the bytes, of a call for the
// tokens of several accounts over the loopback.
func BenchmarkCall(b *testing.B) {
	tests := []struct{ accounts int }{{accounts: 1}, {accounts: 10}, {accounts: 86}}
	for _, tt := range tests {
		b.Run(fmt.Sprint(tt.accounts), func(b *testing.B) {
			accounts := make([]*plan.Account, 0, tt.accounts)
			for i := range tt.accounts {
				accounts = append(accounts, &plan.Account{Name: mesh.Account(fmt.Sprintf("account-%d", i)), Rate: 1e6, Burst: 1e6})
			}
			version, err := plan.New(5, plan.Limits{}, nil, nil, accounts...)
			assert.NilError(b, err)
			owner := &grants.Quotas{}
			owner.Start("owner")
			defer owner.Close()
			owner.Apply(cells.ProxySnapshot{Plan: version, NodeCount: 2, Tokens: cells.TokenSource{Owner: true, Share: 1}})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			server := &peer.Server{CallHandler: &grants.Handler{Quotas: owner}}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			pool := &peer.Pool{}
			defer pool.Close()
			asks := make([]tokens.Ask, 0, tt.accounts)
			for _, a := range accounts {
				asks = append(asks, tokens.Ask{Account: a.Name, Needed: 1})
			}
			before := processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				granted, callErr := grants.Call(b.Context(), pool, sock.ListenAddr(listener), asks)
				assert.NilError(b, callErr)
				assert.Equal(b, len(granted), tt.accounts)
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
			traffic := pool.Stats()[0].Traffic
			b.ReportMetric(float64(traffic.Sent+traffic.Received)/float64(b.N), "wire-B/op")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(tb testing.TB) time.Duration {
	var usage unix.Rusage
	assert.NilError(tb, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

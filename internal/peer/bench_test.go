package peer

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// reply2KB sends a body of 2 KB.
func reply2KB(_ context.Context, _ *Call, reply ReplyWriter) {
	_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: 2048})
	_, _ = reply.Write(bytes.Repeat([]byte("x"), 2048))
}

func callOnce(b testing.TB, pool *Pool, node netip.AddrPort) {
	call := &Call{Head: &wire.CallHead{Method: "GET", Path: "/notices/1", Idempotent: true}}
	reply, err := pool.Call(b.Context(), node, call)
	assert.NilError(b, err)
	n, err := io.Copy(io.Discard, reply.Body)
	assert.NilError(b, err)
	assert.Equal(b, n, int64(2048))
}

// BenchmarkCall compares reusing streams with opening a stream for each call.
func BenchmarkCall(b *testing.B) {
	tests := []struct {
		name    string
		streams int
	}{
		{name: "reused streams", streams: 0},
		{name: "new stream per call", streams: -1},
	}
	node := startServer(b, &Server{CallHandler: serveFunc(reply2KB)})
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			pool := &Pool{maxIdleStreams: tt.streams}
			b.Cleanup(pool.Close)
			histogram := hdrhistogram.New(1000, int64(10*time.Second), 3)
			for b.Loop() {
				begin := time.Now()
				callOnce(b, pool, node)
				_ = histogram.RecordValue(int64(time.Since(begin)))
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e6, "p99-ms")
		})
	}
}

// BenchmarkControlDuringBulkTransfer measures the round trip of a control message
// while large bodies are sent, on the same session and on a separate one.
func BenchmarkControlDuringBulkTransfer(b *testing.B) {
	tests := []struct {
		name   string
		bodies int
		shared bool
	}{
		{name: "no bodies", shared: true},
		{name: "8 bodies, shared session", bodies: 8, shared: true},
		{name: "8 bodies, separate session", bodies: 8},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			node := startServer(b, &Server{CallHandler: serveFunc(echo), ControlHandler: controlFunc(echoMessages)})
			bulk, pool := &Pool{}, &Pool{}
			if tt.shared {
				bulk = pool
			}
			ctx, cancel := context.WithCancel(b.Context())
			var work sync.WaitGroup
			for range tt.bodies {
				work.Go(func() {
					for ctx.Err() == nil {
						sendBulk(ctx, bulk, node)
					}
				})
			}
			control, err := pool.OpenControl(b.Context(), node)
			assert.NilError(b, err)
			histogram := hdrhistogram.New(1000, int64(10*time.Second), 3)
			message := &wire.Control{Body: &wire.Control_Hello{Hello: &wire.Hello{Host: "a"}}}
			for b.Loop() {
				begin := time.Now()
				assert.NilError(b, control.Send(message))
				_, err = control.Recv()
				assert.NilError(b, err)
				_ = histogram.RecordValue(int64(time.Since(begin)))
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e6, "p50-ms")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e6, "p99-ms")
			control.Close()
			cancel()
			work.Wait()
			bulk.Close()
			pool.Close()
		})
	}
}

func sendBulk(ctx context.Context, pool *Pool, node netip.AddrPort) {
	body := io.LimitReader(endlessBody{}, 16<<20)
	reply, err := pool.Call(ctx, node, &Call{Head: &wire.CallHead{BodyLength: -1}, Body: body})
	if err == nil {
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
	}
}

func echoMessages(c *ControlStream) {
	for {
		message, err := c.Recv()
		if err != nil {
			return
		}
		_ = c.Send(message)
	}
}

// endlessBody is a body without an end.
type endlessBody struct{}

func (endlessBody) Read(data []byte) (int, error) { return len(data), nil }

// BenchmarkIdleSession measures the memory and goroutines that an idle session
// needs at both ends.
func BenchmarkIdleSession(b *testing.B) {
	nodes := make([]netip.AddrPort, 0, 200)
	for range 200 {
		nodes = append(nodes, startServer(b, &Server{CallHandler: serveFunc(reply2KB)}))
	}
	for b.Loop() {
		pool := &Pool{}
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		for _, n := range nodes {
			callOnce(b, pool, n)
		}
		time.Sleep(50 * time.Millisecond)
		after := memoryInUse()
		b.ReportMetric(float64(after-before)/float64(len(nodes))/1024, "KiB/session")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(len(nodes)), "goroutines/session")
		pool.Close()
	}
}

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

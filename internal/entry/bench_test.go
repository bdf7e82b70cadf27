package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// respond2KB returns a response of 2 KB.
func respond2KB(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(bytes.Repeat([]byte("x"), 2048))
}

// latencyRecorder records latencies in nanoseconds. It is safe for concurrent use.
type latencyRecorder struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1000, int64(10*time.Second), 3)}
}

func (l *latencyRecorder) get(client *http.Client, url string) {
	start := time.Now()
	response, err := client.Get(url)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	took := time.Since(start)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil || response.StatusCode != http.StatusOK {
		l.failed++
		return
	}
	_ = l.histogram.RecordValue(int64(took))
}

func (l *latencyRecorder) at(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1e6
}

func report(b *testing.B, direct, mesh *latencyRecorder) {
	b.ReportMetric(direct.at(50), "direct-p50-ms")
	b.ReportMetric(direct.at(99), "direct-p99-ms")
	b.ReportMetric(mesh.at(50)-direct.at(50), "added-p50-ms")
	b.ReportMetric(mesh.at(99)-direct.at(99), "added-p99-ms")
	b.ReportMetric(float64(direct.failed+mesh.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

func newClient(b *testing.B) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// BenchmarkAddedLatency compares the latency of calls through the mesh with that
// of direct calls. The calls alternate at a fixed rate.
func BenchmarkAddedLatency(b *testing.B) {
	tests := []struct {
		name string
		rate int
	}{
		{name: "255 a second", rate: 255},
		{name: "1000 a second", rate: 1000},
		{name: "4000 a second", rate: 4000},
	}
	server := httptest.NewServer(http.HandlerFunc(respond2KB))
	b.Cleanup(server.Close)
	_, url := startFrontend(b, startNode(b, "a", http.HandlerFunc(respond2KB)))
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			client := newClient(b)
			direct, mesh := newLatencyRecorder(), newLatencyRecorder()
			newLatencyRecorder().get(client, url+"/notices")
			var work sync.WaitGroup
			ticker := time.NewTicker(time.Second / time.Duration(2*tt.rate))
			defer ticker.Stop()
			for i := range 2 * b.N {
				<-ticker.C
				target, recorder := server.URL, direct
				if i%2 == 1 {
					target, recorder = url+"/notices", mesh
				}
				work.Go(func() { recorder.get(client, target) })
			}
			work.Wait()
			report(b, direct, mesh)
		})
	}
}

// BenchmarkSaturation measures the throughput of many callers that each send the
// next request as soon as they have the response.
func BenchmarkSaturation(b *testing.B) {
	const callers = 32
	server := httptest.NewServer(http.HandlerFunc(respond2KB))
	b.Cleanup(server.Close)
	_, url := startFrontend(b, startNode(b, "a", http.HandlerFunc(respond2KB)))
	targets := []struct {
		name string
		url  string
	}{
		{name: "direct", url: server.URL},
		{name: "mesh", url: url + "/notices"},
	}
	for _, tt := range targets {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			client := newClient(b)
			all := newLatencyRecorder()
			tokens := make(chan struct{}, callers)
			var work sync.WaitGroup
			for range callers {
				work.Go(func() {
					for range tokens {
						all.get(client, tt.url)
					}
				})
			}
			start, used := time.Now(), processorTime(b)
			for range b.N {
				tokens <- struct{}{}
			}
			close(tokens)
			work.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-us/call")
			b.ReportMetric(all.at(50), "p50-ms")
			b.ReportMetric(all.at(99), "p99-ms")
			assert.Equal(b, all.failed, 0)
		})
	}
}

// processorTime returns the CPU time used by this process. Unlike wall-clock time,
// it is hardly affected by other processes of the machine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

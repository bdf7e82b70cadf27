package faulty_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/faulty"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEchoServer starts a server that sends back the data that it receives.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func start(t *testing.T) *faulty.Link {
	t.Helper()
	link := &faulty.Link{Target: startEchoServer(t)}
	assert.NilError(t, link.Start())
	t.Cleanup(link.Stop)
	return link
}

func dial(t *testing.T, link *faulty.Link) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", link.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// exchange sends the text and reads it back.
func exchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), text)
}

func waitForBytes(t *testing.T, link *faulty.Link, direction faulty.Direction, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := link.Bytes(direction); got != want {
			return poll.Continue("%d bytes forwarded, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestStreamsAreForwardedUnchanged(t *testing.T) {
	tests := []struct {
		name string
		set  func(l *faulty.Link)
	}{
		{name: "without faults", set: func(*faulty.Link) {}},
		{name: "with latency", set: func(l *faulty.Link) { l.SetLatency(5 * time.Millisecond) }},
		{name: "with a rate limit", set: func(l *faulty.Link) { l.SetRate(10 << 20) }},
		{name: "with a shared bandwidth", set: func(l *faulty.Link) {
			l.Bandwidth = new(faulty.Bandwidth)
			l.Bandwidth.SetRate(10 << 20)
		}},
	}
	data := bytes.Repeat([]byte("0123456789"), 50_000)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			link := &faulty.Link{Target: startEchoServer(t)}
			tt.set(link)
			assert.NilError(t, link.Start())
			t.Cleanup(link.Stop)
			conn := dial(t, link)
			var group sync.WaitGroup
			group.Go(func() {
				_, err := conn.Write(data)
				assert.Check(t, err)
				assert.Check(t, conn.CloseWrite())
			})
			got, err := io.ReadAll(conn)
			assert.NilError(t, err)
			group.Wait()
			assert.Assert(t, bytes.Equal(got, data))
			assert.Equal(t, link.Bytes(faulty.ToTarget), int64(len(data)))
			assert.Equal(t, link.Bytes(faulty.FromTarget), int64(len(data)))
		})
	}
}

// Only minimum delays are checked, because a slow machine adds to them.
func TestDelaysAreAtLeastAsConfigured(t *testing.T) {
	tests := []struct {
		name string
		set  func(l *faulty.Link)
		size int
		want time.Duration
	}{
		{name: "latency each way", set: func(l *faulty.Link) { l.SetLatency(30 * time.Millisecond) }, size: 1, want: 60 * time.Millisecond},
		// The limiter's burst lets the first 16 KB pass without delay.
		{name: "rate", set: func(l *faulty.Link) { l.SetRate(160 << 10) }, size: 32 << 10, want: 90 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			link := start(t)
			tt.set(link)
			conn := dial(t, link)
			begin := time.Now()
			exchange(t, conn, string(make([]byte, tt.size)))
			assert.Assert(t, time.Since(begin) >= tt.want)
		})
	}
}

func TestStallAffectsOneDirection(t *testing.T) {
	tests := []struct {
		name      string
		direction faulty.Direction
		// arrives is the total number of bytes that have reached the target during
		// the stall.
		arrives int64
	}{
		{name: "to the target", direction: faulty.ToTarget, arrives: 1},
		{name: "from the target", direction: faulty.FromTarget, arrives: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			link := start(t)
			conn := dial(t, link)
			exchange(t, conn, "a")
			link.Stall(tt.direction, true)
			_, err := conn.Write([]byte("bc"))
			assert.NilError(t, err)
			waitForBytes(t, link, faulty.ToTarget, tt.arrives)
			assert.Equal(t, link.Bytes(faulty.FromTarget), int64(1))
			assert.Equal(t, link.Connections(), 1)
			link.Stall(tt.direction, false)
			got := make([]byte, 2)
			_, err = io.ReadFull(conn, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "bc")
		})
	}
}

func TestStallOpenConnectionsLeavesNewOnesWorking(t *testing.T) {
	link := start(t)
	old := dial(t, link)
	exchange(t, old, "a")
	link.StallOpenConnections()
	_, err := old.Write([]byte("bc"))
	assert.NilError(t, err)
	exchange(t, dial(t, link), "d")
	assert.Equal(t, link.Bytes(faulty.ToTarget), int64(2))
	assert.NilError(t, old.Close())
	assert.Equal(t, link.Connections(), 2)
}

func TestCutResetsAndRefusesConnections(t *testing.T) {
	link := start(t)
	conn := dial(t, link)
	exchange(t, conn, "a")
	assert.NilError(t, link.Cut(true))
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", link.Addr().String())
	assert.Assert(t, err != nil)
	assert.NilError(t, link.Cut(false))
	exchange(t, dial(t, link), "b")
}

func TestUnreachableTargetResetsConnection(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	link := &faulty.Link{Target: closed.Addr().(*net.TCPAddr).AddrPort()}
	assert.NilError(t, closed.Close())
	assert.NilError(t, link.Start())
	t.Cleanup(link.Stop)
	// The reset may arrive before Dial returns.
	conn, err := net.Dial("tcp", link.Addr().String())
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	assert.Assert(t, err != nil)
}

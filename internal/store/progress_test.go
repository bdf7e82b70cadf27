package store_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/store"
)

// slowServer answers each request in parts, with a pause before each of them.
type slowServer struct {
	parts int
	pause time.Duration
	// stalled is true if the last part is never sent.
	stalled bool
	running sync.WaitGroup
}

// Dial implements store.Dialer.
func (s *slowServer) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	s.running.Go(func() { s.serve(far) })
	return near, nil
}

func (s *slowServer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	const body = `{"objects":[],"revision":7}`
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)+s.parts)
	for i, part := 0, head; i <= s.parts; i, part = i+1, " " {
		time.Sleep(s.pause)
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
	if s.stalled {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	_, _ = io.WriteString(conn, body)
}

// TestResponseThatMakesProgressIsNotEnded covers the lists of a fleet that starts at
// once and shares a narrow link: each takes longer than the timeout, but goes on.
func TestResponseThatMakesProgressIsNotEnded(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	tests := []struct {
		name   string
		server *slowServer
		want   error
	}{
		{name: "slow but steady", server: &slowServer{parts: 20, pause: time.Second}},
		{name: "silent from the start", server: &slowServer{pause: time.Hour}, want: store.ErrUnavailable},
		{name: "silent after a part", server: &slowServer{parts: 3, pause: time.Second, stalled: true}, want: store.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := store.New(store.Options{Address: loopback, Dialer: tt.server, RateLimiter: unlimited(), Timeout: timeout})
				defer func() {
					client.Close()
					tt.server.running.Wait()
				}()
				start := time.Now()
				_, revision, err := client.List(t.Context(), "a/")
				assert.Assert(t, errors.Is(err, tt.want), "%v", err)
				if tt.want == nil {
					assert.Equal(t, revision, uint64(7))
					return
				}
				assert.Assert(t, time.Since(start) <= time.Duration(tt.server.parts+1)*time.Second+timeout, "%s", time.Since(start))
			})
		})
	}
}

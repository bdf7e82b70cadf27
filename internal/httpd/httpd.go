// Package httpd runs hertz servers on listeners that may take any free port,
// many in one process, and stops them without leaving goroutines behind.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"arbutusstep.example/arbutusstep/internal/sock"
)

// exitWait bounds hertz's own wait for connections at shutdown.
const exitWait = time.Minute

// idleInterval is the time between two rounds of ending idle connections while
// a server stops.
const idleInterval = 50 * time.Millisecond

func init() {
	hlog.SetOutput(io.Discard)
}

// Server is a running server. It is made by Start.
type Server struct {
	engine   *server.Hertz
	listener *Listener
	// stopped is closed when the accept loop has ended.
	stopped chan struct{}
}

// Start serves the routes on the address; port zero picks a free one, which
// Addr tells.
func Start(
	address netip.AddrPort, routes func(engine *server.Hertz), options ...config.Option,
) (started *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve HTTP on %s: %w", address, err)
		}
	}()
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{listener: NewListener(inner), stopped: make(chan struct{})}
	options = append([]config.Option{
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		// The date is kept by a goroutine that never ends.
		server.WithDisableDefaultDate(true),
		server.WithExitWaitTime(exitWait),
	}, options...)
	s.engine = server.New(options...)
	routes(s.engine)
	failed := make(chan error, 1)
	go func() {
		defer close(s.stopped)
		failed <- s.engine.Run()
	}()
	select {
	case <-s.listener.accepting:
		return s, nil
	case err = <-failed:
		return nil, errors.Join(err, inner.Close())
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() (address netip.AddrPort) {
	return sock.ListenAddr(s.listener)
}

// CloseConns closes every connection, also those that are accepted later.
func (s *Server) CloseConns() {
	s.listener.CloseConns()
}

// Stop closes the listener and waits for the requests underway to end, at most
// until the context ends.
func (s *Server) Stop(ctx context.Context) (err error) {
	err = Shutdown(ctx, s.engine, s.listener)
	s.listener.CloseConns()
	select {
	case <-s.stopped:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		return fmt.Errorf("stop HTTP server: %w", err)
	}
	return nil
}

// Shutdown stops an engine on a listener: it takes no new connections, ends the
// idle ones, and waits for the requests underway, at most until the context ends.
func Shutdown(ctx context.Context, engine *server.Hertz, listener *Listener) (err error) {
	done := make(chan error, 1)
	go func() { done <- engine.Shutdown(ctx) }()
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		listener.CloseIdle()
		select {
		case err = <-done:
			return err
		case <-ticker.C:
		}
	}
}

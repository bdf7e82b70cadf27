// Package httpd runs hertz servers. Many servers can run in one process, each on
// any free port, and a stopped server leaves no goroutines behind.
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

// exitWaitTimeout bounds how long hertz itself waits for connections to close at
// shutdown.
const exitWaitTimeout = time.Minute

// closeIdleInterval is the interval at which idle connections are closed during
// shutdown.
const closeIdleInterval = 50 * time.Millisecond

func init() {
	hlog.SetOutput(io.Discard)
}

// Server is a running HTTP server. It is created by Start.
type Server struct {
	engine   *server.Hertz
	listener *Listener
	// stopped is closed when the accept loop has ended.
	stopped chan struct{}
}

// Start serves the routes on the address. For port zero it chooses a free port,
// which Addr returns.
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
		// Hertz updates the default date in a goroutine that never ends.
		server.WithDisableDefaultDate(true),
		server.WithExitWaitTime(exitWaitTimeout),
	}, options...)
	s.engine = server.New(options...)
	routes(s.engine)
	runErr := make(chan error, 1)
	go func() {
		defer close(s.stopped)
		runErr <- s.engine.Run()
	}()
	select {
	case <-s.listener.accepting:
		return s, nil
	case err = <-runErr:
		return nil, errors.Join(err, inner.Close())
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() (address netip.AddrPort) {
	return sock.ListenAddr(s.listener)
}

// CloseConns closes all connections, including those that are accepted later.
func (s *Server) CloseConns() {
	s.listener.CloseConns()
}

// Stop closes the listener and waits until the requests in progress have ended or
// the context ends.
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

// Shutdown shuts down an engine and its listener: it accepts no new connections,
// closes the idle ones, and waits until the requests in progress have ended or
// the context ends.
func Shutdown(ctx context.Context, engine *server.Hertz, listener *Listener) (err error) {
	done := make(chan error, 1)
	go func() { done <- engine.Shutdown(ctx) }()
	ticker := time.NewTicker(closeIdleInterval)
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

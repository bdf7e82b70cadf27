package objapi

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"arbutusstep.example/arbutusstep/internal/httpd"
)

// maxBodySize bounds a request body: a value in base64 and its JSON.
const maxBodySize = 4 << 20

var errRunning = errors.New("server is already running")

// Server is the stand-in. The zero Server is ready to be started; it keeps its
// objects over Stop and Start.
type Server struct {
	// HistoryLimit bounds the events that a watch can still ask for; zero
	// means DefaultHistoryLimit. It is set before the first Start.
	HistoryLimit int
	// Seed makes the order of shuffled events repeatable.
	Seed uint64

	table  table
	faults switchboard
	calls  ledger

	mutex sync.Mutex
	// running is nil while the server is stopped; guarded by mutex.
	running *httpd.Server
	// address is where the server listens or last listened; guarded by mutex.
	address netip.AddrPort
	// stop ends the calls underway; guarded by mutex.
	stop context.CancelFunc
}

// Start serves on that address; port zero picks a free one, which Addr tells.
func (s *Server) Start(address netip.AddrPort) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start object API: %w", err)
		}
	}()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running != nil {
		return errRunning
	}
	s.table.historyLimit = s.HistoryLimit
	stopping, stop := context.WithCancel(context.Background())
	routes := func(engine *server.Hertz) { s.route(stopping, engine) }
	s.running, err = httpd.Start(address, routes,
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(maxBodySize))
	if err != nil {
		stop()
		return err
	}
	s.stop, s.address = stop, s.running.Addr()
	return nil
}

// Addr returns the address that the server listens on, the zero AddrPort
// before the first Start.
func (s *Server) Addr() netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop closes the listener and every connection, and waits for the calls
// underway to end, at most until the context ends.
func (s *Server) Stop(ctx context.Context) (err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running == nil {
		return nil
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop object API: %w", err)
		}
	}()
	s.stop()
	s.running.CloseConns()
	err = s.running.Stop(ctx)
	s.running = nil
	return err
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) (err error) {
	if err = faults.check(); err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	s.faults.set(faults)
	return nil
}

// Faults returns the faults in force; LoseResponses falls with each lost answer.
func (s *Server) Faults() Faults {
	faults, _, _ := s.faults.get()
	return faults
}

// Compact forgets the history, so that every watch from an earlier revision
// finds it gone.
func (s *Server) Compact() {
	s.table.compact()
}

// Stats tells what the server holds and which calls it got.
func (s *Server) Stats() (stats Stats) {
	stats = s.calls.stats(time.Now())
	stats.Objects, stats.Revision, stats.WaitingWatches = s.table.count()
	return stats
}

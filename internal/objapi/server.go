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

// maxBodySize limits a request body. It leaves room for a value of maximum size
// in base64 and the JSON around it.
const maxBodySize = 4 << 20

var errRunning = errors.New("server is already running")

// Server is a fake object API server. The zero Server is ready to start. Objects
// are kept across Stop and Start.
type Server struct {
	// HistoryLimit is the maximum number of past events kept for watches; zero
	// means DefaultHistoryLimit. It must be set before the first Start.
	HistoryLimit int
	// Seed makes the order of shuffled events reproducible.
	Seed uint64

	store  memStore
	faults faultState
	calls  callStats

	mutex sync.Mutex
	// running is nil while the server is stopped; guarded by mutex.
	running *httpd.Server
	// address is the current or last listen address; guarded by mutex.
	address netip.AddrPort
	// cancel ends the calls in progress; guarded by mutex.
	cancel context.CancelFunc
}

// Start serves on the address. With port zero it picks a free port, which Addr
// returns.
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
	s.store.historyLimit = s.HistoryLimit
	stopping, cancel := context.WithCancel(context.Background())
	routes := func(engine *server.Hertz) { s.registerRoutes(stopping, engine) }
	s.running, err = httpd.Start(address, routes,
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(maxBodySize))
	if err != nil {
		cancel()
		return err
	}
	s.cancel, s.address = cancel, s.running.Addr()
	return nil
}

// Addr returns the listen address, the zero AddrPort before the first Start.
func (s *Server) Addr() netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Stop closes the listener and all connections and waits for the calls in
// progress until the context ends.
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
	s.cancel()
	s.running.CloseConns()
	err = s.running.Stop(ctx)
	s.running = nil
	return err
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults Faults) (err error) {
	if err = faults.validate(); err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	s.faults.set(faults)
	return nil
}

// Faults returns the current faults. LoseResponses decreases with each lost
// response.
func (s *Server) Faults() Faults {
	s.faults.mutex.Lock()
	defer s.faults.mutex.Unlock()
	return s.faults.current
}

// Compact discards the event history, so that every watch from an earlier
// revision fails with 410.
func (s *Server) Compact() {
	s.store.compact()
}

// Stats returns the current statistics.
func (s *Server) Stats() (stats Stats) {
	stats = s.calls.snapshot(time.Now())
	stats.Era = s.store.currentEra()
	stats.Objects, stats.Revision, stats.WaitingWatches = s.store.count()
	return stats
}

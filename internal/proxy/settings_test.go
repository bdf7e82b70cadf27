package proxy_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
)

// forwarder passes connections on to the platform until it is closed.
type forwarder struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
}

func newForwarder(t *testing.T, target *atomic.Pointer[netip.AddrPort]) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{listener: listener}
	t.Cleanup(f.close)
	go acceptEach(listener, func(conn net.Conn) { f.forward(conn, *target.Load()) })
	return f
}

func (f *forwarder) forward(conn net.Conn, target netip.AddrPort) {
	platform, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = conn.Close()
		return
	}
	f.mutex.Lock()
	f.conns = append(f.conns, conn, platform)
	f.mutex.Unlock()
	go func() { _, _ = io.Copy(conn, platform) }()
	go func() { _, _ = io.Copy(platform, conn) }()
}

func (f *forwarder) addr() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// TestNewAddressOfPlatformIsUsed guards against proxies that keep to the address of the
// platform with which they started, and so to an old version, and against a changed setting
// that is ignored without a word.
func TestNewAddressOfPlatformIsUsed(t *testing.T) {
	var platform atomic.Pointer[netip.AddrPort]
	first, second := newForwarder(t, &platform), newForwarder(t, &platform)
	var lines logBuffer
	m := newMeshWith(t, meshOptions{logger: zerolog.New(&lines), configure: func(settings *conf.Proxy) {
		address := settings.Platform
		platform.Store(&address)
		settings.Platform = first.addr()
	}}, "orders", "orders")
	for _, p := range m.proxies {
		settings := conf.DefaultProxy()
		settings.Platform, settings.Region = second.addr(), "elsewhere"
		p.proxy.ApplySettings(settings)
		assert.Assert(t, len(p.proxy.Status().PendingSettings) > 0)
	}
	assert.Assert(t, strings.Contains(lines.String(), "settingsNeedRestart"))
	first.close()
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	next := bytes.Replace(newDocument(2, "/o/", "orders"), []byte(`"timeout":"3s"`), []byte(`"timeout":"2s"`), 1)
	_, err = m.client.Update(t.Context(), "config/main", next, current.Version)
	assert.NilError(t, err)
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if version := p.proxy.Status().Version; version != 2 {
				return poll.Continue("version %d", version)
			}
			return poll.Success()
		}, pollTimeout)
	}
}

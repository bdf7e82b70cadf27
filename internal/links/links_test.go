package links_test

import (
	"net"
	"net/netip"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/internal/links"
	"arbutusstep.example/arbutusstep/internal/peer"
)

// events collects what a driver posts.
type events chan cells.LinkEvent

func (e events) Post(event cells.LinkEvent) bool {
	e <- event
	return true
}

// end is one node's driver with its session server.
type end struct {
	pool   peer.Pool
	server peer.Server
	driver *links.Driver
	posted events
	node   netip.AddrPort
}

func start(t *testing.T) *end {
	e := &end{posted: make(events, 64)}
	e.driver = links.NewDriver(&e.pool, e.posted)
	e.server.ControlHandler = e.driver
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.node = netip.MustParseAddrPort(listener.Addr().String())
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(listener) }()
	// A session shows that the server has begun.
	probe, err := e.pool.OpenControl(t.Context(), e.node)
	assert.NilError(t, err)
	probe.Close()
	t.Cleanup(func() {
		e.driver.Close()
		e.pool.Close()
		e.server.Close()
		assert.NilError(t, <-served)
	})
	return e
}

func TestLinksCarryMessagesAndTellTheirEnd(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("two nodes", func(t *testing.T) {
		near, far := start(t), start(t)
		near.driver.Execute(cells.LinkCommand{Action: cells.LinkDial, Node: far.node})
		up := <-near.posted
		assert.Equal(t, up.Kind, cells.LinkUp)
		assert.Assert(t, up.Dialed)
		near.driver.Execute(cells.LinkCommand{Action: cells.LinkSend, Link: up.Link, Message: ctlmsg.RelayInvite{Slot: 1}})
		accepted := <-far.posted
		assert.Equal(t, accepted.Kind, cells.LinkUp)
		assert.Assert(t, !accepted.Dialed)
		assert.Equal(t, (<-far.posted).Message, ctlmsg.Message(ctlmsg.RelayInvite{Slot: 1}))
		far.driver.Execute(cells.LinkCommand{Action: cells.LinkSend, Link: accepted.Link, Message: ctlmsg.RelayInvite{Slot: 2}})
		assert.Equal(t, (<-near.posted).Message, ctlmsg.Message(ctlmsg.RelayInvite{Slot: 2}))
		far.driver.Execute(cells.LinkCommand{Action: cells.LinkClose, Link: accepted.Link})
		down := <-near.posted
		assert.Equal(t, down.Kind, cells.LinkDown)
		assert.Equal(t, down.Node, far.node)
	})
}

func TestDialOfNobodyIsTold(t *testing.T) {
	near := start(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	near.driver.Execute(cells.LinkCommand{Action: cells.LinkDial, Node: nobody})
	down := <-near.posted
	assert.Equal(t, down.Kind, cells.LinkDown)
	assert.Equal(t, down.Node, nobody)
	assert.Assert(t, down.Err != nil)
}

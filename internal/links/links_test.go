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

// eventChannel receives the events that a driver posts.
type eventChannel chan cells.LinkEvent

func (e eventChannel) Post(event cells.LinkEvent) bool {
	e <- event
	return true
}

// testNode is the driver and the session server of one node.
type testNode struct {
	pool   peer.Pool
	server peer.Server
	driver *links.Driver
	posted eventChannel
	node   netip.AddrPort
}

func startNode(t *testing.T) *testNode {
	e := &testNode{posted: make(eventChannel, 64)}
	e.driver = links.NewDriver(&e.pool, e.posted)
	e.server.ControlHandler = e.driver
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.node = netip.MustParseAddrPort(listener.Addr().String())
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(listener) }()
	// A successful dial shows that the server has started.
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

func TestLinksDeliverMessagesAndReportClose(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("two nodes", func(t *testing.T) {
		dialer, acceptor := startNode(t), startNode(t)
		dialer.driver.Execute(cells.LinkCommand{Action: cells.LinkDial, Address: acceptor.node})
		up := <-dialer.posted
		assert.Equal(t, up.Kind, cells.LinkUp)
		assert.Assert(t, up.Dialed)
		dialer.driver.Execute(cells.LinkCommand{Action: cells.LinkSend, Link: up.Link, Message: ctlmsg.RelayInvite{Slot: 1}})
		accepted := <-acceptor.posted
		assert.Equal(t, accepted.Kind, cells.LinkUp)
		assert.Assert(t, !accepted.Dialed)
		assert.Equal(t, (<-acceptor.posted).Message, ctlmsg.Message(ctlmsg.RelayInvite{Slot: 1}))
		acceptor.driver.Execute(cells.LinkCommand{Action: cells.LinkSend, Link: accepted.Link, Message: ctlmsg.RelayInvite{Slot: 2}})
		assert.Equal(t, (<-dialer.posted).Message, ctlmsg.Message(ctlmsg.RelayInvite{Slot: 2}))
		acceptor.driver.Execute(cells.LinkCommand{Action: cells.LinkClose, Link: accepted.Link})
		down := <-dialer.posted
		assert.Equal(t, down.Kind, cells.LinkDown)
		assert.Equal(t, down.Address, acceptor.node)
	})
}

func TestFailedDialIsReported(t *testing.T) {
	node := startNode(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	node.driver.Execute(cells.LinkCommand{Action: cells.LinkDial, Address: unreachable})
	down := <-node.posted
	assert.Equal(t, down.Kind, cells.LinkDown)
	assert.Equal(t, down.Address, unreachable)
	assert.Assert(t, down.Err != nil)
}

package store

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
)

// errMoved ends calls that only read when the address of the object API changes.
var errMoved = errors.New("the address of the object API changed")

// endpoint is an address of the object API.
type endpoint struct {
	address netip.AddrPort
	// left ends once the client uses another endpoint.
	left  context.Context
	leave context.CancelFunc
}

func newEndpoint(address netip.AddrPort) *endpoint {
	e := &endpoint{address: address}
	e.left, e.leave = context.WithCancel(context.Background())
	return e
}

// SetAddress makes the client use another address of the object API. Calls in progress that
// only read fail with ErrUnavailable, since nobody may answer them any more; those that write
// go on, as their outcome would be unknown.
func (c *Client) SetAddress(address netip.AddrPort) {
	old := c.endpoint.Load()
	if old.address == address {
		return
	}
	c.endpoint.Store(newEndpoint(address))
	old.leave()
	c.transport.CloseIdleConnections()
}

// endWhenLeft ends a call that only reads once the endpoint is left, until stop is called.
func (e *endpoint) endWhenLeft(op operation, progress *progressTimer) (stop func() bool) {
	if op.Method != http.MethodGet {
		return func() bool { return true }
	}
	return context.AfterFunc(e.left, func() { progress.cancel(errMoved) })
}

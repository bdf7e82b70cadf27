package peer

import (
	"context"
	"net/netip"
)

// Ping returns an error if the node does not respond to a ping. It connects to the
// node first if there is no session.
func (p *Pool) Ping(ctx context.Context, node netip.AddrPort) (err error) {
	s, err := p.connect(ctx, node)
	if err != nil {
		return err
	}
	return s.ping(ctx)
}

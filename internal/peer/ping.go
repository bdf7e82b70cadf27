package peer

import (
	"context"
	"net/netip"
)

// Ping reports whether the node answers: it connects to it where there is no
// session, and asks for a sign of life on the session.
func (p *Pool) Ping(ctx context.Context, node netip.AddrPort) (err error) {
	s, err := p.connect(ctx, node)
	if err != nil {
		return err
	}
	return s.check(ctx)
}

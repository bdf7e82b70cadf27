package faulty

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
)

const (
	// chunkSize is how much is read at once, in bytes.
	chunkSize = 16 << 10
	// packetSize is how much comes out at once where the rate is bounded, in bytes.
	packetSize = 1400
	// maxQueue bounds what is under way in one direction of a connection, in chunks.
	maxQueue = 256
)

// pair is one connection through a link: the client's and the target's end.
type pair struct {
	link   *Link
	cancel context.CancelFunc
	// forgotten makes the pair silent for good; guarded by the link's mutex.
	forgotten bool
}

// chunk is a piece of a stream under way.
type chunk struct {
	// data is empty at the end of the stream.
	data []byte
	// due is when the chunk comes out, at the earliest.
	due time.Time
}

// carry passes both directions on until both have ended or the context does.
func (p *pair) carry(ctx context.Context, client, target net.Conn) {
	broken := context.AfterFunc(ctx, func() {
		abort(client)
		abort(target)
	})
	var group sync.WaitGroup
	for _, d := range []struct {
		direction Direction
		from, to  net.Conn
	}{{ToTarget, client, target}, {FromTarget, target, client}} {
		queue := make(chan chunk, maxQueue)
		group.Go(func() { p.read(ctx, d.direction, d.from, queue) })
		group.Go(func() { p.write(ctx, d.direction, d.to, queue) })
	}
	group.Wait()
	if broken() {
		_ = client.Close()
		_ = target.Close()
	}
}

// read puts the stream into the queue, up to its end.
func (p *pair) read(ctx context.Context, direction Direction, from net.Conn, queue chan<- chunk) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 && !p.enqueueAll(ctx, direction, queue, buffer[:n]) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			p.enqueue(ctx, direction, queue, nil)
			return
		case err != nil:
			p.breakOff(ctx)
			return
		}
	}
}

// enqueueAll queues the data, packet by packet where the rate is bounded. It
// returns false when the context ended first.
func (p *pair) enqueueAll(ctx context.Context, direction Direction, queue chan<- chunk, data []byte) bool {
	size := len(data)
	if p.link.Bandwidth.bounded(direction) || p.link.own.bounded(direction) {
		size = packetSize
	}
	for part := range slices.Chunk(data, size) {
		if !p.enqueue(ctx, direction, queue, part) {
			return false
		}
	}
	return true
}

// enqueue waits for the bandwidth and queues the data. It returns false when
// the context ended first.
func (p *pair) enqueue(ctx context.Context, direction Direction, queue chan<- chunk, data []byte) bool {
	for _, b := range []*Bandwidth{p.link.Bandwidth, &p.link.own} {
		if b.wait(ctx, direction, len(data)) != nil {
			return false
		}
	}
	p.link.mutex.Lock()
	due := time.Now().Add(p.link.latency)
	p.link.mutex.Unlock()
	select {
	case queue <- chunk{data: data, due: due}:
		return true
	case <-ctx.Done():
		return false
	}
}

// write passes the queue on, up to the end of the stream.
func (p *pair) write(ctx context.Context, direction Direction, to net.Conn, queue <-chan chunk) {
	for {
		var c chunk
		select {
		case c = <-queue:
		case <-ctx.Done():
			return
		}
		if !p.hold(ctx, direction, c) {
			return
		}
		if len(c.data) == 0 {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		// Counted first, so that whoever has received the bytes finds them counted.
		p.link.bytes[direction].Add(int64(len(c.data)))
		if n, err := to.Write(c.data); err != nil {
			p.link.bytes[direction].Add(int64(n - len(c.data)))
			p.breakOff(ctx)
			return
		}
	}
}

// hold waits until the chunk may come out. It returns false when the context
// ended first.
func (p *pair) hold(ctx context.Context, direction Direction, c chunk) bool {
	if pause.For(ctx, time.Until(c.due)) != nil {
		return false
	}
	return p.waitSound(ctx, direction)
}

// waitSound waits until the direction is not silent. It returns false when the
// context ended first.
func (p *pair) waitSound(ctx context.Context, direction Direction) bool {
	for {
		p.link.mutex.Lock()
		silent := p.forgotten || p.link.silent[direction]
		if p.link.changed == nil {
			p.link.changed = make(chan struct{})
		}
		changed := p.link.changed
		p.link.mutex.Unlock()
		if !silent {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// breakOff breaks both ends after one of them broke, unless the pair is
// silent: then neither end learns of the other.
func (p *pair) breakOff(ctx context.Context) {
	if p.waitSound(ctx, ToTarget) && p.waitSound(ctx, FromTarget) {
		p.cancel()
	}
}

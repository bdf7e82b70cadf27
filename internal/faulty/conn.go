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
	// readSize is the maximum size of one read, in bytes.
	readSize = 16 << 10
	// packetSize is the size of one write when the rate is limited, in bytes.
	packetSize = 1400
	// queueLength limits the data in transit in one direction of a connection,
	// in segments.
	queueLength = 256
)

// proxiedConn is one connection through a link. It consists of a connection with
// the client and one with the target.
type proxiedConn struct {
	link   *Link
	cancel context.CancelFunc
	// stalled is true when the connection is permanently stalled; guarded by the
	// link's mutex.
	stalled bool
}

// segment is a part of a stream in transit.
type segment struct {
	// data is empty at the end of the stream.
	data []byte
	// deliverAt is the earliest time at which the segment may be written.
	deliverAt time.Time
}

// run forwards both directions until both have ended or the context ends.
func (c *proxiedConn) run(ctx context.Context, client, target net.Conn) {
	stopAbort := context.AfterFunc(ctx, func() {
		closeWithReset(client)
		closeWithReset(target)
	})
	var group sync.WaitGroup
	for _, d := range []struct {
		direction Direction
		from, to  net.Conn
	}{{ToTarget, client, target}, {FromTarget, target, client}} {
		queue := make(chan segment, queueLength)
		group.Go(func() { c.read(ctx, d.direction, d.from, queue) })
		group.Go(func() { c.write(ctx, d.direction, d.to, queue) })
	}
	group.Wait()
	if stopAbort() {
		_ = client.Close()
		_ = target.Close()
	}
}

// read reads the stream to its end and queues its segments.
func (c *proxiedConn) read(ctx context.Context, direction Direction, from net.Conn, queue chan<- segment) {
	for {
		buffer := make([]byte, readSize)
		n, err := from.Read(buffer)
		if n > 0 && !c.enqueueAll(ctx, direction, queue, buffer[:n]) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			c.enqueue(ctx, direction, queue, nil)
			return
		case err != nil:
			c.abortBoth(ctx)
			return
		}
	}
}

// enqueueAll queues the data, split into packets when the rate is limited. It
// returns false when the context ended first.
func (c *proxiedConn) enqueueAll(ctx context.Context, direction Direction, queue chan<- segment, data []byte) bool {
	size := len(data)
	if c.link.Bandwidth.limited(direction) || c.link.ownBandwidth.limited(direction) {
		size = packetSize
	}
	for packet := range slices.Chunk(data, size) {
		if !c.enqueue(ctx, direction, queue, packet) {
			return false
		}
	}
	return true
}

// enqueue waits for the bandwidth limits and queues one segment. It returns false
// when the context ended first.
func (c *proxiedConn) enqueue(ctx context.Context, direction Direction, queue chan<- segment, data []byte) bool {
	for _, b := range []*Bandwidth{c.link.Bandwidth, &c.link.ownBandwidth} {
		if b.wait(ctx, direction, len(data)) != nil {
			return false
		}
	}
	c.link.mutex.Lock()
	deliverAt := time.Now().Add(c.link.latency)
	c.link.mutex.Unlock()
	select {
	case queue <- segment{data: data, deliverAt: deliverAt}:
		return true
	case <-ctx.Done():
		return false
	}
}

// write writes the queued segments up to the end of the stream.
func (c *proxiedConn) write(ctx context.Context, direction Direction, to net.Conn, queue <-chan segment) {
	for {
		var s segment
		select {
		case s = <-queue:
		case <-ctx.Done():
			return
		}
		if !c.waitDue(ctx, direction, s) {
			return
		}
		if len(s.data) == 0 {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		// Bytes are counted before the write, so that a receiver of the data sees
		// them counted.
		c.link.bytes[direction].Add(int64(len(s.data)))
		if n, err := to.Write(s.data); err != nil {
			c.link.bytes[direction].Add(int64(n - len(s.data)))
			c.abortBoth(ctx)
			return
		}
	}
}

// waitDue waits until the segment may be written. It returns false when the
// context ended first.
func (c *proxiedConn) waitDue(ctx context.Context, direction Direction, s segment) bool {
	if pause.For(ctx, time.Until(s.deliverAt)) != nil {
		return false
	}
	return c.waitNotStalled(ctx, direction)
}

// waitNotStalled waits until the direction is not stalled. It returns false when
// the context ended first.
func (c *proxiedConn) waitNotStalled(ctx context.Context, direction Direction) bool {
	for {
		c.link.mutex.Lock()
		stalled := c.stalled || c.link.stalled[direction]
		if c.link.changed == nil {
			c.link.changed = make(chan struct{})
		}
		changed := c.link.changed
		c.link.mutex.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// abortBoth resets both connections after one of them failed. During a stall it
// waits, because neither side may learn of the other's failure.
func (c *proxiedConn) abortBoth(ctx context.Context) {
	if c.waitNotStalled(ctx, ToTarget) && c.waitNotStalled(ctx, FromTarget) {
		c.cancel()
	}
}

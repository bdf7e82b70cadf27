package peer

import (
	"io"
	"sync"
)

// pipeLimit is the maximum number of unread bytes in a pipe.
const pipeLimit = 64 << 10

// pipe passes a body from the goroutine that receives it to the one that reads
// it. Writes block while pipeLimit bytes are unread. The zero pipe is ready to
// use.
type pipe struct {
	mutex sync.Mutex
	cond  *sync.Cond
	// data holds the unread bytes, starting at offset.
	data   []byte
	offset int
	// written counts all bytes written.
	written uint64
	// endErr is set once no more bytes will be written: io.EOF, or why the body
	// is truncated.
	endErr error
	// closed is set once the reader has closed the pipe.
	closed bool
}

// wait blocks until the state changes. The mutex must be held.
func (p *pipe) wait() {
	if p.cond == nil {
		p.cond = sync.NewCond(&p.mutex)
	}
	p.cond.Wait()
}

// broadcast wakes all waiting goroutines. The mutex must be held.
func (p *pipe) broadcast() {
	if p.cond != nil {
		p.cond.Broadcast()
	}
}

// fill copies length bytes from the source into the pipe. It discards them if
// the pipe is closed or has ended.
func (p *pipe) fill(source io.Reader, length int) (err error) {
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	for length > 0 {
		n, readErr := source.Read(buffer[:min(length, len(buffer))])
		_, _ = p.Write(buffer[:n])
		length -= n
		if readErr != nil {
			return readErr
		}
	}
	return nil
}

// compact moves the unread bytes to the front. The mutex must be held.
func (p *pipe) compact() {
	if p.offset == 0 {
		return
	}
	n := copy(p.data, p.data[p.offset:])
	p.data = p.data[:n]
	p.offset = 0
}

// Write implements io.Writer.
func (p *pipe) Write(data []byte) (n int, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n < len(data) {
		for len(p.data)-p.offset >= pipeLimit && !p.closed && p.endErr == nil {
			p.wait()
		}
		if p.closed || p.endErr != nil {
			return n, io.ErrClosedPipe
		}
		p.compact()
		step := min(len(data)-n, pipeLimit-len(p.data))
		p.data = append(p.data, data[n:n+step]...)
		p.written += uint64(step)
		n += step
		p.broadcast()
	}
	return n, nil
}

// end marks the end of the body. The error is io.EOF if the body is complete.
func (p *pipe) end(err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.endErr == nil {
		p.endErr = err
	}
	p.broadcast()
}

func (p *pipe) bytesWritten() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.written
}

// Read implements io.Reader.
func (p *pipe) Read(data []byte) (n int, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.offset == len(p.data) && p.endErr == nil && !p.closed {
		p.wait()
	}
	switch {
	case p.closed:
		return 0, io.ErrClosedPipe
	case p.offset == len(p.data):
		return 0, p.endErr
	}
	n = copy(data, p.data[p.offset:])
	p.offset += n
	p.broadcast()
	return n, nil
}

// Close implements io.Closer. It is called by the reader and discards unread
// bytes.
func (p *pipe) Close() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.data = nil
	p.offset = 0
	p.broadcast()
	return nil
}

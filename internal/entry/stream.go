package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

const (
	streamBuffer = 16 << 10
	// callerTimeout bounds how long a caller may take for one part of an answer.
	callerTimeout = 30 * time.Second
)

// errCut makes hertz close the connection, so that the caller sees that the
// answer is not whole.
var errCut = errors.New("answer cut")

// stream writes an answer while it arrives. hertz's own way to stream a body
// ends a chunked one as if it were whole when its source fails.
type stream struct {
	context *app.RequestContext
	answer  *Response
	// ended is told once whether the answer was cut.
	ended func(cut bool)
}

func newStream(c *app.RequestContext, answer *Response, ended func(cut bool)) network.ExtWriter {
	return &stream{context: c, answer: answer, ended: ended}
}

// Write implements network.ExtWriter; the answer comes from its own body.
func (s *stream) Write([]byte) (n int, err error) {
	return 0, errors.ErrUnsupported
}

// Flush implements network.ExtWriter.
func (s *stream) Flush() error {
	return nil
}

// Finalize implements network.ExtWriter: hertz calls it in place of writing the
// response. An error closes the connection.
func (s *stream) Finalize() (err error) {
	defer func() {
		if closeErr := s.answer.Body.Close(); err == nil {
			err = closeErr
		}
		s.ended(err != nil)
		if err != nil {
			err = fmt.Errorf("%w: %w", errCut, err)
		}
	}()
	response := &s.context.Response
	if s.context.Request.Header.IsHead() || response.MustSkipBody() {
		return s.writeHeadOnly()
	}
	length := s.answer.Head.GetBodyLength()
	if length < 0 {
		return s.writeChunks()
	}
	response.Header.SetContentLength(int(length))
	w := s.context.GetWriter()
	if err = resp.WriteHeader(&response.Header, w); err != nil {
		return err
	}
	sent, err := s.copyTo(flushWriter{w})
	if err == nil && sent != length {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *stream) writeHeadOnly() error {
	response := &s.context.Response
	if length := s.answer.Head.GetBodyLength(); length >= 0 && response.StatusCode() != http.StatusNoContent {
		response.Header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	return resp.WriteHeader(&response.Header, s.context.GetWriter())
}

func (s *stream) writeChunks() (err error) {
	w := resp.NewChunkedBodyWriter(&s.context.Response, s.context.GetWriter())
	if _, err = s.copyTo(chunkWriter{w}); err != nil {
		return err
	}
	return w.Finalize()
}

// copyTo copies the body and flushes each part.
func (s *stream) copyTo(w io.Writer) (sent int64, err error) {
	buffer := make([]byte, streamBuffer)
	conn := s.context.GetConn()
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	for {
		n, readErr := s.answer.Body.Read(buffer)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(callerTimeout))
			if _, err = w.Write(buffer[:n]); err != nil {
				return sent, err
			}
			sent += int64(n)
		}
		if errors.Is(readErr, io.EOF) {
			return sent, nil
		}
		if readErr != nil {
			return sent, readErr
		}
	}
}

// flushWriter writes to the connection at once.
type flushWriter struct{ writer network.Writer }

// Write implements io.Writer.
func (f flushWriter) Write(data []byte) (n int, err error) {
	if n, err = f.writer.WriteBinary(data); err != nil {
		return n, err
	}
	return n, f.writer.Flush()
}

// chunkWriter writes chunks to the connection at once.
type chunkWriter struct{ writer network.ExtWriter }

// Write implements io.Writer.
func (c chunkWriter) Write(data []byte) (n int, err error) {
	if n, err = c.writer.Write(data); err != nil {
		return n, err
	}
	return n, c.writer.Flush()
}

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
	streamBufferSize = 16 << 10
	// writeTimeout bounds the time for writing one buffer of a response to the
	// caller.
	writeTimeout = 30 * time.Second
)

// errTruncated makes hertz close the connection, so that the caller notices that
// the response is incomplete.
var errTruncated = errors.New("response truncated")

// responseStream writes a response to the caller while it arrives. It replaces
// the body streaming of hertz, which terminates a chunked body as if it were
// complete when its source fails.
type responseStream struct {
	c        *app.RequestContext
	response *Response
	// onEnd is called once, with true if the response was truncated.
	onEnd func(truncated bool)
}

func newResponseStream(c *app.RequestContext, response *Response, onEnd func(truncated bool)) network.ExtWriter {
	return &responseStream{c: c, response: response, onEnd: onEnd}
}

// Write implements network.ExtWriter. It is not used, because Finalize reads the
// body itself.
func (s *responseStream) Write([]byte) (n int, err error) {
	return 0, errors.ErrUnsupported
}

// Flush implements network.ExtWriter.
func (s *responseStream) Flush() error {
	return nil
}

// Finalize implements network.ExtWriter. It writes the whole response; hertz calls
// it instead of writing the response itself. After an error, hertz closes the
// connection.
func (s *responseStream) Finalize() (err error) {
	defer func() {
		if closeErr := s.response.Body.Close(); err == nil {
			err = closeErr
		}
		s.onEnd(err != nil)
		if err != nil {
			err = fmt.Errorf("%w: %w", errTruncated, err)
		}
	}()
	hertzResponse := &s.c.Response
	if s.c.Request.Header.IsHead() || hertzResponse.MustSkipBody() {
		return s.writeHeadOnly()
	}
	length := s.response.Head.GetBodyLength()
	if length < 0 {
		return s.writeChunks()
	}
	hertzResponse.Header.SetContentLength(int(length))
	w := s.c.GetWriter()
	if err = resp.WriteHeader(&hertzResponse.Header, w); err != nil {
		return err
	}
	sent, err := s.copyBody(flushWriter{w})
	if err == nil && sent != length {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *responseStream) writeHeadOnly() error {
	hertzResponse := &s.c.Response
	if length := s.response.Head.GetBodyLength(); length >= 0 && hertzResponse.StatusCode() != http.StatusNoContent {
		hertzResponse.Header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	return resp.WriteHeader(&hertzResponse.Header, s.c.GetWriter())
}

func (s *responseStream) writeChunks() (err error) {
	w := resp.NewChunkedBodyWriter(&s.c.Response, s.c.GetWriter())
	if _, err = s.copyBody(chunkWriter{w}); err != nil {
		return err
	}
	return w.Finalize()
}

// copyBody copies the body to w, which must flush each write.
func (s *responseStream) copyBody(w io.Writer) (sent int64, err error) {
	buffer := make([]byte, streamBufferSize)
	conn := s.c.GetConn()
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	for {
		n, readErr := s.response.Body.Read(buffer)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// flushWriter flushes after each write.
type flushWriter struct{ writer network.Writer }

// Write implements io.Writer.
func (f flushWriter) Write(data []byte) (n int, err error) {
	if n, err = f.writer.WriteBinary(data); err != nil {
		return n, err
	}
	return n, f.writer.Flush()
}

// chunkWriter writes chunks and flushes after each of them.
type chunkWriter struct{ writer network.ExtWriter }

// Write implements io.Writer.
func (c chunkWriter) Write(data []byte) (n int, err error) {
	if n, err = c.writer.Write(data); err != nil {
		return n, err
	}
	return n, c.writer.Flush()
}

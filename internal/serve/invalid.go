package serve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// protocolPrefix is what every response begins with.
const protocolPrefix = "HTTP/"

// errInvalid means that the upstream sent a response that is invalid, so that the bytes
// after it can't be attributed to any request.
var errInvalid = errors.New("invalid response")

// awaitPrefix waits until a response begins. It fails at the first byte of which no
// response consists. Without it, a line that never ends would be awaited until the
// deadline.
func (c *conn) awaitPrefix() (err error) {
	for n := 1; n <= len(protocolPrefix); n++ {
		data, peekErr := c.reader.Peek(n)
		if !strings.HasPrefix(protocolPrefix, string(data)) {
			return fmt.Errorf("%w: %q where a response is expected", errInvalid, data)
		}
		if peekErr != nil {
			return peekErr
		}
	}
	return nil
}

// classify returns an error of the HTTP library as errInvalid unless the connection failed
// or a limit was exceeded.
func classify(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errHeaderTooLarge) || errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalid, err)
}

// waiting returns the first bytes that the upstream sent and that were not read yet,
// without waiting for any.
func (c *conn) waiting() (data []byte) {
	if n := c.reader.Buffered(); n > 0 {
		data, _ = c.reader.Peek(min(n, len(protocolPrefix)))
		return data
	}
	data = make([]byte, len(protocolPrefix))
	n, _ := c.peekSocket(data)
	return data[:max(n, 0)]
}

// checkHead returns an error if the status line is invalid or an informational response
// announces a body.
func checkHead(response *http.Response) (err error) {
	for _, b := range []byte(response.Status) {
		if b < ' ' && b != '\t' || b == 0x7f {
			return fmt.Errorf("%w: status text %q", errInvalid, response.Status)
		}
	}
	switch status := response.StatusCode; {
	case status == http.StatusContinue, status == http.StatusProcessing, status == http.StatusEarlyHints:
		if announcesBody(response) {
			return fmt.Errorf("%w: status %d with a body", errInvalid, status)
		}
	case !wire.IsFinalStatus(status):
		return fmt.Errorf("%w: status %03d", errInvalid, status)
	}
	return nil
}

// announcesBody reports whether the headers announce a body. The HTTP library ignores them
// if the status allows none.
func announcesBody(response *http.Response) bool {
	for _, length := range response.Header["Content-Length"] {
		if strings.Trim(length, "0") != "" {
			return true
		}
	}
	return len(response.TransferEncoding) > 0 || len(response.Header["Transfer-Encoding"]) > 0
}

// checkNoBody returns an error if a response whose status allows no body is followed by
// one. The body may come later, so the connection is not used again if one is announced. A
// 304 may have the length of another response. Bytes that begin another response are left
// to conn.usable.
func (x *exchange) checkNoBody(response *http.Response) (err error) {
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified {
		return nil
	}
	if announcesBody(response) {
		x.reusable = false
	}
	data := x.conn.waiting()
	if len(data) == 0 || bytes.HasPrefix(data, []byte(protocolPrefix)) {
		return nil
	}
	return fmt.Errorf("%w: status %d with a body", errInvalid, response.StatusCode)
}

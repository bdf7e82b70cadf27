package front

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// continueResponse asks a caller to send the request body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// chunkedLength is the content length that the parser reports for a chunked body.
const chunkedLength = -1

// errUnknownExpectation means that the Expect header of a request is not supported.
var errUnknownExpectation = errors.New("unknown expectation")

// readRequest reads one request including its body.
func (c *connection) readRequest() (request *Request, e *exchange, err error) {
	limits := c.server.limits()
	_ = c.conn.SetReadTimeout(limits.HeaderTimeout)
	var raw protocol.Request
	raw.Header.SetNoDefaultContentType(true)
	if err = req.ReadHeaderWithLimit(&raw.Header, c.conn, limits.MaxHeaderBytes); err != nil {
		return nil, nil, err
	}
	arrived := time.Now()
	_ = c.conn.SetReadTimeout(bodyTimeout)
	if raw.Header.ContentLength() > limits.MaxBodyBytes {
		return nil, nil, errs.ErrBodyTooLarge
	}
	if raw.MayContinue() {
		if _, err = c.conn.Write([]byte(continueResponse)); err != nil {
			return nil, nil, err
		}
	} else if len(raw.Header.Peek("Expect")) > 0 {
		return nil, nil, errUnknownExpectation
	}
	body, err := c.readBody(&raw, int64(limits.MaxBodyBytes))
	if err != nil {
		return nil, nil, err
	}
	if request, err = c.newRequest(&raw, arrived); err != nil {
		body.Release()
	} else {
		request.Body = body
	}
	_ = c.conn.Release()
	return request, &exchange{isHead: raw.Header.IsHead(), closeAfter: raw.Header.ConnectionClose()}, err
}

// newRequest copies a request out of the buffers of the connection, without the
// headers that are not forwarded.
func (c *connection) newRequest(raw *protocol.Request, arrived time.Time) (request *Request, err error) {
	target := string(raw.Header.RequestURI())
	path, _, _ := strings.Cut(target, "?")
	request = &Request{
		Method: string(raw.Header.Method()), Host: string(raw.Header.Host()), Path: path, Target: target,
		Arrived: arrived,
	}
	if request.Host == "" {
		return nil, errors.New("missing Host header")
	}
	if !strings.HasPrefix(target, "/") {
		return nil, errors.New("request target does not start with a slash")
	}
	if wire.HasDelimiter(target) {
		return nil, errors.New("request target with a space or control character")
	}
	var connectionHeaders []string
	raw.Header.VisitAll(func(key, value []byte) {
		if string(key) == "Connection" {
			connectionHeaders = append(connectionHeaders, string(value))
		}
	})
	hopByHop := wire.HopByHop(connectionHeaders)
	fields := make(http.Header)
	raw.Header.VisitAll(func(key, value []byte) {
		name, text := string(key), string(value)
		fields[name] = append(fields[name], text)
		if !hopByHop.Has(name) && name != "Content-Length" && name != "Expect" {
			request.Headers = append(request.Headers, &wire.Header{Name: name, Value: text})
		}
	})
	request.HeaderValue, request.HeaderValues = fields.Get, fields.Values
	return request, nil
}

// readBody reads the body of a request whose header section was read. It returns nil if
// there is none.
func (c *connection) readBody(raw *protocol.Request, limit int64) (body *quota.Body, err error) {
	length := int64(raw.Header.ContentLength())
	if length <= 0 && length != chunkedLength {
		return nil, nil
	}
	source := io.LimitReader(c.conn, length)
	if length == chunkedLength {
		chunked := ext.AcquireBodyStream(&bytebufferpool.ByteBuffer{}, c.conn, raw.Header.Trailer(), chunkedLength)
		defer func() {
			// Releasing a stream that failed would wait for the rest of the body.
			if err == nil {
				_ = ext.ReleaseBodyStream(chunked)
			}
		}()
		source = chunked
	}
	body = cmp.Or(c.server.Memory, &c.server.ownMemory).Hold()
	err = body.Read(source, length, limit)
	var tooLong *quota.TooLongError
	switch {
	case errors.As(err, &tooLong) || err == nil && body.Len() > limit:
		err = errs.ErrBodyTooLarge
	case err == nil && length >= 0 && body.Len() < length:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

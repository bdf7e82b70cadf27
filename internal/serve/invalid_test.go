package serve

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// invalidUpstream starts an upstream that sends the invalid bytes at once as the response
// to the request "bad", and a valid response to any other. The channel receives, for the
// connection of that request, what the upstream reads on it afterwards, until it is closed.
func invalidUpstream(t *testing.T, invalid string) (address netip.AddrPort, after <-chan string) {
	rest := make(chan string, 1)
	address = serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if id := request.Header.Get("Request"); id != "bad" {
				_, _ = io.WriteString(conn, rawResponse(id, "s", "good"))
				continue
			}
			_, _ = io.WriteString(conn, invalid)
			data, _ := io.ReadAll(reader)
			rest <- string(data)
			return
		}
	})
	return address, rest
}

// identifyingCodec sends the ID of the request to the upstream.
type identifyingCodec struct{ testCodec }

func (c identifyingCodec) SetRequestHeaders(header http.Header, head *wire.CallHead, instance string, remaining time.Duration) {
	c.testCodec.SetRequestHeaders(header, head, instance, remaining)
	header.Set("Request", head.GetId())
}

// doWithID makes a call with the ID and the method.
func doWithID(ctx context.Context, h *Handler, id, method string) (status int, body string, err error) {
	head := callHead("")
	head.Id, head.Method = id, method
	reply, body, err := do(ctx, h, head, "")
	if err != nil {
		return 0, "", err
	}
	return int(reply.Head.GetStatus()), body, nil
}

// responses that an upstream may send after an invalid one.
var followers = []struct{ name, bytes string }{
	{name: "nothing"},
	{name: "the true response", bytes: rawResponse("bad", "s", "true")},
	{name: "the response to another request", bytes: rawResponse("other", "s", "theirs")},
}

// TestInvalidResponseEndsTheExchange guards against invalid responses that are skipped, so
// that what follows is read as the response or the request waits until its deadline, and
// against those that reach the caller. Each is sent on a new connection and on a kept one.
func TestInvalidResponseEndsTheExchange(t *testing.T) {
	const headers = "Id: bad\r\nSignature: s\r\n"
	sized := headers + "Content-Length: 2\r\n\r\n"
	tests := []struct{ name, invalid string }{
		{name: "status 000", invalid: "HTTP/1.1 000 None\r\n" + sized + "hi"},
		{name: "status 000 without headers", invalid: "HTTP/1.1 000 None\r\n\r\n"},
		{name: "status 001", invalid: "HTTP/1.1 001 One\r\n\r\n"},
		{name: "status 099", invalid: "HTTP/1.1 099 Low\r\n" + sized + "hi"},
		{name: "status 101", invalid: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"},
		{name: "status 104", invalid: "HTTP/1.1 104 Upload\r\n\r\n"},
		{name: "status 150", invalid: "HTTP/1.1 150 Odd\r\n\r\n"},
		{name: "status 199", invalid: "HTTP/1.1 199 Odd\r\n\r\n"},
		{name: "status 600", invalid: "HTTP/1.1 600 High\r\n" + sized + "hi"},
		{name: "status 999", invalid: "HTTP/1.1 999 High\r\n" + sized + "hi"},
		{name: "status with a sign", invalid: "HTTP/1.1 +99 Sign\r\n\r\n"},
		{name: "NUL in the status text", invalid: "HTTP/1.1 200 O\x00K\r\n" + sized + "hi"},
		{name: "escape in the status text", invalid: "HTTP/1.1 200 \x1b[31m\r\n" + sized + "hi"},
		{name: "carriage return in the status text", invalid: "HTTP/1.1 200 O\rK\r\n" + sized + "hi"},
		{name: "delete in the status text", invalid: "HTTP/1.1 404 \x7f\r\n" + sized + "hi"},
		{name: "control byte in an informational status text", invalid: "HTTP/1.1 100 \x01\r\n\r\n"},
		{name: "100 with a length", invalid: "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "103 with a length of which nothing comes", invalid: "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n"},
		{name: "102 in chunks", invalid: "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{name: "103 with bytes after it", invalid: "HTTP/1.1 103 Early Hints\r\n\r\nhi"},
		{name: "103 with a line after it", invalid: "HTTP/1.1 103 Early Hints\r\n\r\nhi\r\n"},
		{name: "204 with a body", invalid: "HTTP/1.1 204 No Content\r\n" + sized + "hi"},
		{name: "204 with bytes after it", invalid: "HTTP/1.1 204 No Content\r\n" + headers + "\r\nhi"},
		{name: "304 with a body", invalid: "HTTP/1.1 304 Not Modified\r\n" + sized + "hi"},
		{name: "304 in chunks", invalid: "HTTP/1.1 304 Not Modified\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{name: "bytes that are no response", invalid: "hi"},
	}
	for _, tt := range tests {
		testInvalidResponse(t, tt.name, tt.invalid)
	}
}

// TestInvalidFieldNameEndsTheExchange guards against responses that are taken although a field
// name holds a blank or a control byte: the line reaches the caller, as a field or as a part of
// the one before it, or the body is not that of the upstream.
func TestInvalidFieldNameEndsTheExchange(t *testing.T) {
	const start, identity = "HTTP/1.1 200 OK\r\n", "Id: bad\r\nSignature: s\r\n"
	bytes := []struct{ name, value string }{
		{name: "space", value: " "},
		{name: "tab", value: "\t"},
		{name: "line feed", value: "\n"},
		{name: "carriage return", value: "\r"},
		{name: "NUL", value: "\x00"},
		{name: "escape", value: "\x1b"},
		{name: "unit separator", value: "\x1f"},
		{name: "delete", value: "\x7f"},
	}
	positions := []struct{ name, response string }{
		{name: "before the first name", response: start + "?Odd: 1\r\n" + identity + "Content-Length: 2\r\n\r\nhi"},
		{name: "before a name", response: start + identity + "Content-Length: 2\r\n?Odd: 1\r\n\r\nhi"},
		{name: "in a name", response: start + identity + "O?dd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "after a name", response: start + identity + "Odd?: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "instead of a name", response: start + identity + "?: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "before that of the length", response: start + identity + "?Content-Length: 2\r\n\r\nhi"},
		{name: "in that of the length", response: start + identity + "Content?Length: 2\r\n\r\nhi"},
		{name: "after that of the length", response: start + identity + "Content-Length?: 2\r\n\r\nhi"},
		{name: "after that of the encoding", response: start + identity + "Transfer-Encoding?: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{name: "in a failure", response: "HTTP/1.1 500 Failed\r\nO?dd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "in a refusal", response: "HTTP/1.1 503 Busy\r\nId: bad\r\nNot-Run: 1\r\nOdd?: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "in an informational response", response: "HTTP/1.1 103 Early Hints\r\nLink?: x\r\n\r\n" + rawResponse("bad", "s", "true")},
		{name: "in a response to another request", response: start + "Id: other\r\nSignature: s\r\nO?dd: 1\r\nContent-Length: 2\r\n\r\nhi" + rawResponse("bad", "s", "true")},
	}
	for _, p := range positions {
		for _, b := range bytes {
			testInvalidResponse(t, p.name+", "+b.name, strings.Replace(p.response, "?", b.value, 1))
		}
	}
}

// testInvalidResponse tests that an invalid response ends its call and its connection, on a new
// connection and on a kept one.
func testInvalidResponse(t *testing.T, name, invalid string) {
	for _, f := range followers {
		for _, kept := range []bool{false, true} {
			fullName := name + ", then " + f.name
			if kept {
				fullName += ", on a kept connection"
			}
			t.Run(fullName, func(t *testing.T) {
				address, after := invalidUpstream(t, invalid+f.bytes)
				h := &Handler{Gate: newGate(4), Headers: identifyingCodec{}}
				h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
				t.Cleanup(func() { h.SetTarget(Target{}) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if kept {
					_, body, err := doWithID(ctx, h, "before", http.MethodGet)
					assert.NilError(t, err)
					assert.Equal(t, body, "good")
				}
				status, body, err := doWithID(ctx, h, "bad", http.MethodGet)
				assert.NilError(t, ctx.Err())
				var callErr *peer.CallError
				assert.Assert(t, errors.As(err, &callErr), "status %d, body %q, error %v", status, body, err)
				assert.Equal(t, callErr.Outcome, peer.Unknown)
				assert.Equal(t, callErr.Reason, ReasonInvalidResponse)
				assert.Equal(t, <-after, "")
				_, body, err = doWithID(ctx, h, "after", http.MethodGet)
				assert.NilError(t, err)
				assert.Equal(t, body, "good")
			})
		}
	}
}

// TestUnusualResponseIsAnAnswer guards against a check that refuses responses which are
// valid.
func TestUnusualResponseIsAnAnswer(t *testing.T) {
	const headers = "Id: bad\r\nSignature: s\r\n"
	tests := []struct {
		name, response, method string
		status                 int
		body                   string
		// closed is true if the connection must not be used again.
		closed bool
	}{
		{name: "after 100, 102 and 103", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + rawResponse("bad", "s", "true"), status: 200, body: "true"},
		{name: "after 100 with a length of zero", response: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + rawResponse("bad", "s", "true"), status: 200, body: "true"},
		{name: "status text with a tab and other letters", response: "HTTP/1.1 200 O\tK \xfc\r\n" + headers + "Content-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		{name: "lines that end with a line feed", response: "HTTP/1.1 200 OK\nId: bad\nSignature: s\nContent-Length: 2\n\nhi", status: 200, body: "hi"},
		{name: "all letters of a name", response: "HTTP/1.1 200 OK\r\n" + headers + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		{name: "blanks and colons in values", response: "HTTP/1.1 200 OK\r\n" + headers + "A:\r\nB: \t x\t:y \r\nContent-Length:2 \r\n\r\nhi", status: 200, body: "hi"},
		{name: "blank lines in the body", response: "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 8\r\n\r\n\r\n x\n\ny:", status: 200, body: "\r\n x\n\ny:"},
		{name: "long head", response: "HTTP/1.1 200 OK\r\n" + headers + strings.Repeat("A-Long-Name: and its value\r\n", 1000) + "Content-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		{name: "no status text", response: "HTTP/1.1 200 \r\n" + headers + "Content-Length: 2\r\n\r\nhi", status: 200, body: "hi"},
		{name: "204", response: "HTTP/1.1 204 No Content\r\n" + headers + "\r\n", status: 204},
		{name: "204 with a length of zero", response: "HTTP/1.1 204 No Content\r\n" + headers + "Content-Length: 0\r\n\r\n", status: 204},
		{name: "304", response: "HTTP/1.1 304 Not Modified\r\n" + headers + "\r\n", status: 304},
		{name: "304 with the length of another response", response: "HTTP/1.1 304 Not Modified\r\n" + headers + "Content-Length: 9\r\n\r\n", status: 304, closed: true},
		{name: "304 before the response to another request", response: "HTTP/1.1 304 Not Modified\r\n" + headers + "\r\n" + rawResponse("other", "s", "theirs"), status: 304, closed: true},
		{name: "200 to HEAD", method: http.MethodHead, response: "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 9\r\n\r\n", status: 200},
		{name: "300", response: "HTTP/1.1 300 Multiple Choices\r\n" + headers + "Content-Length: 2\r\n\r\nhi", status: 300, body: "hi"},
		{name: "499", response: "HTTP/1.1 499 Odd\r\n" + headers + "Content-Length: 2\r\n\r\nhi", status: 499, body: "hi"},
		{name: "599", response: "HTTP/1.1 599 Odd\r\n" + headers + "Content-Length: 2\r\n\r\nhi", status: 599, body: "hi"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var connections atomic.Int32
			address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
				connections.Add(1)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					response := tt.response
					if id := request.Header.Get("Request"); id != "bad" {
						response = rawResponse(id, "s", "good")
					}
					_, _ = io.WriteString(conn, response)
				}
			})
			h := &Handler{Gate: newGate(4), Headers: identifyingCodec{}}
			h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			status, body, err := doWithID(ctx, h, "bad", cmp.Or(tt.method, http.MethodGet))
			assert.NilError(t, err)
			assert.Equal(t, status, tt.status)
			assert.Equal(t, body, tt.body)
			_, body, err = doWithID(ctx, h, "after", http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, body, "good")
			assert.Equal(t, connections.Load() == 2, tt.closed)
		})
	}
}

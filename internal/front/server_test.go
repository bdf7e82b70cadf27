package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// echoHandler responds to each request with its method, target, one header and body,
// after the channel of its path is closed.
type echoHandler struct {
	// started receives the path of each request.
	started chan string
	// release holds the channels that delay responses, by path.
	release map[string]chan struct{}
	// canceled receives the path of each request whose caller disconnected.
	canceled chan string
}

func newEchoHandler(held ...string) *echoHandler {
	p := &echoHandler{started: make(chan string, 64), release: make(map[string]chan struct{}), canceled: make(chan string, 64)}
	for _, path := range held {
		p.release[path] = make(chan struct{})
	}
	return p
}

// Handle implements front.Handler.
func (p *echoHandler) Handle(ctx context.Context, request *front.Request) *front.Response {
	p.started <- request.Path
	if wait := p.release[request.Path]; wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
			p.canceled <- request.Path
		}
	}
	body := fmt.Sprintf("%s %s %s %s", request.Method, request.Target, request.HeaderValue("x-one"), request.Body.Bytes())
	return &front.Response{Status: http.StatusOK, Body: []byte(body), Length: int64(len(body)), Headers: []*wire.Header{
		{Name: "Passed", Value: fmt.Sprint(len(request.Headers))},
	}}
}

// HandleMalformed implements front.Handler.
func (p *echoHandler) HandleMalformed(status int, reason string) *front.Response {
	return &front.Response{Status: status, Body: []byte(reason), Length: int64(len(reason))}
}

// startServer starts the server and returns a function that connects to it.
func startServer(t *testing.T, f *front.Server) (dial func() (net.Conn, *bufio.Reader)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := f.NewHTTPServer(listener)
	ended := make(chan error, 1)
	go func() { ended <- h.Run() }()
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		f.StopReading()
		<-ended
	})
	return func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
}

// readResponse reads the next response of a connection.
func readResponse(t *testing.T, reader *bufio.Reader) (response *http.Response, body string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(data)
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n"
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	handler := newEchoHandler("/slow", "/slower")
	dial := startServer(t, &front.Server{Handler: handler})
	conn, reader := dial()
	_, err := io.WriteString(conn, getRequest("/slower")+getRequest("/slow")+getRequest("/quick"))
	assert.NilError(t, err)
	seen := map[string]bool{}
	for range 3 {
		seen[<-handler.started] = true
	}
	assert.Assert(t, seen["/slower"] && seen["/slow"] && seen["/quick"])
	close(handler.release["/slow"])
	close(handler.release["/slower"])
	for _, path := range []string{"/slower", "/slow", "/quick"} {
		_, body := readResponse(t, reader)
		assert.Equal(t, body, "GET "+path+"  ")
	}
}

func TestPassesRequestsUnchanged(t *testing.T) {
	tests := []struct {
		name string
		raw  string
		want string
	}{
		{name: "target with query and escapes", raw: getRequest("/a%2Fb/?x=%20&y"), want: "GET /a%2Fb/?x=%20&y  "},
		{name: "header", raw: "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n\r\n", want: "GET / 1 "},
		{name: "body with Content-Length", raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", want: "POST /  body"},
		{name: "chunked body", raw: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", want: "POST /  body"},
		{name: "Content-Length and chunked", raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", want: "POST /  body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dial := startServer(t, &front.Server{Handler: newEchoHandler()})
			conn, reader := dial()
			_, err := io.WriteString(conn, tt.raw)
			assert.NilError(t, err)
			_, body := readResponse(t, reader)
			assert.Equal(t, body, tt.want)
		})
	}
}

func TestMalformedRequestsCloseOnlyTheirConnection(t *testing.T) {
	limits := func() front.Limits {
		return front.Limits{MaxHeaderBytes: 400, MaxBodyBytes: 10, HeaderTimeout: 100 * time.Millisecond}
	}
	tests := []struct {
		name string
		raw  string
		want int
	}{
		{name: "no request line", raw: "hello\r\n\r\n", want: http.StatusBadRequest},
		{name: "no host", raw: "GET / HTTP/1.1\r\n\r\n", want: http.StatusBadRequest},
		{name: "control character in the target", raw: "GET /a\x0bb HTTP/1.1\r\nHost: a\r\n\r\n", want: http.StatusBadRequest},
		{name: "space in the target", raw: "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", want: http.StatusBadRequest},
		{name: "absolute target", raw: "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", want: http.StatusBadRequest},
		{name: "header section too large", raw: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 500) + "\r\n\r\n", want: http.StatusRequestHeaderFieldsTooLarge},
		{name: "body too large", raw: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world", want: http.StatusRequestEntityTooLarge},
		{name: "slow header section", raw: "GET / HTTP/1.1\r\nHost", want: http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dial := startServer(t, &front.Server{Handler: newEchoHandler(), Limits: limits})
			other, otherReader := dial()
			conn, reader := dial()
			_, err := io.WriteString(conn, tt.raw)
			assert.NilError(t, err)
			response, _ := readResponse(t, reader)
			assert.Equal(t, response.StatusCode, tt.want)
			assert.Assert(t, response.Close)
			_, err = io.WriteString(other, getRequest("/"))
			assert.NilError(t, err)
			response, _ = readResponse(t, otherReader)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

func TestDisconnectCancelsRequests(t *testing.T) {
	handler := newEchoHandler("/one", "/two")
	dial := startServer(t, &front.Server{Handler: handler})
	conn, _ := dial()
	_, err := io.WriteString(conn, getRequest("/one")+getRequest("/two"))
	assert.NilError(t, err)
	<-handler.started
	<-handler.started
	assert.NilError(t, conn.Close())
	seen := map[string]bool{<-handler.canceled: true, <-handler.canceled: true}
	assert.Assert(t, seen["/one"] && seen["/two"])
}

func TestStopReadingFinishesAcceptedRequests(t *testing.T) {
	handler := newEchoHandler("/held")
	f := &front.Server{Handler: handler}
	dial := startServer(t, f)
	idle, idleReader := dial()
	_, err := io.WriteString(idle, getRequest("/first"))
	assert.NilError(t, err)
	readResponse(t, idleReader)
	busy, busyReader := dial()
	_, err = io.WriteString(busy, getRequest("/held"))
	assert.NilError(t, err)
	<-handler.started
	assert.Equal(t, <-handler.started, "/held")
	f.StopReading()
	_, err = idleReader.ReadByte()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	_, err = io.WriteString(busy, getRequest("/late"))
	assert.NilError(t, err)
	close(handler.release["/held"])
	response, body := readResponse(t, busyReader)
	assert.Equal(t, body, "GET /held  ")
	assert.Assert(t, response.Close)
	_, err = busyReader.ReadByte()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	select {
	case path := <-handler.started:
		t.Fatalf("%s was accepted after the stop", path)
	default:
	}
}

func TestDrainingServerClosesConnections(t *testing.T) {
	dial := startServer(t, &front.Server{Handler: newEchoHandler(), Draining: func() bool { return true }})
	conn, reader := dial()
	_, err := io.WriteString(conn, getRequest("/"))
	assert.NilError(t, err)
	response, _ := readResponse(t, reader)
	assert.Assert(t, response.Close)
}

// largeHandler responds with a body that is scheduled on the network link, due after a
// given time.
type largeHandler struct{ due time.Duration }

// Handle implements front.Handler.
func (h largeHandler) Handle(context.Context, *front.Request) *front.Response {
	body := make([]byte, 2*egress.LargeMessageBytes)
	return &front.Response{Status: http.StatusOK, Body: body, Length: int64(len(body)), SendBy: time.Now().Add(h.due)}
}

// HandleMalformed implements front.Handler.
func (h largeHandler) HandleMalformed(status int, _ string) *front.Response {
	return &front.Response{Status: status}
}

// TestLargeResponseIsSentWhenDue guards against a response that waits for the network
// link beyond the timeout of its request.
func TestLargeResponseIsSentWhenDue(t *testing.T) {
	// The counted bytes keep the link busy for hours.
	link := &egress.Link{}
	link.SetRate(1)
	link.BytesWritten(1 << 20)
	dial := startServer(t, &front.Server{Handler: largeHandler{due: 100 * time.Millisecond}, Link: link})
	conn, reader := dial()
	_, err := io.WriteString(conn, getRequest("/large"))
	assert.NilError(t, err)
	response, body := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), 2*egress.LargeMessageBytes)
}

// TestRequestBodiesShareTheirMemory guards against request bodies that take the process
// over its memory, which ends the requests of everybody else. One that finds no room is
// refused as not run, and the others are served.
func TestRequestBodiesShareTheirMemory(t *testing.T) {
	const limit = 2 << 20
	large := strings.Repeat("b", 3<<20)
	tests := []struct {
		name, head, body string
		status           int
	}{
		{name: "small", head: "Content-Length: 4", body: "body", status: http.StatusOK},
		{name: "small in chunks", head: "Transfer-Encoding: chunked", body: "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", status: http.StatusOK},
		{name: "large", head: fmt.Sprintf("Content-Length: %d", len(large)), body: large, status: http.StatusServiceUnavailable},
		{name: "large in chunks", head: "Transfer-Encoding: chunked", body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(large), large), status: http.StatusServiceUnavailable},
		{name: "longer than the limit", head: fmt.Sprintf("Content-Length: %d", 9<<20), status: http.StatusRequestEntityTooLarge},
	}
	memory := &quota.Memory{}
	memory.SetLimit(limit)
	handler := newEchoHandler()
	dial := startServer(t, &front.Server{Handler: handler, Memory: memory})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, reader := dial()
			go func() {
				_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a.example\r\n"+tt.head+"\r\n\r\n"+tt.body)
			}()
			response, body := readResponse(t, reader)
			assert.Equal(t, response.StatusCode, tt.status)
			if tt.status == http.StatusOK {
				assert.Equal(t, body, "POST /x  body")
				// The next request on the connection starts where the body ended.
				_, err := io.WriteString(conn, getRequest("/y"))
				assert.NilError(t, err)
				_, body = readResponse(t, reader)
				assert.Equal(t, body, "GET /y  ")
			}
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}

// statusHandler responds with the status.
type statusHandler int

func (h statusHandler) Handle(context.Context, *front.Request) *front.Response {
	return &front.Response{Status: int(h), Body: []byte("body"), Length: 4}
}

func (h statusHandler) HandleMalformed(status int, _ string) *front.Response {
	return &front.Response{Status: status}
}

// TestInvalidStatusNeverReachesTheCaller guards against a status that no client can parse,
// or that it takes for an informational response and waits for another.
func TestInvalidStatusNeverReachesTheCaller(t *testing.T) {
	tests := []struct {
		status, want int
		body         string
	}{
		{status: 0, want: 502},
		{status: 99, want: 502},
		{status: 100, want: 502},
		{status: 101, want: 502},
		{status: 199, want: 502},
		{status: 200, want: 200, body: "body"},
		{status: 599, want: 599, body: "body"},
		{status: 600, want: 502},
		{status: 1000, want: 502},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.status), func(t *testing.T) {
			conn, reader := startServer(t, &front.Server{Handler: statusHandler(tt.status)})()
			for range 2 {
				_, err := io.WriteString(conn, getRequest("/"))
				assert.NilError(t, err)
				response, body := readResponse(t, reader)
				assert.Equal(t, response.StatusCode, tt.want)
				assert.Equal(t, body, tt.body)
			}
		})
	}
}

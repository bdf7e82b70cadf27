package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// timeLimit is how long a caller waits for an answer.
	timeLimit = 2 * time.Second
	// pauseTime is the mean time between two requests of a caller.
	pauseTime = 30 * time.Millisecond
	// keepRequests is how many requests a caller makes on a connection at most.
	keepRequests = 200
)

// caller sends requests to one node, one after the other, and keeps its
// connection until the node closes it.
type caller struct {
	name   string
	node   *node
	ledger *ledger
	random *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	used   int
	serial int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Duration(c.random.Int64N(2 * int64(pauseTime))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if c.conn == nil && !c.open() {
			continue
		}
		c.ask()
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// open connects to the node, unless the platform sends it no new work.
func (c *caller) open() bool {
	if !c.node.takesWork() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.node.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return true
}

// request makes up the next request.
func (c *caller) request() (told story, path string, request *http.Request) {
	c.serial++
	told = story{id: fmt.Sprintf("%s.%d", c.name, c.serial), node: c.node.host}
	method, body := http.MethodGet, io.Reader(nil)
	switch draw := c.random.IntN(100); {
	case draw < 55:
		told.kind, path = safe, "/s/"
	case draw < 80:
		told.kind, path, method = unsafe, "/u/", http.MethodPost
		body = bytes.NewReader(bytes.Repeat([]byte{byte(c.serial)}, c.random.IntN(2000)))
		if c.serial%2 == 0 {
			// Without a length the body is sent in chunks.
			body = io.MultiReader(body)
		}
	case draw < 90:
		told.kind, path = download, "/p/"
	default:
		told.kind, path = safe, "/m/"
	}
	path += told.id
	request, err := http.NewRequest(method, "http://"+c.node.callers+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", told.id)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	return told, path, request
}

// ask sends one request and notes its end.
func (c *caller) ask() {
	told, path, request := c.request()
	sent := &bytes.Buffer{}
	_ = c.conn.SetDeadline(time.Now().Add(timeLimit))
	if request.Body != nil {
		data, _ := io.ReadAll(request.Body)
		sent.Write(data)
		length := request.ContentLength
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(data)), length
	}
	err := request.Write(c.conn)
	told.sent = time.Now()
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		if err == nil {
			told.status = response.StatusCode
			c.check(told, path, request.Method, sent.Bytes(), response, body)
		}
	}
	told.ended = time.Now()
	c.ledger.ended(told)
	c.used++
	if err != nil || response.Close || c.used >= keepRequests {
		c.drop()
	}
}

// check notes an answer that is not this request's own.
func (c *caller) check(told story, path, method string, sent []byte, response *http.Response, body []byte) {
	if id := response.Header.Get("X-Request-Id"); id != "" && id != told.id {
		c.ledger.breach("%s got the answer to %s", told.id, id)
		return
	}
	seal := response.Header.Get("X-Response-Signature")
	switch {
	case response.StatusCode == http.StatusOK:
		instance, _, _ := strings.Cut(string(body), " ")
		want := answerOf(instance, told.id, method, path, sent)
		if !bytes.Equal(body, want) || seal != sealOf(told.id, want) {
			c.ledger.breach("%s got another answer than its own: %.80q, seal %q", told.id, body, seal)
		}
	case response.StatusCode == http.StatusNotFound:
		c.ledger.breach("%s for %s got 404", told.id, path)
	case seal != "":
		c.ledger.breach("%s got %d with the seal of an upstream", told.id, response.StatusCode)
	}
}

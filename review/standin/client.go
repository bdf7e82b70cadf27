package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             []byte
	timeout          time.Duration
	sent, answered   time.Time
	// status is 0 if there was no complete answer.
	status int
	err    error
}

func newRequest(method, path string, body []byte, timeout time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, body: body, timeout: timeout}
}

func (q *request) encode() []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n", q.method, q.path, host, q.id, q.timeout.Milliseconds())
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return append([]byte(head+"\r\n"), q.body...)
}

// client keeps one connection to a proxy.
type client struct {
	record  *record
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends the request and waits for its whole answer, until the client's time limit.
func (c *client) do(q *request) {
	if c.conn == nil {
		if c.conn, q.err = net.DialTimeout("tcp", c.address, time.Second); q.err != nil {
			c.conn = nil
			return
		}
		c.reader = bufio.NewReader(c.conn)
	}
	q.sent = time.Now()
	c.record.line("client sends %s %s %s to %s", q.id, q.method, q.path, c.address)
	_ = c.conn.SetDeadline(q.sent.Add(q.timeout))
	_, q.err = c.conn.Write(q.encode())
	var response *http.Response
	if q.err == nil {
		response, q.err = http.ReadResponse(c.reader, nil)
	}
	if q.err == nil {
		var body bytes.Buffer
		_, q.err = io.Copy(&body, response.Body)
	}
	q.answered = time.Now()
	if q.err != nil {
		c.record.line("client has no answer to %s after %d ms: %v", q.id, q.answered.Sub(q.sent).Milliseconds(), q.err)
		c.close()
		return
	}
	q.status = response.StatusCode
	c.record.line("client gets %d for %s after %d ms", q.status, q.id, q.answered.Sub(q.sent).Milliseconds())
	if response.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

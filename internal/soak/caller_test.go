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
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 2 * time.Second
	// meanRequestInterval is the mean pause between two requests of a caller.
	meanRequestInterval = 30 * time.Millisecond
	// maxRequestsPerConn is how many requests a caller sends on one connection.
	maxRequestsPerConn = 200
)

// caller sends requests to one node, one at a time, and reuses its connection
// until the node closes it or maxRequestsPerConn is reached.
type caller struct {
	name     string
	node     *node
	recorder *recorder
	random   *rand.Rand

	conn           net.Conn
	reader         *bufio.Reader
	requestsOnConn int
	lastSerial     int
}

// run sends requests until the context is cancelled.
func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Duration(c.random.Int64N(2 * int64(meanRequestInterval))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.sendRequest()
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to the node, unless its readiness check fails.
func (c *caller) connect() bool {
	if !c.node.inRotation() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.node.callerAddress, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.requestsOnConn = conn, bufio.NewReader(conn), 0
	return true
}

// newRequest generates the next request, with a random kind and body.
func (c *caller) newRequest() (record requestRecord, path string, request *http.Request) {
	c.lastSerial++
	record = requestRecord{id: fmt.Sprintf("%s.%d", c.name, c.lastSerial), node: c.node.host}
	method, body := http.MethodGet, io.Reader(nil)
	switch n := c.random.IntN(100); {
	case n < keyedPercent:
		record.kind, path, record.keyed = safe, "/k/", true
		record.keyVersion = c.node.harness.randomKeyVersion(c.random)
	case n < 55:
		record.kind, path = safe, "/s/"
	case n < 80:
		record.kind, path, method = unsafe, "/u/", http.MethodPost
		body = bytes.NewReader(bytes.Repeat([]byte{byte(c.lastSerial)}, c.random.IntN(2000)))
		if c.lastSerial%2 == 0 {
			// Hides the length, so that the body is sent chunked.
			body = io.MultiReader(body)
		}
	case n < 90:
		record.kind, path = download, "/p/"
	default:
		record.kind, path = safe, "/m/"
	}
	path += record.id
	request, err := http.NewRequest(method, "http://"+c.node.callerAddress+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", record.id)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if record.keyed {
		request.Header.Set("Api-Key", keyOf(record.keyVersion))
	}
	return record, path, request
}

// sendRequest sends one request and records how it ended.
func (c *caller) sendRequest() {
	record, path, request := c.newRequest()
	sent := &bytes.Buffer{}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	if request.Body != nil {
		data, _ := io.ReadAll(request.Body)
		sent.Write(data)
		length := request.ContentLength
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(data)), length
	}
	record.began = time.Now()
	err := request.Write(c.conn)
	record.sent = time.Now()
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		if err == nil {
			record.status = response.StatusCode
			c.checkResponse(record, path, request.Method, sent.Bytes(), response, body)
		}
	}
	record.ended = time.Now()
	c.recorder.recordEnd(record)
	c.requestsOnConn++
	if err != nil || response.Close || c.requestsOnConn >= maxRequestsPerConn {
		c.closeConn()
	}
}

// checkResponse records a violation if the response belongs to another request,
// or was altered.
func (c *caller) checkResponse(record requestRecord, path, method string, sent []byte, response *http.Response, body []byte) {
	if id := response.Header.Get("X-Request-Id"); id != "" && id != record.id {
		c.recorder.violation("%s got the response to %s", record.id, id)
		return
	}
	signed := response.Header.Get("X-Response-Signature")
	switch {
	case response.StatusCode == http.StatusOK:
		instance, _, _ := strings.Cut(string(body), " ")
		want := responseBody(instance, record.id, method, path, sent)
		if !bytes.Equal(body, want) || signed != signature(record.id, want) {
			c.recorder.violation("%s got a response that is not its own: %.80q, signature %q", record.id, body, signed)
		}
	case response.StatusCode == http.StatusNotFound:
		c.recorder.violation("%s for %s got 404", record.id, path)
	case signed != "":
		c.recorder.violation("%s got %d with the signature of an upstream", record.id, response.StatusCode)
	}
}

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Answer is what a client saw of one request.
type Answer struct {
	ID, Sig string
	Status  int
	Err     error
	Took    time.Duration
}

// exchange sends the request of the answer's ID and reads the answer.
func (a *Answer) exchange(c net.Conn, method, target, host string, timeoutMS int, extra string, body []byte) {
	start := time.Now()
	defer func() { a.Took = time.Since(start) }()
	_ = c.SetDeadline(start.Add(time.Duration(timeoutMS) * time.Millisecond))
	length := ""
	if body != nil {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n%s%s\r\n%s", method, target, host, a.ID, timeoutMS, extra, length, body)
	if _, a.Err = io.WriteString(c, text); a.Err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.Status, a.Sig = response.StatusCode, response.Header.Get("X-Response-Signature")
	_, a.Err = io.Copy(io.Discard, response.Body)
}

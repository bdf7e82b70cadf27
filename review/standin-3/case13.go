package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// pausedReader doesn't read for a while from a connection on which a large response comes.
func pausedReader(r *rig) (broken bool, err error) {
	const (
		requests = 6
		pause    = 3 * time.Second
		// tolerated is how many answers may be lost on connections that the proxy closes.
		tolerated = 3
		// fileBytes is the size of the largest downloads.
		fileBytes = 6 * largeBody
		timeLimit = 8 * time.Second
	)
	serve := func(_ *upstream, conn net.Conn, request *http.Request, _ []byte) bool {
		id, body := request.Header.Get("X-Request-Id"), bytes.Repeat([]byte("x"), 300)
		if request.URL.Path == "/fetch/file" {
			body = bytes.Repeat([]byte("x"), fileBytes)
		}
		r.note("ran: %s", id)
		return write(conn, header(id, body)+"\r\n"+string(body))
	}
	if err = r.startPair(serve, route{"/fetch/", "download", "8000ms"}); err != nil {
		return false, err
	}
	lost := 0
	for i := range requests {
		conn, reader, dialErr := dial(r.machines[0])
		if dialErr != nil {
			return false, dialErr
		}
		_ = conn.SetDeadline(time.Now().Add(timeLimit))
		fault := r.fetch(conn, reader, i, pause, timeLimit)
		_ = conn.Close()
		if fault != nil {
			lost++
			r.note("lost: %v", fault)
		}
	}
	r.note("%d of %d answers were broken off", lost, requests)
	return lost > tolerated, nil
}

// fetch sends two requests on a kept connection, the second for a large file, and pauses
// before it reads the file if there is to be trouble.
func (r *rig) fetch(conn net.Conn, reader *bufio.Reader, i int, pause, timeLimit time.Duration) (fault error) {
	first, second := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
	write(conn, requestHead(http.MethodGet, "/fetch/small", first, timeLimit))
	if fault = r.expect(reader, first); fault != nil {
		return fault
	}
	r.note("sent: %s GET /fetch/file", second)
	write(conn, requestHead(http.MethodGet, "/fetch/file", second, timeLimit))
	if r.trouble {
		time.Sleep(pause)
	}
	return r.expect(reader, second)
}

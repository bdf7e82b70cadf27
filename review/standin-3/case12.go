package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// oldVersionChunked lets an upstream send a share of its responses as HTTP/1.0 with chunks.
func oldVersionChunked(r *rig) (broken bool, err error) {
	const (
		requests = 400
		// spoiledEvery is the interval of spoiled responses: just under 2% of them.
		spoiledEvery = 51
		timeLimit    = 3 * time.Second
	)
	var answered atomic.Int64
	serve := func(_ *upstream, conn net.Conn, request *http.Request, _ []byte) bool {
		id, body := request.Header.Get("X-Request-Id"), bytes.Repeat([]byte("x"), 300)
		r.note("ran: %s", id)
		if n := answered.Add(1); !r.trouble || n%spoiledEvery != 0 {
			return write(conn, header(id, body)+"\r\n"+string(body))
		}
		r.note("spoiled: %s", id)
		write(conn, fmt.Sprintf("HTTP/1.0 200 OK\r\nX-Request-Id: %s\r\nX-Response-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			id, signatureOf(id, body), len(body), body))
		return false
	}
	if err = r.startPair(serve, route{"/view/", "safe", "1200ms"}, route{"/order/", "unsafe", "1500ms"}); err != nil {
		return false, err
	}
	faults := 0
	for i := range requests {
		method, path, further := http.MethodGet, "/view/1", []string{}
		if i%2 == 1 {
			method, path, further = http.MethodPost, "/order/1", []string{"Content-Length: 0"}
		}
		conn, reader, dialErr := dial(r.machines[0])
		if dialErr != nil {
			return false, dialErr
		}
		_ = conn.SetDeadline(time.Now().Add(timeLimit))
		id := strings.Trim(path, "/1") + fmt.Sprint(i)
		r.note("sent: %s", id)
		write(conn, requestHead(method, path, id, timeLimit, further...))
		if fault := r.expect(reader, id); fault != nil {
			faults++
			r.note("answered wrongly: %v", fault)
		}
		_ = conn.Close()
	}
	r.note("%d of %d requests got a success with a body that isn't the upstream's", faults, requests)
	return faults > 0, nil
}

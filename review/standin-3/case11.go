package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// largeBody is the mean size of a download.
	largeBody = 90_000
	// firstBehind is the shortest time after the first request at which the second one is
	// sent. It grows by behindStep from connection to connection, behindSteps times.
	firstBehind, behindStep, behindSteps = 20 * time.Millisecond, 10 * time.Millisecond, 8
	// continueWait is how long the client waits for the interim response before it sends the
	// body all the same.
	continueWait = 300 * time.Millisecond
	clientTime   = 2500 * time.Millisecond
)

// interimInResponse sends a safe request with an expectation while the response to an earlier
// download on the same connection is under way.
func interimInResponse(r *rig) (broken bool, err error) {
	const pairs = 20
	r.linkMbps, r.memoryMB = 7, 184
	serve := func(_ *upstream, conn net.Conn, request *http.Request, received []byte) bool {
		id, body := request.Header.Get("X-Request-Id"), bytes.Repeat([]byte("y"), 300)
		if request.Method == http.MethodGet {
			body = bytes.Repeat([]byte("x"), largeBody)
		}
		r.note("ran: %s %s %s, body of %d bytes", id, request.Method, request.URL.Path, len(received))
		return write(conn, header(id, body)+"\r\n"+string(body))
	}
	if err = r.startPair(serve, route{"/file/", "download", "2500ms"}, route{"/view/", "safe", "1500ms"}); err != nil {
		return false, err
	}
	faults := 0
	for i := range pairs {
		fault, sendErr := r.sendPair(i)
		if sendErr != nil {
			return false, sendErr
		}
		if fault != nil {
			faults++
			r.note("answered wrongly: %v", fault)
		}
	}
	r.note("%d of %d connections got bytes that are not the upstream's whole body", faults, pairs)
	return faults > 0, nil
}

// sendPair sends a download and a safe request on one connection and returns what is wrong with their
// responses.
func (r *rig) sendPair(i int) (fault, err error) {
	conn, reader, err := dial(r.machines[0])
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	first, second := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
	r.note("sent: %s GET /file/1", first)
	if !write(conn, requestHead(http.MethodGet, "/file/1", first, clientTime)) {
		return nil, fmt.Errorf("%s couldn't be sent", first)
	}
	sendSecond := func() {
		r.note("sent: %s POST /view/1, Expect: 100-continue", second)
		write(conn, requestHead(http.MethodPost, "/view/1", second, clientTime, "Content-Length: 5", "Expect: 100-continue"))
		time.Sleep(continueWait)
		write(conn, "query")
	}
	if r.trouble {
		time.AfterFunc(firstBehind+time.Duration(i%behindSteps)*behindStep, sendSecond)
	}
	if fault = r.expect(reader, first); fault != nil {
		return fault, nil
	}
	if !r.trouble {
		go sendSecond()
	}
	return r.expect(reader, second), nil
}

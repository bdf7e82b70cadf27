package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopDuringDownload stops a machine as planned while clients that read late send safe
// requests behind downloads.
func stopDuringDownload(r *rig) (broken bool, err error) {
	const (
		clients = 4
		// work is how long the upstream works on a download.
		work = 300 * time.Millisecond
		// signalAfter is the time from the requests to the SIGTERM.
		signalAfter = 100 * time.Millisecond
	)
	serve := func(_ *upstream, conn net.Conn, request *http.Request, _ []byte) bool {
		id, body := request.Header.Get("X-Request-Id"), bytes.Repeat([]byte("x"), 300)
		if request.URL.Path == "/file/1" {
			time.Sleep(work)
			body = bytes.Repeat([]byte("x"), 6*largeBody)
		}
		r.note("ran: %s", id)
		return write(conn, header(id, body)+"\r\n"+string(body))
	}
	if err = r.startPair(serve, route{"/file/", "download", "2500ms"}, route{"/view/", "safe", "1500ms"}); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	faults := make([]error, clients)
	for i := range clients {
		group.Go(func() { faults[i] = r.readLate(i) })
	}
	time.Sleep(signalAfter)
	if r.trouble {
		r.note("SIGTERM to %s", r.machines[0].name)
		_ = r.machines[0].process.Process.Signal(syscall.SIGTERM)
	}
	group.Wait()
	lost := 0
	for _, fault := range faults {
		if fault != nil {
			lost++
			r.note("lost: %v", fault)
		}
	}
	r.note("%d of %d downloads were broken off", lost, clients)
	return lost > 0, nil
}

// readLate sends a download, a safe request behind it once the answer has come, and only
// then reads. The second request may cross the close of the connection, so only the answer to
// the first one is judged.
func (r *rig) readLate(i int) (fault error) {
	const (
		behindAfter = 900 * time.Millisecond
		readAfter   = 500 * time.Millisecond
	)
	conn, reader, err := dial(r.machines[0])
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	first, second := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
	r.note("sent: %s GET /file/1", first)
	write(conn, requestHead(http.MethodGet, "/file/1", first, clientTime))
	time.Sleep(behindAfter)
	r.note("sent: %s GET /view/1", second)
	write(conn, requestHead(http.MethodGet, "/view/1", second, clientTime))
	time.Sleep(readAfter)
	return r.expect(reader, first)
}

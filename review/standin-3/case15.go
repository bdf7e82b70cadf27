package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopWithoutVersion stops a machine as planned that was killed and started again while the
// store is down, so that it doesn't know a configuration, and sends it requests till its end.
func stopWithoutVersion(r *rig) (broken bool, err error) {
	const (
		// lossSlack is how soon after its last byte a request may be cut without an answer.
		lossSlack = 200 * time.Millisecond
		interval  = 10 * time.Millisecond
		// calm is the time from the kill to the SIGTERM.
		calm = 2 * time.Second
		// sendFrom and sendUntil are the times after the SIGTERM between which requests are sent.
		sendFrom, sendUntil = 5 * time.Second, 6 * time.Second
	)
	serve := func(_ *upstream, conn net.Conn, request *http.Request, _ []byte) bool {
		id, body := request.Header.Get("X-Request-Id"), []byte("done")
		r.note("ran: %s", id)
		return write(conn, header(id, body)+"\r\n"+string(body))
	}
	if err = r.startPair(serve, route{"/order/", "unsafe", "1500ms"}); err != nil {
		return false, err
	}
	if r.trouble {
		r.note("the store is silent")
		r.store.silent.Store(true)
	}
	stopped := r.machines[0]
	r.note("SIGKILL to %s", stopped.name)
	_ = stopped.process.Process.Signal(syscall.SIGKILL)
	<-stopped.exited
	if err = r.startProxy(stopped); err != nil {
		return false, err
	}
	time.Sleep(calm)
	r.note("SIGTERM to %s", stopped.name)
	_ = stopped.process.Process.Signal(syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(sendFrom)
	var group sync.WaitGroup
	var mutex sync.Mutex
	lost, sent := 0, 0
	for ; time.Since(terminated) < sendUntil; time.Sleep(interval) {
		sent++
		id := fmt.Sprintf("a%d", sent)
		group.Go(func() {
			if waited, cut := r.order(stopped, id); cut && waited > lossSlack {
				mutex.Lock()
				defer mutex.Unlock()
				lost++
				r.note("lost: %s, cut %d ms after its last byte", id, waited.Milliseconds())
			}
		})
	}
	group.Wait()
	r.note("%d of %d requests were cut without an answer over %v after their last byte", lost, sent, lossSlack)
	return lost > 0, nil
}

// order sends an unsafe request on a new connection. It returns whether the connection ended
// without an answer, and how long after the last byte of the request that was.
func (r *rig) order(m *machine, id string) (waited time.Duration, cut bool) {
	conn, reader, err := dial(m)
	if err != nil {
		r.note("not sent: %s: %v", id, err)
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	if !write(conn, requestHead(http.MethodPost, "/order/1", id, clientTime, "Content-Length: 0")) {
		return 0, false
	}
	last := time.Now()
	got, err := readResponse(reader)
	waited = time.Since(last)
	r.note("sent %d ms ago: %s, answered with %d, error %v", waited.Milliseconds(), id, got.status, err)
	return waited, err != nil
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of an application backend (PROTOCOL.md, "Backends"). Without the
// hooks it is a sound one.
type server struct {
	record   *record
	machine  *machine
	id       string
	address  string
	born     int64
	slots    chan struct{}
	sequence atomic.Int64
	draining atomic.Bool

	// work is how long a request takes, and size the length of its answer.
	work func(path string) time.Duration
	size func(path string) int
	// extra returns bytes that are sent late, after the complete answer to a request, at
	// the point where the next answer is expected; nil for none.
	extra func() []byte

	mutex sync.Mutex
	// runs counts the runs of each request ID.
	runs map[string]int
}

func newServer(rec *record, m *machine, slots int) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{
		record: rec, machine: m, id: fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffffff), address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), runs: make(map[string]int),
		work: func(string) time.Duration { return 50 * time.Millisecond }, size: func(string) int { return 1500 },
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// beat sends check-ins to the proxy.
func (s *server) beat(control string) {
	for ; ; time.Sleep(1500 * time.Millisecond) {
		s.checkIn(control)
	}
}

func (s *server) checkIn(control string) bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": state, "sequence": s.sequence.Add(1), "cold_remaining": "0ms"},
	})
	must(err)
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+s.id, bytes.NewReader(body))
	must(err)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// serve serves one connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.record.line("%s sends %d additional bytes at the point where the answer to %s is expected", s.id, len(late), request.Header.Get("X-Request-Id"))
			if _, err = conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		if !s.answer(conn, request, body) {
			return
		}
		if s.extra != nil && request.URL.Path != "/health" {
			late = s.extra()
		}
	}
}

func (s *server) answer(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		return write(conn, "421 Misdirected Request", "X-Instance-Id: "+s.id+"\r\n", nil)
	}
	if request.URL.Path == "/health" {
		if s.draining.Load() {
			return write(conn, "503 Service Unavailable", "X-Instance-Id: "+s.id+"\r\n", nil)
		}
		return write(conn, "200 OK", "X-Instance-Id: "+s.id+"\r\n", nil)
	}
	if id == "" {
		return write(conn, "400 Bad Request", "X-Not-Executed: 1\r\n", nil)
	}
	timeout, _ := strconv.Atoi(request.Header.Get("X-Timeout-Ms"))
	deadline := time.Now().Add(time.Duration(timeout) * time.Millisecond)
	select {
	case s.slots <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		return write(conn, "503 Service Unavailable", "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n", nil)
	}
	defer func() { <-s.slots }()
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	s.record.line("server %s runs %s %s %s", s.id, id, request.Method, request.URL.RequestURI())
	time.Sleep(min(s.work(request.URL.Path), time.Until(deadline)))
	head := "X-Request-Id: " + id + "\r\nX-Response-Signature: " + s.id + "." + id + "\r\n"
	if !time.Now().Before(deadline) {
		return write(conn, "504 Gateway Timeout", head, nil)
	}
	return write(conn, "200 OK", head, bytes.Repeat([]byte("x"), s.size(request.URL.Path)))
}

func write(conn net.Conn, status, headers string, body []byte) bool {
	data := append([]byte("HTTP/1.1 "+status+"\r\n"+headers+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...)
	_, err := conn.Write(data)
	return err == nil
}

// runsOf returns how often the server ran the request.
func (s *server) runsOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// runsOf returns how often all servers ran the request.
func (f *fleet) runsOf(id string) (runs int) {
	for _, m := range f.machines {
		runs += m.server.runsOf(id)
	}
	return runs
}

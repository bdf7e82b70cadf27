package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// shedAnswer is the answer of a server that sheds, as `fleetbench wire` shows it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// playExtra: two of four servers send, after 3 in 100 of their complete answers, additional
// bytes that arrive late. The rule is TWICE.
func playExtra(f *fleet, trouble bool) (broken bool) {
	f.writeConfig(1, []rule{
		{name: "r-post", kind: "unsafe", prefix: "/pufi791/", service: "huvo11a", target: "2000ms", timeout: "1500ms", priority: 2, attempts: 2},
		{name: "r-view", kind: "safe", prefix: "/lohu930/", service: "huvo11a", target: "800ms", timeout: "1200ms", priority: 1, attempts: 2},
	}, "huvo11a")
	for i := range 4 {
		m := f.add("huvo11a", 9)
		if trouble && i < 2 {
			m.server.extra = func() []byte {
				if rand.Float64() < 0.03 {
					return []byte(shedAnswer)
				}
				return nil
			}
		}
	}
	f.waitReady()
	end := time.Now().Add(20 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var posts []*request
	for _, m := range f.machines {
		for range 6 {
			group.Go(func() {
				c := &client{record: f.record, address: m.callers}
				defer c.close()
				for time.Now().Before(end) {
					q := newRequest(http.MethodGet, "/lohu930/2f", nil, 2*time.Second)
					if rand.IntN(2) == 0 {
						q = newRequest(http.MethodPost, "/pufi791/2f", bytes.Repeat([]byte("b"), 1200), 2500*time.Millisecond)
						mutex.Lock()
						posts = append(posts, q)
						mutex.Unlock()
					}
					c.do(q)
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	twice, refused := 0, 0
	for _, q := range posts {
		runs := f.runsOf(q.id)
		if runs > 1 {
			twice++
			f.record.summary("TWICE: %s, which is not idempotent, ran %d times; the client got %d", q.id, runs, q.status)
		}
		if runs > 0 && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			refused++
			f.record.summary("REFUSED: %s was answered %d and ran", q.id, q.status)
		}
	}
	f.record.summary("%d requests that are not idempotent: %d ran more than once, %d were refused and ran", len(posts), twice, refused)
	return twice > 0
}

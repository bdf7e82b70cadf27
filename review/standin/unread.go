package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// playUnread: clients that do not read their answers. The rule is CONFIG.
func playUnread(f *fleet, trouble bool) (broken bool) {
	const routeTimeout = 1500 * time.Millisecond
	f.writeConfig(1, []rule{
		{name: "r-pdf", kind: "download", prefix: "/pule252/", service: "huvo11a", target: "500ms", timeout: "1500ms", priority: 0, attempts: 2},
	}, "huvo11a")
	for range 4 {
		m := f.add("huvo11a", 9)
		m.server.size = func(string) int { return 90000 + rand.IntN(450000) }
	}
	f.waitReady()
	m := f.machines[0]
	end := time.Now().Add(20 * time.Second)
	if trouble {
		for i := range 3 {
			go func() {
				time.Sleep(5*time.Second + time.Duration(i)*10*time.Millisecond)
				conn, err := net.DialTimeout("tcp", m.callers, time.Second)
				if err != nil {
					return
				}
				_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				for range 16 {
					q := newRequest(http.MethodGet, "/pule252/2f", nil, 1500*time.Millisecond)
					f.record.line("client that does not read sends %s", q.id)
					_, _ = conn.Write(q.encode())
				}
				time.Sleep(10 * time.Second)
				_ = conn.Close()
			}()
		}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var all []*request
	for range 6 {
		group.Go(func() {
			for time.Now().Before(end) {
				c := &client{record: f.record, address: m.callers}
				q := newRequest(http.MethodGet, "/pule252/2f", nil, 5*time.Second)
				c.do(q)
				c.close()
				mutex.Lock()
				all = append(all, q)
				mutex.Unlock()
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	long, late := 0, 0
	var worst time.Duration
	for _, q := range all {
		d := q.answered.Sub(q.sent)
		worst = max(worst, d)
		if d > routeTimeout {
			long++
		}
		if d > routeTimeout+500*time.Millisecond {
			late++
		}
	}
	f.record.summary("%d requests, %d last longer than the timeout, %d had no final answer 0.5 s later; longest %v", len(all), long, late, worst)
	return late >= 8 && late*4 > long
}

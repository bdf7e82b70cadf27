package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playFreeze: the proxy of one machine in ten stands still for 5 s. The rule is CONFIG.
func playFreeze(f *fleet, trouble bool) (broken bool) {
	const routeTimeout = 1200 * time.Millisecond
	f.writeConfig(1, []rule{
		{name: "r-pdf", kind: "download", prefix: "/pule252/", service: "druck1", target: "500ms", timeout: "1200ms", priority: 0, attempts: 2},
	}, "druck1", "huvo11a")
	for i := range 10 {
		service := "huvo11a"
		if i == 0 {
			service = "druck1"
		}
		m := f.add(service, 9)
		m.server.size = func(string) int { return 200000 + rand.IntN(340000) }
		m.server.work = func(string) time.Duration { return 80 * time.Millisecond }
	}
	f.waitReady()
	near, far := f.machines[0], f.machines[4]
	end := time.Now().Add(16 * time.Second)
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			f.record.line("the proxy of %s stands still for 5 s", far.name)
			_ = far.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			_ = far.command.Process.Signal(syscall.SIGCONT)
			f.record.line("the proxy of %s goes on", far.name)
		})
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var all []*request
	for i := range 18 {
		m := near
		if i >= 12 {
			m = far
		}
		group.Go(func() {
			for time.Now().Before(end) {
				c := &client{record: f.record, address: m.callers}
				q := newRequest(http.MethodGet, "/pule252/2f", nil, 2*time.Second)
				c.do(q)
				c.close()
				if m == near {
					mutex.Lock()
					all = append(all, q)
					mutex.Unlock()
				}
				pause := 300
				if m == far {
					pause = 150
				}
				time.Sleep(time.Duration(rand.IntN(pause)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	long, late, unanswered := 0, 0, 0
	for _, q := range all {
		d := q.answered.Sub(q.sent)
		if d > routeTimeout {
			long++
		}
		if d > routeTimeout+500*time.Millisecond {
			late++
			if q.status == 0 && f.runsOf(q.id) > 0 {
				unanswered++
			}
		}
	}
	f.record.summary("%d requests through %s, whose proxy is in touch: %d last longer than the route's timeout; %d of these had no final answer 0.5 s after it", len(all), near.name, long, late)
	f.record.summary("%d of them ran and had no answer until the client's time limit", unanswered)
	return late >= 8 && late*4 > long
}

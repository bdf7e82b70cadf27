package main

import (
	"net/http"
	"sync"
	"time"
)

// playWeights: the operator moves a route to another service by its weights, 100 to 0 in
// the end, and drops a route in the same version. The rule is CONFIG.
func playWeights(f *fleet, trouble bool) (broken bool) {
	const configApply = 2500 * time.Millisecond
	const older, newer = "huvo11a", "wuno96b"
	// part returns the split; a weight of 0 stands there only with the disruption.
	part := func(old, new int) (split []map[string]any) {
		if old > 0 || trouble {
			split = append(split, map[string]any{"service": older, "weight": old})
		}
		if new > 0 || trouble {
			split = append(split, map[string]any{"service": newer, "weight": new})
		}
		return split
	}
	view := rule{name: "r-view", kind: "safe", prefix: "/lohu930/", target: "800ms", timeout: "1200ms", priority: 1, attempts: 2}
	dropped := rule{name: "r-old", kind: "safe", prefix: "/vade114/", service: older, target: "800ms", timeout: "1200ms", priority: 1, attempts: 2}
	added := rule{name: "r-new", kind: "safe", prefix: "/zuri208/", service: newer, target: "800ms", timeout: "1200ms", priority: 1, attempts: 2}
	view.split = part(90, 10)
	f.writeConfig(1, []rule{view, dropped}, older, newer)
	for i := range 4 {
		f.add([]string{older, newer}[i%2], 9)
	}
	f.waitReady()
	view.split = part(50, 50)
	f.writeConfig(4, []rule{view, dropped}, older, newer)
	time.Sleep(4 * time.Second)
	view.split = part(0, 100)
	f.writeConfig(7, []rule{view, added}, older, newer)
	acknowledged := time.Now()
	end := acknowledged.Add(15 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var all []*request
	for _, m := range f.machines {
		for range 2 {
			group.Go(func() {
				c := &client{record: f.record, address: m.callers}
				defer c.close()
				for i := 0; time.Now().Before(end); i++ {
					q := newRequest(http.MethodGet, []string{view.prefix, dropped.prefix, added.prefix}[i%3]+"2f", nil, 2*time.Second)
					c.do(q)
					mutex.Lock()
					all = append(all, q)
					mutex.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	later, byOld, afterDrop, refused := 0, 0, 0, 0
	for _, q := range all {
		if q.sent.Before(acknowledged.Add(configApply)) {
			continue
		}
		later++
		ranOld := false
		for _, m := range f.machines {
			ranOld = ranOld || m.service == older && m.server.runsOf(q.id) > 0
		}
		switch {
		case q.path == view.prefix+"2f" && ranOld:
			byOld++
		case q.path == dropped.prefix+"2f" && f.runsOf(q.id) > 0:
			afterDrop++
		case q.path == added.prefix+"2f" && q.status == http.StatusNotFound:
			refused++
		}
	}
	f.record.summary("of %d requests that were sent later than config_apply after the acknowledgement of r7: %d were run by the old service, %d ran on the dropped route, %d on the added route got 404",
		later, byOld, afterDrop, refused)
	return byOld+afterDrop+refused > 0
}

package main

import (
	"fmt"
	"time"
)

// pathCase adds routes for all paths of a host. Clients send requests whose path begins with an
// empty segment.
func pathCase(record string, trouble bool) (broken []string) {
	const viewHost, orderHost = "ficu95.example", "wuno96.example"
	services := []string{"gedenkbuch", "druckarchiv"}
	view := route("notice-view", "safe", "/lohu930/", "gedenkbuch", "1200ms", "800ms", 2, 1)
	post := route("condolence-post", "unsafe", "/pufi791/", "gedenkbuch", "1500ms", "2000ms", 2, 2)
	first := config(7, services, listener(viewHost, view), listener(orderHost, post))
	w := newWorld(record, "", first, Machine{Service: "gedenkbuch", Slots: 9, WorkMS: 30}, Machine{Service: "gedenkbuch", Slots: 9, WorkMS: 30}, Machine{Service: "druckarchiv", Slots: 9, WorkMS: 30})
	defer w.close()
	type request struct{ method, host, target string }
	sent := make(map[string]request)
	send := func(r request) (status int) {
		for proxy := range w.Proxies {
			var body []byte
			if r.method == "POST" {
				body = []byte("condolence")
			}
			a, _ := w.send(proxy, r.method, r.target, r.host, 2500, "", body)
			sent[a.ID] = r
			status = a.Status
		}
		return status
	}
	requests := []request{
		{"GET", viewHost, "/lohu930/2f?page=2"},
		{"GET", viewHost, "/lohu930//2f"},
		{"POST", orderHost, "/pufi791/2f"},
		{"GET", viewHost, "/archive/2026/notice-17"},
		{"GET", viewHost, "//archive/2026/notice-17"},
		{"POST", orderHost, "//orders/17?copies=2"},
	}
	for _, r := range requests {
		w.Record.Say("before: %s %s of %s: %d", r.method, r.target, r.host, send(r))
	}
	next := config(9, services, listener(viewHost, view), listener(orderHost, post))
	if trouble {
		next = config(9, services,
			listener(viewHost, view, route("other-views", "safe", "/", "gedenkbuch", "1200ms", "800ms", 2, 1)),
			listener(orderHost, post, route("other-orders", "unsafe", "/", "gedenkbuch", "1500ms", "2000ms", 2, 2)))
	}
	w.Store.Put("config", "main", next)
	w.Record.Say("operator writes config r9")
	time.Sleep(4 * time.Second)
	for _, r := range requests {
		w.Record.Say("after: %s %s of %s: %d", r.method, r.target, r.host, send(r))
	}
	for id, r := range sent {
		for _, run := range w.ran(id) {
			if run.Method != r.method || run.Target != r.target || run.Host != r.host {
				broken = append(broken, fmt.Sprintf("UNASKED: request %s was sent as %s %s of host %s, and ran at %s as %s %s of host %s", id, r.method, r.target, r.host, run.Instance, run.Method, run.Target, run.Host))
			}
		}
	}
	return broken
}

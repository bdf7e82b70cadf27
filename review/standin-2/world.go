package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// World is a small deployment: the store, and machines with a proxy and a backend each.
type World struct {
	Store    *Store
	Proxies  []*Proxy
	Backends []*Backend
	Dir      string
	Record   *Record
}

// Machine describes one machine of a deployment.
type Machine struct {
	Service, Version string
	Slots            int
	// WorkMS is how long the backend works on a request.
	WorkMS int
}

// Record is the file in which a case notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *Record {
	f, err := os.Create(path)
	must(err)
	return &Record{file: f, start: time.Now()}
}

// Add appends a line with the time since the start.
func (r *Record) Add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Say appends a line and prints it.
func (r *Record) Say(format string, a ...any) {
	r.Add(format, a...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func route(name, kind, prefix, service, timeout, target string, attempts, priority int) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "target_latency": target, "priority": priority, "match": map[string]any{"path_prefix": prefix},
		"action": map[string]any{"service": service, "timeout": timeout, "max_attempts": attempts},
	}
}

func listener(host string, rules ...map[string]any) map[string]any {
	return map[string]any{"host": host, "rule_set": rules}
}

func config(version int, services []string, listeners ...map[string]any) map[string]any {
	var clusters []map[string]any
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": listeners, "clusters": clusters,
	}
}

// newWorld starts the store, with the first configuration, and the machines. extra is added to the
// settings of each proxy.
func newWorld(recordPath, extra string, first map[string]any, machines ...Machine) *World {
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	w := &World{Store: newStore(), Dir: dir, Record: newRecord(recordPath)}
	w.Store.Put("config", "main", first)
	w.Record.Add("operator writes config %v", first["version"])
	zones := []string{"dub-a", "dub-b"}
	for i, m := range machines {
		zone := zones[i%len(zones)]
		p := newProxy(dir, fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "dub", m.Service, w.Store.Addr)
		p.Extra = extra
		b := newBackend(fmt.Sprintf("i-%08x", 0x7f3a1000+i), m.Service, zone, p.Admin)
		b.Version, b.Slots, b.Work = m.Version, m.Slots, time.Duration(m.WorkMS)*time.Millisecond
		if b.Version == "" {
			b.Version = "v1"
		}
		b.OnRun = func(r Run) {
			w.Record.Add("run at %s: id %s %s %s timeout %d caller %q tenant %q key %q", r.Instance, r.ID, r.Method, r.Target, r.Timeout, r.Caller, r.Headers["X-Tenant"], r.Headers["Api-Key"])
		}
		b.listen("127.0.0.1:0")
		w.Proxies, w.Backends = append(w.Proxies, p), append(w.Backends, b)
		p.start()
		w.Record.Add("start %s (%s %s), backend %s at %s", p.Name, m.Service, b.Version, b.ID, b.Addr)
	}
	for i, p := range w.Proxies {
		p.waitReady()
		w.Backends[i].beatLoop(1500 * time.Millisecond)
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	return w
}

// close ends all processes that were started.
func (w *World) close() {
	for _, p := range w.Proxies {
		p.end()
	}
	_ = os.RemoveAll(w.Dir)
}

// send sends one request on a new connection to the proxy of a machine, and notes it.
func (w *World) send(proxy int, method, target, host string, timeoutMS int, extra string, body []byte) (a Answer, sentAt time.Time) {
	p := w.Proxies[proxy]
	a.ID = newID()
	w.Record.Add("send to %s: id %s %s %s %q", p.Name, a.ID, method, target, extra)
	c, err := net.DialTimeout("tcp", p.Callers, time.Second)
	if err != nil {
		a.Err = err
		w.Record.Add("answer to %s: none, %v", a.ID, err)
		return a, time.Now()
	}
	defer func() { _ = c.Close() }()
	sentAt = time.Now()
	a.exchange(c, method, target, host, timeoutMS, extra, body)
	w.Record.Add("answer to %s: %d signature %q error %v after %v", a.ID, a.Status, a.Sig, a.Err, a.Took.Round(time.Millisecond))
	return a, sentAt
}

// ran returns the runs of a request.
func (w *World) ran(id string) (runs []Run) {
	for _, b := range w.Backends {
		runs = append(runs, b.runsOf(id)...)
	}
	return runs
}

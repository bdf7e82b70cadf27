package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// binary is what the build line of deploy/system.toml makes.
	binary = "target/arbutusstep"
	// heartbeat is the interval between two check-ins of an upstream.
	heartbeat = 500 * time.Millisecond
	// startTimeout limits the start of the fleet.
	startTimeout = 20 * time.Second
	host         = "shop.example"
	// service is the service of all upstreams.
	service = "a"
)

// machine is one proxy with the upstream beside it.
type machine struct {
	name, callers, nodes, admin, ready string
	upstream                           *upstream
	process                            *exec.Cmd
	exited                             chan struct{}
}

// rig holds all processes and stand-ins of one run.
type rig struct {
	trouble  bool
	folder   string
	store    *store
	machines []*machine
	// linkMbps and memoryMB are the limits of each machine, as the settings state them.
	linkMbps, memoryMB int

	mutex    sync.Mutex
	record   *os.File
	started  time.Time
	lastLine string
	stopping bool
}

func newRig(record string, trouble bool) (r *rig, err error) {
	r = &rig{trouble: trouble, started: time.Now(), linkMbps: 1000, memoryMB: 284}
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if r.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	r.store, err = startStore()
	return r, err
}

// note writes one line to the record.
func (r *rig) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastLine = fmt.Sprintf("%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.record.WriteString(r.lastLine)
}

// freeAddress returns a loopback address with a port that was free a moment ago. The port is
// below those that systems usually give to outgoing connections, so that none of these takes
// it before the proxy listens.
func freeAddress() string {
	const lowest, count, tries = 12000, 20000, 1000
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count))
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no free port")
}

// addMachine adds a machine with an upstream.
func (r *rig) addMachine(serve serveFunc) (err error) {
	name := fmt.Sprintf("sidecar-a-%d", len(r.machines)+1)
	m := &machine{name: name, callers: freeAddress(), nodes: freeAddress(), admin: freeAddress(), ready: freeAddress()}
	m.upstream, err = startUpstream(r, fmt.Sprintf("i-%d", len(r.machines)+1), serve)
	r.machines = append(r.machines, m)
	return err
}

// settings returns what deploy/proxy.yaml makes of the settings of a small deployment.
func (r *rig) settings(m *machine) string {
	return fmt.Sprintf(`host: %s
region: west
zone: a
service: %s
platform: %s
heartbeat: %s
stop: 6s
listen:
  callers: %s
  nodes: %s
  admin: %s
  ready: %s
repeats:
  ratio: 0.2
  slack: 56
  span: 10s
limits:
  link: %d
  process: %d
`, m.name, service, r.store.address(), heartbeat, m.callers, m.nodes, m.admin, m.ready, r.linkMbps, r.memoryMB)
}

// startPair starts two machines with upstreams and configures the routes.
func (r *rig) startPair(serve serveFunc, routes ...route) (err error) {
	for range 2 {
		if err = r.addMachine(serve); err != nil {
			return err
		}
	}
	r.configure(routes...)
	return r.start()
}

// start starts the proxies and waits until all are ready and know each other.
func (r *rig) start() (err error) {
	for _, m := range r.machines {
		if err = r.startProxy(m); err != nil {
			return err
		}
		go m.upstream.report(m.admin)
	}
	deadline := time.Now().Add(startTimeout)
	for _, m := range r.machines {
		for !isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The records of all machines reach the others.
	time.Sleep(3 * time.Second)
	return nil
}

func (r *rig) startProxy(m *machine) (err error) {
	file := filepath.Join(r.folder, m.name+".yaml")
	if err = os.WriteFile(file, []byte(r.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.folder, m.name+".log"))
	if err != nil {
		return err
	}
	m.process, m.exited = exec.Command(binary, "proxy", "--config", file), make(chan struct{})
	m.process.Env = append(os.Environ(), "ARBUTUSSTEP_NODE_FILE="+file)
	m.process.Stdout, m.process.Stderr = log, log
	if err = m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, m.exited
	go func() {
		waitErr := process.Wait()
		if !r.isStopping() {
			r.note("%s: the process ended: %v", m.name, waitErr)
		}
		close(exited)
	}()
	return nil
}

func (r *rig) isStopping() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stopping
}

func isReady(m *machine) bool {
	response, err := http.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes.
func (r *rig) close() {
	r.mutex.Lock()
	r.stopping = true
	r.mutex.Unlock()
	for _, m := range r.machines {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.process.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
}

// route is one rule of the operator's configuration.
type route struct {
	prefix, kind, timeout string
}

// configure writes the configuration as the operator.
func (r *rig) configure(routes ...route) {
	rules := make([]any, 0, len(routes))
	for i, o := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": o.kind, "target_latency": "800ms", "priority": 1,
			"match":  map[string]any{"path_prefix": o.prefix},
			"action": map[string]any{"service": service, "timeout": o.timeout, "max_attempts": 2},
		})
	}
	r.store.put("config", "main", map[string]any{
		"version":   "r1",
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []any{map[string]any{"host": host, "rule_set": rules}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
	})
}

// send makes one call of an upstream to its proxy.
func send(method, url string, body []byte) (ok bool) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

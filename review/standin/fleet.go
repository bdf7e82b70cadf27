package main

import (
	"context"
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

// fleet is a small installation: the store, and machines with a proxy and a server each.
type fleet struct {
	record   *record
	store    *store
	folder   string
	binary   string
	machines []*machine
	mutex    sync.Mutex
	stopping bool
}

// machine is one machine with the addresses that its proxy listens on.
type machine struct {
	fleet                        *fleet
	name, region, zone, service  string
	callers, nodes, admin, ready string
	server                       *server
	command                      *exec.Cmd
	ended                        chan struct{}
}

func newFleet(rec *record, binary string) *fleet {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	return &fleet{record: rec, store: newStore(), folder: folder, binary: binary}
}

// firstPort and lastPort bound the ports of the proxies. They lie below those that the
// system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// usedPorts holds the ports that were given out.
var usedPorts = make(map[int]bool)

// freeAddress returns a free loopback address. It never returns one twice.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			usedPorts[port] = true
			return address
		}
	}
}

var places = [][2]string{{"ch-west", "lsn-a"}, {"ch-east", "zrh-a"}, {"ch-west", "gva-b"}, {"ch-east", "sgl-b"}}

// add adds a machine with a server of the service and starts its proxy.
func (f *fleet) add(service string, slots int) *machine {
	place := places[len(f.machines)%len(places)]
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", place[1], len(f.machines)+1), region: place[0], zone: place[1], service: service}
	m.callers, m.nodes, m.admin, m.ready = freeAddress(), freeAddress(), freeAddress(), freeAddress()
	m.server = newServer(f.record, m, slots)
	f.machines = append(f.machines, m)
	m.startProxy()
	go m.server.beat(m.admin)
	return m
}

// startProxy starts the proxy with the command of deploy/system.toml and the settings of
// deploy/proxy.yaml.
func (m *machine) startProxy() {
	settings := fmt.Sprintf(`host: %s
region: %s
zone: %s
service: %s
platform: %s
heartbeat: 1500ms
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
  link: 1000.0
`, m.name, m.region, m.zone, m.service, m.fleet.store.address, m.callers, m.nodes, m.admin, m.ready)
	path := filepath.Join(m.fleet.folder, m.name+".yaml")
	must(os.WriteFile(path, []byte(settings), 0o600))
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	m.command = exec.Command(m.fleet.binary, "proxy", "--config", path)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.command.Start())
	ended := make(chan struct{})
	m.ended = ended
	command := m.command
	go func() {
		err := command.Wait()
		_ = log.Close()
		m.fleet.mutex.Lock()
		stopping := m.fleet.stopping
		m.fleet.mutex.Unlock()
		if !stopping {
			m.fleet.record.line("proxy of %s ended: %v", m.name, err)
		}
		close(ended)
	}()
}

// isReady asks the proxy whether it is ready, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all proxies are ready and the servers have reported.
func (f *fleet) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				f.fail("proxy of %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// As on the bench, the traffic starts some seconds after the machines.
	time.Sleep(5 * time.Second)
}

// fail ends the run: the case couldn't run.
func (f *fleet) fail(format string, values ...any) {
	f.record.summary("could not run: "+format, values...)
	f.stop()
	f.record.close()
	os.Exit(2)
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mutex.Lock()
	f.stopping = true
	f.mutex.Unlock()
	for _, m := range f.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}

// config is the operator's configuration.
type rule struct {
	name, kind, prefix, service, target, timeout string
	priority, attempts                           int
	// split, if set, takes the place of service.
	split []map[string]any
}

const host = "ficu95.example"

func (f *fleet) writeConfig(version int, rules []rule, services ...string) {
	var set, clusters []map[string]any
	for _, r := range rules {
		action := map[string]any{"timeout": r.timeout, "max_attempts": r.attempts}
		if r.split != nil {
			action["split"] = r.split
		} else {
			action["service"] = r.service
		}
		set = append(set, map[string]any{
			"name": r.name, "kind": r.kind, "target_latency": r.target, "priority": r.priority, "match": map[string]any{"path_prefix": r.prefix}, "action": action,
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "max_connections": 110, "health_path": "/health"})
	}
	f.store.write("config", "main", map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"listeners": []map[string]any{{"host": host, "rule_set": set}}, "clusters": clusters,
	})
	f.record.line("operator writes version r%d", version)
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
}

var background = context.Background()

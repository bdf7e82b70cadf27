package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// binary is the program as the build line of the deploy file leaves it.
const binary = "target/arbutusstep"

// Proxy is one process of the system, started with the command of the deploy file.
type Proxy struct {
	Name, Zone, Region, Service, Store string
	Callers, Nodes, Admin, Ready       string
	Dir                                string
	// Extra is added to the settings.
	Extra string
	cmd   *exec.Cmd
}

// newProxy chooses free ports for a proxy.
func newProxy(dir, name, zone, region, service, store string) *Proxy {
	var listeners []net.Listener
	var addresses []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return &Proxy{
		Name: name, Zone: zone, Region: region, Service: service, Store: store, Dir: dir,
		Callers: addresses[0], Nodes: addresses[1], Admin: addresses[2], Ready: addresses[3],
	}
}

// file is the settings file.
func (p *Proxy) file() string { return filepath.Join(p.Dir, p.Name+".yaml") }

// writeSettings writes the settings as deploy/proxy.yaml makes them.
func (p *Proxy) writeSettings() {
	text := fmt.Sprintf(`host: %s
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
  link: 200.0
  process: 284
%s`, p.Name, p.Region, p.Zone, p.Service, p.Store, p.Callers, p.Nodes, p.Admin, p.Ready, p.Extra)
	must(os.WriteFile(p.file(), []byte(text), 0o600))
}

// start starts the process.
func (p *Proxy) start() {
	p.writeSettings()
	log, err := os.OpenFile(filepath.Join(p.Dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(binary, "proxy", "--config", p.file())
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.Dir}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
}

// end kills the process if it runs.
func (p *Proxy) end() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (p *Proxy) ready() bool {
	response, err := plain.Get("http://" + p.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *Proxy) waitReady() {
	for range 200 {
		if p.ready() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s was not ready within 10 s", p.Name)
}

package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/store"
)

// The time bounds that the system guarantees.
const (
	applyTime = 2500 * time.Millisecond
	drainTime = 2500 * time.Millisecond
	stopTime  = 6 * time.Second
	// graceAfterFault is how long after a fault the bounds hold for a node again.
	graceAfterFault = 4 * time.Second
	// readWithin is how long after it was sent a request has certainly been read by
	// the node.
	readWithin = 200 * time.Millisecond
	// recoveryTime bounds the recovery of the mesh after the last fault.
	recoveryTime = 15 * time.Second
)

const (
	// statusInterval is the polling interval of a node's status.
	statusInterval = 100 * time.Millisecond
	// readinessInterval is the polling interval of a node's readiness.
	readinessInterval = 300 * time.Millisecond
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// allowedServices maps a path prefix to the services that some version routes it
// to.
var allowedServices = map[string]string{"/s/": "desk", "/u/": "desk", "/p/": "prints", "/m/": "desk prints", "/k/": "desk"}

// node is one proxy process with its upstream and the links to it.
type node struct {
	harness *harness
	host    string
	zone    string
	// callerAddress, nodeAddress, adminAddress and readyAddress are where it
	// listens, and settingsFile is the path of its settings.
	callerAddress, nodeAddress, adminAddress, readyAddress string
	settingsFile                                           string
	// nodeLink carries connections from other nodes to this one, and storeLink
	// those of this node to the store.
	nodeLink, storeLink *faulty.Link
	upstream            *upstream

	mutex   sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// highestVersion is the highest version that this process has reported.
	highestVersion uint64
	// disturbedUntil is when the last fault of this node ends.
	disturbedUntil time.Time
	unready        atomic.Bool
}

// harness runs the mesh, its stand-ins and the recorder of one seed.
type harness struct {
	t          *testing.T
	binary     string
	dir        string
	recorder   *recorder
	platform   *platform
	nodes      []*node
	random     *rand.Rand
	ctx        context.Context
	background sync.WaitGroup
	// checkBounds is true if the time bounds are checked too.
	checkBounds bool

	// operator is held while the operator writes a document.
	operator sync.Mutex

	mutex sync.Mutex
	// versions lists the accepted versions, oldest first.
	versions []accepted
	// restoring is true while the store is being restored from a copy, or its operator has
	// not yet written the newest document again.
	restoring bool
	// storeDisturbedUntil is when the last fault of the store ends.
	storeDisturbedUntil time.Time
}

// accepted is a version that the store acknowledged.
type accepted struct {
	version uint64
	at      time.Time
}

// harnessCount counts the harnesses of this process; each has its own loopback
// addresses.
var harnessCount atomic.Int32

// layout lists the nodes with their zones and the services of their upstreams.
var layout = []struct{ region, zone, service string }{
	{"west", "west-a", "desk"},
	{"west", "west-a", "prints"},
	{"west", "west-b", "desk"},
	{"east", "east-a", "desk"},
	{"east", "east-a", "prints"},
	{"east", "east-b", "desk"},
}

func newHarness(t *testing.T, binary string, seed uint64, checkBounds bool) *harness {
	h := &harness{
		t: t, binary: binary, dir: t.TempDir(), recorder: newRecorder(), platform: newPlatform(t), checkBounds: checkBounds,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx = ctx
	t.Cleanup(func() {
		cancel()
		h.background.Wait()
	})
	_, err := h.platform.client.Create(ctx, "config/main", configDocument(1, "desk"))
	assert.NilError(t, err)
	h.versions = append(h.versions, accepted{version: 1, at: time.Now()})
	harnessID := harnessCount.Add(1)
	for i, place := range layout {
		h.nodes = append(h.nodes, h.newNode(i, int(harnessID), place.region, place.zone, place.service))
	}
	for _, n := range h.nodes {
		n.start()
		n.upstream.start(t, layout[indexOf(h.nodes, n)].service)
		h.background.Go(n.watchStatus)
		h.background.Go(n.pollReadiness)
	}
	return h
}

func indexOf(nodes []*node, n *node) int {
	for i := range nodes {
		if nodes[i] == n {
			return i
		}
	}
	return -1
}

// configDocument returns the document of a version. Its rules are the same in all
// versions, but for one that moves between services.
func configDocument(version uint64, movedService string) []byte {
	rule := func(kind, prefix, service string) string {
		return fmt.Sprintf(`{"name":"r%s","kind":%q,"allow_anonymous":%t,"priority":1,"target_latency":"800ms","match":{"path_prefix":%q},`+
			`"action":{"service":%q,"timeout":"1800ms","max_attempts":2}}`, strings.Trim(prefix, "/"), kind, prefix != "/k/", prefix, service)
	}
	rules := strings.Join([]string{
		rule("safe", "/s/", "desk"), rule("unsafe", "/u/", "desk"), rule("download", "/p/", "prints"), rule("safe", "/m/", movedService), rule("safe", "/k/", "desk"),
	}, ",")
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s",`+
		`"idle_timeout":"15s"},"listeners":[{"host":"a.example","rule_set":[%s]}],"clusters":[{"name":"desk","max_connections":100,"health_path":"/serves"},`+
		`{"name":"prints","max_connections":100,"health_path":"/serves"}],%s}`, version, rules, accountDocument(version))
}

func (h *harness) newNode(i, harnessID int, region, zone, service string) *node {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+harnessID%250, 10+i)
	n := &node{
		harness: h, host: fmt.Sprintf("h%d", i), zone: zone, callerAddress: ip + ":8080", nodeAddress: ip + ":8081", adminAddress: ip + ":8082", readyAddress: ip + ":8083",
		settingsFile: filepath.Join(h.dir, fmt.Sprintf("h%d.yaml", i)),
	}
	n.nodeLink = &faulty.Link{Target: netip.MustParseAddrPort(n.nodeAddress)}
	n.storeLink = &faulty.Link{Target: netip.MustParseAddrPort(h.platform.address)}
	for _, l := range []*faulty.Link{n.nodeLink, n.storeLink} {
		assert.NilError(h.t, l.Start())
		h.t.Cleanup(l.Stop)
		l.SetLatency(time.Millisecond)
	}
	n.upstream = &upstream{node: n, recorder: h.recorder, address: ip + ":9000"}
	h.t.Cleanup(n.upstream.end)
	n.writeSettings(region, service, stopTime)
	h.t.Cleanup(n.kill)
	return n
}

func (n *node) writeSettings(region, service string, stop time.Duration) {
	text := fmt.Sprintf(`host: %s
region: %s
zone: %s
service: %s
platform: %s
heartbeat: %s
stop: %s
listen:
  callers: %s
  nodes: %s
  admin: %s
  ready: %s
  announce: %s
repeats: {ratio: 0.2, slack: 60, span: 10s}
limits: {platformRate: 50}
revocation: %s
`, n.host, region, n.zone, service, n.storeLink.Addr(), reportInterval, stop, n.callerAddress, n.nodeAddress, n.adminAddress, n.readyAddress, n.nodeLink.Addr(), revocationTime)
	assert.Check(n.harness.t, os.WriteFile(n.settingsFile, []byte(text), 0o600))
}

func (n *node) start() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(n.harness.dir, n.host+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(n.harness.t, err)
	process := exec.Command(n.harness.binary, "proxy", "--config", n.settingsFile)
	process.Stdout, process.Stderr = log, log
	assert.NilError(n.harness.t, process.Start())
	exited := make(chan struct{})
	n.process, n.exited, n.highestVersion = process, exited, 0
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// signal sends a signal to the node's current process.
func (n *node) signal(signal os.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.waitExit()
}

// waitExit waits until the process has exited.
func (n *node) waitExit() {
	n.mutex.Lock()
	exited := n.exited
	n.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// markDisturbed marks the node as disturbed for that duration.
func (n *node) markDisturbed(duration time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if end := time.Now().Add(duration); end.After(n.disturbedUntil) {
		n.disturbedUntil = end
	}
}

func (n *node) inRotation() bool {
	return !n.unready.Load()
}

// pollReadiness polls the node as the platform does: after two failed checks in a
// row, callers open no new connections to the node.
func (n *node) pollReadiness() {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	n.runEvery(readinessInterval, func() {
		response, err := client.Get("http://" + n.readyAddress + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			misses++
		} else {
			misses = 0
		}
		n.unready.Store(misses >= 2)
	})
}

func (n *node) runEvery(interval time.Duration, poll func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			poll()
		case <-n.harness.ctx.Done():
			return
		}
	}
}

// status is the part of a node's response to GET /status that the test reads.
type status struct {
	Version uint64 `json:"version"`
	Phase   string `json:"phase"`
	State   string `json:"state"`
	Nodes   int    `json:"nodes"`
}

func (n *node) status() (reported status, err error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.adminAddress + "/status")
	if err != nil {
		return reported, err
	}
	defer response.Body.Close()
	return reported, json.NewDecoder(response.Body).Decode(&reported)
}

// watchStatus checks that the version of a process never decreases, and that new
// versions come into force in time.
func (n *node) watchStatus() {
	n.runEvery(statusInterval, func() {
		n.mutex.Lock()
		process := n.process
		n.mutex.Unlock()
		askedAt := time.Now()
		reported, err := n.status()
		if err != nil {
			return
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.process != process {
			return
		}
		if reported.Version < n.highestVersion {
			n.harness.recorder.violation("%s went back from version %d to %d", n.host, n.highestVersion, reported.Version)
		}
		n.highestVersion = max(n.highestVersion, reported.Version)
		if required := n.harness.requiredVersion(askedAt, n.disturbedUntil); n.harness.checkBounds && reported.Version < required {
			n.harness.recorder.violation("%s has version %d in force, want at least %d", n.host, reported.Version, required)
		}
	})
}

// requiredVersion returns the lowest version that a node may report, given when
// its last fault ended; zero if any will do.
func (h *harness) requiredVersion(now, disturbedUntil time.Time) (version uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(disturbedUntil) < graceAfterFault+applyTime || now.Sub(h.storeDisturbedUntil) < graceAfterFault+applyTime {
		return 0
	}
	for _, v := range h.versions {
		if now.Sub(v.at) > applyTime {
			version = v.version
		}
	}
	return version
}

// submitChange writes the next version to the store.
func (h *harness) submitChange() {
	h.operator.Lock()
	defer h.operator.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, 2*time.Second)
	defer cancel()
	current, err := h.platform.client.Get(ctx, "config/main")
	if err != nil {
		return
	}
	h.mutex.Lock()
	version := h.versions[len(h.versions)-1].version + 1
	h.mutex.Unlock()
	_, err = h.platform.client.Update(ctx, "config/main", configDocument(version, movedService(version)), current.Version)
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at := time.Now()
	if err != nil {
		// The outcome is unknown, so the version is never required; a later one
		// supersedes it.
		at = at.Add(time.Hour)
	}
	h.versions = append(h.versions, accepted{version: version, at: at})
}

// markStoreDisturbed marks the store as disturbed for that duration.
func (h *harness) markStoreDisturbed(duration time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if end := time.Now().Add(duration); end.After(h.storeDisturbedUntil) {
		h.storeDisturbedUntil = end
	}
}

// waitSettled waits until every node serves and knows all others; it reports
// whether they did within the timeout.
func (h *harness) waitSettled(timeout time.Duration) (settled bool) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range h.nodes {
			reported, err := n.status()
			if err == nil && reported.Phase == "serving" && reported.State == "ready" && reported.Nodes == len(h.nodes) {
				ready++
			}
		}
		if ready == len(h.nodes) {
			return true
		}
		time.Sleep(statusInterval)
	}
	return false
}

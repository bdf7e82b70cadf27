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

// The bounds of the promises.
const (
	applyTime = 2500 * time.Millisecond
	drainTime = 2500 * time.Millisecond
	stopTime  = 6 * time.Second
	// contact is for how long a node must be undisturbed before bounds hold for it.
	contact = 4 * time.Second
	// lossSlack is how long a request may have been read before its connection ends.
	lossSlack = 200 * time.Millisecond
	// recoverTime is when most requests are served again after the last fault.
	recoverTime = 15 * time.Second
)

const (
	// lookTime is the time between two looks at a node.
	lookTime = 100 * time.Millisecond
	// readyTime is the time between two questions whether a node is ready.
	readyTime = 300 * time.Millisecond
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// allowed lists the services that any version sends the requests of a prefix to.
var allowed = map[string]string{"/s/": "desk", "/u/": "desk", "/p/": "prints", "/m/": "desk prints"}

// node is one proxy as a process, with what stands around it.
type node struct {
	world *world
	host  string
	zone  string
	// callers, nodes, admin and ready are its addresses, and file its settings.
	callers, nodes, admin, ready string
	file                         string
	// toNode stands before its port for other nodes, and toStore before the store.
	toNode, toStore *faulty.Link
	up              *upstream

	mutex   sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// version is the highest that this process showed.
	version uint64
	// touched is the end of the last disturbance of this node.
	touched time.Time
	closed  atomic.Bool
}

// world is the whole of one run.
type world struct {
	t        *testing.T
	binary   string
	dir      string
	ledger   *ledger
	platform *platform
	nodes    []*node
	random   *rand.Rand
	ctx      context.Context
	work     sync.WaitGroup
	// timed is true when the bounds of time are checked too.
	timed bool

	mutex sync.Mutex
	// versions are those that were accepted, the oldest first.
	versions []accepted
	// storeTouched is the end of the last disturbance of the store.
	storeTouched time.Time
}

// accepted is a version that the store acknowledged.
type accepted struct {
	version uint64
	at      time.Time
}

// worlds counts the worlds of this process, which have addresses of their own.
var worlds atomic.Int32

// layout lists the nodes: their zones and the services beside them.
var layout = []struct{ region, zone, service string }{
	{"west", "west-a", "desk"},
	{"west", "west-a", "prints"},
	{"west", "west-b", "desk"},
	{"east", "east-a", "desk"},
	{"east", "east-a", "prints"},
	{"east", "east-b", "desk"},
}

func newWorld(t *testing.T, binary string, seed uint64, timed bool) *world {
	w := &world{
		t: t, binary: binary, dir: t.TempDir(), ledger: newLedger(), platform: newPlatform(t), timed: timed,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx = ctx
	t.Cleanup(func() {
		cancel()
		w.work.Wait()
	})
	_, err := w.platform.client.Create(ctx, "config/main", document(1, "desk"))
	assert.NilError(t, err)
	w.versions = append(w.versions, accepted{version: 1, at: time.Now()})
	number := worlds.Add(1)
	for i, place := range layout {
		w.nodes = append(w.nodes, w.newNode(i, int(number), place.region, place.zone, place.service))
	}
	for _, n := range w.nodes {
		n.start()
		n.up.start(t, layout[indexOf(w.nodes, n)].service)
		w.work.Go(n.look)
		w.work.Go(n.askReady)
	}
	return w
}

func indexOf(nodes []*node, n *node) int {
	for i := range nodes {
		if nodes[i] == n {
			return i
		}
	}
	return -1
}

// document is a version: most rules stay, one moves between services.
func document(version uint64, moving string) []byte {
	rule := func(kind, prefix, service string) string {
		return fmt.Sprintf(`{"name":"r%s","kind":%q,"priority":1,"target_latency":"800ms","match":{"path_prefix":%q},`+
			`"action":{"service":%q,"timeout":"1800ms","max_attempts":2}}`, strings.Trim(prefix, "/"), kind, prefix, service)
	}
	rules := strings.Join([]string{
		rule("safe", "/s/", "desk"), rule("unsafe", "/u/", "desk"), rule("download", "/p/", "prints"), rule("safe", "/m/", moving),
	}, ",")
	return fmt.Appendf(nil, `{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3s",`+
		`"idle_timeout":"15s"},"listeners":[{"host":"a.example","rule_set":[%s]}],"clusters":[{"name":"desk","max_connections":100,"health_path":"/serves"},`+
		`{"name":"prints","max_connections":100,"health_path":"/serves"}]}`, version, rules)
}

func (w *world) newNode(i, number int, region, zone, service string) *node {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+number%250, 10+i)
	n := &node{
		world: w, host: fmt.Sprintf("h%d", i), zone: zone, callers: ip + ":8080", nodes: ip + ":8081", admin: ip + ":8082", ready: ip + ":8083",
		file: filepath.Join(w.dir, fmt.Sprintf("h%d.yaml", i)),
	}
	n.toNode = &faulty.Link{Target: netip.MustParseAddrPort(n.nodes)}
	n.toStore = &faulty.Link{Target: netip.MustParseAddrPort(w.platform.address)}
	for _, l := range []*faulty.Link{n.toNode, n.toStore} {
		assert.NilError(w.t, l.Start())
		w.t.Cleanup(l.Stop)
		l.SetLatency(time.Millisecond)
	}
	n.up = &upstream{node: n, ledger: w.ledger, address: ip + ":9000"}
	w.t.Cleanup(n.up.end)
	n.settings(region, service, stopTime)
	w.t.Cleanup(n.kill)
	return n
}

// settings writes the node's settings file.
func (n *node) settings(region, service string, stop time.Duration) {
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
`, n.host, region, n.zone, service, n.toStore.Addr(), beat, stop, n.callers, n.nodes, n.admin, n.ready, n.toNode.Addr())
	assert.Check(n.world.t, os.WriteFile(n.file, []byte(text), 0o600))
}

// start starts the process.
func (n *node) start() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.host+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(n.world.t, err)
	process := exec.Command(n.world.binary, "proxy", "--config", n.file)
	process.Stdout, process.Stderr = log, log
	assert.NilError(n.world.t, process.Start())
	exited := make(chan struct{})
	n.process, n.exited, n.version = process, exited, 0
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// signal sends a signal to the process that this node started last.
func (n *node) signal(signal os.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.await()
}

// await waits until the process has ended.
func (n *node) await() {
	n.mutex.Lock()
	exited := n.exited
	n.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// touch notes a disturbance of the node that lasts so long.
func (n *node) touch(lasts time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if end := time.Now().Add(lasts); end.After(n.touched) {
		n.touched = end
	}
}

func (n *node) takesWork() bool {
	return !n.closed.Load()
}

// askReady asks as the platform does: two questions in a row without a yes take
// the node out.
func (n *node) askReady() {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	n.every(readyTime, func() {
		response, err := client.Get("http://" + n.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			misses++
		} else {
			misses = 0
		}
		n.closed.Store(misses >= 2)
	})
}

func (n *node) every(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-n.world.ctx.Done():
			return
		}
	}
}

// status is what a node tells of itself.
type status struct {
	Version uint64 `json:"version"`
	Phase   string `json:"phase"`
	State   string `json:"state"`
	Nodes   int    `json:"nodes"`
}

func (n *node) status() (told status, err error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.admin + "/status")
	if err != nil {
		return told, err
	}
	defer response.Body.Close()
	return told, json.NewDecoder(response.Body).Decode(&told)
}

// look checks that versions never fall in a process and are in force in time.
func (n *node) look() {
	n.every(lookTime, func() {
		n.mutex.Lock()
		process := n.process
		n.mutex.Unlock()
		asked := time.Now()
		told, err := n.status()
		if err != nil {
			return
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.process != process {
			return
		}
		if told.Version < n.version {
			n.world.ledger.breach("%s fell from version %d to %d", n.host, n.version, told.Version)
		}
		n.version = max(n.version, told.Version)
		if due := n.world.due(asked, n.touched); n.world.timed && told.Version < due {
			n.world.ledger.breach("%s shows version %d when %d is due", n.host, told.Version, due)
		}
	})
}

// due returns the version that a node must show that was last disturbed then;
// zero when none is due.
func (w *world) due(now, touched time.Time) (version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Sub(touched) < contact+applyTime || now.Sub(w.storeTouched) < contact+applyTime {
		return 0
	}
	for _, v := range w.versions {
		if now.Sub(v.at) > applyTime {
			version = v.version
		}
	}
	return version
}

// change has the store accept the next version.
func (w *world) change() {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	current, err := w.platform.client.Get(ctx, "config/main")
	if err != nil {
		return
	}
	w.mutex.Lock()
	version := w.versions[len(w.versions)-1].version + 1
	w.mutex.Unlock()
	moving := "desk"
	if version%2 == 0 {
		moving = "prints"
	}
	_, err = w.platform.client.Update(ctx, "config/main", document(version, moving), current.Version)
	if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	at := time.Now()
	if err != nil {
		// An unknown outcome is due at no time; a later version takes its place.
		at = at.Add(time.Hour)
	}
	w.versions = append(w.versions, accepted{version: version, at: at})
}

// disturbStore notes a disturbance of the store that lasts so long.
func (w *world) disturbStore(lasts time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if end := time.Now().Add(lasts); end.After(w.storeTouched) {
		w.storeTouched = end
	}
}

// settled waits until every node serves and knows all others.
func (w *world) settled(patience time.Duration) (settled bool) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		good := 0
		for _, n := range w.nodes {
			told, err := n.status()
			if err == nil && told.Phase == "serving" && told.State == "ready" && told.Nodes == len(w.nodes) {
				good++
			}
		}
		if good == len(w.nodes) {
			return true
		}
		time.Sleep(lookTime)
	}
	return false
}

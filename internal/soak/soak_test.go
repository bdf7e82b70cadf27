// Package soak_test runs a mesh of proxy processes with stand-ins for the platform
// and the upstreams, and injects faults from outside: signals, slow or broken
// links, and misbehaving store and upstreams. From what callers and upstreams
// observe it checks that unsafe requests run at most once, that responses are whole
// and reach their own request, that planned stops cut no request short, that
// versions never go back, and that configuration and service recover in time.
//
//	go test ./internal/soak -run Soak -seeds 50        fifty random seeds
//	go test ./internal/soak -run Soak -seed 7          one seed
//	go test ./internal/soak -run Soak -minutes 10      random seeds for ten minutes
//
// Without a flag it runs the regression seeds for a short time each, and does not
// check the time bounds.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seedFlag     = flag.Uint64("seed", 0, "run only this `seed`")
	seedsFlag    = flag.Int("seeds", 0, "run this `number` of random seeds")
	minutesFlag  = flag.Int("minutes", 0, "run random seeds for this many `minutes`")
	parallelFlag = flag.Int("abreast", 2, "the `number` of seeds to run in parallel")
	keepFlag     = flag.String("keep", "", "copy the logs of failed seeds to this `folder`")
)

const (
	// shortRun and longRun are how long faults are injected.
	shortRun       = 3 * time.Second
	longRun        = 12 * time.Second
	callersPerNode = 4
	// settleTimeout bounds the start of the mesh, and its recovery if the time
	// bounds are not checked.
	settleTimeout = 60 * time.Second
	// minSuccessPercent is the share of requests that must succeed after recovery.
	minSuccessPercent = 90
	// successWindow is how long requests are sent for that; those of its first half
	// count.
	successWindow = 2 * time.Second
)

// regressions are seeds to run in every test run: those that once failed, each
// named after the cause, and an arbitrary first one.
var regressions = []struct {
	name string
	seed uint64
}{
	{name: "a first run", seed: 1},
}

func TestSoak(t *testing.T) {
	binary := build(t)
	if *seedFlag == 0 && *seedsFlag == 0 && *minutesFlag == 0 {
		for _, tt := range regressions {
			t.Run(tt.name, func(t *testing.T) { runSeed(t, binary, tt.seed, shortRun, false) })
		}
		return
	}
	seeds := make(chan uint64)
	go generateSeeds(seeds)
	var workers sync.WaitGroup
	for range *parallelFlag {
		workers.Go(func() {
			for seed := range seeds {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, binary, seed, longRun, true) })
			}
		})
	}
	workers.Wait()
}

// generateSeeds sends the seeds that the flags ask for.
func generateSeeds(seeds chan<- uint64) {
	defer close(seeds)
	if *seedFlag != 0 {
		seeds <- *seedFlag
		return
	}
	end := time.Now().Add(time.Duration(*minutesFlag) * time.Minute)
	for i := 0; i < *seedsFlag || time.Now().Before(end); i++ {
		seeds <- rand.Uint64N(1e9) + 2
	}
}

// build builds the program and returns the path of its binary.
func build(t *testing.T) (binary string) {
	binary = filepath.Join(t.TempDir(), "arbutusstep")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/arbutusstep").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// runSeed runs the mesh with the faults of one seed and reports violations.
func runSeed(t *testing.T, binary string, seed uint64, duration time.Duration, checkBounds bool) {
	h := newHarness(t, binary, seed, checkBounds)
	assert.Assert(t, h.waitSettled(settleTimeout), "the mesh did not start")
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i, n := range h.nodes {
		for j := range callersPerNode {
			c := &caller{
				name: fmt.Sprintf("c%d-%d", i, j), node: n, recorder: h.recorder, random: rand.New(rand.NewPCG(seed, uint64(i*callersPerNode+j))),
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	events := schedule(h.random, duration, len(h.nodes))
	h.runEvents(events)
	h.checkRecovery()
	cancel()
	callers.Wait()
	// A refused request must not run later either.
	time.Sleep(requestTimeout)
	violations := append(h.recorder.check(), h.checkRevokedKeys()...)
	if len(violations) == 0 {
		return
	}
	t.Logf("seed %d, events:", seed)
	for _, e := range events {
		t.Log(e)
	}
	for i, text := range violations {
		if i < 20 {
			t.Error(text)
		}
	}
	h.keepLogs(seed)
}

// runEvents injects each event at its time and waits until all have ended.
func (h *harness) runEvents(events []event) {
	started := time.Now()
	var running sync.WaitGroup
	for _, event := range events {
		time.Sleep(time.Until(started.Add(event.at)))
		running.Go(func() {
			event.fault.inject(h, h.nodes[event.node], event.duration, rand.New(rand.NewPCG(event.seed, 0)))
		})
	}
	running.Wait()
}

// checkRecovery checks that all nodes serve and know each other again in time, and
// that most requests succeed.
func (h *harness) checkRecovery() {
	timeout := recoveryTime
	if !h.checkBounds {
		timeout = settleTimeout
	}
	if !h.waitSettled(timeout) {
		h.recorder.violation("the mesh has not recovered %v after the last fault", timeout)
	} else {
		h.checkRestoration()
	}
	start := time.Now()
	time.Sleep(successWindow)
	succeeded, sent := h.recorder.successes(start, start.Add(successWindow/2))
	if succeeded*100 < sent*minSuccessPercent || sent == 0 {
		h.recorder.violation("%d of %d requests succeeded after the recovery", succeeded, sent)
	}
}

// keepLogs copies the logs of a failed seed to the folder of the flag -keep.
func (h *harness) keepLogs(seed uint64) {
	if *keepFlag == "" {
		return
	}
	folder := filepath.Join(*keepFlag, fmt.Sprint(seed))
	if err := os.CopyFS(folder, os.DirFS(h.dir)); err != nil {
		h.t.Logf("copy logs: %v", err)
	}
}

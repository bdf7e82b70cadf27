// Package soak_test runs the real program as processes, a mesh of them with
// stand-ins for the platform and the upstreams, and injects faults from outside:
// signals, links that are cut, silent, slow or reset, a store and upstreams that
// misbehave. It checks what callers and upstreams see against the promises of
// the pages.
//
//	go test ./internal/soak -run Soak -seeds 50        fifty fresh seeds
//	go test ./internal/soak -run Soak -seed 7          one seed again
//	go test ./internal/soak -run Soak -minutes 10      fresh seeds for some time
//
// Without a flag it plays the seeds that ever failed, for a short time each, and
// checks no bound of time.
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
	seedFlag    = flag.Uint64("seed", 0, "play this `seed` alone")
	seedsFlag   = flag.Int("seeds", 0, "play that `number` of fresh seeds")
	minutesFlag = flag.Int("minutes", 0, "play fresh seeds for that many `minutes`")
	abreastFlag = flag.Int("abreast", 2, "the `number` of seeds played at once")
	keepFlag    = flag.String("keep", "", "keep the logs of failed seeds in this `folder`")
)

const (
	// shortRun and longRun are for how long faults are injected.
	shortRun = 3 * time.Second
	longRun  = 12 * time.Second
	// callersPerNode is how many callers each node has.
	callersPerNode = 4
	// patience bounds the wait for a start or a recovery where time is not checked.
	patience = 60 * time.Second
	// servedShare is the part of the requests that must be served again, in percent.
	servedShare = 90
	// servedTime is for how long that is looked at.
	servedTime = 2 * time.Second
)

// regressions are the seeds that ever failed, with their causes.
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
			t.Run(tt.name, func(t *testing.T) { play(t, binary, tt.seed, shortRun, false) })
		}
		return
	}
	seeds := make(chan uint64)
	go draw(seeds)
	var players sync.WaitGroup
	for range *abreastFlag {
		players.Go(func() {
			for seed := range seeds {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, binary, seed, longRun, true) })
			}
		})
	}
	players.Wait()
}

// draw gives the seeds that the flags ask for.
func draw(seeds chan<- uint64) {
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

// build builds the program once.
func build(t *testing.T) (binary string) {
	binary = filepath.Join(t.TempDir(), "arbutusstep")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/arbutusstep").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// play runs one seed.
func play(t *testing.T, binary string, seed uint64, lasts time.Duration, timed bool) {
	w := newWorld(t, binary, seed, timed)
	assert.Assert(t, w.settled(patience), "the mesh did not start")
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i, n := range w.nodes {
		for j := range callersPerNode {
			c := &caller{
				name: fmt.Sprintf("c%d-%d", i, j), node: n, ledger: w.ledger, random: rand.New(rand.NewPCG(seed, uint64(i*callersPerNode+j))),
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	events := schedule(w.random, lasts, len(w.nodes))
	w.inject(events)
	w.checkRecovery()
	cancel()
	callers.Wait()
	// What was refused must not run later either.
	time.Sleep(timeLimit)
	found := w.ledger.judge()
	if len(found) == 0 {
		return
	}
	t.Logf("seed %d; events:", seed)
	for _, e := range events {
		t.Log(e)
	}
	for i, text := range found {
		if i < 20 {
			t.Error(text)
		}
	}
	w.keep(seed)
}

// inject lets the events happen and waits for their ends.
func (w *world) inject(events []event) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, e := range events {
		time.Sleep(time.Until(begun.Add(e.at)))
		running.Go(func() { e.fault.do(w, w.nodes[e.node], e.lasts, rand.New(rand.NewPCG(e.seed, 0))) })
	}
	running.Wait()
}

// checkRecovery waits until the mesh is whole again, and checks that it serves.
func (w *world) checkRecovery() {
	within := recoverTime
	if !w.timed {
		within = patience
	}
	if !w.settled(within) {
		w.ledger.breach("the mesh is not whole %v after the last fault", within)
	}
	from := time.Now()
	time.Sleep(servedTime)
	good, all := w.ledger.served(from, from.Add(servedTime/2))
	if good*100 < all*servedShare || all == 0 {
		w.ledger.breach("%d of %d requests are served after the recovery", good, all)
	}
}

// keep keeps the logs of a failed seed.
func (w *world) keep(seed uint64) {
	if *keepFlag == "" {
		return
	}
	folder := filepath.Join(*keepFlag, fmt.Sprint(seed))
	if err := os.CopyFS(folder, os.DirFS(w.dir)); err != nil {
		w.t.Logf("logs not kept: %v", err)
	}
}

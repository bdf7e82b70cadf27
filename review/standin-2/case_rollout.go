package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// rolloutCase moves a service to another version. After the order was completed and the old
// backends were stopped, the store comes back from a copy that is some seconds old, while all
// processes of the system are killed.
func rolloutCase(record string, trouble bool) (broken []string) {
	const (
		host    = "ficu95.example"
		recover = 15 * time.Second
		// copyAge is how old the copy is from which the store comes back.
		copyAge = 3500 * time.Millisecond
		// judged is how long requests are judged after the bound.
		judged = 10 * time.Second
	)
	rules := []map[string]any{
		route("course", "safe", "/course/", "catalogue", "2000ms", "1000ms", 2, 1),
		route("enrol", "unsafe", "/enrol/", "catalogue", "2500ms", "1000ms", 2, 2),
	}
	m := Machine{Service: "catalogue", Version: "v1", Slots: 18, WorkMS: 60}
	n := m
	n.Version = "v2"
	w := newWorld(record, "", config(7, []string{"catalogue"}, listener(host, rules...)), m, m, n, n)
	defer w.close()
	go w.Store.keepCopies()

	traffic := &traffic{w: w, host: host, machines: []int{0, 1, 2, 3}}
	stopped := make(chan struct{})
	go traffic.run(stopped)
	defer close(stopped)
	time.Sleep(3 * time.Second)
	w.Store.Put("rollouts", "catalogue", map[string]any{"service": "catalogue", "target_version": "v2", "duration": "12s"})
	w.Record.Say("operator orders catalogue to move to v2 within 12 s")
	ordered := time.Now()
	state := ""
	for state != "completed" {
		if state == "rolled_back" || time.Since(ordered) > 15*time.Second {
			cannotRun("the order ended as %q after %v", state, time.Since(ordered))
		}
		time.Sleep(20 * time.Millisecond)
		state = w.rolloutState("catalogue")
	}
	w.Record.Say("status of the order: completed. The old backends stop, and leave with their machines")
	traffic.set([]int{2, 3})
	for i := range 2 {
		w.Backends[i].end()
		w.Proxies[i].end()
	}
	time.Sleep(time.Second)
	before := traffic.take()
	w.Record.Say("answers until now, since the old backends stopped: %v", before)
	// PART=drill and PART=kill leave the other part of the disruption out.
	part := os.Getenv("PART")
	if trouble && part != "kill" {
		w.Store.SetAway(true)
		w.Record.Say("the store is away")
	}
	if trouble && part != "drill" {
		for _, p := range w.Proxies {
			p.end()
		}
		w.Record.Say("all processes of the system are killed")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble && part != "kill" {
		w.Store.Restore(copyAge)
		w.Store.SetAway(false)
		w.Record.Say("the store is back from a copy that is %v old, Store-Era 1: status %s", copyAge, w.Store.Status("rollouts", "catalogue"))
	}
	if trouble && part != "drill" {
		w.Proxies[2].start()
		w.Proxies[3].start()
		w.Record.Say("the processes are started again")
	}
	back := time.Now()
	for until := back.Add(recover); time.Now().Before(until); {
		time.Sleep(time.Second)
		w.Record.Say("answers in this second: %v, status %s", traffic.take(), w.Store.Status("rollouts", "catalogue"))
	}
	time.Sleep(judged)
	after := traffic.take()
	w.Record.Say("answers to requests sent from %v after the machines were back: %v", recover, after)
	if before.share() < 0.25 {
		cannotRun("less than a quarter was served before the final fault: %v", before)
	}
	if after.share() < 0.25 {
		broken = append(broken, fmt.Sprintf("RECOVER: of the requests sent later than %v after the machines were back, %.0f%% were served (%v), of those before the fault %.0f%%; the order that was reported as completed is now %q, and both backends of the service run and are ready",
			recover, 100*after.share(), after, 100*before.share(), w.rolloutState("catalogue")))
	}
	return broken
}

func (w *World) rolloutState(service string) string {
	var status struct{ State string }
	_ = json.Unmarshal([]byte(w.Store.Status("rollouts", service)), &status)
	return status.State
}

// answers counts answers by status; zero is no answer.
type answers map[int]int

func (a answers) share() float64 {
	total := 0
	for _, n := range a {
		total += n
	}
	return float64(a[200]) / float64(max(total, 1))
}

// sendEvery is the time between two requests.
const sendEvery = 8 * time.Millisecond

// traffic sends about 120 requests a second in turn to the machines.
type traffic struct {
	w    *World
	host string

	mu       sync.Mutex
	machines []int
	seen     answers
}

func (t *traffic) set(machines []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machines, t.seen = machines, nil
}

// take returns the answers since the last call.
func (t *traffic) take() (seen answers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen, t.seen = t.seen, nil
	return seen
}

func (t *traffic) run(stopped <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return
		case <-time.After(sendEvery):
		}
		t.mu.Lock()
		proxy := t.machines[i/2%len(t.machines)]
		t.mu.Unlock()
		go func() {
			var a Answer
			if i%2 == 0 {
				a, _ = t.w.send(proxy, "POST", "/enrol/2f", t.host, 2500, "", []byte("seat=1"))
			} else {
				a, _ = t.w.send(proxy, "GET", "/course/2f", t.host, 2000, "", nil)
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.seen == nil {
				t.seen = make(answers)
			}
			t.seen[a.Status]++
		}()
	}
}

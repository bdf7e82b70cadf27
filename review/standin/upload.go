package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimit is memory_mb of a machine, in kilobytes.
const memoryLimit = 284 << 10

// residentKilobytes returns the memory that a process uses.
func residentKilobytes(pid int) (kilobytes int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "RssAnon:") {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, "RssAnon:"), "%d", &kilobytes)
		}
	}
	return kilobytes
}

// enforceMemory kills the proxy when it exceeds the memory of its machine and starts it
// again after a short delay, as the platform does.
func (m *machine) enforceMemory(stop <-chan struct{}, ends *int, most *int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := residentKilobytes(m.command.Process.Pid)
		*most = max(*most, used)
		if used > memoryLimit {
			m.fleet.record.line("the proxy of %s uses %d MB, more than memory_mb: it is killed", m.name, used>>10)
			*ends++
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.ended
			time.Sleep(500 * time.Millisecond)
			m.startProxy()
		}
	}
}

// playUpload: clients send bodies within max_body_bytes. The rule is Fault.
func playUpload(f *fleet, trouble bool) (broken bool) {
	f.writeConfig(1, []rule{
		{name: "r-post", kind: "unsafe", prefix: "/pufi791/", service: "huvo11a", target: "2000ms", timeout: "1500ms", priority: 2, attempts: 2},
	}, "huvo11a")
	for range 4 {
		f.add("huvo11a", 9)
	}
	f.waitReady()
	size := 1200
	if trouble {
		size = 60 << 20
	}
	body := bytes.Repeat([]byte("b"), size)
	end := time.Now().Add(40 * time.Second)
	stop := make(chan struct{})
	ends, most := make([]int, len(f.machines)), make([]int, len(f.machines))
	var watchers, group sync.WaitGroup
	var mutex sync.Mutex
	count, lost := 0, 0
	for i, m := range f.machines {
		watchers.Go(func() { m.enforceMemory(stop, &ends[i], &most[i]) })
		for range 4 {
			group.Go(func() {
				for time.Now().Before(end) {
					c := &client{record: f.record, address: m.callers}
					q := newRequest(http.MethodPost, "/pufi791/2f", body, 2500*time.Millisecond)
					c.do(q)
					c.close()
					mutex.Lock()
					count++
					if q.status == 0 && f.runsOf(q.id) > 0 {
						lost++
					}
					mutex.Unlock()
					time.Sleep(time.Second + time.Duration(rand.IntN(2000))*time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	close(stop)
	watchers.Wait()
	affected := 0
	for i, m := range f.machines {
		f.record.summary("proxy of %s: killed %d times for its memory, at most %d MB in use", m.name, ends[i], most[i]>>10)
		if ends[i] >= 3 {
			affected++
		}
	}
	f.record.summary("%d requests of %d bytes, %d ran and got no answer; on %d of %d machines the process ended three times", count, size, lost, affected, len(f.machines))
	return affected >= 2 && affected*10 >= len(f.machines)
}

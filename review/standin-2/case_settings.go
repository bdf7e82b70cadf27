package main

import (
	"fmt"
	"syscall"
	"time"
)

// settingsCase changes the address of the store in the settings files, and tells the processes by
// SIGHUP. The old address goes on to answer for a while.
func settingsCase(record string, trouble bool) (broken []string) {
	const (
		host        = "ficu95.example"
		contact     = 4 * time.Second
		configApply = 2500 * time.Millisecond
	)
	services := []string{"gedenkbuch", "druckarchiv"}
	old := route("notice-view", "safe", "/lohu930/", "gedenkbuch", "1200ms", "800ms", 2, 1)
	moved := route("notice-view", "safe", "/lohu930/", "druckarchiv", "1200ms", "800ms", 2, 1)
	dropped := route("notice-list", "safe", "/bina118/", "gedenkbuch", "1200ms", "800ms", 2, 1)
	m := Machine{Service: "gedenkbuch", Slots: 9, WorkMS: 30}
	n := Machine{Service: "druckarchiv", Slots: 9, WorkMS: 30}
	w := newWorld(record, "", config(7, services, listener(host, old, dropped)), m, m, n)
	defer w.close()
	if trouble {
		before, after := w.Store.Addr, w.Store.listen()
		w.Record.Say("the store listens at %s as well as at %s", after, before)
		for _, p := range w.Proxies {
			p.Store = after
			p.writeSettings()
			must(p.cmd.Process.Signal(syscall.SIGHUP))
		}
		w.Record.Say("the settings files of all machines name %s, and the processes got SIGHUP", after)
		time.Sleep(10 * time.Second)
		w.Store.closeListener(before)
		w.Record.Say("the store has left %s", before)
	}
	time.Sleep(contact + 2*time.Second)
	w.Store.Put("config", "main", config(9, services, listener(host, moved)))
	acknowledged := time.Now()
	w.Record.Say("operator writes config r9: /lohu930/ moves to druckarchiv, /bina118/ is dropped")
	time.Sleep(2 * configApply)
	for range 5 {
		for proxy, p := range w.Proxies {
			a, at := w.send(proxy, "GET", "/lohu930/2f", host, 2000, "", nil)
			late := at.Sub(acknowledged).Round(time.Millisecond)
			for _, run := range w.ran(a.ID) {
				if w.serviceOf(run.Instance) == "gedenkbuch" {
					broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent to %s %v after the acknowledgement of r9, was run by gedenkbuch at %s", a.ID, p.Name, late, run.Instance))
				}
			}
			a, _ = w.send(proxy, "GET", "/bina118/2f", host, 2000, "", nil)
			for _, run := range w.ran(a.ID) {
				broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent to %s %v after the acknowledgement of r9, was run with a dropped route at %s", a.ID, p.Name, late, run.Instance))
			}
		}
		time.Sleep(time.Second)
	}
	return broken
}

func (w *World) serviceOf(instance string) string {
	for _, b := range w.Backends {
		if b.ID == instance {
			return b.Service
		}
	}
	return ""
}

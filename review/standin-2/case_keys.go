package main

import (
	"fmt"
	"time"
)

// keysCase takes the keys of the only tenant away with the tenant itself: the list of tenants of
// the next configuration is empty.
func keysCase(record string, trouble bool) (broken []string) {
	const (
		host   = "ficu95.example"
		revoke = 5 * time.Second
	)
	settings := "revocation: 5s\nquota:\n  window: 5s\n  overage: 0.1\n  slack: 20\n"
	services := []string{"registry", "catalogue"}
	rules := []map[string]any{
		route("enrol", "unsafe", "/enrol/", "registry", "2500ms", "1000ms", 2, 1),
		route("course", "safe", "/course/", "catalogue", "2000ms", "1000ms", 2, 0),
	}
	make := func(version int, tenants []map[string]any) map[string]any {
		c := config(version, services, listener(host, rules...))
		c["tenants"] = tenants
		return c
	}
	tenant := []map[string]any{{"name": "college", "api_keys": []string{"k-8f21", "k-90aa"}, "priority": 0, "rate_per_s": 50, "burst": 50}}
	first := make(7, tenant)
	w := newWorld(record, settings, first, Machine{Service: "registry", Slots: 18, WorkMS: 50}, Machine{Service: "registry", Slots: 18, WorkMS: 50}, Machine{Service: "catalogue", Slots: 18, WorkMS: 50})
	defer w.close()
	type sent struct {
		id, key string
		at      time.Time
	}
	var all []sent
	send := func(key string) (statuses []int) {
		for proxy := range w.Proxies {
			for _, r := range []struct{ method, target string }{{"POST", "/enrol/2f"}, {"GET", "/course/2f"}} {
				var body []byte
				if r.method == "POST" {
					body = []byte("seat=1")
				}
				a, at := w.send(proxy, r.method, r.target, host, 2500, "Api-Key: "+key+"\r\n", body)
				all = append(all, sent{id: a.ID, key: key, at: at})
				statuses = append(statuses, a.Status)
			}
		}
		return statuses
	}
	w.Record.Say("requests with a key that is in force: %v", send("k-8f21"))
	w.Record.Say("requests with a key that no configuration ever held: %v", send("k-none"))
	next := make(9, tenant)
	if trouble {
		next = make(9, []map[string]any{})
	}
	w.Store.Put("config", "main", next)
	acknowledged := time.Now()
	w.Record.Say("operator writes config r9, tenants %v", next["tenants"])
	time.Sleep(revoke + time.Second)
	w.Record.Say("requests with the same key, sent over 6 s after the acknowledgement of r9: %v", send("k-8f21"))
	w.Record.Say("requests with a key that no configuration ever held: %v", send("k-none"))
	for _, s := range all {
		for _, run := range w.ran(s.id) {
			if key := run.Headers["Api-Key"]; len(key) > 0 {
				broken = append(broken, fmt.Sprintf("UNASKED: %s of request %s ran at %s, to which the key %q was passed on, X-Tenant %q", run.Target, s.id, run.Instance, key, run.Headers["X-Tenant"]))
			}
			if s.key == "k-none" {
				broken = append(broken, fmt.Sprintf("ROUTE: request %s ran at %s with a key that no configuration ever held", s.id, run.Instance))
			}
			if late := s.at.Sub(acknowledged); trouble && s.key == "k-8f21" && late > revoke {
				broken = append(broken, fmt.Sprintf("CONFIG: request %s, sent %v after the acknowledgement that took its key away, ran at %s", s.id, late.Round(time.Millisecond), run.Instance))
			}
			if tenant := run.Headers.Get("X-Tenant"); !(trouble && s.at.After(acknowledged)) && s.key == "k-8f21" && tenant != "college" {
				broken = append(broken, fmt.Sprintf("UNASKED: request %s ran at %s for tenant %q", s.id, run.Instance, tenant))
			}
		}
	}
	return broken
}

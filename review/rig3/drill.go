package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

const (
	drainLimit   = 2 * time.Second // drain_ms
	stableWindow = 3 * time.Second // stable_window_ms
)

func config(version int, routes ...map[string]any) map[string]any {
	services := map[string]bool{}
	var list []any
	var paths []any
	for _, r := range routes {
		s := r["service"].(string)
		if !services[s] {
			services[s] = true
			list = append(list, map[string]any{"name": s, "health_path": "/health"})
		}
		paths = append(paths, r)
	}
	return map[string]any{
		"version": version, "services": list, "hosts": []any{map[string]any{"host": "jepu9.example", "paths": paths}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": 2500, "target_latency_ms": 600, "max_attempts": 3, "priority": 1}
}

// drill lets the store come back from a copy that is some seconds old. Later, in calm,
// servers leave; no request may reach them drain_ms after the store accepted that.
func drill(rec *record, trouble bool) bool {
	st := newStore()
	addr := st.listen(randomIP())
	cfg := config(7, route("booking", "/xapu221/", "unsafe", "reservas"))
	st.put("op", "config", cfg)
	work := func() time.Duration { return 500*time.Millisecond + rand.N(400*time.Millisecond) }
	var servers []*server
	for i := range 30 {
		servers = append(servers, newServer(rec, st, fmt.Sprintf("i-%02d", i), "reservas", []string{"mdp", "pinamar", "necochea"}[i%3], work))
	}
	daemons := newFleet(addr, "mdp", "mdp", "pinamar", "pinamar", "necochea", "necochea")
	rec.say("6 daemons are ready, store at version %d", st.version())
	stop := make(chan struct{})
	s := newSender(rec, "jepu9.example")
	go s.pace(stop, daemons, 40*time.Millisecond, "POST", "/xapu221/2f", 2500*time.Millisecond)

	time.Sleep(4 * time.Second)
	copied := st.backup()
	rec.say("copy of the store taken at version %d", copied.version)
	time.Sleep(8 * time.Second)
	if trouble {
		left := st.leave()
		rec.say("store is away, at version %d", left)
		time.Sleep(time.Second)
		if os.Getenv("COPY") == "0" { // For comparison: the store returns as it was.
			st.back(nil)
			rec.say("store is back, nothing is lost")
		} else {
			st.back(&copied)
			rec.say("store is back from the copy, 9 s old, in era 2")
		}
		st.put("op", "config", cfg)
	} else {
		time.Sleep(time.Second)
	}
	returned := time.Now()
	time.Sleep(stableWindow + 300*time.Millisecond)
	acked := map[string]time.Time{}
	for _, v := range servers[:6] {
		acked[v.id] = v.drain()
		rec.say("%.1f s after the return the store accepted that %s is draining, version %d", time.Since(returned).Seconds(), v.id, st.version())
	}
	for i, v := range servers[:6] {
		// Half of them leave soon after drain_ms, the others stay a little longer.
		stay := drainLimit + []time.Duration{600 * time.Millisecond, 5 * time.Second}[i/3]
		go v.endAfter(acked[v.id], stay)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	s.wg.Wait()
	late, lost := 0, 0
	answers := s.byID()
	for _, v := range servers {
		for _, a := range v.seen() {
			if at, ok := acked[v.id]; ok && a.at.Sub(at) > drainLimit {
				late++
				r := answers[a.id]
				if r.status != 200 {
					lost++
				}
				rec.say("order %s, sent at %.3f, reached %s %.2f s after that was accepted; answered %d", a.id, rec.at(r.sent), v.id, a.at.Sub(at).Seconds(), r.status)
			}
		}
	}
	statuses := map[int]int{}
	for _, r := range s.replies() {
		statuses[r.status]++
	}
	rec.say("answers by status: %v; orders that came too late: %d, of these without success: %d; store calls: %d", statuses, late, lost, st.callCount())
	return late > 0
}

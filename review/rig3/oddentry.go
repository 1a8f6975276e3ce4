package main

import (
	"fmt"
	"os"
	"time"
)

// oddEntry lets a server leave. Then another writer writes an entry under its id in which
// `born` is missing, so that it names no server to use. No request may reach the server
// drain_ms after the store accepted that its entry was removed.
func oddEntry(rec *record, trouble bool) bool {
	st := newStore()
	addr := st.listen(randomIP())
	st.put("op", "config", config(7, route("booking", "/xapu221/", "unsafe", "reservas")))
	work := func() time.Duration { return 300 * time.Millisecond }
	zones := []string{"mdp", "pinamar", "necochea"}
	var servers []*server
	for i := range 6 {
		servers = append(servers, newServer(rec, st, fmt.Sprintf("i-%02d", i), "reservas", zones[i%3], work))
	}
	daemons := newFleet(addr, zones...)
	rec.say("3 daemons are ready")
	stop := make(chan struct{})
	s := newSender(rec, "jepu9.example")
	go s.pace(stop, daemons, 50*time.Millisecond, "POST", "/xapu221/2f", 2500*time.Millisecond)
	time.Sleep(5 * time.Second)

	gone := servers[0]
	entry := gone.entry()
	if os.Getenv("OTHER") == "1" { // For comparison: the server is one of another service.
		gone = newServer(rec, st, "k-00", "catalogo", "mdp", work)
		entry = gone.entry()
		entry["service"] = "reservas"
		time.Sleep(time.Second)
	}
	acked := gone.leave()
	rec.say("the store accepted that the entry of %s is removed; the server stays for 14 s", gone.id)
	time.Sleep(time.Second)
	if trouble {
		delete(entry, "born")
		st.put("servers", gone.id, entry)
		rec.say("another writer wrote an entry without `born` under the id %s: %v", gone.id, entry)
	}
	go gone.endAfter(acked, 14*time.Second)
	time.Sleep(16 * time.Second)
	close(stop)
	s.wg.Wait()
	late, lost := 0, 0
	answers := s.byID()
	for _, a := range gone.seen() {
		if after := a.at.Sub(acked); after > drainLimit {
			late++
			r := answers[a.id]
			if r.status != 200 {
				lost++
			}
			rec.say("order %s to %s reached %s %.2f s after that was accepted; answered %d", a.id, r.daemon.name, gone.id, after.Seconds(), r.status)
		}
	}
	rec.say("orders that came too late: %d, of these without success: %d", late, lost)
	return late > 0
}

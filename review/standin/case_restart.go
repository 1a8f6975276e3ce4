package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	drainMS = 2000 * time.Millisecond
	// clockStep is how far the clock of the server's machine is set back.
	clockStep = 2400 * time.Millisecond
	// orderInterval is the time between two orders. All servers are needed for them.
	orderInterval = 22 * time.Millisecond
	orderDeadline = 2500 * time.Millisecond
	// leavingTime is how long a server still serves after its report was accepted.
	leavingTime = 8 * time.Second
)

// restartedServerLeaves: two servers start, crash 1.5 s later and start again at once,
// under the same id and address; their entry stays in the store meanwhile. Each then is
// replaced: a new server starts, the old one reports that it is draining, serves on for
// some seconds and ends. The disruption is that
// the clock of their machines is set back by 2.4 s between the two starts.
func restartedServerLeaves(f *fleet, trouble bool) ([]string, error) {
	r := f.record
	work := 160 * time.Millisecond
	for i, zone := range []string{"mdp", "pinamar", "necochea"} {
		if _, err := startUpstream(r, f.store, fmt.Sprintf("i-steady-%d", i+1), service, zone, net.JoinHostPort(randomIP(), "8080"), work, time.Now()); err != nil {
			return nil, err
		}
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		sendOrders(f, stop, &clients)
	}()
	time.Sleep(4 * time.Second)

	names := []string{"i-early", "i-late"}
	firsts := map[string]*upstream{}
	for i, id := range names {
		u, err := startUpstream(r, f.store, id, service, []string{"mdp", "pinamar"}[i], net.JoinHostPort(randomIP(), "8080"), work, time.Now())
		if err != nil {
			return nil, err
		}
		firsts[id] = u
	}
	time.Sleep(1500 * time.Millisecond)
	seconds := map[string]*upstream{}
	for _, id := range names {
		first := firsts[id]
		first.crash()
		born := time.Now()
		if trouble {
			born = born.Add(-clockStep)
		}
		u, err := startUpstream(r, f.store, id, service, first.zone, first.address, work, born)
		if err != nil {
			return nil, err
		}
		seconds[id] = u
	}

	accepted := map[string]time.Time{}
	var leaving sync.WaitGroup
	for id, delay := range map[string]time.Duration{"i-early": 4 * time.Second, "i-late": 15 * time.Second} {
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			time.Sleep(delay - time.Second)
			if _, err := startUpstream(r, f.store, id+"-next", service, seconds[id].zone, net.JoinHostPort(randomIP(), "8080"), work, time.Now()); err != nil {
				r.add("no replacement for %s: %v", id, err)
			}
			time.Sleep(time.Second)
			at := seconds[id].drain()
			r.mu.Lock()
			accepted[id] = at
			r.mu.Unlock()
			time.Sleep(leavingTime)
			seconds[id].leave()
		}()
	}
	leaving.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return lateArrivals(r, accepted), nil
}

// sendOrders sends orders until stop is closed.
func sendOrders(f *fleet, stop <-chan struct{}, clients *sync.WaitGroup) {
	var directories []*directory
	for _, zone := range []string{"mdp", "pinamar", "necochea"} {
		directories = append(directories, &directory{host: orderHost, zone: zone, daemons: f.daemons})
	}
	tick := time.NewTicker(orderInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("order-%05d", n)
			send(f.record, directories[n%len(directories)], "POST", orderPath, id, "order "+id, orderDeadline)
		}()
	}
}

// lateArrivals returns what broke the rule DRAIN: a request that reached a server later
// than drain_ms after the store had accepted that the server is draining.
func lateArrivals(r *record, accepted map[string]time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, at := range accepted {
		late, lost := 0, 0
		var last time.Duration
		for _, a := range r.arrivals {
			if after := a.at.Sub(at); a.server == id && after > drainMS {
				late++
				last = max(last, after)
				if got := r.answers[a.request]; got.status == 502 || got.status == 0 {
					lost++
				}
			}
		}
		if late > 0 {
			out = append(out, fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the store accepted that it is draining, the last one after %.2f s; %d of them were orders that ended without an answer of the server", late, id, drainMS, last.Seconds(), lost))
		}
	}
	return out
}

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	drainBound = 2000 * time.Millisecond
	// clockStep is how far the clock of a server's machine is set back.
	clockStep = 2400 * time.Millisecond
	// firstRun is how long a server runs until it crashes and starts again.
	firstRun = 1500 * time.Millisecond
	// leavingTime is how long a server still serves after its report was accepted.
	leavingTime   = 8 * time.Second
	orderWork     = 800 * time.Millisecond
	orderInterval = 33 * time.Millisecond
	orderDeadline = 2500 * time.Millisecond
	// Two of fourteen servers start again: srv_crash takes 0.15 of them.
	steadyServers    = 12
	restartedServers = 2
)

// restartedServerLeaves: two servers start, crash 1.5 s later and start again at once,
// under the same ids and addresses; their entries stay in the store meanwhile. Later each
// is replaced: a new server starts, the old one reports that it is draining, serves on for
// some seconds and ends. The disruption is that the clocks of their machines are set back
// by 2.4 s between the two starts.
func restartedServerLeaves(root string, r *record, trouble bool) ([]string, error) {
	f, err := newFleet(root, r, daemonsPerZone, config(7, maxBodyBytes))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	for i := range steadyServers {
		if _, err := f.startServer(fmt.Sprintf("i-steady-%d", i+1), zones[i%len(zones)], time.Now()); err != nil {
			return nil, err
		}
	}
	clients := startClients(f)
	defer clients.end()
	time.Sleep(4 * time.Second)

	var firsts, seconds []*upstream
	for i := range restartedServers {
		u, err := f.startServer(fmt.Sprintf("i-restarted-%d", i+1), zones[i%len(zones)], time.Now())
		if err != nil {
			return nil, err
		}
		firsts = append(firsts, u)
	}
	time.Sleep(firstRun)
	for _, first := range firsts {
		first.crash()
		born := time.Now()
		if trouble {
			born = born.Add(-clockStep)
		}
		u, err := startUpstream(r, f.store, first.id, service, first.zone, first.address, orderWork, born)
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, u)
	}

	accepted := map[string]time.Time{}
	var leaving sync.WaitGroup
	for i, u := range seconds {
		delay := time.Duration(6+8*i) * time.Second
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			time.Sleep(delay)
			if _, err := f.startServer(u.id+"-next", u.zone, time.Now()); err != nil {
				r.add("no replacement for %s: %v", u.id, err)
			}
			time.Sleep(time.Second)
			at := u.drain()
			r.mu.Lock()
			accepted[u.id] = at
			r.mu.Unlock()
			time.Sleep(leavingTime)
			u.leave()
		}()
	}
	leaving.Wait()
	clients.end()
	return lateArrivals(r, accepted), nil
}

// startServer starts a server at an address of its own.
func (f *fleet) startServer(id, zone string, born time.Time) (*upstream, error) {
	return startUpstream(f.record, f.store, id, service, zone, net.JoinHostPort(randomIP(), "8080"), orderWork, born)
}

// clients send orders until they are ended.
type clients struct {
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
}

func startClients(f *fleet) *clients {
	c := &clients{stop: make(chan struct{})}
	c.done.Add(1)
	go c.run(f)
	return c
}

func (c *clients) run(f *fleet) {
	defer c.done.Done()
	var directories []*directory
	for _, zone := range zones {
		directories = append(directories, &directory{host: orderHost, zone: zone, daemons: f.daemons})
	}
	tick := time.NewTicker(orderInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			id := fmt.Sprintf("order-%05d", n)
			send(f.record, directories[n%len(directories)], "POST", orderPath, id, "order "+id, orderDeadline)
		}()
	}
}

// end stops the clients and waits for their last answers.
func (c *clients) end() {
	c.once.Do(func() { close(c.stop) })
	c.done.Wait()
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
			after := a.at.Sub(at)
			if a.server != id || after <= drainBound {
				continue
			}
			late++
			last = max(last, after)
			if got := r.answers[a.request]; got.status != 200 {
				lost++
			}
		}
		if late > 0 {
			out = append(out, fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the store accepted that it is draining, the last one after %.2f s; %d of them were not served", late, id, drainBound, last.Seconds(), lost))
		}
	}
	return out
}

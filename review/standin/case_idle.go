package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// longestIdle is the largest number that every JSON parser keeps exactly, as an operator
	// writes it for "no limit".
	longestIdle = 9007199254740991
	usualIdle   = 20000
	// tryTime is how long the consumers try, after twice config_apply_ms: longer than
	// stable_window_ms.
	tryTime           = 4 * time.Second
	consumersPerFront = 8
	stableWindow      = 3 * time.Second
)

// longIdleTimeout: the operator raises idle_timeout_ms. Consumers go on sending orders on
// new connections. The disruption is that change; without it, the value is raised to 20 s
// only.
func longIdleTimeout(root string, r *record, trouble bool) ([]string, error) {
	f, err := newFleet(root, r, daemonsPerZone, config(7, maxBodyBytes))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	for i := range 9 {
		if _, err := startUpstream(r, f.store, fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], net.JoinHostPort(randomIP(), "8080"), 50*time.Millisecond, time.Now()); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	before := f.tryAll("before", time.Second)
	for _, t := range before {
		if t.served == 0 {
			return nil, fmt.Errorf("%s served nothing before the change", t.daemon.name)
		}
	}
	idle := int64(usualIdle)
	if trouble {
		idle = longestIdle
	}
	c := config(8, maxBodyBytes)
	c["limits"].(map[string]any)["idle_timeout_ms"] = idle
	at := f.store.put("op", "config", c)
	r.add("the operator sets idle_timeout_ms to %d in version 8, store accepted %s", idle, r.clock(at))
	time.Sleep(4 * time.Second)
	return refusingFronts(f.tryAll("after", tryTime)), nil
}

// tries is what the consumers of one daemon saw.
type tries struct {
	daemon    *daemon
	consumers int
	sent      int
	answered  int
	served    int
	// ready is set if the daemon said at the end that it is ready.
	ready bool
	time  time.Duration
}

// tryAll lets consumers send orders to every daemon, each on a new connection, for the
// time.
func (f *fleet) tryAll(name string, duration time.Duration) []*tries {
	var all []*tries
	var done sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for _, d := range f.daemons {
		t := &tries{daemon: d, consumers: consumersPerFront, time: duration}
		all = append(all, t)
		for i := range consumersPerFront {
			done.Add(1)
			go func() {
				defer done.Done()
				for n := 1; time.Now().Before(end); n++ {
					status := orderOnce(f.record, d.address(frontPort), fmt.Sprintf("%s-%s-%d-%d", name, d.name, i+1, n))
					mu.Lock()
					t.sent++
					if status != 0 {
						t.answered++
					}
					if status == http.StatusOK {
						t.served++
					}
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
	}
	done.Wait()
	client := &http.Client{Timeout: time.Second}
	for _, t := range all {
		if resp, err := client.Get("http://" + t.daemon.address(readyPort) + "/readiness"); err == nil {
			_ = resp.Body.Close()
			t.ready = resp.StatusCode == http.StatusOK
		}
		f.record.add("%s, %s: %d orders of %d consumers, %d answered, %d served, ready %v", name, t.daemon.name, t.sent, t.consumers, t.answered, t.served, t.ready)
	}
	return all
}

// orderOnce sends one order on a new connection and returns the status of the answer, or 0.
func orderOnce(r *record, address, id string) int {
	a := answer{sent: time.Now(), daemon: address}
	defer func() {
		a.ended = time.Now()
		r.answered(id, a)
	}()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.note = err.Error()
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(orderDeadline))
	body := "order " + id
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		orderPath, orderHost, id, orderDeadline.Milliseconds(), len(body), body); err != nil {
		a.note = err.Error()
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.note = err.Error()
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	a.status = resp.StatusCode
	return a.status
}

// refusingFronts returns what broke the rule RECOVER: a daemon that says it is ready takes
// no new connection for stable_window_ms, while seven consumers or more try.
func refusingFronts(all []*tries) []string {
	refusing, sent := 0, 0
	for _, t := range all {
		if t.ready && t.answered == 0 && t.consumers >= 7 && t.time >= stableWindow {
			refusing++
			sent += t.sent
		}
	}
	if refusing == 0 {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: %d of %d daemons say that they are ready and took no new connection for %v, while %d consumers tried at each; %d orders were not answered", refusing, len(all), tryTime, consumersPerFront, sent)}
}

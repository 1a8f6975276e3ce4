package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	downloadBytes = 1536 << 10
	// behind is the number of requests that a consumer sends behind a download.
	behind = 4
	// breakEvery is how many answers of a faulty upstream there are for one that it breaks off.
	breakEvery = 50
)

// pipeline lets consumers send lookups behind a download, and some upstreams of the downloads
// break off one answer in fifty. No lookup that was passed on to a sound upstream may end
// without an answer, more than three times at a machine.
func pipeline(rec *record, trouble bool) bool {
	st := newStore()
	addr := st.listen(randomIP())
	st.put("op", "config", config(7, route("catalogue-pull", "/lepu270/", "download", "catalogo"), route("stock-check", "/mibo31/", "safe", "disponible")))
	zones := []string{"mdp", "pinamar", "necochea"}
	lookups := map[string]string{}
	var sound []*server
	for i := range 6 {
		v := newServer(rec, st, fmt.Sprintf("d-%02d", i), "disponible", zones[i%3], func() time.Duration { return 100*time.Millisecond + rand.N(200*time.Millisecond) })
		sound = append(sound, v)
		w := newServer(rec, st, fmt.Sprintf("c-%02d", i), "catalogo", zones[i%3], func() time.Duration { return 200 * time.Millisecond })
		w.pad = downloadBytes
		if trouble && i < 3 { // half of them
			w.breakEvery = breakEvery
		}
	}
	daemons := newFleet(addr, zones...)
	rec.say("3 daemons are ready")
	p := &pipeliner{rec: rec, lookups: lookups}
	end := time.Now().Add(70 * time.Second)
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 80 * time.Millisecond)
			for time.Now().Before(end) {
				p.round(daemons[rand.IntN(len(daemons))])
				time.Sleep(200*time.Millisecond + rand.N(400*time.Millisecond))
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	ran := map[string]string{}
	for _, v := range sound {
		for _, a := range v.seen() {
			ran[a.id] = v.id
		}
	}
	lost := map[string]int{}
	for id, d := range p.unanswered {
		if server, ok := ran[id]; ok {
			lost[d]++
			rec.log("lost     %s: passed on by %s to %s, its connection closed without an answer", id, d, server)
		}
	}
	most := 0
	for _, n := range lost {
		most = max(most, n)
	}
	rec.say("%d downloads, %d of them broken off; %d lookups answered", p.downloads, p.broken, p.answered)
	rec.say("lookups that were passed on to a sound upstream and not answered, by machine: %v", lost)
	return most > 3
}

// pipeliner is a consumer that sends requests without waiting for the answers.
type pipeliner struct {
	rec     *record
	lookups map[string]string

	mu                          sync.Mutex
	number                      int
	downloads, broken, answered int
	unanswered                  map[string]string
}

// round sends a download and lookups behind it on a new connection and reads the answers.
func (p *pipeliner) round(d *daemon) {
	c, err := net.DialTimeout("tcp4", d.front(), time.Second)
	if err != nil {
		p.rec.log("connect  %s: %v", d.name, err)
		return
	}
	defer c.Close()
	var ids []string
	var text strings.Builder
	for i := range 1 + behind {
		p.mu.Lock()
		p.number++
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), p.number)
		p.mu.Unlock()
		ids = append(ids, id)
		path := "/mibo31/2f"
		if i == 0 {
			path = "/lepu270/2f"
		}
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", path, id)
		p.rec.log("send     %s to %s: GET %s, number %d on its connection", id, d.name, path, i+1)
	}
	io.WriteString(c, text.String())
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	for i, id := range ids {
		resp, err := http.ReadResponse(r, nil)
		var n int64
		if err == nil {
			n, err = io.Copy(io.Discard, resp.Body)
		}
		p.mu.Lock()
		if i == 0 {
			p.downloads++
		}
		if err != nil {
			p.rec.log("answer   %s from %s: %v after %d bytes of its body", id, d.name, err, n)
			if p.unanswered == nil {
				p.unanswered = map[string]string{}
			}
			if i == 0 {
				p.broken++
			}
			for _, next := range ids[max(i, 1):] {
				p.unanswered[next] = d.name
			}
			p.mu.Unlock()
			return
		}
		p.rec.log("answer   %s from %s: %d, %d bytes", id, d.name, resp.StatusCode, n)
		if i > 0 {
			p.answered++
		}
		p.mu.Unlock()
	}
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// listBytes is the size of a list, and listTime how long a server takes to send it.
	listBytes = 2 << 20
	listTime  = 40 * time.Millisecond
	// slowFactor is the x of srv_slow, slowServers the share of the servers.
	slowFactor  = 12
	slowServers = 4
	servers     = 10
	readers     = 40
	// secondDelay is how long after the first request a client sends the second one.
	secondDelay = 200 * time.Millisecond
	// continueWait is how long a client waits for the interim response 100.
	continueWait = time.Second
	updateBody   = "a list of racks to look up"
)

// pipelinedExpect: clients read a list of 2 MiB and, 200 ms later on the same connection,
// send a second request of a safe route, with a body and "Expect: 100-continue". The
// disruption is that four of ten servers are slow, so that the list may still be on its way
// then.
func pipelinedExpect(root string, r *record, trouble bool) ([]string, error) {
	f, err := newFleet(root, r, daemonsPerZone, config(7, maxBodyBytes))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	var all []*upstream
	for i := range servers {
		u, err := startUpstream(r, f.store, fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], net.JoinHostPort(randomIP(), "8080"), 5*time.Millisecond, time.Now())
		if err != nil {
			return nil, err
		}
		u.listBytes, u.listTime = listBytes, listTime
		all = append(all, u)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, u := range all[:slowServers] {
			u.listTime *= slowFactor
			r.add("server %s is slow from now on", u.id)
		}
	}
	var mu sync.Mutex
	wrong := 0
	var done sync.WaitGroup
	for i := range readers {
		done.Add(1)
		go func() {
			defer done.Done()
			d := &directory{host: orderHost, zone: zones[i%len(zones)], daemons: f.daemons}
			if !readList(r, d, i+1) {
				mu.Lock()
				defer mu.Unlock()
				wrong++
			}
		}()
		time.Sleep(150 * time.Millisecond)
	}
	done.Wait()
	if wrong == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("MIXED: %d of %d clients got a success whose body is not the server's", wrong, readers)}, nil
}

// readList lets one client read a list, with a second request behind it. It returns false
// if the list came with a success and a complete body that is not the server's.
func readList(r *record, d *directory, number int) bool {
	address, err := d.pick()
	if err != nil {
		r.add("reader %d: %v", number, err)
		return true
	}
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		r.add("reader %d: %v", number, err)
		return true
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	listID, lookupID := fmt.Sprintf("list-%02d", number), fmt.Sprintf("lookup-%02d", number)
	sent := time.Now()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", readPath, orderHost, listID); err != nil {
		return true
	}
	go func() {
		time.Sleep(secondDelay)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
			readPath, orderHost, lookupID, len(updateBody))
		time.Sleep(continueWait)
		_, _ = io.WriteString(c, updateBody)
	}()
	reader := bufio.NewReader(c)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		r.answered(listID, answer{sent: sent, daemon: address, note: err.Error()})
		return true
	}
	body, err := io.ReadAll(resp.Body)
	want := listBody(listID, listBytes)
	same := bytes.Equal(body, want)
	note := fmt.Sprintf("%d bytes, signature %s, body of the server %v", len(body), resp.Header.Get("Response-Seal"), same)
	if at := strings.Index(string(body), "HTTP/1.1"); at >= 0 {
		note += fmt.Sprintf(", at byte %d of the body: %q", at, body[at:min(at+25, len(body))])
	}
	if err != nil {
		note += ", " + err.Error()
	}
	r.answered(listID, answer{status: resp.StatusCode, sent: sent, ended: time.Now(), daemon: address, note: note})
	readLookup(r, reader, lookupID, address, sent.Add(secondDelay))
	return same || err != nil || resp.StatusCode != http.StatusOK
}

// readLookup records the answer to the second request.
func readLookup(r *record, reader *bufio.Reader, id, address string, sent time.Time) {
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			r.answered(id, answer{sent: sent, daemon: address, note: err.Error()})
			return
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		r.answered(id, answer{status: resp.StatusCode, sent: sent, ended: time.Now(), daemon: address})
		return
	}
}

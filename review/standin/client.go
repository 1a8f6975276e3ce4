package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// directory is what one client knows of the addresses of a host.
type directory struct {
	mu        sync.Mutex
	host      string
	zone      string
	daemons   []*daemon
	addresses []string
	expires   time.Time
}

// pick returns an address for a new connection.
func (d *directory) pick() (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expires) {
		d.renew()
	}
	if len(d.addresses) == 0 {
		return "", errors.New("no address")
	}
	return d.addresses[rand.IntN(len(d.addresses))], nil
}

// renew asks up to three daemons, the nearest first, for the addresses.
func (d *directory) renew() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var near, far []*daemon
	for _, n := range d.daemons {
		if n.zone == d.zone {
			near = append(near, n)
			continue
		}
		far = append(far, n)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	asked := append(near, far...)
	for _, n := range asked[:min(3, len(asked))] {
		resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=ar-costa&zone=%s", n.address(directoryPort), d.host, d.zone))
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(a.Addresses) == 0 {
			continue
		}
		d.addresses, d.expires = a.Addresses, time.Now().Add(time.Duration(min(a.TTL, 5)*float64(time.Second)))
		return
	}
}

// names reports whether the newest answer of the directory names the address.
func (d *directory) names(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expires) {
		d.renew()
	}
	return slices.Contains(d.addresses, address)
}

// send sends one request on a new connection and records what comes back.
func send(r *record, d *directory, method, path, id, body string, deadline time.Duration) answer {
	a := answer{sent: time.Now()}
	address, err := d.pick()
	if err != nil {
		a.note = err.Error()
		r.answered(id, a)
		return a
	}
	a.daemon, a.sent = address, time.Now()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Timeout: deadline, Transport: transport}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host, req.GetBody = d.host, nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		a.status = resp.StatusCode
		if _, readErr := io.ReadAll(resp.Body); readErr != nil {
			a.note = "cut: " + readErr.Error()
		}
	} else {
		a.note = err.Error()
	}
	a.ended = time.Now()
	r.answered(id, a)
	return a
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// smallBodyLimit is the limit on bodies before the change.
	smallBodyLimit = 4096
	smallBody      = 1200
	// largeBody is within the sizes of bookings in the site file.
	largeBody = 6000
	keepers   = 40
	// sendDelay is how long after the acknowledgement the larger orders are sent: twice
	// config_apply_ms. Connections may be idle for up to four fifths of 15 s.
	sendDelay = 4 * time.Second
	// probeLead is how long before that each daemon gets a larger order on a new connection.
	probeLead = time.Second
)

// raisedLimit: clients send a small order each and keep their connections open. The
// operator raises max_body_bytes. Four seconds after the store has accepted that, each
// client sends a larger order on its connection, which the new limit allows. A second
// before, each daemon gets such an order on a new connection, which shows that it has the
// new limit in force. The disruption is the change of the configuration while connections are kept; without it,
// the larger limit is in force from the start.
func raisedLimit(root string, r *record, trouble bool) ([]string, error) {
	first := config(7, maxBodyBytes)
	if trouble {
		first = config(7, smallBodyLimit)
	}
	f, err := newFleet(root, r, daemonsPerZone, first)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	for i := range 9 {
		if _, err := startUpstream(r, f.store, fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], net.JoinHostPort(randomIP(), "8080"), 160*time.Millisecond, time.Now()); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)

	var all []*keeper
	for i := range keepers {
		all = append(all, &keeper{number: i + 1, record: r, directory: &directory{host: orderHost, zone: zones[i%len(zones)], daemons: f.daemons}})
	}
	defer func() {
		for _, k := range all {
			k.close()
		}
	}()
	orderAll(all, "small", smallBody)
	if trouble {
		at := f.store.put("op", "config", config(8, maxBodyBytes))
		r.add("the operator raises max_body_bytes from %d to %d in version 8, store accepted %s", smallBodyLimit, maxBodyBytes, r.clock(at))
	}
	time.Sleep(sendDelay - probeLead)
	var probes []*keeper
	for i, d := range f.daemons {
		pinned := &directory{host: orderHost, addresses: []string{d.address(frontPort)}, expires: time.Now().Add(time.Minute)}
		probes = append(probes, &keeper{number: i + 1, record: r, directory: pinned})
	}
	orderAll(probes, "probe", largeBody)
	for _, k := range probes {
		k.close()
	}
	time.Sleep(probeLead)
	orderAll(all, "large", largeBody)
	return deniedOrders(r), nil
}

// orderAll lets each client send an order, some milliseconds apart, and waits for the
// answers.
func orderAll(all []*keeper, name string, size int) {
	var done sync.WaitGroup
	for _, k := range all {
		done.Add(1)
		go func() {
			defer done.Done()
			k.order(fmt.Sprintf("%s-%02d", name, k.number), size)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	done.Wait()
}

// keeper is a client that keeps its connection open for the next request.
type keeper struct {
	number    int
	record    *record
	directory *directory
	address   string
	conn      net.Conn
	reader    *bufio.Reader
}

func (k *keeper) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// connect opens a connection, or keeps the open one as long as the directory names its
// address.
func (k *keeper) connect() (reused bool, err error) {
	if k.conn != nil && k.directory.names(k.address) {
		return true, nil
	}
	k.close()
	if k.address, err = k.directory.pick(); err != nil {
		return false, err
	}
	if k.conn, err = net.DialTimeout("tcp4", k.address, time.Second); err != nil {
		return false, err
	}
	k.reader = bufio.NewReader(k.conn)
	return false, nil
}

// order sends one order and records the answer.
func (k *keeper) order(id string, size int) {
	a := answer{sent: time.Now()}
	reused, err := k.connect()
	a.daemon = k.address
	if err == nil {
		a.status, err = k.exchange(id, size)
	}
	a.ended = time.Now()
	a.note = fmt.Sprintf("%d bytes, kept connection %v", size, reused)
	if err != nil {
		a.note += ", " + err.Error()
		k.close()
	}
	k.record.answered(id, a)
}

var errNoConnection = errors.New("no connection")

func (k *keeper) exchange(id string, size int) (int, error) {
	if k.conn == nil {
		return 0, errNoConnection
	}
	_ = k.conn.SetDeadline(time.Now().Add(orderDeadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		orderPath, orderHost, id, orderDeadline.Milliseconds(), size)
	if _, err := io.WriteString(k.conn, head+strings.Repeat("x", size)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		k.close()
	}
	return resp.StatusCode, err
}

// deniedOrders returns what broke the rule DENIED: more than 5 + one in 500 of all
// requests were ended with a 3xx or 4xx of the system's own.
func deniedOrders(r *record) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	denied := map[int]int{}
	count := 0
	for _, a := range r.answers {
		switch {
		case a.status == 408 || a.status == 421 || a.status == 429:
		case a.status >= 300 && a.status < 500:
			denied[a.status]++
			count++
		}
	}
	allowed := 5 + len(r.answers)/500
	if count <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d orders were ended with a 4xx of the system's own though the configuration in force allows them (by status: %v); %d may be", count, len(r.answers), denied, allowed)}
}

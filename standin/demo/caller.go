package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/stand"
)

// workload is the request that a caller repeats at an interval.
type workload struct {
	service  fleet.ServiceID
	method   string
	path     string
	interval time.Duration
}

// caller simulates one client of a service, such as a point of sale, a handheld or
// a billing job. It asks a daemon for the addresses of the service, caches them for
// their TTL, and sends its requests there.
type caller struct {
	name       string
	dataCentre fleet.DataCentre
	workload   workload
	// bootstrap returns the addresses of the daemons that the caller asks first for
	// the addresses of its service.
	bootstrap func() []string
	recorder  *recorder
	client    *http.Client

	addresses []string
	// expiresAt is the time at which addresses expire.
	expiresAt time.Time
	// orderToken is the token of new orders, or empty if a new one is needed.
	orderToken   string
	requestCount int
}

func newCaller(name string, dataCentre fleet.DataCentre, w workload, bootstrap func() []string, recorder *recorder) *caller {
	return &caller{name: name, dataCentre: dataCentre, workload: w, bootstrap: bootstrap, recorder: recorder, client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}}
}

const (
	requestTimeout = 8 * time.Second
	// maxOrderSends limits how often a caller sends the same order while its outcome
	// is unknown.
	maxOrderSends = 6
	resendDelay   = 150 * time.Millisecond
)

func (c *caller) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	defer c.client.CloseIdleConnections()
	for sleep(ctx, c.workload.interval) {
		c.requestCount++
		if c.workload.method == http.MethodPost {
			c.sendOrder()
			continue
		}
		c.sendLookup()
	}
}

// refreshAddresses requests the addresses of the service again once the cached ones
// have expired. New addresses also discard the order token.
func (c *caller) refreshAddresses() {
	if time.Now().Before(c.expiresAt) && len(c.addresses) > 0 {
		return
	}
	for _, address := range append(c.bootstrap(), c.addresses...) {
		var list proxy.AddressList
		url := fmt.Sprintf("http://%s/v1/addresses?service=%s&data-centre=%s", address, c.workload.service, c.dataCentre)
		if c.fetchJSON(http.MethodGet, url, &list) != nil || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = c.addresses[:0]
		for _, a := range list.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
		c.orderToken = ""
		return
	}
}

// fetchJSON sends a request without a body and decodes the response.
func (c *caller) fetchJSON(method, url string, into any) error {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.NotReady, "status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// reply is what a caller learned from sending a request once.
type reply struct {
	err     error
	status  int
	outcome fault.Outcome
	answer  stand.WorkResponse
	problem proxy.Problem
}

// sendLookup sends one lookup, and repeats it at other addresses if sending fails or
// the response says that another daemon may serve it.
func (c *caller) sendLookup() {
	c.refreshAddresses()
	id := fmt.Sprintf("%s-%d", c.name, c.requestCount)
	var r reply
	for i := range min(len(c.addresses), maxLookupAddresses) {
		r = c.send(c.addresses[i], id, "")
		if r.err == nil && r.problem.Retry != fault.RetryOtherAddress {
			break
		}
		c.expiresAt = time.Time{}
	}
	c.recorder.recordLookup(c.workload.service, id, r)
}

// maxLookupAddresses limits the number of addresses that a caller tries for one
// lookup.
const maxLookupAddresses = 3

// sendOrder sends an order with the same key until its outcome is known, at most
// maxOrderSends times. It discards the order token unless the order was run.
func (c *caller) sendOrder() {
	c.refreshAddresses()
	if c.orderToken == "" && !c.requestOrderToken() {
		return
	}
	id := fmt.Sprintf("%s-%d", c.name, c.requestCount)
	key := c.orderToken + "." + id
	var r reply
	for i := range maxOrderSends {
		if len(c.addresses) == 0 {
			break
		}
		r = c.send(c.addresses[i%len(c.addresses)], id, key)
		if r.outcome == fault.Run || r.outcome == fault.NotRun {
			break
		}
		c.expiresAt = time.Time{}
		sleep(context.Background(), resendDelay)
	}
	c.recorder.recordOrder(c.workload.service, id, key, r)
	if r.outcome != fault.Run {
		c.orderToken = ""
	}
}

// requestOrderToken requests the token with which the keys of the caller's orders
// begin. It returns false if no daemon issued one.
func (c *caller) requestOrderToken() bool {
	for _, address := range c.addresses {
		var t struct {
			Token string `json:"token"`
		}
		if c.fetchJSON(http.MethodPost, fmt.Sprintf("http://%s/v1/order-tokens?service=%s", address, c.workload.service), &t) == nil {
			c.orderToken = t.Token
			return true
		}
	}
	return false
}

// send sends one request to a daemon. An order has a key, a lookup has none.
func (c *caller) send(address, id, key string) reply {
	var body io.Reader
	if c.workload.method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"item":"` + id + `"}`))
	}
	req, err := http.NewRequest(c.workload.method, "http://"+address+c.workload.path, body)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(proxy.HeaderService, string(c.workload.service))
	req.Header.Set(proxy.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(proxy.HeaderOrderKey, `"`+key+`"`)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	r := reply{status: resp.StatusCode, outcome: fault.Outcome(resp.Header.Get(proxy.HeaderOutcome))}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		r.err = json.Unmarshal(data, &r.problem)
		return r
	}
	if resp.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(data, &r.answer)
	}
	return r
}

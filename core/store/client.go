package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wisteriarelay.example/core/fault"
)

const (
	defaultTimeout = 2 * time.Second
	// maxReply bounds the body of a reply: 16 MiB, above any snapshot of the settings.
	maxReply = 16 << 20
	// maxIdle is the number of idle connections kept to the platform.
	maxIdle = 8
)

// Client is the HTTP client of the platform. Its methods are safe for
// concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	daemons func() int
	fleet   [2]float64

	reads, writes                    *budget
	table, tableWrites, objects, vms *breaker
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout sets the time that one request may take; the default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithTransport replaces the transport, for tests and TLS settings.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithDaemons sets the function that returns the number of live daemons, which
// share the fleet's budget; without it the daemon takes the whole budget.
func WithDaemons(live func() int) Option {
	return func(c *Client) { c.daemons = live }
}

// WithFleetBudget sets the budgets of the whole fleet in reads/s and writes/s.
func WithFleetBudget(reads, writes float64) Option {
	return func(c *Client) { c.fleet = [2]float64{reads, writes} }
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string, opts ...Option) *Client {
	c := &Client{
		base:        strings.TrimSuffix(base, "/"),
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}},
		timeout:     defaultTimeout,
		daemons:     func() int { return 1 },
		fleet:       [2]float64{fleetReads, fleetWrites},
		table:       newBreaker(readBackoffMax),
		tableWrites: newBreaker(backoffMax),
		objects:     newBreaker(backoffMax),
		vms:         newBreaker(backoffMax),
	}
	for _, o := range opts {
		o(c)
	}
	c.reads = newBudget(c.fleet[0], c.daemons)
	c.writes = newBudget(c.fleet[1], c.daemons)
	return c
}

// Dump is the state of the client for the state dump.
type Dump struct {
	Table   Status `json:"table"`
	Writes  Status `json:"table-writes"`
	Objects Status `json:"objects"`
	VMs     Status `json:"vms"`
}

// Dump returns the state of the client.
func (c *Client) Dump() Dump {
	return Dump{Table: c.table.snapshot(), Writes: c.tableWrites.snapshot(), Objects: c.objects.snapshot(), VMs: c.vms.snapshot()}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Table returns the table service.
func (c *Client) Table() Table {
	return Table{Get: c.getRow, Scan: c.scanRows, Apply: c.applyTx}
}

// Objects returns the object store.
func (c *Client) Objects() Objects {
	return Objects{Get: c.getObject, Put: c.putObject}
}

// VMList returns the VM list.
func (c *Client) VMList() VMList {
	return VMList{Since: c.vmsSince}
}

func (c *Client) getRow(ctx context.Context, key string) (row Row, err error) {
	q := url.Values{"key": {key}}
	err = c.do(ctx, exchange{part: c.table, method: http.MethodGet, path: "/v1/table/row", query: q, into: &row, missing: fault.RowMissing})
	return row, err
}

func (c *Client) scanRows(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err = c.do(ctx, exchange{part: c.table, method: http.MethodGet, path: "/v1/table/scan", query: q, into: &rows, missing: fault.RowMissing})
	return rows, err
}

func (c *Client) applyTx(ctx context.Context, tx Tx) error {
	body, err := encode(tx)
	if err != nil {
		return err
	}
	return c.do(ctx, exchange{part: c.tableWrites, method: http.MethodPost, path: "/v1/table/apply", body: body})
}

func (c *Client) getObject(ctx context.Context, name string) (data []byte, err error) {
	err = c.do(ctx, exchange{part: c.objects, method: http.MethodGet, path: objectPath(name), raw: &data, missing: fault.NotFound})
	return data, err
}

func (c *Client) putObject(ctx context.Context, name string, data []byte) error {
	return c.do(ctx, exchange{part: c.objects, method: http.MethodPut, path: objectPath(name), body: data})
}

func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

func (c *Client) vmsSince(ctx context.Context, version uint64) (out VMChanges, err error) {
	q := url.Values{"since": {strconv.FormatUint(version, 10)}}
	err = c.do(ctx, exchange{part: c.vms, method: http.MethodGet, path: "/v1/vms", query: q, into: &out})
	return out, err
}

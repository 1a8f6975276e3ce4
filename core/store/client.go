package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/head"
)

const (
	defaultTimeout = 2 * time.Second
	// maxHeadBytes limits each head, of a reply or of an interim one.
	maxHeadBytes = 64 << 10
	// maxReplyBytes limits the body of a reply. The limit of 16 MiB is above the size
	// of any snapshot of the settings.
	maxReplyBytes = 16 << 20
	// maxIdleConns is the maximum number of idle connections to the platform.
	maxIdleConns = 8
)

// Client is the HTTP client of the platform. Its methods are safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
	// daemons returns the number of live daemons.
	daemons func() int
	// fleetRates are the rate limits of the whole fleet, for reads and for writes.
	fleetRates [2]float64

	readLimit, writeLimit            *tokenBucket
	table, tableWrites, objects, vms *breaker
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of one request; the default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithTransport replaces the HTTP transport, for tests and TLS settings.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithDaemons sets the function that returns the number of live daemons, which
// share the fleet's rate limits. Without it the daemon uses them alone.
func WithDaemons(live func() int) Option {
	return func(c *Client) { c.daemons = live }
}

// WithFleetRateLimits sets the rate limits of the whole fleet in reads/s and writes/s.
func WithFleetRateLimits(reads, writes float64) Option {
	return func(c *Client) { c.fleetRates = [2]float64{reads, writes} }
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string, opts ...Option) *Client {
	c := &Client{
		baseURL:     strings.TrimSuffix(base, "/"),
		http:        &http.Client{Transport: newTransport()},
		timeout:     defaultTimeout,
		daemons:     func() int { return 1 },
		fleetRates:  [2]float64{fleetReadRate, fleetWriteRate},
		table:       newBreaker(maxReadBackoff),
		tableWrites: newBreaker(maxBackoff),
		objects:     newBreaker(maxBackoff),
		vms:         newBreaker(maxBackoff),
	}
	for _, o := range opts {
		o(c)
	}
	c.readLimit = newTokenBucket(c.fleetRates[0], c.daemons)
	c.writeLimit = newTokenBucket(c.fleetRates[1], c.daemons)
	return c
}

func newTransport() http.RoundTripper {
	return head.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes})
}

// ClientState is the state of the client as shown in the state dump. Table is the
// status of table reads.
type ClientState struct {
	Table       BreakerStatus `json:"table"`
	TableWrites BreakerStatus `json:"table-writes"`
	Objects     BreakerStatus `json:"objects"`
	VMs         BreakerStatus `json:"vms"`
}

// State returns the state of the client.
func (c *Client) State() ClientState {
	return ClientState{Table: c.table.currentStatus(), TableWrites: c.tableWrites.currentStatus(), Objects: c.objects.currentStatus(), VMs: c.vms.currentStatus()}
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
	return VMList{ChangesSince: c.vmsSince}
}

func (c *Client) getRow(ctx context.Context, key string) (row Row, err error) {
	q := url.Values{"key": {key}}
	err = c.do(ctx, exchange{breaker: c.table, method: http.MethodGet, path: "/v1/table/row", query: q, jsonReply: &row, notFound: fault.RowMissing})
	return row, err
}

func (c *Client) scanRows(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err = c.do(ctx, exchange{breaker: c.table, method: http.MethodGet, path: "/v1/table/scan", query: q, jsonReply: &rows, notFound: fault.RowMissing})
	return rows, err
}

func (c *Client) applyTx(ctx context.Context, tx Tx) error {
	body, err := encode(tx)
	if err != nil {
		return err
	}
	return c.do(ctx, exchange{breaker: c.tableWrites, method: http.MethodPost, path: "/v1/table/apply", body: body})
}

func (c *Client) getObject(ctx context.Context, name string) (data []byte, err error) {
	err = c.do(ctx, exchange{breaker: c.objects, method: http.MethodGet, path: objectPath(name), rawReply: &data, notFound: fault.NotFound})
	return data, err
}

func (c *Client) putObject(ctx context.Context, name string, data []byte) error {
	return c.do(ctx, exchange{breaker: c.objects, method: http.MethodPut, path: objectPath(name), body: data})
}

// objectPath returns the URL path of an object. The slashes in its name are kept.
func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

func (c *Client) vmsSince(ctx context.Context, version uint64) (changes VMChanges, err error) {
	q := url.Values{"since": {strconv.FormatUint(version, 10)}}
	err = c.do(ctx, exchange{breaker: c.vms, method: http.MethodGet, path: "/v1/vms", query: q, jsonReply: &changes})
	return changes, err
}

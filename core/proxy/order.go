package proxy

import (
	"context"
	"net/http"

	"golang.org/x/sync/semaphore"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/order"
)

// HeaderReplayed is set in a response to a repeat of an order if it is a copy of
// the first response.
const HeaderReplayed = "Wisteria-Replayed"

const (
	// maxOrderBody is the maximum body size of a non-idempotent request in bytes. The
	// body is read whole before anything is sent to a target, because its digest
	// binds the order key to the request.
	maxOrderBody = 1 << 20
	// maxOrderMemory is the maximum total size in bytes, at one daemon, of the bodies
	// of orders that are larger than maxBufferedBody.
	maxOrderMemory = 64 << 20
)

// orderBodyMemory limits the memory for large bodies of orders.
type orderBodyMemory struct {
	bytes *semaphore.Weighted
}

// newOrderBodyMemory returns a limiter of maxOrderMemory bytes.
func newOrderBodyMemory() orderBodyMemory {
	return orderBodyMemory{bytes: semaphore.NewWeighted(maxOrderMemory)}
}

// reserve reserves memory for the body of an order and returns a function that
// releases it. A body of unknown length counts as maxOrderBody.
func (o orderBodyMemory) reserve(r *http.Request) (func(), error) {
	size := r.ContentLength
	if size >= 0 && size <= maxBufferedBody {
		return func() {}, nil
	}
	if size < 0 || size > maxOrderBody {
		size = maxOrderBody
	}
	if !o.bytes.TryAcquire(size) {
		return nil, fault.New(fault.QueueFull, "orders with large bodies take up %d bytes already", int64(maxOrderMemory))
	}
	return func() { o.bytes.Release(size) }, nil
}

// reserveFor reserves memory if the route of the request is not idempotent.
func (o orderBodyMemory) reserveFor(service *fleet.Service, r *http.Request) (func(), error) {
	route, _, allowed := service.RouteFor(r.Method, r.URL.Path)
	if !allowed || route.Idempotent {
		return func() {}, nil
	}
	return o.reserve(r)
}

// serveOrder sends a non-idempotent request to a target if the order manager
// permits it.
func (c *call) serveOrder(ctx context.Context, upstream *Upstream) {
	c.offerToken()
	decision := c.relay.manager.Begin(ctx, c.orderRequest(true))
	if c.respondWithoutRun(decision) {
		return
	}
	if c.request.Header.Get(HeaderOrderKey) != "" {
		// The response is kept for repeats, so the request continues even if the
		// caller disconnects.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.in.deadline)
		defer cancel()
	}
	res := (&forwarder{upstream: upstream, in: c.in}).run(ctx)
	c.finishOrder(res, decision.Permit)
}

// orderRequest describes the request to the order manager; carried says whether
// this daemon may run it.
func (c *call) orderRequest(carried bool) order.Request {
	digest := order.NewDigester(c.in.workspace, c.request.Method, c.request.URL.RequestURI())
	_, _ = digest.Write(c.in.body)
	return order.Request{
		Key:       c.request.Header.Get(HeaderOrderKey),
		Service:   c.serviceID,
		Workspace: c.in.workspace,
		Digest:    digest.Sum(),
		KeyMode:   c.in.route.OrderKey,
		MayRun:    carried,
	}
}

// respondWithoutRun responds to a copy of an order that the manager does not
// permit to run: with the first response if that is kept, else with a problem.
// It reports whether it responded.
func (c *call) respondWithoutRun(d order.Decision) bool {
	if d.Verdict == order.VerdictRun {
		return false
	}
	c.relay.count("orders", d.Verdict.String())
	if d.Response == nil {
		c.refuse(d.Fault)
		return true
	}
	h := c.writer.Header()
	for _, f := range d.Response.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, string(fault.Run))
	c.writeBuffered(&attemptResult{status: d.Response.Status, body: d.Response.Body})
	return true
}

// finishOrder records the outcome of the order and responds to the caller. The
// outcome is recorded before the response is complete, so that a repeat never
// learns less than the first copy did.
func (c *call) finishOrder(res *attemptResult, t order.Permit) {
	switch {
	case res.err != nil:
		t.Finish(res.err.Outcome, nil)
		if res.err.Outcome == fault.NotRun && c.request.Header.Get(HeaderOrderKey) != "" {
			res.err = res.err.WithRetry(fault.RetryNewKey)
		}
	case res.buffered():
		t.Finish(res.outcome, keptResponse(res))
	default:
		res.onStreamEnd = func(err error) { t.Finish(streamedOutcome(res, err), nil) }
	}
	c.respond(res)
}

// streamedOutcome returns the outcome of an order whose response was too large to
// be kept. If the response was truncated, the outcome is unknown, since the order
// may have failed before it was complete.
func streamedOutcome(res *attemptResult, err error) fault.Outcome {
	if err != nil {
		return fault.Unknown
	}
	return res.outcome
}

// keptResponse returns the part of the response that is replayed to repeats.
func keptResponse(res *attemptResult) *order.Response {
	kept := &order.Response{Status: res.status, Body: res.body}
	header := res.header.Clone()
	removeHopByHop(header)
	for _, name := range daemonResponseFields {
		delete(header, name)
	}
	delete(header, "Date")
	for name, values := range header {
		for _, value := range values {
			kept.Header = append(kept.Header, order.HeaderField{Name: name, Value: value})
		}
	}
	return kept
}

// closeOrderNotCarried closes the key of an order whose service this daemon does
// not carry, and reports whether it responded to the caller. If the key were left
// open, another copy that is still in flight could run after the caller was told
// that the order had not run.
func (c *call) closeOrderNotCarried(service *fleet.Service) bool {
	if c.request.Header.Get(HeaderOrderKey) == "" {
		return false
	}
	release, err := c.relay.orderMemory.reserveFor(service, c.request)
	if err != nil {
		c.refuse(fault.From(err))
		return true
	}
	defer release()
	in, err := newInboundRequest(c.writer, c.request, service, c.requestID, c.arrived)
	if err != nil {
		c.refuse(fault.From(err))
		return true
	}
	if in.route.Idempotent {
		return false
	}
	c.in = in
	ctx, cancel := context.WithDeadline(c.request.Context(), in.deadline)
	defer cancel()
	return c.respondWithoutRun(c.relay.manager.CloseKey(ctx, c.orderRequest(false)))
}

// offerToken adds a token for the next order of the caller to the response header.
func (c *call) offerToken() {
	token, err := c.relay.manager.IssueToken(c.serviceID, order.ModeLedger)
	if err == nil {
		c.writer.Header().Set(HeaderOrderToken, token)
	}
}

// tokenResponse is the response to a request for an order token.
type tokenResponse struct {
	Service fleet.ServiceID `json:"service"`
	Token   string          `json:"token"`
	VM      fleet.VMID      `json:"vm"`
}

// serveToken issues a token from which a caller forms the keys of its orders.
func (rl *Relay) serveToken(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)
	service := fleet.ServiceID(r.URL.Query().Get("service"))
	if _, ok := rl.fleet.Upstream(service); !ok || rl.fleet.Leaving() {
		p := newProblem(fault.New(fault.NotCarried, "ask a carrier of service %q for its tokens", service), id)
		list := rl.fleet.Addresses(service, rl.self.DataCentre, id)
		p.Addresses = &list
		p.write(w)
		return
	}
	token, err := rl.manager.IssueToken(service, order.ModeLedger)
	if err != nil {
		newProblem(fault.From(err), id).write(w)
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, tokenResponse{Service: service, Token: token, VM: rl.self.ID})
}

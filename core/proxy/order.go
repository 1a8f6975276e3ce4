package proxy

import (
	"context"
	"net/http"

	"golang.org/x/sync/semaphore"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/order"
)

// HeaderReplayed marks the first response to an order that is given again to a repeat.
const HeaderReplayed = "Wisteria-Replayed"

const (
	// maxOrderBody bounds the body of a non-idempotent request. It is read whole
	// before anything is sent, because its digest ties the key to the request.
	maxOrderBody = 1 << 20
	// maxOrderBytes bounds the memory of all such bodies over bufferLimit at one daemon.
	maxOrderBytes = 64 << 20
)

// orderBodies bounds the memory of large order bodies.
type orderBodies struct {
	bytes *semaphore.Weighted
}

func newOrderBodies() orderBodies {
	return orderBodies{bytes: semaphore.NewWeighted(maxOrderBytes)}
}

// reserve returns a function that frees the memory again.
func (o orderBodies) reserve(r *http.Request) (func(), error) {
	size := r.ContentLength
	if size >= 0 && size <= bufferLimit {
		return func() {}, nil
	}
	if size < 0 || size > maxOrderBody {
		size = maxOrderBody
	}
	if !o.bytes.TryAcquire(size) {
		return nil, fault.New(fault.QueueFull, "orders with large bodies take up %d bytes already", int64(maxOrderBytes))
	}
	return func() { o.bytes.Release(size) }, nil
}

// reserveFor reserves memory if the request belongs to a non-idempotent route.
func (o orderBodies) reserveFor(service *fleet.Service, r *http.Request) (func(), error) {
	route, _, allowed := service.RouteFor(r.Method, r.URL.Path)
	if !allowed || route.Idempotent {
		return func() {}, nil
	}
	return o.reserve(r)
}

// serveOrder runs a non-idempotent request if the manager allows it.
func (c *call) serveOrder(ctx context.Context, carrier *Carrier) {
	c.offerToken()
	decision := c.relay.manager.Begin(ctx, c.orderRequest(true))
	if c.settled(decision) {
		return
	}
	if c.request.Header.Get(HeaderOrderKey) != "" {
		// The response is kept for a repeat, so the work goes on although the
		// caller may have gone.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.in.deadline)
		defer cancel()
	}
	a := (&exchange{carrier: carrier, in: c.in}).run(ctx)
	c.finishOrder(a, decision.Permit)
}

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

// settled answers a copy of an order that is not to be run, and reports
// whether it did.
func (c *call) settled(d order.Decision) bool {
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
	c.writeWhole(&answer{status: d.Response.Status, body: d.Response.Body})
	return true
}

// finishOrder records the outcome before the caller sees it, so that a repeat
// can never learn less than the first copy did.
func (c *call) finishOrder(a *answer, t order.Permit) {
	switch {
	case a.err != nil:
		t.Finish(a.err.Outcome, nil)
		if a.err.Outcome == fault.NotRun && c.request.Header.Get(HeaderOrderKey) != "" {
			a.err = a.err.WithRetry(fault.RetryNewKey)
		}
	case a.whole():
		t.Finish(a.outcome, keptResponse(a))
	default:
		a.ended = func(err error) { t.Finish(streamedOutcome(a, err), nil) }
	}
	c.respond(a)
}

// streamedOutcome is the outcome of an order whose response was too large to
// keep. A response that was cut may belong to an order that failed half-way.
func streamedOutcome(a *answer, err error) fault.Outcome {
	if err != nil {
		return fault.Unknown
	}
	return a.outcome
}

func keptResponse(a *answer) *order.Response {
	res := &order.Response{Status: a.status, Body: a.body}
	header := a.header.Clone()
	removeHopByHop(header)
	for _, name := range ownResponseFields {
		delete(header, name)
	}
	delete(header, "Date")
	for name, values := range header {
		for _, value := range values {
			res.Header = append(res.Header, order.HeaderField{Name: name, Value: value})
		}
	}
	return res
}

// closeElsewhere closes the key of an order that reached a daemon which does
// not carry its service, and reports whether it answered. Without that, a copy
// that is still under way could run after the caller was told "not run".
func (c *call) closeElsewhere(service *fleet.Service) bool {
	if c.request.Header.Get(HeaderOrderKey) == "" {
		return false
	}
	release, err := c.relay.bodies.reserveFor(service, c.request)
	if err != nil {
		c.refuse(fault.From(err))
		return true
	}
	defer release()
	in, err := newInbound(c.writer, c.request, service, c.requestID, c.arrived)
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
	return c.settled(c.relay.manager.CloseKey(ctx, c.orderRequest(false)))
}

// offerToken sends the caller a token for its next order.
func (c *call) offerToken() {
	token, err := c.relay.manager.IssueToken(c.serviceID, order.ModeLedger)
	if err == nil {
		c.writer.Header().Set(HeaderOrderToken, token)
	}
}

// tokenReply is the response to a request for an order token.
type tokenReply struct {
	Service fleet.ServiceID `json:"service"`
	Token   string          `json:"token"`
	VM      fleet.VMID      `json:"vm"`
}

// serveToken issues a token under which a caller names its orders.
func (rl *Relay) serveToken(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)
	service := fleet.ServiceID(r.URL.Query().Get("service"))
	if _, ok := rl.fleet.Carrier(service); !ok || rl.fleet.Leaving() {
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
	writeJSON(w, tokenReply{Service: service, Token: token, VM: rl.self.ID})
}

// Package proxy implements the HTTP reverse proxy on the port for callers.
//
// A Relay receives each request and matches it to a route of its service. A
// forwarder sends it to targets of the service, one attempt after the other or
// hedged, until a response can be passed to the caller. An order, which is a
// non-idempotent request, is sent only if the order manager permits it. The
// package also serves the endpoints from which callers get the addresses of a
// service, order tokens and the readiness of the daemon.
package proxy

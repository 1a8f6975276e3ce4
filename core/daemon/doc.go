// Package daemon assembles a daemon from its components. A daemon follows the
// settings and the fleet's membership and carries the services that are placed on
// it: it proxies the requests of their callers and assesses their targets. It also
// serves peers and operators, and shuts down without interrupting a request.
package daemon

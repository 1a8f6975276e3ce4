// Package node assembles a proxy daemon that routes requests by host and path. A
// Node keeps the configuration and the target list up to date with the platform's
// store, exchanges state with its peers over gossip, tells callers which daemons to
// connect to, and shuts down without interrupting requests.
//
// Services are assigned to groups (see roster.Plan). In each data centre some
// daemons, the carriers of a group, handle the requests for its services and share
// what they observe of the targets. In each data centre a few daemons read the
// store and send what they read to the others.
package node

// Package admin is the administration API of a daemon: settings and their
// changes, targets, roll-out and state dumps over HTTP with JSON bodies, for
// operators with a bearer token. It keeps no state of its own.
package admin

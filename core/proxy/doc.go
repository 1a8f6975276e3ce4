// Package proxy is the path of a request from a caller through the daemon to
// a target and back, with the endpoints by which callers learn addresses and
// obtain order tokens.
package proxy

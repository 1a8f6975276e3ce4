// Package relay forwards requests from callers to targets, routed by host and path.
// It matches the route, acquires a target from package sched, sends the request
// through package link, checks the response, and decides whether another target is
// tried. A non-idempotent request is retried only if it certainly did not run.
package relay

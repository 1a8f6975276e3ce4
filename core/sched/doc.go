// Package sched chooses the target of a service for each request, and the order in
// which requests are served when the targets lack capacity. A [Pool] holds what this
// daemon and its peers observe of the service's targets: request results, requests
// in flight and latency. The package performs no I/O; requests wait in [Pool.Acquire].
package sched

// Package place assigns work to VMs by rendezvous hashing: the carriers of a
// service, which are the VMs that serve its callers, the prober of a target, and
// the order of the VMs in an address response. Its functions have no side effects:
// the same VMs and services give the same result on every daemon.
package place

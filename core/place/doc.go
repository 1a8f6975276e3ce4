// Package place decides where work belongs by rendezvous hashing: the carriers
// of a service, the prober of a target and the order of an address response.
// It is pure: the same VMs and services give the same result on every daemon.
package place

// Package choose is the load balancing policy: it picks the target of a request
// among candidates. It keeps no state, allocates nothing and takes its randomness
// as an argument, so that a choice can be repeated.
package choose

// Package stand holds stand-ins for the platform and the targets, which tests
// and the demo use and which misbehave on order.
package stand

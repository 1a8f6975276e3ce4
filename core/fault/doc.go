// Package fault is the closed list of error kinds.
package fault

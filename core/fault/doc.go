// Package fault holds the closed list of error kinds of wisteriarelay, the
// table from kind to answer, and the outcome that an answer states.
package fault

// Package choose picks the target of a request among candidates. It is pure,
// allocates nothing and takes its randomness as an argument.
package choose

// Package demo runs a small fleet on loopback in one process: the platform,
// the targets of an example deployment, daemons and callers. It makes parts
// fail by a script, prints what happens, and checks that no caller was given a
// wrong, short or doubled answer.
package demo

// Package demo runs a small fleet on loopback in one process: the platform, the
// targets of an example deployment, daemons and callers. A script injects faults
// while the callers send requests. The demo prints what happens and checks that
// no caller received a wrong response and that no order was lost or executed twice.
package demo

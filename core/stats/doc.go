// Package stats holds the metrics of a process, which it exports in the Prometheus
// text format, and the dump of the process's state.
package stats

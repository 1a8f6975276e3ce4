// Package stats holds the metrics of a process, exported in the Prometheus
// text format, and the dump of its state.
package stats

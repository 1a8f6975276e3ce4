// Package detect finds out which targets of a service are unhealthy and keeps
// them out of use without going below the service's floor.
//
// The daemons that carry a service (its carriers) observe its targets. At each
// of them a [Recorder] counts the results of requests and probes. These
// statistics are sent to the other carriers and added to a [Detector], which
// merges the evidence of all observers and returns verdicts. An [Ejector]
// writes the resulting ejections ([Ejections]) to the service's row of the table
// service. [States] derives the state of each target, by which requests are
// assigned, from that row, the leaving signals and the verdicts.
package detect

// Package detect collects evidence about the targets of a service, judges it,
// and keeps the ejection list with its floor.
//
// A [Recorder] counts results on the request path. Its rows go to the other
// carriers and into a [Service], which merges the evidence of all observers and
// gives verdicts. An [Ejector] carries verdicts into the service's row of the
// table service ([Ejections]). [States] turns row, leaving signs and verdicts
// into the states that the choice of a target reads.
package detect

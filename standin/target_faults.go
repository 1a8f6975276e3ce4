package main

import (
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/stand"
)

const (
	slowDelay  = 500 * time.Millisecond
	flapPeriod = 5 * time.Second
)

// targetFaults maps the values of the flag --fault to the faults of a target.
var targetFaults = map[string]stand.TargetFaults{
	"body-failure": {BodyFailure: true},
	"cut-after":    {CutAfter: true},
	"cut-before":   {CutBefore: true},
	"cut-short":    {CutShort: true},
	"fail":         {FailWork: true},
	"flap":         {FailWork: true, FlapEvery: flapPeriod},
	"hang":         {Hang: true},
	"leaving":      {Leaving: true},
	"shed":         {ShedAll: true},
	"slow":         {Delay: slowDelay},
}

func targetFaultNames() []string {
	return slices.Sorted(maps.Keys(targetFaults))
}

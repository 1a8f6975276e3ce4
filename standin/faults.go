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

// targetFaults are the faults of a target by name.
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

func faultNames() []string {
	return slices.Sorted(maps.Keys(targetFaults))
}

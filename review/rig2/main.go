// Command rig2 plays the cases of the second review: stand-ins for the platform's store,
// upstreams and consumers around the project's own daemons.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(r *Rig) (broken bool, err error){
	"store-away-twice": storeAwayTwice,
	"late-write":       lateWriteThenOutage,
	"header-limit":     largeHeaderLimit,
	"left-before":      leftBeforeOutage,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitFailed
	}
	r, err := NewRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitFailed
	}
	defer r.Close()
	go r.endOnSignal()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.Record.Notef("the case could not run: %v", err)
		return exitFailed
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

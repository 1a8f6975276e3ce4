// Command standin runs the cases of the review: it starts the daemons of the project as
// processes, plays store, servers and clients, and compares what these have seen with
// the rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	noRun   = 2
	caseDir = "review"
)

// cases holds, by name, the function that plays a case. It returns what broke the rule.
var cases = map[string]func(root string, r *record, trouble bool) ([]string, error){
	"restarted-server-leaves": restartedServerLeaves,
	"raised-limit":            raisedLimit,
	"pipelined-expect":        pipelinedExpect,
	"long-idle-timeout":       longIdleTimeout,
}

// daemonsPerZone is the number of daemons in each zone.
const daemonsPerZone = 2

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case NAME in the folder review/NUMBER: standin NAME NUMBER.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE NUMBER")
		return noRun
	}
	root, err := os.Getwd()
	if err != nil {
		return noRun
	}
	r, err := newRecord(filepath.Join(root, caseDir, args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", args[0], trouble)
	breaks, err := cases[args[0]](root, r, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	if len(breaks) > 0 {
		r.add("broken: %s", strings.Join(breaks, "; "))
		fmt.Println("broken:", strings.Join(breaks, "; "))
		return broken
	}
	r.add("held")
	fmt.Println("held")
	return held
}

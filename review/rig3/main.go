// Command rig3 runs the cases of the third review: it starts the project's daemons as
// separate processes before stand-ins for store, servers and consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to its run. It returns true if the rule was broken.
var cases = map[string]func(rec *record, trouble bool) bool{
	"drill":    drill,
	"pipeline": pipeline,
	"oddentry": oddEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	must(err)
	tempDir, err = os.MkdirTemp("", "rig3-")
	must(err)
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ends
		cleanUp()
		os.Exit(2)
	}()
	rec := &record{file: file, began: time.Now()}
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if broken {
		rec.say("rule broken")
		os.Exit(1)
	}
	rec.say("rule held")
}

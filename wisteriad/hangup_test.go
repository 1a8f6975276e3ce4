package main

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that is ended by SIGHUP, which only says that the settings file
// has changed, because it does not handle the signal yet while it reads the file.
func TestHangupDuringStartDoesNotEndDaemon(t *testing.T) {
	for name, newEnv := range environments {
		t.Run(name, func(t *testing.T) {
			e := newEnv(t)
			for range startAttempts {
				settings := e.newSettings()
				file := newSlowFile(e.g, t.TempDir()+"/settings.json")
				d := e.start(file.path)
				file.waitForReader()
				d.signal(e.g, syscall.SIGHUP)
				e.g.Consistently(d.hasEnded).WithTimeout(200*time.Millisecond).Should(BeFalse(), "%v", d.cmd)
				file.finish(settings)
				if d.waitUntilReady() {
					d.expectServed(d.startRequest("r1"))
					return
				}
			}
			t.Fatal("no free ports")
		})
	}
}

// Guards against a daemon that is ended by SIGHUP with all requests in progress, for
// example when the terminal of its session closes.
func TestHangupCutsNothing(t *testing.T) {
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			answers := d.startRequest("r1")
			d.signal(d.g, syscall.SIGHUP)
			d.expectServed(answers)
			d.g.Expect(d.hasEnded()).To(BeFalse())
		})
	}
}

// Guards against a shutdown that a further signal turns into an immediate end.
func TestSignalsAfterStopSignalCutNothing(t *testing.T) {
	for name, start := range daemons {
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
			t.Run(name+" "+s.String(), func(t *testing.T) {
				d := start(t)
				answers := d.startRequest("r1")
				d.signal(d.g, syscall.SIGTERM)
				d.g.Eventually(d.ready).WithTimeout(waitTimeout).Should(BeFalse())
				d.signal(d.g, s)
				d.signal(d.g, syscall.SIGTERM)
				d.expectServed(answers)
				d.g.Expect(d.exitState(d.g)).To(Equal("exit status 0"))
			})
		}
	}
}

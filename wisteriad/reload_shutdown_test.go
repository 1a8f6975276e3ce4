package main

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a reload during a shutdown, or just before it, that moves the end of the
// shutdown, so that it cuts requests which have time left.
func TestReloadDuringShutdownCutsNothing(t *testing.T) {
	e := newRelayEnv(t)
	d := e.startReady()
	answers := d.startRequest("r1")
	d.signal(e.g, syscall.SIGTERM)
	e.g.Eventually(d.ready).WithTimeout(waitTimeout).Should(BeFalse())
	writeFile(e.g, d.settings, e.settingsWith(1))
	d.signal(e.g, syscall.SIGHUP)
	e.g.Eventually(d.log).WithTimeout(waitTimeout).Should(ContainSubstring("settings reloaded"))
	e.g.Consistently(d.hasEnded).WithTimeout(500 * time.Millisecond).Should(BeFalse())
	d.expectServed(answers)
	e.g.Expect(d.exitState(e.g)).To(Equal("exit status 0"))
}

package main

import (
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// daemons are the two kinds of daemon that the program runs as.
var daemons = map[string]func(t *testing.T) *testDaemon{"relay": startRelay, "proxy": startProxy}

// Guards against a daemon that ends at its next log line, with all requests in progress,
// when nobody reads its output any more.
func TestDaemonOutlivesReaderOfItsOutput(t *testing.T) {
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			answers := d.startRequest("r1")
			d.g.Expect(d.output.Close()).To(Succeed())
			d.g.Expect(send(d.newRefused()).err).NotTo(HaveOccurred())
			d.expectServed(answers)
			d.expectServed(d.startRequest("r2"))
			d.g.Expect(d.hasEnded()).To(BeFalse())
		})
	}
}

// Guards against a shutdown that cuts the requests in progress because the supervisor
// closes the pipe of the daemon's output as it stops the daemon.
func TestShutdownOutlivesReaderOfOutput(t *testing.T) {
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			answers := d.startRequest("r1")
			d.g.Expect(d.output.Close()).To(Succeed())
			d.signal(d.g, syscall.SIGTERM)
			d.expectServed(answers)
			d.g.Eventually(d.ready).WithTimeout(waitTimeout).Should(BeFalse())
			if name == "proxy" {
				d.signal(d.g, syscall.SIGTERM)
			}
			d.g.Expect(d.exitState(d.g)).To(Equal("exit status 0"))
		})
	}
}

// Guards against a daemon that stands still, with all requests in progress, when its
// output is kept open but no longer read, so that the pipe is full.
func TestDaemonOutlivesFullOutput(t *testing.T) {
	const refusals = 600 // More lines than the 64 KiB of a pipe hold.
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			d.pauseOutput()
			answers := d.startRequest("r1")
			for range refusals {
				d.g.Expect(send(d.newRefused()).err).NotTo(HaveOccurred())
			}
			d.expectServed(answers)
			d.expectServed(d.startRequest("r2"))
		})
	}
}

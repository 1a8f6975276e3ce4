package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// busyRequests is the number of requests of which some are at the target and some wait
// for it: the daemon sends it its 2 slots' worth and 2 more.
const busyRequests = 8

// startBusy sends busyRequests and returns once the target has all that it can get.
func (d *testDaemon) startBusy() chan answer {
	answers := make(chan answer, busyRequests)
	arrived := func() (n int) {
		for i := range busyRequests {
			if d.target.arrived(fmt.Sprint("busy", i)) {
				n++
			}
		}
		return n
	}
	for i := range busyRequests {
		p := &pendingRequest{d.newRequest(fmt.Sprint("busy", i)), answers}
		go p.run()
	}
	d.g.Eventually(arrived).WithTimeout(waitTimeout).Should(Equal(4))
	return answers
}

// Guards against a reload of the settings file, with a signal or without one, that ends
// requests at a target or those that wait for one.
func TestReloadCutsNothing(t *testing.T) {
	changes := map[string]struct {
		apply  func(e *relayEnv, d *testDaemon)
		logged string
	}{
		"changed, with a signal": {func(e *relayEnv, d *testDaemon) {
			writeFile(e.g, d.settings, e.settingsWith(1))
			d.signal(e.g, syscall.SIGHUP)
		}, "settings reloaded"},
		"changed, without a signal": {func(e *relayEnv, d *testDaemon) {
			writeFile(e.g, d.settings, e.settingsWith(1))
		}, "settings reloaded"},
		"other addresses": {func(e *relayEnv, d *testDaemon) {
			writeFile(e.g, d.settings, e.newSettings())
			d.signal(e.g, syscall.SIGHUP)
		}, "restart-needed=true"},
		"unusable": {func(e *relayEnv, d *testDaemon) {
			e.g.Expect(os.WriteFile(d.settings, []byte(`{"vm": `), 0o600)).To(Succeed())
			d.signal(e.g, syscall.SIGHUP)
		}, "settings not reloaded"},
		"removed": {func(e *relayEnv, d *testDaemon) {
			e.g.Expect(os.Remove(d.settings)).To(Succeed())
			d.signal(e.g, syscall.SIGHUP)
		}, "settings not reloaded"},
		"unchanged": {func(e *relayEnv, d *testDaemon) { d.signal(e.g, syscall.SIGHUP) }, "settings reloaded"},
	}
	for name, c := range changes {
		t.Run(name, func(t *testing.T) {
			e := newRelayEnv(t)
			d := e.startReady()
			answers := d.startBusy()
			c.apply(e, d)
			d.g.Eventually(d.log).WithTimeout(waitTimeout).Should(ContainSubstring(c.logged))
			for range busyRequests {
				d.expectServed(answers)
			}
		})
	}
}

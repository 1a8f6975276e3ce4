package main

import (
	"encoding/json"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowFile is a settings file that takes as long to read as a test wants: a named pipe.
type slowFile struct {
	g    *WithT
	path string
	end  *os.File
}

// newSlowFile puts a slow file in the place of the file at the path, if there is one.
func newSlowFile(g *WithT, path string) *slowFile {
	g.Expect(syscall.Mkfifo(path+".slow", 0o600)).To(Succeed())
	g.Expect(os.Rename(path+".slow", path)).To(Succeed())
	return &slowFile{g: g, path: path}
}

// waitForReader waits until a process has begun to read the file.
func (f *slowFile) waitForReader() {
	f.g.THelper()
	f.g.Eventually(func() (err error) {
		f.end, err = os.OpenFile(f.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err
	}).WithTimeout(waitTimeout).Should(Succeed())
}

// finish lets a reader have v as JSON, and puts a regular file with it at the path.
func (f *slowFile) finish(v any) {
	f.g.THelper()
	writeFile(f.g, f.path+".new", v)
	f.g.Expect(os.Rename(f.path+".new", f.path)).To(Succeed())
	data, err := json.Marshal(v)
	f.g.Expect(err).NotTo(HaveOccurred())
	_, err = f.end.Write(data)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(f.end.Close()).To(Succeed())
}

// close ends the wait of the readers; they find the file empty.
func (f *slowFile) close() {
	_ = f.end.Close()
}

// testEnv is what a daemon of either kind needs to start.
type testEnv struct {
	g           *WithT
	newSettings func() map[string]any
	start       func(settings string) *testDaemon
}

// environments return the environments of the two kinds of daemon.
var environments = map[string]func(t *testing.T) testEnv{
	"relay": func(t *testing.T) testEnv {
		e := newRelayEnv(t)
		return testEnv{e.g, e.newSettings, e.start}
	},
	"proxy": func(t *testing.T) testEnv {
		e := newProxyEnv(t)
		return testEnv{e.g, e.newSettings, e.start}
	},
}

// Guards against a daemon that is stopped while it starts and leaves an error, or goes on.
func TestStopSignalDuringStartEndsDaemon(t *testing.T) {
	for name, newEnv := range environments {
		for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
			t.Run(name+" "+s.String(), func(t *testing.T) {
				e := newEnv(t)
				file := newSlowFile(e.g, t.TempDir()+"/settings.json")
				d := e.start(file.path)
				file.waitForReader()
				defer file.close()
				d.signal(e.g, s)
				e.g.Expect(d.exitState(e.g)).To(Equal("signal: " + s.String()))
			})
		}
	}
}

// Guards against signals at any moment of the start that end a daemon with an error, or
// that it ignores. Before it handles SIGTERM, it has accepted nothing and ends at once.
func TestStopSignalAtAnyMomentOfStart(t *testing.T) {
	const lastDelay, step = 60 * time.Millisecond, 4 * time.Millisecond
	e := newRelayEnv(t)
	var started []*testDaemon
	for delay := time.Duration(0); delay <= lastDelay; delay += step {
		d := e.start(writeFile(e.g, t.TempDir()+"/settings.json", e.newSettings()))
		time.Sleep(delay)
		d.signal(e.g, syscall.SIGTERM)
		started = append(started, d)
	}
	for _, d := range started {
		e.g.Expect(d.exitState(e.g)).To(BeElementOf("exit status 0", "signal: terminated"), "%s", d.log())
	}
}

// Guards against a daemon that does not stop, and is killed with all requests in
// progress, because it is still reading its settings file after SIGHUP.
func TestStopSignalIsNotHeldUpByReload(t *testing.T) {
	d := startRelay(t)
	file := newSlowFile(d.g, d.settings)
	defer file.close()
	answers := d.startRequest("r1")
	d.signal(d.g, syscall.SIGHUP)
	file.waitForReader()
	d.signal(d.g, syscall.SIGTERM)
	d.g.Eventually(d.ready).WithTimeout(waitTimeout).Should(BeFalse(), "%s", d.log())
	d.expectServed(answers)
	d.g.Expect(d.exitState(d.g)).To(Equal("exit status 0"))
}

// Guards against a SIGTERM that is lost behind several SIGHUP that are not handled yet.
func TestStopSignalIsNotLostBehindReloads(t *testing.T) {
	const signalGap = 50 * time.Millisecond // Signals that are sent at once merge into one.
	e := newRelayEnv(t)
	d := e.startReady()
	file := newSlowFile(e.g, d.settings)
	for range 4 {
		d.signal(e.g, syscall.SIGHUP)
		time.Sleep(signalGap)
	}
	file.waitForReader()
	d.signal(e.g, syscall.SIGTERM)
	time.Sleep(signalGap)
	file.finish(e.settingsWith(6))
	e.g.Expect(d.exitState(e.g)).To(Equal("exit status 0"))
}

// Guards against SIGINT that cuts requests in progress.
func TestInterruptCutsNothing(t *testing.T) {
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			answers := d.startRequest("r1")
			d.signal(d.g, syscall.SIGINT)
			d.expectServed(answers)
			d.signal(d.g, syscall.SIGINT)
			d.g.Expect(d.exitState(d.g)).To(Equal("exit status 0"))
		})
	}
}

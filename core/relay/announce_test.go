package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/sched"
)

// talkingTargets are targets whose responses say something of themselves. They are told
// apart by their addresses.
type talkingTargets struct {
	// answer returns status and further header lines of the response of the target at the
	// address.
	answer func(address string) (status int, lines string)

	mu       sync.Mutex
	requests map[string]int
}

func (a *talkingTargets) dial(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	c := &talkingConn{targets: a, address: address, conn: server}
	go c.run()
	return client, nil
}

// talkingConn is one connection to a target.
type talkingConn struct {
	targets *talkingTargets
	address string
	conn    net.Conn
}

func (c *talkingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.targets.mu.Lock()
		c.targets.requests[c.address]++
		c.targets.mu.Unlock()
		status, lines := c.targets.answer(c.address)
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 %d Status\r\nId: %s\r\nReceipt: r\r\n%sContent-Length: 0\r\n\r\n", status, req.Header.Get("Id"), lines)
	}
}

func (a *talkingTargets) count(address string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests[address]
}

const (
	firstAddress  = "10.0.0.1:80"
	secondAddress = "10.0.0.2:80"
)

// targetsStarted returns two targets of which the first started at the given time.
func targetsStarted(millis int64) map[string][]sched.Target {
	return map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", StartMillis: millis}, Address: firstAddress, DataCentre: "a", Slots: 6},
		{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: secondAddress, DataCentre: "a", Slots: 6},
	}}
}

func newTalkingTargets(answer func(address string) (int, string)) (*talkingTargets, *relay.Relay) {
	a := &talkingTargets{answer: answer, requests: map[string]int{}}
	r := (&largeTarget{}).newRelay(relay.WithLinkOptions(link.WithDial(a.dial)))
	r.SetTargets(targetsStarted(1))
	return a, r
}

// sendMany sends requests one after the other and returns the last response.
func sendMany(t *testing.T, r *relay.Relay, count int) (last *caller.Response) {
	for i := range count {
		last = r.Handle(t.Context(), &caller.Request{
			Method: http.MethodGet, RequestURI: "/1", Host: host, ReceivedAt: time.Now(), Header: http.Header{"Id": {strconv.Itoa(i)}},
		})
		if last.Release != nil {
			last.Release()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// Guards against requests to a target that has said in a response that it leaves, also if
// the target list, which may be old, still holds it. A new start of it is used again.
func TestTargetThatSaysItLeavesGetsNothingMore(t *testing.T) {
	answers := map[string]func() (int, string){
		"success":  func() (int, string) { return http.StatusOK, "Leaving: 1\r\n" },
		"failure":  func() (int, string) { return http.StatusInternalServerError, "Leaving: 1\r\n" },
		"refusal":  func() (int, string) { return http.StatusServiceUnavailable, "Not-Run: 1\r\nLeaving: 1\r\n" },
		"replaced": func() (int, string) { return http.StatusMisdirectedRequest, "Not-Run: 1\r\n" },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				leaving := true
				targets, r := newTalkingTargets(func(address string) (int, string) {
					if address == firstAddress && leaving {
						return answer()
					}
					return http.StatusOK, ""
				})
				defer r.SetTargets(nil)
				sendMany(t, r, 100)
				g.Expect(targets.count(firstAddress)).To(Equal(1))
				r.SetTargets(map[string][]sched.Target{"archive": targetsStarted(1)["archive"][1:]})
				r.SetTargets(targetsStarted(1))
				sendMany(t, r, 100)
				g.Expect(targets.count(firstAddress)).To(Equal(1))
				leaving = false
				r.SetTargets(targetsStarted(2))
				sendMany(t, r, 100)
				g.Expect(targets.count(firstAddress)).To(BeNumerically(">", 1))
			})
		})
	}
}

// Guards against requests to a target that has asked for none for some time, against a
// pause that never ends, and against one for a value that makes no sense.
func TestTargetThatAsksForAPauseGetsOne(t *testing.T) {
	pauses := map[string]struct {
		lines string
		pause time.Duration
	}{
		"zero":      {"Retry-After: 0\r\n", 0},
		"fraction":  {"Retry-After: 0.3\r\n", 300 * time.Millisecond},
		"seconds":   {"Retry-After: 3\r\n", 3 * time.Second},
		"absurd":    {"Retry-After: 1e9\r\n", time.Minute},
		"infinite":  {"Retry-After: Inf\r\n", 0},
		"negative":  {"Retry-After: -1\r\n", 0},
		"text":      {"Retry-After: soon\r\n", 0},
		"date":      {"Retry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n", 0},
		"two":       {"Retry-After: 2\r\nRetry-After: 1\r\n", 2 * time.Second},
		"one valid": {"Retry-After: later\r\nRetry-After: 1\r\n", time.Second},
	}
	for name, c := range pauses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var asked time.Time
				targets, r := newTalkingTargets(func(address string) (int, string) {
					if address == firstAddress && asked.IsZero() {
						asked = time.Now()
						return http.StatusServiceUnavailable, "Not-Run: 1\r\n" + c.lines
					}
					return http.StatusOK, ""
				})
				defer r.SetTargets(nil)
				for asked.IsZero() {
					sendMany(t, r, 1)
				}
				for time.Since(asked) < c.pause-60*time.Millisecond {
					sendMany(t, r, 1)
					r.SetTargets(targetsStarted(1))
				}
				g.Expect(targets.count(firstAddress)).To(Equal(1), "during the pause")
				sendMany(t, r, 100)
				g.Expect(targets.count(firstAddress)).To(BeNumerically(">", 1), "after the pause")
			})
		})
	}
}

// Guards against callers that wait, or come back too early or all at the same moment,
// while all targets of a service ask for a pause.
func TestCallersAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets, r := newTalkingTargets(func(address string) (int, string) {
			if address == firstAddress {
				return http.StatusServiceUnavailable, "Not-Run: 1\r\nRetry-After: 5\r\n"
			}
			return http.StatusServiceUnavailable, "Not-Run: 1\r\nRetry-After: 3\r\n"
		})
		defer r.SetTargets(nil)
		sendMany(t, r, 2)
		began := time.Now()
		advised := map[string]bool{}
		for i := range 20 {
			resp := sendRequest(t.Context(), r)
			g.Expect(resp.Status).To(Equal(http.StatusServiceUnavailable))
			text := resp.Header.Get("Retry-After")
			seconds, err := strconv.ParseFloat(text, 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">", 2.5), BeNumerically("<", 5)), "request %d", i)
			advised[text] = true
		}
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(len(advised)).To(BeNumerically(">", 10))
		g.Expect(targets.count(firstAddress)).To(Equal(1))
		g.Expect(targets.count(secondAddress)).To(Equal(1))
	})
}

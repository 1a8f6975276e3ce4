package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/stand"
)

// insistentCaller sends one request after the other to a daemon, whatever address
// responses say, until it accepts no connection any more.
type insistentCaller struct {
	scenario *scenario
	daemon   int
	// orders is the prefix of the keys of its orders; without one it sends lookups.
	orders string
	done   *sync.WaitGroup

	responses []response
	keys      []string
	sentAt    []time.Time
}

func (c *insistentCaller) run() {
	defer c.done.Done()
	for {
		r, key, sentAt := response{}, "", time.Now()
		if c.orders != "" {
			key = fmt.Sprintf("%s-%d", c.orders, len(c.keys))
			r = c.scenario.sendOrder(c.daemon, key)
		} else {
			r = c.scenario.sendLookup(c.daemon)
		}
		if r.err != nil && strings.Contains(r.err.Error(), "refused") {
			return
		}
		c.responses, c.keys = append(c.responses, r), append(c.keys, key)
		c.sentAt = append(c.sentAt, sentAt)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestShutdownWithInsistentCallers guards against a shutdown that takes requests until
// its limit and then cuts all that are in progress. A request is either answered by a
// target, or refused with the addresses of other daemons. A refused lookup is told that it
// did not run; an order is not, as an earlier copy with its key may have run elsewhere.
func TestShutdownWithInsistentCallers(t *testing.T) {
	limits := map[string]time.Duration{
		"usual":                                10 * time.Minute,
		"just above the wait for callers":      20 * time.Second,
		"below the wait for callers":           10 * time.Second,
		"hardly above the time of one request": 8 * time.Second,
	}
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(s *scenario) {
				for _, target := range s.targets {
					target.SetFaults(stand.TargetFaults{Delay: 700 * time.Millisecond})
				}
				s.daemons[0].settings.ShutdownLimit = limit
				var done sync.WaitGroup
				var callers []*insistentCaller
				for _, orders := range []string{"", "", "counter-1", "counter-2"} {
					c := &insistentCaller{scenario: s, daemon: 0, orders: orders, done: &done}
					callers = append(callers, c)
					done.Add(1)
					go c.run()
				}
				time.Sleep(3 * time.Second)
				began := time.Now()
				<-s.stopAsync(0)
				ended := time.Now()
				s.daemons[0].Kill() // The process ends after Stop.
				s.g.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second), "the shutdown ends although callers go on")
				done.Wait()
				served, refused := 0, 0
				for _, c := range callers {
					for i, r := range c.responses {
						if r.err != nil {
							s.g.Expect(c.sentAt[i]).To(Equal(ended), "only a request that crosses the end may be closed unread: %v", r.err)
							continue
						}
						if r.status < http.StatusBadRequest {
							served++
							continue
						}
						refused++
						s.g.Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
						s.g.Expect(r.body).To(And(ContainSubstring(`"vm":"pinamar-1"`), ContainSubstring(`"vm":"necochea-1"`)))
						s.g.Expect(r.body).To(ContainSubstring(`"retry":"other-address"`))
						if c.orders == "" {
							s.g.Expect(r.outcome).To(Equal("not-run"), r.body)
						} else {
							s.g.Expect(s.runs(c.keys[i])).To(BeZero())
						}
					}
				}
				s.g.Expect(served).To(BeNumerically(">", 4))
				s.g.Expect(refused).To(BeNumerically(">", 0))
			})
		})
	}
}

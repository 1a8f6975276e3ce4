package quota_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/quota"
)

// busyDaemons is the number of daemons that get nearly all requests.
const busyDaemons = 8

// load sends requests of one workspace at random times to some daemons.
type load struct {
	fleet     *fleet
	workspace string
	limit     quota.Limit
	// rate returns the requests per second at a time since the start.
	rate func(since time.Duration) float64
	// pick returns the daemon for a request.
	pick func(r *rand.Rand) *daemon

	mu sync.Mutex
	// arrivals holds the requests in the order of their arrival.
	arrivals []*arrival
}

// arrival is one request and its outcome.
type arrival struct {
	at, done time.Time
	err      error
}

// constant returns a rate that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// anyBusy returns a function that picks one of the busy daemons that are running.
func (f *fleet) anyBusy() func(*rand.Rand) *daemon {
	return func(r *rand.Rand) *daemon {
		for {
			d := f.daemons[len(f.daemons)-1-r.IntN(min(busyDaemons, len(f.daemons)))]
			if !d.dead.Load() {
				return d
			}
		}
	}
}

// run sends requests for the given time and waits for their outcomes.
func (l *load) run(seed uint64, span time.Duration) {
	r := rand.New(rand.NewPCG(seed, 7))
	start := time.Now()
	var wg sync.WaitGroup
	for {
		rate := l.rate(time.Since(start))
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(start) >= span {
			break
		}
		d := l.pick(r)
		a := &arrival{at: time.Now()}
		l.arrivals = append(l.arrivals, a)
		wg.Go(func() { l.send(d, a) })
	}
	wg.Wait()
}

// send makes one request. At a paused daemon it waits until that goes on.
func (l *load) send(d *daemon, a *arrival) {
	d.await()
	err := d.manager.Load().Acquire(context.Background(), l.workspace, a.at.Add(2*time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	a.err, a.done = err, time.Now()
}

// loads runs several loads at the same time.
func runAll(span time.Duration, loads ...*load) {
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { l.run(uint64(i+1), span) })
	}
	wg.Wait()
}

// outcomes counts the arrivals between two times since the first by outcome.
type outcomes struct {
	sent, granted, exceeded, unavailable int
	// slowest is the longest time until a request was granted.
	slowest time.Duration
}

func (l *load) outcomes(from, until time.Duration) outcomes {
	var o outcomes
	for _, a := range l.arrivals {
		if since := a.at.Sub(l.arrivals[0].at); since < from || since >= until {
			continue
		}
		o.sent++
		switch {
		case a.err == nil:
			o.granted++
			o.slowest = max(o.slowest, a.done.Sub(a.at))
		case fault.Is(a.err, fault.QuotaExceeded):
			o.exceeded++
		default:
			o.unavailable++
		}
	}
	return o
}

// mostInWindow returns the largest number of requests that were both sent and granted in
// one window of the policy.
func (l *load) mostInWindow() int {
	var granted []*arrival
	for _, a := range l.arrivals {
		if a.err == nil {
			granted = append(granted, a)
		}
	}
	most := 0
	for i, first := range granted {
		end := first.at.Add(policy.Window)
		n := 0
		for _, a := range granted[i:] {
			if !a.at.Before(end) {
				break
			}
			if a.done.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// bound returns the largest number of requests of a workspace in a window.
func bound(l quota.Limit) int {
	return int((l.Rate*policy.Window.Seconds()+l.Burst)*(1+policy.Overage) + policy.Slack)
}

// idealRefusals returns how many requests one token bucket for the whole fleet would
// admit, and how many of these were refused.
func (l *load) idealRefusals() (admitted, refused int) {
	level, last := l.limit.Burst, l.arrivals[0].at
	arrivals := slices.Clone(l.arrivals)
	for _, a := range arrivals {
		level = math.Min(level+a.at.Sub(last).Seconds()*l.limit.Rate, l.limit.Burst)
		last = a.at
		if level < 1 {
			continue
		}
		level--
		admitted++
		if a.err != nil {
			refused++
		}
	}
	return admitted, refused
}

// only returns a function that picks the daemon.
func only(d *daemon) func(*rand.Rand) *daemon {
	return func(*rand.Rand) *daemon { return d }
}

// none is a network in which no link is cut.
func none(_, _ *daemon) bool { return false }

// joined returns a load with the arrivals of several loads of one workspace.
func joined(loads ...*load) *load {
	all := &load{workspace: loads[0].workspace, limit: loads[0].limit}
	for _, l := range loads {
		all.arrivals = append(all.arrivals, l.arrivals...)
	}
	slices.SortFunc(all.arrivals, func(a, b *arrival) int { return a.at.Compare(b.at) })
	return all
}

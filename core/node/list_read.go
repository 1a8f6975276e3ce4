package node

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/watch"
)

// maxListProbes is the number of calls of one probe. A call that the store answers slowly
// has as long as they take together.
const maxListProbes = 4

// listRead is one call to the store for the target list, or its result.
type listRead struct {
	platform *Platform
	// since is the position after which changes are read; full requests the whole list.
	since watch.Position
	full  bool
	began time.Time
	// backoffFrom is when the backoff after a failed read begins: at the end of a call, or
	// at the start of the last call of a probe.
	backoffFrom time.Time

	delta    watch.Delta
	problems []error
	err      error
}

// do makes the call.
func (r *listRead) do(ctx context.Context) {
	r.began = time.Now()
	if r.full || r.since.Version == 0 {
		r.delta, r.problems, r.err = r.platform.ReadTargets(ctx)
	} else {
		r.delta, r.problems, r.err = r.platform.ReadTargetChanges(ctx, r.since.Version)
	}
	r.backoffFrom = time.Now()
	r.delta.Age = r.backoffFrom.Sub(r.began)
}

// final reports whether a further call would not help.
func (r *listRead) final() bool {
	return r.err == nil || fault.Is(r.err, fault.HistoryGone)
}

// listProbe repeats a read that fails, at an interval and whether or not the calls made
// before have ended. Load pattern: a store that leaves calls without an answer. The first
// read after its return tells how long missing targets are kept, and must not wait for the
// timeout of a call that was made before.
type listProbe struct {
	read     listRead
	interval time.Duration
	results  chan *listRead
}

func newListProbe(read listRead, interval time.Duration) *listProbe {
	return &listProbe{read: read, interval: interval, results: make(chan *listRead, maxListProbes)}
}

// first returns the first successful read, or a failed one.
func (p *listProbe) first(ctx context.Context) *listRead {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := &listRead{err: fault.New(fault.StoreUnavailable, "store did not answer within %s", p.interval)}
	for range maxListProbes {
		began := time.Now()
		go p.run(ctx)
		if r := p.await(ctx); r != nil {
			last = r
		}
		if last.final() || ctx.Err() != nil {
			break
		}
		last.backoffFrom = began
	}
	return last
}

// run makes one call.
func (p *listProbe) run(ctx context.Context) {
	r := p.read
	r.do(ctx)
	p.results <- &r
}

// await waits for the interval, or until a call succeeds, and returns the last result; nil
// if there was none.
func (p *listProbe) await(ctx context.Context) *listRead {
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	var last *listRead
	for {
		select {
		case last = <-p.results:
			if last.final() {
				return last
			}
		case <-timer.C:
			return last
		case <-ctx.Done():
			return last
		}
	}
}

package detect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

const (
	// ejectorTick is how often due changes are looked for.
	ejectorTick = 250 * time.Millisecond
	// dutyDelay is the wait for each rank before a daemon changes the row. It
	// exceeds a conditional write by far, so that as a rule only the first
	// carrier writes.
	dutyDelay = 300 * time.Millisecond
	// rereadInterval is section 6's bound on the age of the row in use.
	rereadInterval = 30 * time.Second
	// storeTimeout bounds each call of the table service.
	storeTimeout = 2 * time.Second
	// writeAttempts bounds the attempts of one change before it waits for the
	// next tick; each lost attempt means that another daemon's write took effect.
	writeAttempts = 6
	// assessmentHold is the age up to which verdicts are acted on, so that a
	// daemon that was paused does not carry out what it thought before.
	assessmentHold = 5 * time.Second
	firstBackoff   = 250 * time.Millisecond
	longBackoff    = 10 * time.Second
	// jitterShare is the part of a wait that is random.
	jitterShare = 0.2
)

// Listing is the row as a daemon holds it.
type Listing struct {
	Ejections
	// Version is that of the table row; 0 means that the row does not exist.
	Version uint64
	// Value is the row value as read, for reports to peers.
	Value []byte
	// Read is when the row was read or taken over from a peer; a zero time
	// means that it has not been read yet.
	Read time.Time
}

// Assessment is what a daemon submits to its Ejector after each Assess.
type Assessment struct {
	Service  *fleet.Service
	Verdicts []Verdict
	Signs    Signs
	// Typical is the median latency over the targets, against which trials are
	// measured.
	Typical time.Duration
}

// Ejector carries verdicts into the row of one service and keeps a copy of the
// row for use. All writes of this daemon to the row go through its run.
type Ejector struct {
	service fleet.ServiceID
	writer  fleet.Incarnation
	table   store.Table
	rank    func(fleet.TargetID) int
	changed func(Listing)
	spread  func(time.Duration) time.Duration

	listing atomic.Pointer[Listing]
	latest  atomic.Pointer[submission]
	heard   atomic.Uint64
	writes  atomic.Uint64
	trials  trials
	orders  chan order
	wake    chan struct{}
	done    chan struct{}

	// The fields below belong to run.
	condemned map[fleet.TargetID]time.Time
	nextRead  time.Time
	stale     bool
	retry     *backoff.ExponentialBackOff
	retryAt   time.Time
}

// order is a change that an operator waits for.
type order struct {
	ctx    context.Context
	change transition
	reply  chan error
}

// transition builds the next list; an unchanged sequence means nothing to write.
type transition func(Ejections) (Ejections, error)

// EjectorOption changes an Ejector.
type EjectorOption func(*Ejector)

// WithRank sets this daemon's place among the carriers in the duty for a
// target; 0, the target's prober, writes first.
func WithRank(rank func(fleet.TargetID) int) EjectorOption {
	return func(e *Ejector) { e.rank = rank }
}

// WithChanged sets a function that run calls after each change of the row in
// use; it must not block.
func WithChanged(f func(Listing)) EjectorOption {
	return func(e *Ejector) { e.changed = f }
}

// NewEjector returns an Ejector for the service; writer is this daemon's incarnation.
func NewEjector(service fleet.ServiceID, writer fleet.Incarnation, table store.Table, opts ...EjectorOption) *Ejector {
	e := &Ejector{
		service: service, writer: writer, table: table,
		rank:      func(fleet.TargetID) int { return 0 },
		changed:   func(Listing) {},
		spread:    jitter,
		orders:    make(chan order),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		condemned: map[fleet.TargetID]time.Time{},
		retry:     backoff.NewExponentialBackOff(),
	}
	e.retry.InitialInterval, e.retry.MaxInterval = firstBackoff, longBackoff
	for _, o := range opts {
		o(e)
	}
	e.listing.Store(&Listing{Ejections: NewEjections(service)})
	return e
}

// Start runs the Ejector until ctx ends.
func (e *Ejector) Start(ctx context.Context) {
	go e.run(ctx)
}

// Wait returns once run has ended.
func (e *Ejector) Wait() {
	<-e.done
}

// Current returns the row in use.
func (e *Ejector) Current() Listing {
	return *e.listing.Load()
}

// submission is an assessment with the time at which it came in.
type submission struct {
	Assessment
	at time.Time
}

// Submit replaces the assessment that the Ejector acts on.
func (e *Ejector) Submit(a Assessment) {
	e.submit(a, time.Now())
}

func (e *Ejector) submit(a Assessment, now time.Time) {
	e.latest.Store(&submission{Assessment: a, at: now})
}

// Hear takes the version of the row that a peer reports; a higher one is read at once.
func (e *Ejector) Hear(version uint64) {
	for {
		old := e.heard.Load()
		if version <= old {
			return
		}
		if e.heard.CompareAndSwap(old, version) {
			e.poke()
			return
		}
	}
}

// Offer takes the row itself from a peer's report; rows that are not newer are
// ignored and malformed ones refused with fault.MessageInvalid.
func (e *Ejector) Offer(version uint64, value []byte) error {
	j, err := DecodeEjections(e.service, value)
	if err != nil {
		return err
	}
	e.adopt(Listing{Ejections: j, Version: version, Value: value, Read: time.Now()})
	return nil
}

// Trial takes the result of a request to a target in trial.
func (e *Ejector) Trial(id fleet.TargetID, res Result, latency time.Duration) {
	e.trials.request(id, res, latency)
}

// TrialProbe takes the result of a probe of a target in trial.
func (e *Ejector) TrialProbe(id fleet.TargetID, res Result) {
	e.trials.probe(id, res)
}

// EjectByHand ejects a target for an operator. It returns fault.FloorReached if
// the floor does not allow it, and fault.StoreAmbiguous if it is not yet known
// whether the change was made.
func (e *Ejector) EjectByHand(ctx context.Context, id fleet.TargetID, operator, reason string) error {
	return e.byHand(ctx, func(j Ejections) (Ejections, error) {
		a := e.latest.Load()
		if a == nil {
			return j, fault.New(fault.NotReady, "service %s is not assessed yet", e.service)
		}
		return j.EjectByHand(a.Service, a.Signs, id, operator, reason, time.Now())
	})
}

// ReturnByHand returns a target to service for an operator.
func (e *Ejector) ReturnByHand(ctx context.Context, id fleet.TargetID, operator, reason string) error {
	return e.byHand(ctx, func(j Ejections) (Ejections, error) {
		a := e.latest.Load()
		if a == nil {
			return j, fault.New(fault.NotReady, "service %s is not assessed yet", e.service)
		}
		return j.Return(a.Service, id, operator, reason, time.Now())
	})
}

func (e *Ejector) byHand(ctx context.Context, change transition) error {
	o := order{ctx: ctx, change: change, reply: make(chan error, 1)}
	select {
	case e.orders <- o:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StoreUnavailable, "ejection list of %s", e.service)
	case <-e.done:
		return fault.New(fault.NotReady, "ejector of %s has stopped", e.service)
	}
	select {
	case err := <-o.reply:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StoreAmbiguous, "ejection list of %s", e.service)
	}
}

func (e *Ejector) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// adopt takes a newer row into use and reports whether it was newer.
func (e *Ejector) adopt(l Listing) bool {
	for {
		old := e.listing.Load()
		if !old.Read.IsZero() && l.Version <= old.Version {
			return false
		}
		if e.listing.CompareAndSwap(old, &l) {
			e.trials.follow(l.Ejections, l.Read)
			e.changed(l)
			return true
		}
	}
}

func (e *Ejector) changeID() string {
	return fmt.Sprintf("%s.%d", e.writer, e.writes.Add(1))
}

// jitter spreads d by jitterShare around its value.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration((rand.Float64()-0.5)*jitterShare*float64(d))
}

// jitterAll returns a random part of d.
func jitterAll(d time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(d))
}

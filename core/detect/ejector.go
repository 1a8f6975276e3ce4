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
	// reconcileInterval is how often the row is reconciled with the assessment.
	reconcileInterval = 250 * time.Millisecond
	// delayPerRank is how long a daemon waits, for each rank before its own,
	// until it changes the row. It is far longer than a conditional write
	// takes, so that usually only the first carrier writes.
	delayPerRank = 300 * time.Millisecond
	// refreshInterval bounds the age of the copy of the row. With it, 690
	// daemons with 3.13 services each make 72 reads/s.
	refreshInterval = 30 * time.Second
	// storeTimeout bounds each call to the table service.
	storeTimeout = 2 * time.Second
	// writeAttempts bounds the attempts at one change before it waits for the
	// next tick; each attempt that fails with a conflict means that another
	// daemon's write took effect.
	writeAttempts = 6
	// maxAssessmentAge is the age up to which verdicts are acted on, so that a
	// daemon that was paused does not act on verdicts from before the pause.
	maxAssessmentAge = 5 * time.Second
	// initialBackoff and maxBackoff bound the pause after a failure of the
	// store.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 10 * time.Second
	// jitterFraction is the width of the random part of a wait, as a fraction
	// of the wait.
	jitterFraction = 0.2
)

// CachedRow is a daemon's copy of the row.
type CachedRow struct {
	Ejections
	// Version is the version of the table row; 0 means that the row does not
	// exist.
	Version uint64
	// Value is the row value as read, which is passed on to peers.
	Value []byte
	// ReadAt is when the row was read or received from a peer; it is zero until
	// then.
	ReadAt time.Time
}

// Assessment is what a daemon submits to its Ejector after each call of Assess.
type Assessment struct {
	Service  *fleet.Service
	Verdicts []Verdict
	Signals  LeavingSignals
	// MedianLatency is the median latency over the targets, against which the latency
	// of targets in trial is compared.
	MedianLatency time.Duration
}

// Ejector writes the ejections that follow from verdicts to the row of one
// service, and keeps a copy of the row. Its run goroutine makes all writes of
// this daemon to the row.
type Ejector struct {
	service  fleet.ServiceID
	writer   fleet.Incarnation
	table    store.Table
	rank     func(fleet.TargetID) int
	onChange func(CachedRow)
	jitter   func(time.Duration) time.Duration

	cached          atomic.Pointer[CachedRow]
	latest          atomic.Pointer[timedAssessment]
	peerVersion     atomic.Uint64
	writeCount      atomic.Uint64
	trials          trialTracker
	operatorChanges chan operatorChange
	wake            chan struct{}
	done            chan struct{}

	// The fields below are used by run only.
	condemnedSince map[fleet.TargetID]time.Time
	nextRead       time.Time
	stale          bool
	retry          *backoff.ExponentialBackOff
	retryAt        time.Time
}

// operatorChange is a change of the list that an operator waits for.
type operatorChange struct {
	ctx    context.Context
	change transition
	reply  chan error
}

// transition returns the next list; with an unchanged sequence there is nothing
// to write.
type transition func(Ejections) (Ejections, error)

// EjectorOption configures an Ejector.
type EjectorOption func(*Ejector)

// WithRank sets the function that returns this daemon's rank among the carriers
// for a target. The carrier of rank 0, the target's prober, writes first.
func WithRank(rank func(fleet.TargetID) int) EjectorOption {
	return func(e *Ejector) { e.rank = rank }
}

// WithOnChange sets a function that is called after each change of the copy of
// the row; it must not block.
func WithOnChange(f func(CachedRow)) EjectorOption {
	return func(e *Ejector) { e.onChange = f }
}

// NewEjector returns an Ejector for the service; writer is this daemon's incarnation.
func NewEjector(service fleet.ServiceID, writer fleet.Incarnation, table store.Table, opts ...EjectorOption) *Ejector {
	e := &Ejector{
		service: service, writer: writer, table: table,
		rank:            func(fleet.TargetID) int { return 0 },
		onChange:        func(CachedRow) {},
		jitter:          jitter,
		operatorChanges: make(chan operatorChange),
		wake:            make(chan struct{}, 1),
		done:            make(chan struct{}),
		condemnedSince:  map[fleet.TargetID]time.Time{},
		retry:           backoff.NewExponentialBackOff(),
	}
	e.retry.InitialInterval, e.retry.MaxInterval = initialBackoff, maxBackoff
	for _, o := range opts {
		o(e)
	}
	e.cached.Store(&CachedRow{Ejections: NewEjections(service)})
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

// Current returns the copy of the row.
func (e *Ejector) Current() CachedRow {
	return *e.cached.Load()
}

// timedAssessment is an assessment with the time at which it was submitted.
type timedAssessment struct {
	Assessment
	at time.Time
}

// Submit replaces the assessment that the Ejector acts on.
func (e *Ejector) Submit(a Assessment) {
	e.submit(a, time.Now())
}

func (e *Ejector) submit(a Assessment, now time.Time) {
	e.latest.Store(&timedAssessment{Assessment: a, at: now})
}

// RecordPeerVersion records the version of the row that a peer reports. A version higher
// than any before makes run read the row at once.
func (e *Ejector) RecordPeerVersion(version uint64) {
	for {
		old := e.peerVersion.Load()
		if version <= old {
			return
		}
		if e.peerVersion.CompareAndSwap(old, version) {
			e.signalWake()
			return
		}
	}
}

// OfferRow takes a version of the row, with its value, from a peer's report. A row
// that is not newer is ignored, and a malformed one is rejected with
// fault.MessageInvalid.
func (e *Ejector) OfferRow(version uint64, value []byte) error {
	j, err := DecodeEjections(e.service, value)
	if err != nil {
		return err
	}
	e.cacheIfNewer(CachedRow{Ejections: j, Version: version, Value: value, ReadAt: time.Now()})
	return nil
}

// RecordTrialRequest records the result of a request to a target in trial.
func (e *Ejector) RecordTrialRequest(id fleet.TargetID, res Result, latency time.Duration) {
	e.trials.recordRequest(id, res, latency)
}

// RecordTrialProbe records the result of a probe of a target in trial.
func (e *Ejector) RecordTrialProbe(id fleet.TargetID, res Result) {
	e.trials.recordProbe(id, res)
}

// EjectByHand ejects a target for an operator. It returns fault.FloorReached if
// the floor does not allow it, and fault.StoreAmbiguous if it is unknown
// whether the change took effect.
func (e *Ejector) EjectByHand(ctx context.Context, id fleet.TargetID, operator, reason string) error {
	return e.submitOperatorChange(ctx, func(j Ejections) (Ejections, error) {
		a := e.latest.Load()
		if a == nil {
			return j, fault.New(fault.NotReady, "service %s is not assessed yet", e.service)
		}
		return j.EjectByHand(a.Service, a.Signals, id, operator, reason, time.Now())
	})
}

// ReturnByHand returns a target to service for an operator.
func (e *Ejector) ReturnByHand(ctx context.Context, id fleet.TargetID, operator, reason string) error {
	return e.submitOperatorChange(ctx, func(j Ejections) (Ejections, error) {
		a := e.latest.Load()
		if a == nil {
			return j, fault.New(fault.NotReady, "service %s is not assessed yet", e.service)
		}
		return j.ReturnByHand(a.Service, id, operator, reason, time.Now())
	})
}

// submitOperatorChange hands the change to run and waits for its result.
func (e *Ejector) submitOperatorChange(ctx context.Context, change transition) error {
	c := operatorChange{ctx: ctx, change: change, reply: make(chan error, 1)}
	select {
	case e.operatorChanges <- c:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StoreUnavailable, "ejection list of %s", e.service)
	case <-e.done:
		return fault.New(fault.NotReady, "ejector of %s has stopped", e.service)
	}
	select {
	case err := <-c.reply:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.StoreAmbiguous, "ejection list of %s", e.service)
	}
}

// signalWake makes run reconcile at once.
func (e *Ejector) signalWake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cacheIfNewer replaces the copy of the row if l is newer, and reports whether it
// was.
func (e *Ejector) cacheIfNewer(l CachedRow) bool {
	for {
		old := e.cached.Load()
		if !old.ReadAt.IsZero() && l.Version <= old.Version {
			return false
		}
		if e.cached.CompareAndSwap(old, &l) {
			e.trials.update(l.Ejections, l.ReadAt)
			e.onChange(l)
			return true
		}
	}
}

func (e *Ejector) newWriteID() string {
	return fmt.Sprintf("%s.%d", e.writer, e.writeCount.Add(1))
}

// jitter returns a random duration around d; jitterFraction is its total
// spread.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration((rand.Float64()-0.5)*jitterFraction*float64(d))
}

// fullJitter returns a random duration between 0 and d.
func fullJitter(d time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(d))
}

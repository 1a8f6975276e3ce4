package order

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
)

const (
	simVMs     = 5
	simCallers = 24
	// wakeInterval is the granularity of wake-up times. Each goroutine adds its
	// own offset to them, so that no two wake at the same instant and the same
	// seed gives the same run.
	wakeInterval    = 100 * time.Microsecond
	simQueryTimeout = 200 * time.Millisecond
)

// simOrder is one order with what targets and callers have observed of it.
type simOrder struct {
	key        string
	issuer     fleet.Incarnation
	runs       int
	body       string // body of the copy that ran
	responded  bool   // a complete response was received
	notRunFrom string // the daemon that told a caller not-run
}

// process is one daemon process.
type process struct {
	manager *Manager
	dead    atomic.Bool
	paused  atomic.Int64 // end of the pause in Unix nanoseconds
	stop    context.CancelFunc
}

func (p *process) remainingPause() time.Duration {
	return max(time.Until(time.Unix(0, p.paused.Load())), 0)
}

// waitWhilePaused blocks while the process is paused.
func (p *process) waitWhilePaused(ctx context.Context) {
	for d := p.remainingPause(); d > 0 && !p.dead.Load(); d = p.remainingPause() {
		sleep(ctx, d)
	}
}

// sleeperKey is the context key of the goroutine's id, which is its wake-up offset
// in nanoseconds.
type sleeperKey struct{}

func withSleeperID(id int) context.Context {
	return context.WithValue(context.Background(), sleeperKey{}, id)
}

// sleep sleeps for about d and wakes at an instant at which no other goroutine wakes.
func sleep(ctx context.Context, d time.Duration) {
	id, _ := ctx.Value(sleeperKey{}).(int)
	wake := time.Now().Add(d).Truncate(wakeInterval).Add(wakeInterval + time.Duration(id))
	time.Sleep(time.Until(wake))
}

// sim simulates a fleet whose daemons, callers, platform and network all fail.
// Only one goroutine runs at a time, since their wake-up times differ; the lock
// is for the race detector.
type sim struct {
	mu            sync.Mutex
	rng           *rand.Rand
	platform      *stand.Platform
	processes     [simVMs]*process
	byIncarnation map[fleet.Incarnation]*process
	orders        []*simOrder
	loss          float64
	brokenLinks   map[[2]fleet.Incarnation]bool
	copies        int
	maxCopies     int
	started       int
	verdicts      [verdictCount]int
	importedParts int
	violations    []string
}

func newSim(seed uint64, copies int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), platform: stand.NewPlatform(stand.WithSeed(seed)),
		byIncarnation: map[fleet.Incarnation]*process{}, brokenLinks: map[[2]fleet.Incarnation]bool{}, maxCopies: copies,
	}
	for i := range s.processes {
		s.startProcess(i)
	}
	return s
}

func (s *sim) random(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], s.rng.Uint64())
	return copy(b, word[:]), nil
}

func (s *sim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.intN(int(d/wakeInterval))+1) * wakeInterval
}

func (s *sim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *sim) chance(p float64) bool {
	const parts = 1 << 20
	return s.intN(parts) < int(p*parts)
}

// randomVM returns the number of a random VM and its current process.
func (s *sim) randomVM() (int, *process) {
	i := s.intN(simVMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	return i, s.processes[i]
}

func (s *sim) find(inc fleet.Incarnation) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byIncarnation[inc]
}

// startProcess starts a new process on a VM, in place of its current one.
func (s *sim) startProcess(vm int) {
	s.mu.Lock()
	s.started++
	id := s.started
	s.mu.Unlock()
	self := fleet.Incarnation(fmt.Sprintf("vm%d.%016x", vm, id))
	signer, _ := NewSigner(testSecret)
	signer.random = s.random
	p := &process{}
	ledger := NewLedger(self, WithMaxRecords(400), WithMaxKeptBytes(24<<10, 2<<10), WithEpochDurations(2*time.Second, 12*time.Second, 2*time.Second))
	p.manager = NewManager(self, signer, WithLedger(ledger), WithTable(s.table(p)), WithQueryTimeout(simQueryTimeout), WithMaxRowResponse(140),
		WithQueryFunc(func(ctx context.Context, to fleet.Incarnation, q KeyQuery) (KeyReply, error) {
			return s.query(ctx, p, to, q)
		}),
		WithImporters(func(fleet.Incarnation) []fleet.Incarnation { return s.currentIncarnations() }))
	p.manager.claims.random = s.random
	ctx, stop := context.WithCancel(withSleeperID(simCallers + 2*id))
	p.stop = stop
	s.mu.Lock()
	s.processes[vm], s.byIncarnation[self] = p, p
	s.mu.Unlock()
	go p.manager.claims.run(ctx)
	go (&epochTicker{p, withSleeperID(simCallers + 2*id + 1)}).run()
}

func (s *sim) currentIncarnations() (list []fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		list = append(list, p.manager.self)
	}
	return list
}

// epochTicker advances the ledgers of a process while it is not paused.
type epochTicker struct {
	process *process
	ctx     context.Context
}

func (t *epochTicker) run() {
	for !t.process.dead.Load() {
		sleep(t.ctx, 100*time.Millisecond)
		t.process.waitWhilePaused(t.ctx)
		t.process.manager.ledger.tick(time.Now())
		t.process.manager.imported.expire(time.Now())
	}
}

// table returns the table service as a process reaches it, with some latency. The
// process may be paused before and after each of its requests.
func (s *sim) table(p *process) store.Table {
	t := s.platform.Table()
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			s.delayRequest(ctx, p)
			defer s.delayRequest(ctx, p)
			return t.Get(ctx, key)
		},
		Apply: func(ctx context.Context, tx store.Tx) error {
			s.delayRequest(ctx, p)
			defer s.delayRequest(ctx, p)
			if p.dead.Load() {
				return fault.New(fault.StoreUnavailable, "the process has ended")
			}
			return t.Apply(ctx, tx)
		},
	}
}

// delayRequest waits for the network latency in one direction between a process
// and the platform.
func (s *sim) delayRequest(ctx context.Context, p *process) {
	sleep(ctx, 0)
	if !p.dead.Load() {
		sleep(ctx, s.randomDuration(5*time.Millisecond))
		p.waitWhilePaused(ctx)
	}
}

// query sends a query through a network that delays and loses messages. A query
// may take effect after its sender has given up.
func (s *sim) query(ctx context.Context, from *process, to fleet.Incarnation, q KeyQuery) (KeyReply, error) {
	from.waitWhilePaused(ctx)
	defer from.waitWhilePaused(ctx)
	lost := fault.New(fault.PeerUnreachable, "%s", to)
	delay := s.randomDuration(20 * time.Millisecond)
	if s.chance(s.currentLoss()) {
		delay = s.randomDuration(2 * simQueryTimeout)
	}
	if p := s.find(to); p != nil {
		// A paused process receives the query when it resumes.
		delay += p.remainingPause()
	}
	if deadline, _ := ctx.Deadline(); time.Until(deadline) < delay {
		time.AfterFunc(delay, func() { s.deliver(from.manager.self, to, q) })
		sleep(ctx, time.Until(deadline))
		return KeyReply{}, lost
	}
	sleep(ctx, delay)
	reply := s.deliver(from.manager.self, to, q)
	if reply.State == StateNotHeld || s.isLinkBroken(to, from.manager.self) || s.chance(s.currentLoss()) {
		return KeyReply{}, lost
	}
	sleep(ctx, s.randomDuration(20*time.Millisecond))
	return reply, nil
}

func (s *sim) currentLoss() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loss
}

func (s *sim) isLinkBroken(from, to fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brokenLinks[[2]fleet.Incarnation{from, to}]
}

func (s *sim) deliver(from, to fleet.Incarnation, q KeyQuery) (out KeyReply) {
	p := s.find(to)
	if p == nil || p.dead.Load() || s.isLinkBroken(from, to) {
		return KeyReply{State: StateNotHeld}
	}
	reencode(p.manager.AnswerQuery(q), &out)
	return out
}

func (s *sim) addViolation(o *simOrder, format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("op %d, key %.40s: ", s.copies, o.key)+fmt.Sprintf(format, args...))
}

func (s *sim) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies >= s.maxCopies || len(s.violations) > 0
}

// caller repeatedly sends a copy of an order to a daemon. It also acts as the
// daemon that forwards the copy to a target.
type caller struct {
	sim  *sim
	ctx  context.Context
	done chan struct{}
}

func (c *caller) run() {
	defer close(c.done)
	sleep(c.ctx, 0) // Separates the callers before their first random draw.
	for !c.sim.isOver() {
		sleep(c.ctx, c.sim.randomDuration(40*time.Millisecond))
		c.sendCopy()
	}
}

func (c *caller) sendCopy() {
	s := c.sim
	_, p := s.randomVM()
	if p.remainingPause() > 0 {
		return
	}
	o := s.pickOrder(p)
	if o == nil || s.chance(0.1) {
		return // A key that is not used now may be used for the first time much later.
	}
	_, p = s.randomVM()
	if issuer := s.find(o.issuer); issuer != nil && s.chance(0.4) {
		p = issuer
	}
	body := "a"
	if s.chance(0.05) {
		body = "b"
	}
	r := request(o.key, body)
	r.MayRun = !s.chance(0.06)
	d := p.manager.Begin(c.ctx, r)
	p.waitWhilePaused(c.ctx)
	if p.dead.Load() {
		return
	}
	s.checkDecision(p, o, d, body)
	if d.Verdict == VerdictRun {
		c.runOrder(p, o, d, body)
	}
}

// pickOrder returns a new order or an earlier one, mostly a recent one, to repeat.
// It returns nil if the process issues no token.
func (s *sim) pickOrder(p *process) *simOrder {
	repeat, recent, back := s.chance(0.7), s.chance(0.95), s.intN(1<<30)
	s.mu.Lock()
	n := len(s.orders)
	s.mu.Unlock()
	if n > 0 && repeat {
		window := n
		if recent {
			window = min(n, 60)
		}
		return s.orderAt(n - 1 - back%window)
	}
	o := &simOrder{key: fmt.Sprintf("own-%d", n)}
	if s.chance(0.7) {
		mode := ModeLedger
		if s.chance(0.2) {
			mode = ModeClaim
		}
		token, err := p.manager.IssueToken("reservas", mode)
		if err != nil {
			return nil
		}
		o.key, o.issuer = token+".1", p.manager.self
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	return o
}

func (s *sim) orderAt(i int) *simOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[i]
}

// runOrder simulates what follows the decision to run an order: the request to
// the target and its response, or a failure in between.
func (c *caller) runOrder(p *process, o *simOrder, d Decision, body string) {
	s := c.sim
	sleep(c.ctx, s.randomDuration(10*time.Millisecond))
	p.waitWhilePaused(c.ctx)
	if p.dead.Load() {
		return
	}
	if s.chance(0.1) {
		d.Permit.Finish(fault.NotRun, nil)
		s.checkDecision(p, o, Decision{Verdict: VerdictNotRun}, body)
		return
	}
	s.runAtTarget(o, body)
	work := s.randomDuration(50 * time.Millisecond)
	if s.chance(0.02) {
		work = s.randomDuration(5 * time.Second)
	}
	sleep(c.ctx, work)
	p.waitWhilePaused(c.ctx)
	switch {
	case p.dead.Load():
	case s.chance(0.1):
		d.Permit.Finish(fault.Unknown, nil)
	default:
		s.mu.Lock()
		o.responded = true
		s.mu.Unlock()
		d.Permit.Finish(fault.Run, response(o.key+body+string(make([]byte, s.intN(100)))))
	}
}

// runAtTarget simulates one run of the order by a target.
func (s *sim) runAtTarget(o *simOrder, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.runs++
	o.body = body
	if o.runs > 1 {
		s.addViolation(o, "ran %d times", o.runs)
	}
	if o.notRunFrom != "" {
		s.addViolation(o, "ran after a caller was told not-run by %s", o.notRunFrom)
	}
}

// checkDecision compares what a caller is told with what happened.
func (s *sim) checkDecision(p *process, o *simOrder, d Decision, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies++
	s.verdicts[d.Verdict]++
	switch d.Verdict {
	case VerdictNotRun:
		o.notRunFrom = string(p.manager.self)
		if o.runs > 0 {
			s.addViolation(o, "a caller is told not-run by %s after the order ran", p.manager.self)
		}
	case VerdictReplay:
		if !o.responded || o.body != body {
			s.addViolation(o, "%s tells run for copy %s; done %t, ran copy %s", p.manager.self, body, o.responded, o.body)
		}
		if d.Response != nil && string(d.Response.Body[:len(o.key)+1]) != o.key+body {
			s.addViolation(o, "replay of another response %q", d.Response.Body)
		}
	case VerdictInvalid:
		s.addViolation(o, "refused: %v", d.Fault)
	}
}

// simulate runs the simulation to its end.
func (s *sim) simulate() {
	injector := &faultInjector{s, withSleeperID(0), make(chan struct{})}
	go injector.run()
	var callers []*caller
	for i := range simCallers {
		c := &caller{sim: s, ctx: withSleeperID(i + 1), done: make(chan struct{})}
		callers = append(callers, c)
		go c.run()
	}
	for _, c := range callers {
		<-c.done
	}
	<-injector.done
	for _, p := range s.byIncarnation {
		p.kill()
	}
	time.Sleep(time.Hour)
}

func (s *sim) summary() string {
	ran := len(slices.DeleteFunc(slices.Clone(s.orders), func(o *simOrder) bool { return o.runs == 0 }))
	return fmt.Sprintf("%d copies of %d orders, %d ran, %d incarnations, %d parts handed over, verdicts unknown to invalid %v",
		s.copies, len(s.orders), ran, s.started, s.importedParts, s.verdicts)
}

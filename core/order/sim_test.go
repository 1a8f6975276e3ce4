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
	simSlots  = 5
	simActors = 24
	// simGrain spaces the wake-up times of the actors, so that no two wake at
	// the same instant and the same seed gives the same run.
	simGrain = 100 * time.Microsecond
	simAsk   = 200 * time.Millisecond
)

// simOrder is one key with what the targets and the callers saw of it.
type simOrder struct {
	key    string
	home   fleet.Incarnation
	runs   int
	body   string // body of the copy that ran
	done   bool   // a complete response was seen
	notRun string // who told a caller not-run
}

// proc is one daemon process.
type proc struct {
	manager *Manager
	dead    atomic.Bool
	paused  atomic.Int64 // end of the pause in Unix nanoseconds
	stop    context.CancelFunc
}

func (p *proc) pauseLeft() time.Duration {
	return max(time.Until(time.Unix(0, p.paused.Load())), 0)
}

// gate holds the process while it is paused.
func (p *proc) gate(ctx context.Context) {
	for d := p.pauseLeft(); d > 0 && !p.dead.Load(); d = p.pauseLeft() {
		sleep(ctx, d)
	}
}

// waker is the context key of the number of the goroutine that sleeps.
type waker struct{}

func numbered(id int) context.Context {
	return context.WithValue(context.Background(), waker{}, id)
}

// sleep wakes at an instant at which no other goroutine wakes.
func sleep(ctx context.Context, d time.Duration) {
	id, _ := ctx.Value(waker{}).(int)
	wake := time.Now().Add(d).Truncate(simGrain).Add(simGrain + time.Duration(id))
	time.Sleep(time.Until(wake))
}

// sim is a fleet with callers, a platform and a network that all fail. Only
// one goroutine runs at a time, since their wake-up times differ; the lock is
// for the race detector.
type sim struct {
	mu       sync.Mutex
	rng      *rand.Rand
	platform *stand.Platform
	slots    [simSlots]*proc
	all      map[fleet.Incarnation]*proc
	orders   []*simOrder
	loss     float64
	cut      map[[2]fleet.Incarnation]bool
	ops      int
	maxOps   int
	next     int
	verdicts [verdictCount]int
	handed   int
	failures []string
}

func newSim(seed uint64, ops int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), platform: stand.NewPlatform(stand.WithSeed(seed)),
		all: map[fleet.Incarnation]*proc{}, cut: map[[2]fleet.Incarnation]bool{}, maxOps: ops,
	}
	for i := range s.slots {
		s.boot(i)
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

func (s *sim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.intN(int(d/simGrain))+1) * simGrain
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

// slot returns a random slot and its process.
func (s *sim) slot() (int, *proc) {
	i := s.intN(simSlots)
	s.mu.Lock()
	defer s.mu.Unlock()
	return i, s.slots[i]
}

func (s *sim) find(inc fleet.Incarnation) *proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[inc]
}

// boot starts a new process on a slot.
func (s *sim) boot(slot int) {
	s.mu.Lock()
	s.next++
	id := s.next
	s.mu.Unlock()
	self := fleet.Incarnation(fmt.Sprintf("vm%d.%016x", slot, id))
	signer, _ := NewSigner(testSecret)
	signer.random = s.random
	p := &proc{}
	ledger := NewLedger(self, WithMaxRecords(400), WithMaxKeptBytes(24<<10, 2<<10), WithEpochDurations(2*time.Second, 12*time.Second, 2*time.Second))
	p.manager = NewManager(self, signer, WithLedger(ledger), WithTable(s.table(p)), WithQueryTimeout(simAsk), WithMaxRowResponse(140),
		WithAskHome(func(ctx context.Context, to fleet.Incarnation, a OrderAsk) (OrderReply, error) {
			return s.ask(ctx, p, to, a)
		}),
		WithHolders(func(fleet.Incarnation) []fleet.Incarnation { return s.living() }))
	p.manager.claims.random = s.random
	ctx, stop := context.WithCancel(numbered(simActors + 2*id))
	p.stop = stop
	s.mu.Lock()
	s.slots[slot], s.all[self] = p, p
	s.mu.Unlock()
	go p.manager.claims.run(ctx)
	go (&clock{p, numbered(simActors + 2*id + 1)}).run()
}

func (s *sim) living() (list []fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.slots {
		list = append(list, p.manager.self)
	}
	return list
}

// clock closes the epochs of a process that isn't paused.
type clock struct {
	proc *proc
	ctx  context.Context
}

func (c *clock) run() {
	for !c.proc.dead.Load() {
		sleep(c.ctx, 100*time.Millisecond)
		c.proc.gate(c.ctx)
		c.proc.manager.ledger.tick(time.Now())
		c.proc.manager.imported.expire(time.Now())
	}
}

// table is the platform as a process meets it, with some latency. The process
// may be paused before and after each of its requests.
func (s *sim) table(p *proc) store.Table {
	t := s.platform.Table()
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, error) {
			s.travel(ctx, p)
			defer s.travel(ctx, p)
			return t.Get(ctx, key)
		},
		Apply: func(ctx context.Context, tx store.Tx) error {
			s.travel(ctx, p)
			defer s.travel(ctx, p)
			if p.dead.Load() {
				return fault.New(fault.StoreUnavailable, "the process has ended")
			}
			return t.Apply(ctx, tx)
		},
	}
}

// travel is the latency of one way to or from the platform.
func (s *sim) travel(ctx context.Context, p *proc) {
	sleep(ctx, 0)
	if !p.dead.Load() {
		sleep(ctx, s.upTo(5*time.Millisecond))
		p.gate(ctx)
	}
}

// ask carries a message through a network that delays and loses it. A message
// may take effect after its sender gave up.
func (s *sim) ask(ctx context.Context, from *proc, to fleet.Incarnation, a OrderAsk) (OrderReply, error) {
	from.gate(ctx)
	defer from.gate(ctx)
	lost := fault.New(fault.PeerUnreachable, "%s", to)
	delay := s.upTo(20 * time.Millisecond)
	if s.chance(s.lossNow()) {
		delay = s.upTo(2 * simAsk)
	}
	if p := s.find(to); p != nil {
		// A paused process takes the message when it resumes.
		delay += p.pauseLeft()
	}
	if deadline, _ := ctx.Deadline(); time.Until(deadline) < delay {
		time.AfterFunc(delay, func() { s.deliver(from.manager.self, to, a) })
		sleep(ctx, time.Until(deadline))
		return OrderReply{}, lost
	}
	sleep(ctx, delay)
	reply := s.deliver(from.manager.self, to, a)
	if reply.State == StateNotHeld || s.isCut(to, from.manager.self) || s.chance(s.lossNow()) {
		return OrderReply{}, lost
	}
	sleep(ctx, s.upTo(20*time.Millisecond))
	return reply, nil
}

func (s *sim) lossNow() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loss
}

func (s *sim) isCut(from, to fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[[2]fleet.Incarnation{from, to}]
}

func (s *sim) deliver(from, to fleet.Incarnation, a OrderAsk) (out OrderReply) {
	p := s.find(to)
	if p == nil || p.dead.Load() || s.isCut(from, to) {
		return OrderReply{State: StateNotHeld}
	}
	recode(p.manager.Answer(a), &out)
	return out
}

func (s *sim) fail(o *simOrder, format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("op %d, key %.40s: ", s.ops, o.key)+fmt.Sprintf(format, args...))
}

func (s *sim) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ops >= s.maxOps || len(s.failures) > 0
}

// actor is a source of copies: each step sends one copy to one daemon and does
// the daemon's work for it.
type actor struct {
	sim  *sim
	ctx  context.Context
	done chan struct{}
}

func (a *actor) run() {
	defer close(a.done)
	sleep(a.ctx, 0) // Apart from the other actors before the first random draw.
	for !a.sim.over() {
		sleep(a.ctx, a.sim.upTo(40*time.Millisecond))
		a.step()
	}
}

func (a *actor) step() {
	s := a.sim
	_, p := s.slot()
	if p.pauseLeft() > 0 {
		return
	}
	o := s.pick(p)
	if o == nil || s.chance(0.1) {
		return // Some keys are used for the first time only much later.
	}
	_, p = s.slot()
	if home := s.find(o.home); home != nil && s.chance(0.4) {
		p = home
	}
	body := "a"
	if s.chance(0.05) {
		body = "b"
	}
	r := request(o.key, body)
	r.Carried = !s.chance(0.06)
	d := p.manager.Begin(a.ctx, r)
	p.gate(a.ctx)
	if p.dead.Load() {
		return
	}
	s.check(p, o, d, body)
	if d.Verdict == VerdictRun {
		a.send(p, o, d, body)
	}
}

// pick returns a new order or a repeat, mostly of a recent one.
func (s *sim) pick(p *proc) *simOrder {
	repeat, recent, back := s.chance(0.7), s.chance(0.95), s.intN(1<<30)
	s.mu.Lock()
	n := len(s.orders)
	s.mu.Unlock()
	if n > 0 && repeat {
		window := n
		if recent {
			window = min(n, 60)
		}
		return s.order(n - 1 - back%window)
	}
	o := &simOrder{key: fmt.Sprintf("own-%d", n)}
	if s.chance(0.7) {
		mode := ModeHome
		if s.chance(0.2) {
			mode = ModeClaim
		}
		token, err := p.manager.Token("reservas", mode)
		if err != nil {
			return nil
		}
		o.key, o.home = token+".1", p.manager.self
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	return o
}

func (s *sim) order(i int) *simOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[i]
}

// send is the path from the decision to run to the target and back.
func (a *actor) send(p *proc, o *simOrder, d Decision, body string) {
	s := a.sim
	sleep(a.ctx, s.upTo(10*time.Millisecond))
	p.gate(a.ctx)
	if p.dead.Load() {
		return
	}
	if s.chance(0.1) {
		d.Ticket.Finish(fault.NotRun, nil)
		s.check(p, o, Decision{Verdict: VerdictNotRun}, body)
		return
	}
	s.work(o, body)
	work := s.upTo(50 * time.Millisecond)
	if s.chance(0.02) {
		work = s.upTo(5 * time.Second)
	}
	sleep(a.ctx, work)
	p.gate(a.ctx)
	switch {
	case p.dead.Load():
	case s.chance(0.1):
		d.Ticket.Finish(fault.Unknown, nil)
	default:
		s.mu.Lock()
		o.done = true
		s.mu.Unlock()
		d.Ticket.Finish(fault.Run, response(o.key+body+string(make([]byte, s.intN(100)))))
	}
}

// work is one run of the order by a target.
func (s *sim) work(o *simOrder, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.runs++
	o.body = body
	if o.runs > 1 {
		s.fail(o, "ran %d times", o.runs)
	}
	if o.notRun != "" {
		s.fail(o, "ran after a caller was told not-run by %s", o.notRun)
	}
}

// check compares what a caller is told with what happened.
func (s *sim) check(p *proc, o *simOrder, d Decision, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ops++
	s.verdicts[d.Verdict]++
	switch d.Verdict {
	case VerdictNotRun:
		o.notRun = string(p.manager.self)
		if o.runs > 0 {
			s.fail(o, "a caller is told not-run by %s after the order ran", p.manager.self)
		}
	case VerdictReplay:
		if !o.done || o.body != body {
			s.fail(o, "%s tells run for copy %s; done %t, ran copy %s", p.manager.self, body, o.done, o.body)
		}
		if d.Response != nil && string(d.Response.Body[:len(o.key)+1]) != o.key+body {
			s.fail(o, "replay of another response %q", d.Response.Body)
		}
	case VerdictInvalid:
		s.fail(o, "refused: %v", d.Fault)
	}
}

// play runs the simulation to its end.
func (s *sim) play() {
	trouble := &trouble{s, numbered(0), make(chan struct{})}
	go trouble.run()
	var actors []*actor
	for i := range simActors {
		a := &actor{sim: s, ctx: numbered(i + 1), done: make(chan struct{})}
		actors = append(actors, a)
		go a.run()
	}
	for _, a := range actors {
		<-a.done
	}
	<-trouble.done
	for _, p := range s.all {
		p.kill()
	}
	time.Sleep(time.Hour)
}

func (s *sim) summary() string {
	ran := len(slices.DeleteFunc(slices.Clone(s.orders), func(o *simOrder) bool { return o.runs == 0 }))
	return fmt.Sprintf("%d copies of %d orders, %d ran, %d incarnations, %d parts handed over, verdicts unknown to invalid %v",
		s.ops, len(s.orders), ran, s.next, s.handed, s.verdicts)
}

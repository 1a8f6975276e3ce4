package judge

import (
	"math"
	"time"
)

// Result is what one request, or the wait for it, says about a target.
type Result uint8

// The results. The zero value says nothing.
const (
	// Nothing is a request that ended for a reason of its caller.
	Nothing Result = iota
	// Served is a whole answer that was not a failure.
	Served
	// Failed is an answer with which the target reports its own failure.
	Failed
	// Broken is a reset, a cut or garbled answer, or no answer in the time allowed.
	Broken
	// Overdue is a request that runs for much longer than usual and goes on.
	Overdue
	// Unreached is a connection that could not be opened.
	Unreached
	// Shed is a refusal before the request ran.
	Shed
	// Slow is a request that runs for longer than most and goes on.
	Slow
	// Late is a whole answer, as Served, to a request that was Slow before.
	Late
	resultCount
)

// String returns the kebab-case name of the result.
func (r Result) String() string {
	names := [resultCount]string{"nothing", "served", "failed", "broken", "overdue", "unreached", "shed", "slow", "late"}
	if r >= resultCount {
		return names[Nothing]
	}
	return names[r]
}

// Bad reports whether the result speaks against the target.
func (r Result) Bad() bool {
	return r != Nothing && !r.Good()
}

// Good reports whether the result is a whole answer that was not a failure.
func (r Result) Good() bool {
	return r == Served || r == Late
}

// level is how badly off a target is.
type level int

// The levels. An impaired target fails a part of its requests, a sick one most.
const (
	well level = iota
	impaired
	sick
	levelCount
)

// chances are probabilities, one for each level.
type chances [levelCount]float64

// likelihoods holds, for each result, how often it occurs at each level. A
// request in a hundred fails by itself, so one Failed answer says little; a
// reset hardly ever occurs while the target is well. A refusal speaks of load:
// taken as sickness, a service that refuses half of its requests everywhere
// would hide which of its targets also lose requests.
var likelihoods = [resultCount]chances{
	Nothing:   {1, 1, 1},
	Served:    {0.98, 0.6, 0.18},
	Failed:    {0.012, 0.2, 0.25},
	Broken:    {0.0005, 0.25, 0.6},
	Unreached: {0.003, 0.2, 0.4},
	Shed:      {1, 1, 1},
}

const (
	// SlowShare is the share of answered requests that are slow, OverdueShare the
	// share of those that are overdue.
	SlowShare    = 0.1
	OverdueShare = 0.02
)

// likelihood returns how often the result occurs at each level. A request that
// goes on speaks against a target as far as failures of the service are silent;
// an answer in the end takes that back.
func (m Model) likelihood(r Result) chances {
	var out chances
	for i := range out {
		switch r {
		case Slow:
			out[i] = m.open(SlowShare, level(i))
		case Overdue:
			out[i] = m.open(OverdueShare, level(i)) / m.open(SlowShare, level(i))
		case Late:
			out[i] = likelihoods[Served][i] / m.open(SlowShare, level(i))
		default:
			out[i] = likelihoods[r][i]
		}
	}
	return out
}

// open returns the probability that a request is still without an answer when
// only the given share of the answered ones takes longer.
func (m Model) open(share float64, l level) float64 {
	if l == well {
		return share
	}
	return share + (1-share)*m.Silent*failRates[l]
}

// failRates is the share of requests that a target fails at each level.
var failRates = chances{0.012, 0.4, 0.82}

// Model describes the spells of sickness of a service's targets.
type Model struct {
	// Spell is the usual duration of a spell.
	Spell time.Duration
	// Impaired and Sick are the shares of time that a target is at these levels.
	Impaired float64
	Sick     float64
	// Silent is the share of failed requests that get no answer until their
	// deadline; the others are reset or answered with an error at once.
	Silent float64
}

func (m Model) prior() chances {
	return chances{1 - m.Impaired - m.Sick, m.Impaired, m.Sick}
}

// impairedSpell is the part of the usual duration that a spell of impairment lasts.
const impairedSpell = 0.5

// fadeShare is the part of the usual duration within which a spell that has
// lasted as long as usual is expected to end.
const fadeShare = 0.1

// persists returns the probability that a spell goes on at the elapsed time
// after its onset. Spells of one service are of similar length, so that little
// changes before the usual duration has passed, and much after it.
func persists(elapsed, usual time.Duration) float64 {
	over := elapsed - usual
	if over <= 0 {
		return 1
	}
	return math.Exp(-float64(over) / (fadeShare * float64(usual)))
}

// sickFrom is the probability of not being well from which a spell has begun.
const sickFrom = 0.5

// Belief is the estimate for one target. The zero value knows nothing.
type Belief struct {
	// at holds the probabilities at asOf.
	at    chances
	asOf  time.Time
	onset time.Time
	known bool
}

// now returns the probabilities at the moment. Those of a spell that ends are
// spread as for a target of which nothing is known.
func (b *Belief) now(m Model, now time.Time) chances {
	prior := m.prior()
	if !b.known {
		return prior
	}
	age := max(now.Sub(b.asOf), 0)
	stays := chances{well: math.Exp(-float64(age) / float64(m.Spell)), impaired: 1, sick: 1}
	if !b.onset.IsZero() {
		elapsed := now.Sub(b.onset)
		stays[impaired] = persists(elapsed, time.Duration(impairedSpell*float64(m.Spell)))
		stays[sick] = persists(elapsed, m.Spell)
	}
	var out chances
	moved := 0.0
	for i := range out {
		out[i] = b.at[i] * stays[i]
		moved += b.at[i] * (1 - stays[i])
	}
	for i := range out {
		out[i] += moved * prior[i]
	}
	return out
}

// FailRate returns the share of requests that the target is expected to fail.
func (b *Belief) FailRate(m Model, now time.Time) float64 {
	rate := 0.0
	for i, p := range b.now(m, now) {
		rate += p * failRates[i]
	}
	return rate
}

// Observe takes in a result.
func (b *Belief) Observe(m Model, now time.Time, r Result) {
	if r == Nothing || r >= resultCount {
		return
	}
	before := b.now(m, now)
	likelihood := m.likelihood(r)
	total := 0.0
	for i := range b.at {
		b.at[i] = before[i] * likelihood[i]
		total += b.at[i]
	}
	for i := range b.at {
		b.at[i] /= total
	}
	b.asOf = now
	b.known = true
	switch {
	case 1-b.at[well] < sickFrom:
		b.onset = time.Time{}
	case 1-before[well] < sickFrom || b.onset.IsZero():
		b.onset = now
	}
}

// Snapshot is a belief in a form that can be passed on.
type Snapshot struct {
	Impaired float64
	Sick     float64
	// Age is the time since the last result, OnsetAge that since the spell began;
	// a negative one stands for no spell.
	Age      time.Duration
	OnsetAge time.Duration
}

// Snapshot returns the belief; ok is false if nothing is known.
func (b *Belief) Snapshot(now time.Time) (s Snapshot, ok bool) {
	s = Snapshot{Impaired: b.at[impaired], Sick: b.at[sick], Age: now.Sub(b.asOf), OnsetAge: -1}
	if !b.onset.IsZero() {
		s.OnsetAge = now.Sub(b.onset)
	}
	return s, b.known
}

// Adopt takes over the belief of another observer where nothing newer is known.
func (b *Belief) Adopt(now time.Time, s Snapshot) {
	asOf := now.Add(-s.Age)
	if b.known && !asOf.After(b.asOf) {
		return
	}
	*b = Belief{at: chances{1 - s.Impaired - s.Sick, s.Impaired, s.Sick}, asOf: asOf, known: true}
	if s.OnsetAge >= 0 {
		b.onset = now.Add(-s.OnsetAge)
	}
}

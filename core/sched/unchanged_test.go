package sched

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

var update = flag.Bool("update", false, "rewrite the recorded sequences in testdata")

// recorder collects what becomes of the requests of a replay.
type recorder struct {
	begin time.Time
	ends  chan end
}

// end is what became of a request.
type end struct {
	at     time.Duration
	number int
	text   string
}

func (e end) String() string {
	return fmt.Sprintf("%s %d %s\n", e.at, e.number, e.text)
}

// compareEnds orders by time. Requests whose wait ends at the same time are ordered by
// their number, because their goroutines continue in any order.
func compareEnds(a, b end) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number))
}

// replayed is one request of a replay.
type replayed struct {
	pool     *Pool
	recorder *recorder
	number   int
	request  Request
	work     time.Duration
}

func (r *replayed) run(t *testing.T) {
	grant, err := r.pool.Acquire(t.Context(), r.request)
	at := time.Since(r.recorder.begin).Round(time.Microsecond)
	if err != nil {
		f := fault.From(err)
		r.recorder.ends <- end{at, r.number, fmt.Sprintf("refused %s %s", f.Kind, waitText.ReplaceAllString(f.Detail, "$1 ms"))}
		return
	}
	r.recorder.ends <- end{at, r.number, "granted " + grant.Target.ID}
	if grant.Target.ID == "failing" && time.Since(r.recorder.begin)%(6*time.Second) < 3*time.Second {
		took := time.Millisecond + time.Duration(r.number)*time.Microsecond
		time.Sleep(took)
		grant.Complete(judge.Broken, took)
		return
	}
	time.Sleep(r.work)
	grant.Complete(judge.Served, r.work)
}

// waitText matches the wait in the detail of a refusal. The digits below a millisecond are
// not compared, because processors differ in the last bit of a fused multiplication.
var waitText = regexp.MustCompile(`([0-9]+)(\.[0-9]+)?ms`)

// replay sends requests of three priorities and different deadlines to two targets, one of
// which fails half of the time, and returns what became of them. The targets can serve a
// part of the requests in the first half of the time and all of them in the second.
func replay(t *testing.T) string {
	random := rand.New(rand.NewPCG(3, 5))
	p := NewPool("orders", "a")
	p.SetTargets([]Target{
		{Key: Key{ID: "failing", StartMillis: 1}, DataCentre: "a", Slots: 4},
		{Key: Key{ID: "sound", StartMillis: 1}, DataCentre: "b", Slots: 3},
	})
	for _, m := range p.members {
		m.jitter = 0
	}
	const count = 1200
	rec := &recorder{begin: time.Now(), ends: make(chan end, count)}
	for i := range count {
		rate := 100.0
		if i > count/2 {
			rate = 30
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		now := time.Now()
		r := &replayed{pool: p, recorder: rec, number: i, work: time.Duration((0.5 + random.Float64()) * float64(200*time.Millisecond))}
		r.request = Request{
			Idempotent:   i%2 == 0,
			FinalAttempt: random.IntN(2) == 0,
			Priority:     random.IntN(3),
			Deadline:     now.Add(time.Duration((0.5 + 2*random.Float64()) * float64(time.Second))),
			Objective:    now.Add(time.Second),
		}
		go r.run(t)
	}
	time.Sleep(10 * time.Second)
	ends := make([]end, 0, count)
	for range count {
		ends = append(ends, <-rec.ends)
	}
	slices.SortFunc(ends, compareEnds)
	var out strings.Builder
	for _, e := range ends {
		out.WriteString(e.String())
	}
	return out.String()
}

// Guards against any change of the order of the queue, of the refusals or of their times
// for requests without a workspace. The sequence was recorded with the code before
// workspaces were added (commit 4820017).
func TestSequenceWithoutWorkspacesIsUnchanged(t *testing.T) {
	const file = "testdata/without-workspaces.txt"
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		got := replay(t)
		if *update {
			g.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		wanted := strings.Split(string(want), "\n")
		for i, line := range strings.Split(got, "\n") {
			g.Expect(line).To(Equal(wanted[i]), "line %d", i+1)
		}
		g.Expect(got).To(HaveLen(len(want)))
	})
}

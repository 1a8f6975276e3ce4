package settle

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

func TestSettle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settle")
}

// fakePlatform is an in-memory table and object store with injectable faults.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	version uint64
	down    bool
	// headReads holds the times of all reads of the head row, including failed ones.
	headReads []time.Time
	scans     int
	gets      int
	puts      int
	// beforeApply is called once before the next transaction, without the lock.
	beforeApply func()
	// loseReply makes the next transaction return StoreAmbiguous. "applied" applies
	// it, "dropped" does not, and "delayed" stores it in delayedTx instead.
	loseReply string
	delayedTx store.Tx
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (p *fakePlatform) table() store.Table {
	return store.Table{Get: p.get, Scan: p.scan, Apply: p.apply}
}

func (p *fakePlatform) objectStore() store.Objects {
	return store.Objects{Get: p.getObject, Put: p.putObject}
}

// lock locks the platform, or returns StoreUnavailable if it is down.
func (p *fakePlatform) lock() (unlock func(), err error) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return nil, fault.New(fault.StoreUnavailable, "down")
	}
	return p.mu.Unlock, nil
}

// edit calls change under the lock.
func (p *fakePlatform) edit(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *fakePlatform) setDown(down bool) { p.edit(func() { p.down = down }) }

func (p *fakePlatform) get(_ context.Context, key string) (store.Row, error) {
	if key == headKey {
		p.mu.Lock()
		p.headReads = append(p.headReads, time.Now())
		p.mu.Unlock()
	}
	unlock, err := p.lock()
	if err != nil {
		return store.Row{}, err
	}
	defer unlock()
	row, found := p.rows[key]
	if !found {
		return store.Row{}, fault.New(fault.RowMissing, "%s", key)
	}
	return row, nil
}

func (p *fakePlatform) scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	p.scans++
	var rows []store.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (p *fakePlatform) apply(_ context.Context, tx store.Tx) error {
	p.mu.Lock()
	before := p.beforeApply
	p.beforeApply = nil
	p.mu.Unlock()
	if before != nil {
		before()
	}
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	mode := p.loseReply
	p.loseReply = ""
	switch mode {
	case "dropped":
		return fault.New(fault.StoreAmbiguous, "no reply")
	case "delayed":
		p.delayedTx = tx
		return fault.New(fault.StoreAmbiguous, "no reply")
	}
	if err := p.execute(tx); err != nil || mode == "" {
		return err
	}
	return fault.New(fault.StoreAmbiguous, "no reply")
}

// execute applies the transaction if its conditions hold. The caller holds the lock.
func (p *fakePlatform) execute(tx store.Tx) error {
	for _, c := range tx.Conds {
		if p.rows[c.Key].Version != c.Version {
			return fault.New(fault.StoreConflict, "%s", c.Key)
		}
	}
	for _, w := range tx.Puts {
		p.version++
		p.rows[w.Key] = store.Row{Key: w.Key, Version: p.version, Value: w.Value}
	}
	return nil
}

func (p *fakePlatform) getObject(_ context.Context, name string) ([]byte, error) {
	unlock, err := p.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	p.gets++
	data, found := p.objects[name]
	if !found {
		return nil, fault.New(fault.NotFound, "%s", name)
	}
	return data, nil
}

func (p *fakePlatform) putObject(_ context.Context, name string, data []byte) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	p.puts++
	p.objects[name] = data
	return nil
}

const baseSettings = `{
  "/": {"owners": ["ana", "luis"]},
  "/region/costa": {}, "/data-centre/mdp": {}, "/workspace/team": {}, "/workspace/strict": {"approval": "both"},
  "/workspace/team/service/stock": {"region": "costa", "targets": [{"id": "a", "address": "10.0.0.1:80", "data-centre": "mdp"}]},
}`

const stockService = tree.Path("/workspace/team/service/stock")

func baseDoc() *tree.Document {
	doc, err := tree.ParseFile([]byte(baseSettings))
	if err != nil {
		panic(err)
	}
	return doc
}

// bootstrapped returns a platform that holds revision 1, and a changelog on it.
func bootstrapped(g Gomega) (*fakePlatform, *Changelog) {
	p := newFakePlatform()
	changelog := NewChangelog(p.table(), WithObjects(p.objectStore()))
	r, created, err := changelog.Bootstrap(context.Background(), baseDoc(), "ana")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r).To(Equal(Revision(1)))
	g.Expect(created).To(BeTrue())
	return p, changelog
}

// commitOps proposes and commits a change with the ops.
func commitOps(g Gomega, changelog *Changelog, ops ...tree.Op) Revision {
	c, err := changelog.Propose(context.Background(), Proposal{Ops: ops, Author: "ana"})
	g.Expect(err).NotTo(HaveOccurred())
	r, err := changelog.Commit(context.Background(), c.ID)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

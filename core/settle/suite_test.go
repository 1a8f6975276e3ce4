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

// platform is a table and an object store in memory.
type platform struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	version uint64
	down    bool
	// headReads holds the times of reads of the head row, also failed ones.
	headReads []time.Time
	scans     int
	gets      int
	puts      int
	// beforeApply runs once before the next transaction, without the lock.
	beforeApply func()
	// loseReply makes the next transaction ambiguous: "applied", "dropped", or
	// "delayed", which keeps it in late.
	loseReply string
	late      store.Tx
}

func newPlatform() *platform {
	return &platform{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (p *platform) table() store.Table {
	return store.Table{Get: p.get, Scan: p.scan, Apply: p.apply}
}

func (p *platform) objectStore() store.Objects {
	return store.Objects{Get: p.getObject, Put: p.putObject}
}

func (p *platform) lock() (unlock func(), err error) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return nil, fault.New(fault.StoreUnavailable, "down")
	}
	return p.mu.Unlock, nil
}

// edit runs change under the lock.
func (p *platform) edit(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *platform) setDown(down bool) { p.edit(func() { p.down = down }) }

func (p *platform) get(_ context.Context, key string) (store.Row, error) {
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

func (p *platform) scan(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
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

func (p *platform) apply(_ context.Context, tx store.Tx) error {
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
	lose := p.loseReply
	p.loseReply = ""
	switch lose {
	case "dropped":
		return fault.New(fault.StoreAmbiguous, "no reply")
	case "delayed":
		p.late = tx
		return fault.New(fault.StoreAmbiguous, "no reply")
	}
	if err := p.execute(tx); err != nil || lose == "" {
		return err
	}
	return fault.New(fault.StoreAmbiguous, "no reply")
}

func (p *platform) execute(tx store.Tx) error {
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

func (p *platform) getObject(_ context.Context, name string) ([]byte, error) {
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

func (p *platform) putObject(_ context.Context, name string, data []byte) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	p.puts++
	p.objects[name] = data
	return nil
}

const base = `{
  "/": {"owners": ["ana", "luis"]},
  "/region/costa": {}, "/data-centre/mdp": {}, "/workspace/team": {}, "/workspace/strict": {"approval": "both"},
  "/workspace/team/service/stock": {"region": "costa", "targets": [{"id": "a", "address": "10.0.0.1:80", "data-centre": "mdp"}]},
}`

const stock = tree.Path("/workspace/team/service/stock")

func baseDoc() *tree.Doc {
	doc, err := tree.ParseFile([]byte(base))
	if err != nil {
		panic(err)
	}
	return doc
}

// opened returns a changelog over a platform with revision 1.
func opened(g Gomega) (*platform, *Changelog) {
	p := newPlatform()
	b := NewChangelog(p.table(), WithObjects(p.objectStore()))
	r, created, err := b.Bootstrap(context.Background(), baseDoc(), "ana")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r).To(Equal(Revision(1)))
	g.Expect(created).To(BeTrue())
	return p, b
}

func settleOps(g Gomega, b *Changelog, ops ...tree.Op) Revision {
	c, err := b.Propose(context.Background(), Proposal{Ops: ops, Author: "ana"})
	g.Expect(err).NotTo(HaveOccurred())
	r, err := b.Commit(context.Background(), c.ID)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/watch"
)

// readyWatch notes the number of targets at the moment at which a daemon is ready.
type readyWatch struct {
	node  *Node
	sizes chan int
}

func (w *readyWatch) run() {
	for !w.node.Ready() {
	}
	w.sizes <- w.node.relay.Pool("orders").Size()
}

// Guards against a daemon that says it is ready before its targets are in place:
// for a moment it refused all requests.
func TestReadyOnlyWithTargets(t *testing.T) {
	g := NewWithT(t)
	config := &route.Config{Version: 1, Services: []route.Service{{Name: "orders"}}}
	var changes []watch.Change
	for _, id := range []string{"a", "b", "c"} {
		changes = append(changes, watch.Change{ID: id, Entry: &watch.Entry{Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2}})
	}
	const rounds = 200
	for range rounds {
		settings := &Settings{VM: "vm", DataCentre: "a", InnerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{SpanSeconds: 1}}
		n, err := New(settings, &Platform{})
		g.Expect(err).NotTo(HaveOccurred())
		n.relay.SetTable(route.Compile(config))
		w := &readyWatch{node: n, sizes: make(chan int, 1)}
		go w.run()
		n.applyList(watch.Delta{Version: 1, Age: time.Millisecond, Changes: changes})
		g.Expect(<-w.sizes).To(Equal(len(changes)))
		_ = n.conn.Close()
	}
}

// budgetWatch notes the extra sends that are allowed when a daemon becomes ready.
type budgetWatch struct {
	node    *Node
	allowed chan float64
}

func (w *budgetWatch) run() {
	for !w.node.Ready() {
	}
	w.allowed <- w.node.relay.BudgetState("orders").Allowed
}

// Guards against a daemon that is ready before it has its part of the retry budget:
// for a moment a request that its target had refused or reset was not sent again.
func TestReadyOnlyWithBudget(t *testing.T) {
	const slack = 1000
	config := &route.Config{Version: 1, Services: []route.Service{{Name: "orders"}}}
	list := watch.Delta{Version: 1, Age: time.Millisecond, Changes: []watch.Change{
		{ID: "a", Entry: &watch.Entry{Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2}},
	}}
	orders := map[string]func(n *Node){
		"list last": func(n *Node) {
			(&configFollower{n}).apply(ConfigRead{Config: config}, false)
			n.applyList(list)
		},
		"configuration last": func(n *Node) {
			n.applyList(list)
			(&configFollower{n}).apply(ConfigRead{Config: config}, false)
		},
	}
	for name, bring := range orders {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const rounds = 100
			for range rounds {
				settings := &Settings{VM: "vm", DataCentre: "a", InnerAddress: "127.0.0.1:0", ShutdownSeconds: 1, FirstStart: true, RetryBudget: RetryBudget{SpanSeconds: 1, Slack: slack}}
				n, err := New(settings, &Platform{})
				g.Expect(err).NotTo(HaveOccurred())
				w := &budgetWatch{node: n, allowed: make(chan float64, 1)}
				go w.run()
				bring(n)
				g.Expect(<-w.allowed).To(BeNumerically(">", 0))
				_ = n.conn.Close()
			}
		})
	}
}

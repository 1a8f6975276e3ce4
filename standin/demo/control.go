package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// control lets an operator who tries the demo boot and stop daemons and make
// targets fail, over HTTP.
type control struct {
	demo *Demo
	// ctx ends with the demo.
	ctx context.Context
}

func newControl(ctx context.Context, d *Demo) http.Handler {
	c := &control{demo: d, ctx: ctx}
	r := mux.NewRouter()
	r.HandleFunc("/v1/boot", c.boot).Methods(http.MethodPost)
	r.HandleFunc("/v1/stop", c.stop).Methods(http.MethodPost)
	r.HandleFunc("/v1/hurry", c.hurry).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{id}/faults", c.faults).Methods(http.MethodPut)
	return r
}

// boot starts one more daemon, which the platform's VM list shows only if the
// platform can be written.
func (c *control) boot(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id, centre := fleet.VMID(q.Get("vm")), fleet.DataCentre(q.Get("data-centre"))
	if id == "" || c.node(id) != nil {
		http.Error(w, "parameter vm is missing or names a daemon that runs", http.StatusBadRequest)
		return
	}
	if centre == "" {
		centre = c.demo.fleet.Centres[0]
	}
	n, err := c.demo.startDaemon(c.ctx, id, centre)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "daemon %s admin http://%s callers http://%s\n", id, n.VM.AdminAddress, n.VM.CallerAddress)
}

func (c *control) node(id fleet.VMID) *Node {
	for _, n := range c.demo.fleet.Nodes() {
		if n.VM.ID == id {
			return n
		}
	}
	return nil
}

// stop shuts a daemon down as SIGTERM does.
func (c *control) stop(w http.ResponseWriter, r *http.Request) {
	n := c.node(fleet.VMID(r.URL.Query().Get("vm")))
	if n == nil {
		http.Error(w, "no such daemon", http.StatusNotFound)
		return
	}
	c.demo.say("LEAVE  daemon %s shuts down", n.VM.ID)
	_ = c.demo.fleet.Platform.RemoveVM(c.ctx, n.VM.ID)
	go stopWatch{demo: c.demo, node: n}.run(c.ctx)
	fmt.Fprintf(w, "daemon %s is leaving\n", n.VM.ID)
}

// hurry ends the wait for callers of a daemon that leaves, as a second signal does.
func (c *control) hurry(w http.ResponseWriter, r *http.Request) {
	n := c.node(fleet.VMID(r.URL.Query().Get("vm")))
	if n == nil {
		http.Error(w, "no such daemon", http.StatusNotFound)
		return
	}
	n.Hurry()
	fmt.Fprintf(w, "daemon %s no longer waits for callers\n", n.VM.ID)
}

// faults replaces the faults of a target.
func (c *control) faults(w http.ResponseWriter, r *http.Request) {
	t := c.demo.fleet.Target(fleet.TargetID(mux.Vars(r)["id"]))
	if t == nil {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	var f stand.TargetFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
	fmt.Fprintln(w, "done")
}

// maxFaults bounds the body of a request for faults, in bytes.
const maxFaults = 4 << 10

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

// controlAPI is an HTTP API to control a running demo: it starts and stops daemons
// and injects faults into targets.
type controlAPI struct {
	demo *Demo
	// ctx ends with the demo.
	ctx context.Context
}

func newControlAPI(ctx context.Context, d *Demo) http.Handler {
	c := &controlAPI{demo: d, ctx: ctx}
	r := mux.NewRouter()
	r.HandleFunc("/v1/boot", c.startDaemon).Methods(http.MethodPost)
	r.HandleFunc("/v1/stop", c.stopDaemon).Methods(http.MethodPost)
	r.HandleFunc("/v1/hurry", c.skipCallerWait).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{id}/faults", c.setTargetFaults).Methods(http.MethodPut)
	return r
}

// startDaemon starts one more daemon. It is missing from the platform's VM list if
// the platform does not accept writes.
func (c *controlAPI) startDaemon(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id, dataCentre := fleet.VMID(q.Get("vm")), fleet.DataCentre(q.Get("data-centre"))
	if id == "" || c.node(id) != nil {
		http.Error(w, "parameter vm is missing or names a daemon that runs", http.StatusBadRequest)
		return
	}
	if dataCentre == "" {
		dataCentre = c.demo.fleet.DataCentres[0]
	}
	n, err := c.demo.startDaemon(c.ctx, id, dataCentre)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "daemon %s admin http://%s callers http://%s\n", id, n.VM.AdminAddress, n.VM.CallerAddress)
}

// node returns the daemon with the given VM id, or nil if there is none.
func (c *controlAPI) node(id fleet.VMID) *Node {
	for _, n := range c.demo.fleet.Nodes() {
		if n.VM.ID == id {
			return n
		}
	}
	return nil
}

// stopDaemon shuts a daemon down gracefully, as SIGTERM does.
func (c *controlAPI) stopDaemon(w http.ResponseWriter, r *http.Request) {
	n := c.node(fleet.VMID(r.URL.Query().Get("vm")))
	if n == nil {
		http.Error(w, "no such daemon", http.StatusNotFound)
		return
	}
	c.demo.logf("LEAVE  daemon %s shuts down", n.VM.ID)
	_ = c.demo.fleet.Platform.RemoveVM(c.ctx, n.VM.ID)
	go shutdownWatch{demo: c.demo, node: n}.run(c.ctx)
	fmt.Fprintf(w, "daemon %s is leaving\n", n.VM.ID)
}

// skipCallerWait ends the time for which a daemon that shuts down waits for callers
// that still hold its address. A second signal has the same effect.
func (c *controlAPI) skipCallerWait(w http.ResponseWriter, r *http.Request) {
	n := c.node(fleet.VMID(r.URL.Query().Get("vm")))
	if n == nil {
		http.Error(w, "no such daemon", http.StatusNotFound)
		return
	}
	n.SkipCallerWait()
	fmt.Fprintf(w, "daemon %s no longer waits for callers\n", n.VM.ID)
}

// setTargetFaults replaces the faults of a target.
func (c *controlAPI) setTargetFaults(w http.ResponseWriter, r *http.Request) {
	t := c.demo.fleet.Target(fleet.TargetID(mux.Vars(r)["id"]))
	if t == nil {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	var f stand.TargetFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
	fmt.Fprintln(w, "done")
}

// maxFaultsBytes limits the size of the body of a request that sets faults.
const maxFaultsBytes = 4 << 10

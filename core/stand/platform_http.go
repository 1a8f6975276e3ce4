package stand

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// maxPlatformBody bounds a request body: 16 MiB, above any snapshot of the settings.
const maxPlatformBody = 16 << 20

func (p *Platform) routes() *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/table/apply", p.serveApply).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/row", p.serveRow).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/scan", p.serveScan).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{name:.+}", p.serveGetObject).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{name:.+}", p.servePutObject).Methods(http.MethodPut)
	r.HandleFunc("/v1/vms", p.serveVMs).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{id}", p.servePutVM).Methods(http.MethodPut)
	r.HandleFunc("/v1/vms/{id}", p.serveRemoveVM).Methods(http.MethodDelete)
	r.HandleFunc("/v1/faults", p.serveFaults).Methods(http.MethodPut)
	return r
}

// serveFaults replaces the faults. It is no part of the platform's protocol and
// is itself served without faults.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := decode(w, r, &f); err != nil {
		reply(w, nil, err)
		return
	}
	p.Misbehave(f)
	reply(w, done{}, nil)
}

// Problem is the body of a refusal of the platform.
type Problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// reply writes the result of one request; a lost reply cuts the connection.
func reply(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, errNoReply) || fault.Is(err, fault.StoreAmbiguous) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		e := fault.From(err)
		w.WriteHeader(e.Kind.Response().Status)
		result = Problem{Kind: e.Kind.String(), Detail: e.Detail}
	}
	_ = json.NewEncoder(w).Encode(result)
}

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformBody)).Decode(into)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "request body")
	}
	return nil
}

// done is the body of a request that succeeded and returns nothing.
type done struct{}

func (p *Platform) serveApply(w http.ResponseWriter, r *http.Request) {
	var tx store.Tx
	if err := decode(w, r, &tx); err != nil {
		reply(w, nil, err)
		return
	}
	reply(w, done{}, p.applyTx(r.Context(), tx))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.getRow(r.Context(), r.URL.Query().Get("key"))
	reply(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 0 {
		reply(w, nil, fault.New(fault.BadRequest, "limit %q isn't a count", q.Get("limit")))
		return
	}
	rows, err := p.scanRows(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	reply(w, rows, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.getObject(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	if err != nil {
		reply(w, nil, fault.Wrap(err, fault.BadRequest, "object body"))
		return
	}
	reply(w, done{}, p.putObject(r.Context(), mux.Vars(r)["name"], data))
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		reply(w, nil, fault.New(fault.BadRequest, "since %q isn't a version", r.URL.Query().Get("since")))
		return
	}
	out, err := p.vmsSince(r.Context(), version)
	reply(w, out, err)
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm fleet.VM
	if err := decode(w, r, &vm); err != nil {
		reply(w, nil, err)
		return
	}
	if string(vm.ID) != mux.Vars(r)["id"] {
		reply(w, nil, fault.New(fault.BadRequest, "id %q in the body differs from the path", vm.ID))
		return
	}
	reply(w, done{}, p.PutVM(r.Context(), vm))
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	reply(w, done{}, p.RemoveVM(r.Context(), fleet.VMID(mux.Vars(r)["id"])))
}

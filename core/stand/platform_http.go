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

// maxPlatformBody is the maximum size of a request body: 16 MiB, which is larger
// than any snapshot of the settings.
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

// serveFaults replaces the faults. The request is not part of the platform's
// protocol, and no faults are injected into it.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := decodeBody(w, r, &f); err != nil {
		writeReply(w, nil, err)
		return
	}
	p.SetFaults(f)
	writeReply(w, emptyResult{}, nil)
}

// ErrorResponse is the body of an error response of the platform.
type ErrorResponse struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// writeReply writes the result or the error of a request. For a lost reply it
// closes the connection without a response.
func writeReply(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, errReadReplyLost) || fault.Is(err, fault.StoreAmbiguous) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		e := fault.From(err)
		w.WriteHeader(e.Kind.Response().Status)
		result = ErrorResponse{Kind: e.Kind.String(), Detail: e.Detail}
	}
	_ = json.NewEncoder(w).Encode(result)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPlatformBody)).Decode(into)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "request body")
	}
	return nil
}

// emptyResult is the body of a successful response without a result.
type emptyResult struct{}

func (p *Platform) serveApply(w http.ResponseWriter, r *http.Request) {
	var tx store.Tx
	if err := decodeBody(w, r, &tx); err != nil {
		writeReply(w, nil, err)
		return
	}
	writeReply(w, emptyResult{}, p.applyTx(r.Context(), tx))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.getRow(r.Context(), r.URL.Query().Get("key"))
	writeReply(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 0 {
		writeReply(w, nil, fault.New(fault.BadRequest, "limit %q isn't a count", q.Get("limit")))
		return
	}
	rows, err := p.scanRows(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	writeReply(w, rows, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.getObject(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	if err != nil {
		writeReply(w, nil, fault.Wrap(err, fault.BadRequest, "object body"))
		return
	}
	writeReply(w, emptyResult{}, p.putObject(r.Context(), mux.Vars(r)["name"], data))
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeReply(w, nil, fault.New(fault.BadRequest, "since %q isn't a version", r.URL.Query().Get("since")))
		return
	}
	out, err := p.vmsSince(r.Context(), version)
	writeReply(w, out, err)
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm fleet.VM
	if err := decodeBody(w, r, &vm); err != nil {
		writeReply(w, nil, err)
		return
	}
	if string(vm.ID) != mux.Vars(r)["id"] {
		writeReply(w, nil, fault.New(fault.BadRequest, "id %q in the body differs from the path", vm.ID))
		return
	}
	writeReply(w, emptyResult{}, p.PutVM(r.Context(), vm))
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	writeReply(w, emptyResult{}, p.RemoveVM(r.Context(), fleet.VMID(mux.Vars(r)["id"])))
}

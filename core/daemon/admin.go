package daemon

import (
	"net/http"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/stats"
)

// newAdmin serves metrics and the state dump on the administration port.
func newAdmin(set *stats.Set, dump *stats.Dump) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", set).Methods(http.MethodGet)
	r.Handle("/v1/state", dump).Methods(http.MethodGet)
	return r
}

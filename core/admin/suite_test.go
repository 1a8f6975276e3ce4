package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

const document = `{
	"/": {"owners": ["marta", "hector"], "approval": "both"},
	"/region/ar-costa": {}, "/data-centre/mdp": {},
	"/workspace/cortavientos": {"approval": "one", "floor": "50%"},
	"/workspace/cortavientos/service/reservas": {"region": "ar-costa", "targets": [
		{"id": "r1", "address": "10.0.0.1:80", "data-centre": "mdp"},
		{"id": "r2", "address": "10.0.0.2:80", "data-centre": "mdp"}]},
}`

const (
	workspace = tree.Path("/workspace/cortavientos")
	service   = fleet.ServiceID("reservas")
)

// rig is an API over a real changelog and ejector.
type rig struct {
	url      string
	platform *stand.Platform
	// beforeApply runs once before the next transaction of the changelog.
	beforeApply func()
	log         bytes.Buffer
}

// seal returns the settings entry of an operator whose token is "token-" and the name.
func seal(name string) config.Operator {
	digest := sha256.Sum256([]byte("token-" + name))
	return config.Operator{Name: name, TokenSHA256: hex.EncodeToString(digest[:])}
}

func newRig() *rig {
	r := &rig{platform: stand.NewPlatform()}
	doc, err := tree.ParseFile([]byte(document))
	Expect(err).NotTo(HaveOccurred())
	catalog, err := doc.Catalog()
	Expect(err).NotTo(HaveOccurred())
	compiled, _ := catalog.Service(service)
	table := r.platform.Table()
	ejector := detect.NewEjector(service, "mdp-1.0000000000000001", table)
	ctx, cancel := context.WithCancel(context.Background())
	ejector.Start(ctx)
	DeferCleanup(ejector.Wait)
	DeferCleanup(cancel)
	ejector.Submit(detect.Assessment{Service: compiled})
	live := []fleet.VM{
		{ID: "mdp-1", DataCentre: "mdp", AdminAddress: "10.1.0.1:7200"},
		{ID: "mdp-2", DataCentre: "mdp"},
		{ID: "mdp-3", DataCentre: "mdp"},
	}
	router := mux.NewRouter()
	Expect(Mount(router, Deps{
		VM:        "mdp-1",
		Operators: []config.Operator{seal("marta"), seal("hector")},
		Changelog: settle.NewChangelog(store.Table{Get: table.Get, Scan: table.Scan, Apply: r.apply}),
		Applied:   func() *settle.AppliedRevision { return &settle.AppliedRevision{Revision: 1, Doc: doc} },
		Live:      func() []fleet.VM { return live },
		Carriers: func(id fleet.ServiceID) []fleet.VM {
			if id == "elsewhere" {
				return live[:1]
			}
			return nil
		},
		Targets: func(id fleet.ServiceID) ([]Target, bool) {
			return []Target{{Target: "r1", State: "ready", Health: HealthGood}}, id == service
		},
		Eject: func(ctx context.Context, o HandOrder) error {
			return ejector.EjectByHand(ctx, o.Target, o.Operator, o.Reason)
		},
		Return: func(ctx context.Context, o HandOrder) error {
			return ejector.ReturnByHand(ctx, o.Target, o.Operator, o.Reason)
		},
		State: func(string) any { return map[string]any{"daemon": map[string]any{"ready": true, "revision": 1}} },
		Ask: func(_ context.Context, vm fleet.VM, _ string) (*inner.StateReplyMsg, error) {
			if vm.ID == "mdp-3" {
				return nil, fault.New(fault.PeerUnreachable, "no answer")
			}
			return &inner.StateReplyMsg{Dump: []byte(`{"daemon":{"ready":true,"revision":0}}`)}, nil
		},
		Logger: log.NewLogfmtLogger(&r.log),
	})).To(Succeed())
	server := httptest.NewServer(router)
	DeferCleanup(server.Close)
	r.url = server.URL
	return r
}

func (r *rig) apply(ctx context.Context, tx store.Tx) error {
	if act := r.beforeApply; act != nil {
		r.beforeApply = nil
		act()
	}
	return r.platform.Table().Apply(ctx, tx)
}

// send sends a request with a bearer token, decodes the reply and returns its status.
func (r *rig) send(token, method, path string, body, into any) int {
	data, ok := body.(string)
	if !ok && body != nil {
		encoded, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		data = string(encoded)
	}
	req, err := http.NewRequest(method, r.url+path, bytes.NewReader([]byte(data)))
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	if into != nil {
		Expect(json.Unmarshal(got, into)).To(Succeed(), string(got))
	}
	return resp.StatusCode
}

// as sends a request of an operator.
func (r *rig) as(operator, method, path string, body, into any) int {
	return r.send("token-"+operator, method, path, body, into)
}

// boot writes revision 1.
func (r *rig) boot() {
	Expect(r.as("marta", "POST", "/v1/settings/bootstrap", document, nil)).To(Equal(http.StatusOK))
}

// floor proposes a floor of the workspace and returns the id of the change.
func (r *rig) floor(operator, value string) string {
	var c settle.Change
	Expect(r.as(operator, "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set(workspace, "floor", value)}}, &c)).To(Equal(http.StatusOK))
	return c.ID
}

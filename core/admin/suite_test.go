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

// fixture is an API server backed by a real changelog and ejector.
type fixture struct {
	url      string
	platform *stand.Platform
	// beforeApply is called once, before the next transaction of the changelog.
	beforeApply func()
	log         bytes.Buffer
}

// operatorEntry returns the settings entry of an operator whose token is "token-"
// followed by the name.
func operatorEntry(name string) config.Operator {
	digest := sha256.Sum256([]byte("token-" + name))
	return config.Operator{Name: name, TokenSHA256: hex.EncodeToString(digest[:])}
}

func newFixture() *fixture {
	f := &fixture{platform: stand.NewPlatform()}
	doc, err := tree.ParseFile([]byte(document))
	Expect(err).NotTo(HaveOccurred())
	catalog, err := doc.Catalog()
	Expect(err).NotTo(HaveOccurred())
	compiled, _ := catalog.Service(service)
	table := f.platform.Table()
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
		Operators: []config.Operator{operatorEntry("marta"), operatorEntry("hector")},
		Changelog: settle.NewChangelog(store.Table{Get: table.Get, Scan: table.Scan, Apply: f.apply}),
		Applied:   func() *settle.AppliedRevision { return &settle.AppliedRevision{Revision: 1, Doc: doc} },
		LiveVMs:   func() []fleet.VM { return live },
		Carriers: func(id fleet.ServiceID) []fleet.VM {
			if id == "elsewhere" {
				return live[:1]
			}
			return nil
		},
		Targets: func(id fleet.ServiceID) ([]Target, bool) {
			return []Target{{Target: "r1", State: "ready", Health: HealthGood}}, id == service
		},
		Eject: func(ctx context.Context, o TargetAction) error {
			return ejector.EjectByHand(ctx, o.Target, o.Operator, o.Reason)
		},
		Return: func(ctx context.Context, o TargetAction) error {
			return ejector.ReturnByHand(ctx, o.Target, o.Operator, o.Reason)
		},
		State: func(string) any { return map[string]any{"daemon": map[string]any{"ready": true, "revision": 1}} },
		PeerState: func(_ context.Context, vm fleet.VM, _ string) (*inner.StateReplyMsg, error) {
			if vm.ID == "mdp-3" {
				return nil, fault.New(fault.PeerUnreachable, "no answer")
			}
			return &inner.StateReplyMsg{Dump: []byte(`{"daemon":{"ready":true,"revision":0}}`)}, nil
		},
		Logger: log.NewLogfmtLogger(&f.log),
	})).To(Succeed())
	server := httptest.NewServer(router)
	DeferCleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fixture) apply(ctx context.Context, tx store.Tx) error {
	if run := f.beforeApply; run != nil {
		f.beforeApply = nil
		run()
	}
	return f.platform.Table().Apply(ctx, tx)
}

// send sends a request with a bearer token, decodes the reply and returns the
// response status.
func (f *fixture) send(token, method, path string, body, reply any) int {
	data, ok := body.(string)
	if !ok && body != nil {
		encoded, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		data = string(encoded)
	}
	req, err := http.NewRequest(method, f.url+path, bytes.NewReader([]byte(data)))
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	if reply != nil {
		Expect(json.Unmarshal(got, reply)).To(Succeed(), string(got))
	}
	return resp.StatusCode
}

// sendAs sends a request as an operator.
func (f *fixture) sendAs(operator, method, path string, body, reply any) int {
	return f.send("token-"+operator, method, path, body, reply)
}

// bootstrap writes the document as revision 1.
func (f *fixture) bootstrap() {
	Expect(f.sendAs("marta", "POST", "/v1/settings/bootstrap", document, nil)).To(Equal(http.StatusOK))
}

// proposeFloor proposes a floor for the workspace and returns the id of the change.
func (f *fixture) proposeFloor(operator, value string) string {
	var c settle.Change
	Expect(f.sendAs(operator, "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set(workspace, "floor", value)}}, &c)).To(Equal(http.StatusOK))
	return c.ID
}

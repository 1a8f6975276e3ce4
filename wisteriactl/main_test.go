package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
)

var update = flag.Bool("update", false, "write the golden files")

func TestWisteriactl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wisteriactl")
}

const settingsFile = "../examples/cortavientos/settings.json"

// fixture runs command lines against an API server backed by a real changelog.
type fixture struct {
	url      string
	platform *stand.Platform
}

func newFixture() *fixture {
	f := &fixture{platform: stand.NewPlatform()}
	var operators []config.Operator
	for _, name := range []string{"marta", "hector"} {
		digest := sha256.Sum256([]byte(name))
		operators = append(operators, config.Operator{Name: name, TokenSHA256: hex.EncodeToString(digest[:])})
	}
	router := mux.NewRouter()
	Expect(admin.Mount(router, admin.Deps{
		VM: "mdp-1", Operators: operators, Changelog: settle.NewChangelog(f.platform.Table()),
		Applied: func() *settle.AppliedRevision { return nil },
		Targets: func(id fleet.ServiceID) ([]admin.Target, bool) {
			return []admin.Target{
				{Target: "reservas-1", DataCentre: "mdp", Health: "good", State: "ready", Weight: 1, InFlight: 2},
				{Target: "reservas-2", DataCentre: "pinamar", Health: "unknown", State: "ejected", Reason: "by hand by marta: disk", Since: time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)},
			}, id == "reservas"
		},
		Carriers: func(fleet.ServiceID) []fleet.VM { return nil },
	})).To(Succeed())
	server := httptest.NewServer(router)
	DeferCleanup(server.Close)
	f.url = server.URL
	return f
}

// run executes a command line as an operator.
func (f *fixture) run(operator string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	line := append([]string{"wisteriactl", "--admin", f.url, "--operator-token", operator}, args...)
	code = run(context.Background(), line, &o, &e)
	return code, o.String(), e.String()
}

// expectGolden compares the output with a golden file, or writes the file if the
// flag -update is set.
func expectGolden(name, got string) {
	file := filepath.Join("testdata", name+".golden")
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
		return
	}
	want, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}

var _ = Describe("wisteriactl", func() {
	// Guards against an unintended change of output that scripts parse or people read.
	DescribeTable("prints the output of the golden files", func(name string, args ...string) {
		f := newFixture()
		code, _, errOut := f.run("marta", "bootstrap", settingsFile)
		Expect(code).To(Equal(exitDone), errOut)
		code, out, errOut := f.run("marta", args...)
		Expect(code).To(Equal(exitDone), errOut)
		expectGolden(name, out)
	},
		Entry("get as a table", "get-table", "get", "/workspace/cortavientos/service/reservas", "floor"),
		Entry("get as JSON", "get-json", "--output", "json", "get", "/workspace/cortavientos/service/reservas", "floor"),
		Entry("targets as a table", "targets-table", "targets", "reservas"),
		Entry("targets as JSON", "targets-json", "--output", "json", "targets", "reservas"),
	)

	// Guards against a change that is reported as made, or a state that is printed, because
	// of a response with a broken head.
	DescribeTable("does not take a broken response for a reply of the daemon", func(response string) {
		server := httptest.NewServer(stand.RawHandler(response))
		defer server.Close()
		f := &fixture{url: server.URL}
		code, _, _ := f.run("marta", "bootstrap", settingsFile)
		Expect(code).To(Equal(exitUnknown))
		code, _, _ = f.run("marta", "targets", "reservas")
		Expect(code).NotTo(Equal(exitDone))
	},
		Entry("status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("blank before a name", "HTTP/1.1 200 OK\r\nX: z\r\n Y: z\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}"),
	)

	// Guards against a change that is reported as made although a reset cut the reply. The
	// result may depend on which goroutine notices the reset first.
	It("does not take a reply that was cut by a reset for a whole one", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, make([]byte, 8<<20), 0o600)).To(Succeed())
		for i := range 20 {
			server := httptest.NewServer(stand.EarlyHandler{Response: "HTTP/1.1 200 OK\r\n\r\n{}", End: stand.ResetAfter(time.Duration(i%10) * time.Millisecond)})
			f := &fixture{url: server.URL}
			code, _, _ := f.run("marta", "bootstrap", file)
			Expect(code).To(Equal(exitUnknown))
			server.Close()
		}
	})

	// Guards against an exit code that makes a script mistake a refusal or an
	// unknown outcome for success.
	It("exits with distinct codes for done, refused, wrong usage and not yet known", func() {
		f := newFixture()
		code, _, errOut := f.run("marta", "bootstrap", settingsFile)
		Expect(code).To(Equal(exitDone), errOut)
		for id, value := range map[string]string{"first": "55%", "second": "65%", "third": "70%"} {
			code, _, errOut := f.run("hector", "propose", "--id", id, "--set", "/workspace/cortavientos floor="+value)
			Expect(code).To(Equal(exitDone), errOut)
		}
		code, _, _ = f.run("marta", "commit", "first")
		Expect(code).To(Equal(exitDone))
		code, _, errOut = f.run("marta", "commit", "second")
		Expect(code).To(Equal(exitRefused))
		Expect(errOut).To(ContainSubstring("wisteriactl rebase second"))
		for _, wrong := range [][]string{{"commit"}, {"nonsense"}, {"targets", "--no-such-flag"}, {"propose"}, {"propose", "--set", "/ floor"}} {
			code, _, _ = f.run("marta", wrong...)
			Expect(code).To(Equal(exitUsage), "%v", wrong)
		}
		code, _, _ = f.run("hector", "rebase", "third")
		Expect(code).To(Equal(exitDone))
		f.platform.SetFaults(stand.PlatformFaults{LoseReplies: 1, DownAfterLoss: true})
		code, _, errOut = f.run("marta", "commit", "third")
		Expect(code).To(Equal(exitUnknown))
		Expect(errOut).To(ContainSubstring("wisteriactl resolve third"))
		f.platform.SetFaults(stand.PlatformFaults{})
		code, out, _ := f.run("marta", "resolve", "third")
		Expect(code).To(Equal(exitDone))
		Expect(out).To(ContainSubstring("accepted"))
	})

	// Guards against a malformed URL that is reported as a commit with an unknown
	// outcome, although no request was sent.
	It("reports a malformed URL as wrong usage", func() {
		f := newFixture()
		for _, f.url = range []string{"callers", "127.0.0.1:7200", "ftp://127.0.0.1"} {
			code, _, _ := f.run("marta", "commit", "first")
			Expect(code).To(Equal(exitUsage), f.url)
		}
	})

	// Guards against an unknown outcome that is reported although no connection was
	// established, so that the request was not sent.
	It("exits with the code for refused if no connection can be established", func() {
		f := newFixture()
		f.url = "http://127.0.0.1:1"
		code, _, _ := f.run("marta", "commit", "first")
		Expect(code).To(Equal(exitRefused))
	})

	It("checks the example files", func() {
		f := newFixture()
		code, out, errOut := f.run("", "check-daemon", "../examples/cortavientos/daemon.json")
		Expect(code).To(Equal(exitDone), errOut)
		Expect(out).NotTo(ContainSubstring("000102030405060708090a0b0c0d0e0f"))
		code, out, errOut = f.run("", "check-settings", settingsFile)
		Expect(code).To(Equal(exitDone), errOut)
		Expect(out).To(ContainSubstring("reservas"))
		code, _, _ = f.run("", "check-settings", "main_test.go")
		Expect(code).To(Equal(exitRefused))
	})
})

package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/stand"
)

var _ = Describe("control port", func() {
	// Guards against a demo in which the steps of the operators' guide fail: a daemon
	// that starts without stored settings during a platform outage, and a roll-out
	// report that includes it.
	It("starts a daemon during an outage and reports it in the roll-out", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		f, err := NewFleet("../../examples/cortavientos/settings.json", log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		Expect(f.StartDaemons(ctx)).To(Succeed())
		d := &Demo{fleet: f, out: io.Discard, recorder: newRecorder(), startedAt: time.Now()}
		control := httptest.NewServer(newControlAPI(ctx, d))
		DeferCleanup(control.Close)
		call := func(method, path, body string) int {
			req, err := http.NewRequest(method, control.URL+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		f.Platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
		Expect(call("POST", "/v1/boot?vm=new-1", "")).To(Equal(http.StatusOK))
		Expect(call("POST", "/v1/boot?vm=new-1", "")).To(Equal(http.StatusBadRequest))
		Expect(call("POST", "/v1/stop?vm=nobody", "")).To(Equal(http.StatusNotFound))
		Expect(call("PUT", "/v1/targets/disponible-1/faults", `{"fail-work": true}`)).To(Equal(http.StatusOK))
		Expect(call("PUT", "/v1/targets/nothing/faults", `{}`)).To(Equal(http.StatusNotFound))
		nodes := f.Nodes()
		Eventually(nodes[len(nodes)-1].Ready).WithTimeout(readyTimeout).Should(BeTrue())
		Eventually(func(g Gomega) {
			states := map[string]string{}
			for _, s := range getRollout(g, nodes[0], f.Doc.Owners()[0]).Daemons {
				states[string(s.VM)] = s.State
			}
			g.Expect(states).To(HaveLen(len(nodes)))
			g.Expect(states).To(HaveEach("current"))
		}).WithTimeout(readyTimeout).Should(Succeed())
	})
})

func getRollout(g Gomega, n *Node, owner string) admin.RolloutReply {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.VM.AdminAddress+"/v1/rollout", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+OperatorToken(owner))
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var reply admin.RolloutReply
	g.Expect(json.NewDecoder(resp.Body).Decode(&reply)).To(Succeed())
	return reply
}

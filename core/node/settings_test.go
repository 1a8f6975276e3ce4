package node_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/node"
)

const settingsFile = `// Settings of one daemon.
{
  "vm": "vm-1", "data-centre": "a", "caller-address": "10.0.0.1:80", "inner-address": "10.0.0.1:81",
  "store-address": "10.9.0.1:80", "shutdown-s": 6, "retry-budget": {"ratio": 0.2, "span-s": 10, "slack": 20},
  "seeds": ["10.0.0.2:82"],
  /* capacity */
  "cpu-share": 0.5
}`

// Guards against rejecting a settings file because it has comments.
func TestSettingsAreRead(t *testing.T) {
	g := NewWithT(t)
	s, err := node.ParseSettings("settings.json", []byte(settingsFile))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Seeds).To(Equal([]string{"10.0.0.2:82"}))
	g.Expect(s.CPUShare).To(Equal(0.5))
}

// Guards against an error without a location: it must name the file, the line or
// the key, and the problem.
func TestSettingsErrorsNameLocation(t *testing.T) {
	cases := map[string]struct{ from, to, message string }{
		"type":    {"0.5", `"half"`, `settings.json:7: .*cpu-share`},
		"unknown": {"cpu-share", "cpu-part", `settings.json: .*"cpu-part"`},
		"seed":    {"10.0.0.2:82", "peer", `settings.json: .*key "seeds": "peer" is not an IP address with a port`},
		"missing": {`"vm-1"`, `""`, `settings.json: .*key "vm" is missing`},
		"window":  {`"cpu-share": 0.5`, `"quota": {"window-s": 0, "overage": 0.1, "slack": 20}`, `settings.json: .*key "quota.window-s": 0 is not allowed; expected seconds above 0, at most 3600`},
		"overage": {`"cpu-share": 0.5`, `"quota": {"window-s": 5, "overage": -0.1, "slack": 20}`, `settings.json: .*key "quota.overage": -0.1 is not allowed; expected 0 to 1`},
		"slack":   {`"cpu-share": 0.5`, `"quota": {"window-s": 5, "overage": 0.1, "slack": -1}`, `settings.json: .*key "quota.slack": -1 is not allowed; expected 0 or more`},
		"quota":   {`"cpu-share": 0.5`, `"quota": {"window-s": "5"}`, `settings.json:7: .*quota.window-s`},
		"bound":   {`"cpu-share": 0.5`, `"quota": {"window": 5}`, `settings.json: .*"window"`},
		"syntax":  {"/* capacity */", "capacity", `settings.json: not valid JSON with comments: .*line 6`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := node.ParseSettings("settings.json", []byte(strings.Replace(settingsFile, c.from, c.to, 1)))
			g.Expect(err).To(MatchError(MatchRegexp(c.message)))
		})
	}
}

// Guards against the bound on quotas that is not read.
func TestQuotaSettingsAreRead(t *testing.T) {
	g := NewWithT(t)
	s, err := node.ParseSettings("settings.json", []byte(strings.Replace(settingsFile, `"cpu-share": 0.5`, `"quota": {"window-s": 5, "overage": 0.1, "slack": 20}`, 1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Quota).To(Equal(&node.Quota{WindowSeconds: 5, Overage: 0.1, Slack: 20}))
}

// Guards against times and sizes that overflow when they are converted, so that a daemon
// ends at once or has no memory for requests.
func TestTooLargeSettingsStayLarge(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer(`"shutdown-s": 6`, `"shutdown-s": 1e300`, `"cpu-share": 0.5`, `"memory-mb": 9223372036854775807`).Replace(settingsFile)
	s, err := node.ParseSettings("settings.json", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ShutdownTimeout()).To(BeNumerically(">", 24*time.Hour))
	g.Expect(s.MemoryBytes()).To(BeNumerically(">", 1<<40))
}

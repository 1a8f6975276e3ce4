package config_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const example = `// a daemon in mdp
{
  "vm": "mdp-1",
  "region": "ar-costa",
  "data-centre": "mdp",
  "caller-address": "127.0.0.1:7000", // callers connect here
  "inner-address": "127.0.0.1:7100",
  "admin-address": "127.0.0.1:7200",
  "platform-url": "http://127.0.0.1:7900",
  "fleet-secrets": ["00112233445566778899aabbccddeeff"],
  "shutdown-limit": "5m",
}
`

var _ = Describe("Parse", func() {
	It("accepts comments and trailing commas and fills in defaults", func() {
		s, err := config.Parse("d.json", []byte(example))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Self().CallerAddress).To(Equal("127.0.0.1:7000"))
		Expect(s.LogLevel).To(Equal("info"))
	})

	DescribeTable("names the file, the line and what is allowed, so that a typing error is not silently ignored",
		func(old, new, want string) {
			_, err := config.Parse("d.json", []byte(strings.Replace(example, old, new, 1)))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", `"shutdown-limit"`, `"shutdown-limt"`, `d.json:11: unknown key "shutdown-limt"; allowed are vm,`),
		Entry("bad duration", `"5m"`, `"5"`, `d.json:11: key "shutdown-limit": "5" is not allowed; expected a duration`),
		Entry("host name instead of an IP address", `"127.0.0.1:7100"`, `"localhost:7100"`, `d.json:7: key "inner-address"`),
		Entry("missing key", `"region": "ar-costa",`, ``, `key "region" is missing`),
		Entry("key twice", `"region": "ar-costa",`, `"vm": "x",`, `d.json:4: key "vm" occurs twice, first on line 3`),
		Entry("certificate without key", `"shutdown-limit": "5m"`, `"caller-tls-certificate": "c.pem"`, `must be set together`),
		Entry("short secret", `00112233445566778899aabbccddeeff`, `0011`, `d.json:10: key "fleet-secrets": the value is not allowed`),
	)

	It("does not print secrets in an error or in the effective settings", func() {
		s, err := config.Parse("d.json", []byte(example))
		Expect(err).NotTo(HaveOccurred())
		text, err := s.FleetSecrets[0].MarshalJSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).NotTo(ContainSubstring("0011"))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"vm": 1, /* c */ "seeds": [null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.Parse("fuzz.json", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}

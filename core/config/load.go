package config

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"wisteriarelay.example/core/fault"
)

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "settings file cannot be read")
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file; file is its name in errors.
// All problems are reported at once.
func Parse(file string, data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s: not valid JSON with comments", file)
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, fault.New(fault.ConfigInvalid, "%s:1: the file must hold one JSON object", file)
	}
	p := parser{file: file, data: data, settings: Defaults(), seen: map[string]int{}}
	for i := range object.Members {
		p.member(&object.Members[i])
	}
	p.missing()
	p.pairs()
	if len(p.problems) > 0 {
		return nil, fault.New(fault.ConfigInvalid, "%s", strings.Join(p.problems, "\n"))
	}
	return p.settings, nil
}

type parser struct {
	file     string
	data     []byte
	settings *Settings
	seen     map[string]int
	problems []string
}

func (p *parser) report(line int, format string, args ...any) {
	where := fmt.Sprintf("%s:%d: ", p.file, line)
	p.problems = append(p.problems, where+fmt.Sprintf(format, args...))
}

func (p *parser) line(offset int) int {
	return 1 + bytes.Count(p.data[:offset], []byte("\n"))
}

func (p *parser) member(m *hujson.ObjectMember) {
	line := p.line(m.Name.StartOffset)
	key := m.Name.Value.(hujson.Literal).String()
	if first, ok := p.seen[key]; ok {
		p.report(line, "key %q stands twice, first on line %d", key, first)
		return
	}
	p.seen[key] = line
	for _, f := range fields {
		if f.key == key {
			p.value(&f, line, m)
			return
		}
	}
	p.report(line, "unknown key %q; allowed are %s", key, strings.Join(Keys(), ", "))
}

func (p *parser) value(f *field, line int, m *hujson.ObjectMember) {
	value := m.Value.Clone()
	value.Standardize()
	raw := bytes.TrimSpace(value.Pack())
	if f.set(p.settings, raw) {
		return
	}
	shown := string(raw)
	if f.key == "fleet-secrets" {
		shown = "the value"
	}
	p.report(line, "key %q: %s is not allowed; expected %s", f.key, shown, f.allowed)
}

func (p *parser) missing() {
	last := p.line(len(p.data))
	for _, f := range fields {
		if _, ok := p.seen[f.key]; f.required && !ok {
			p.report(last, "key %q is missing; expected %s", f.key, f.allowed)
		}
	}
}

func (p *parser) pairs() {
	p.pair("caller-tls-certificate", "caller-tls-key")
	p.pair("admin-tls-certificate", "admin-tls-key")
	p.pair("inner-tls-certificate", "inner-tls-key")
	p.pair("inner-tls-certificate", "inner-tls-authority")
}

func (p *parser) pair(a, b string) {
	lineA, okA := p.seen[a]
	lineB, okB := p.seen[b]
	if okA != okB {
		p.report(max(lineA, lineB), "keys %q and %q go together", a, b)
	}
}

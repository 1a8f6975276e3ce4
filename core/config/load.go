package config

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"wisteriarelay.example/core/fault"
)

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "settings file cannot be read")
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file. file is its name in
// errors. The returned error lists all problems.
func Parse(file string, data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, "%s: not valid JSON with comments", file)
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, fault.New(fault.ConfigInvalid, "%s:1: the file must hold one JSON object", file)
	}
	p := parser{file: file, data: data, settings: Defaults(), keyLines: map[string]int{}}
	for i := range object.Members {
		p.parseMember(&object.Members[i])
	}
	p.checkRequired()
	p.checkPairs()
	if len(p.problems) > 0 {
		return nil, fault.New(fault.ConfigInvalid, "%s", strings.Join(p.problems, "\n"))
	}
	return p.settings, nil
}

// parser collects the settings and the problems of one file.
type parser struct {
	file     string
	data     []byte
	settings *Settings
	// keyLines maps each key to the line on which it first occurs.
	keyLines map[string]int
	problems []string
}

func (p *parser) addProblem(line int, format string, args ...any) {
	position := fmt.Sprintf("%s:%d: ", p.file, line)
	p.problems = append(p.problems, position+fmt.Sprintf(format, args...))
}

// lineAt returns the line number of a byte offset.
func (p *parser) lineAt(offset int) int {
	return 1 + bytes.Count(p.data[:offset], []byte("\n"))
}

// parseMember sets the field for one member of the JSON object.
func (p *parser) parseMember(m *hujson.ObjectMember) {
	line := p.lineAt(m.Name.StartOffset)
	key := m.Name.Value.(hujson.Literal).String()
	if first, ok := p.keyLines[key]; ok {
		p.addProblem(line, "key %q occurs twice, first on line %d", key, first)
		return
	}
	p.keyLines[key] = line
	for _, f := range fields {
		if f.key == key {
			p.setField(&f, line, m)
			return
		}
	}
	p.addProblem(line, "unknown key %q; allowed are %s", key, strings.Join(Keys(), ", "))
}

// setField sets a field from its value. If the value is not allowed, the problem
// contains the value, unless it is a secret.
func (p *parser) setField(f *field, line int, m *hujson.ObjectMember) {
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
	p.addProblem(line, "key %q: %s is not allowed; expected %s", f.key, shown, f.allowed)
}

// checkRequired reports the required keys that are missing.
func (p *parser) checkRequired() {
	last := p.lineAt(len(p.data))
	for _, f := range fields {
		if _, ok := p.keyLines[f.key]; f.required && !ok {
			p.addProblem(last, "key %q is missing; expected %s", f.key, f.allowed)
		}
	}
}

// checkPairs reports pairs of TLS keys of which only one is set.
func (p *parser) checkPairs() {
	p.checkPair("caller-tls-certificate", "caller-tls-key")
	p.checkPair("admin-tls-certificate", "admin-tls-key")
	p.checkPair("inner-tls-certificate", "inner-tls-key")
	p.checkPair("inner-tls-certificate", "inner-tls-authority")
}

func (p *parser) checkPair(a, b string) {
	lineA, okA := p.keyLines[a]
	lineB, okB := p.keyLines[b]
	if okA != okB {
		p.addProblem(max(lineA, lineB), "keys %q and %q must be set together", a, b)
	}
}

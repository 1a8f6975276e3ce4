package route_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/route"
)

// withWorkspaces returns a configuration with the workspaces.
func withWorkspaces(workspaces ...route.Workspace) *route.Config {
	c := config()
	c.RequiresKeys = true
	c.Workspaces = workspaces
	return c
}

// authenticate returns the name of the workspace and the kind of the error for the keys,
// on a route that is not exempt.
func authenticate(t *testing.T, c *route.Config, keys ...string) (string, fault.Kind) {
	t.Helper()
	if _, err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	w, err := route.Compile(c).Authenticate(&route.Route{}, keys)
	if err != nil {
		return "", fault.From(err).Kind
	}
	return w.Name, 0
}

// Guards against a workspace that cannot be used and makes keys of others fail, or whose
// own keys are answered as unknown.
func TestUnusableWorkspaces(t *testing.T) {
	cases := map[string]route.Workspace{
		"no name":     {Keys: []string{"k"}},
		"line break":  {Name: "a\r\nb", Keys: []string{"k"}},
		"tab before":  {Name: "\tbad", Keys: []string{"k"}},
		"escape":      {Name: "a\x1bb", Keys: []string{"k"}},
		"space only":  {Name: " ", Keys: []string{"k"}},
		"space after": {Name: "bad ", Keys: []string{"k"}},
		"same name":   {Name: "good", Keys: []string{"k"}},
		"priority":    {Name: "bad", Keys: []string{"k"}, Priority: -1},
		"rate":        {Name: "bad", Keys: []string{"k"}, Rate: -1},
		"burst":       {Name: "bad", Keys: []string{"k"}, Burst: -1},
		"unsendable":  {Name: "bad", Keys: []string{"k\n", "", "k\x7f", " k", "k ", strings.Repeat("k", 257)}},
		"same key":    {Name: "bad", Keys: []string{"of-good"}},
		"own key, 2x": {Name: "bad", Keys: []string{"k", "k"}},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := withWorkspaces(route.Workspace{Name: "good", Keys: []string{"of-good"}}, bad, route.Workspace{Name: "other", Keys: []string{"of-other"}})
			problems, err := c.Validate()
			g.Expect(err).NotTo(HaveOccurred())
			found, kind := authenticate(t, c, "of-other")
			g.Expect(kind).To(BeZero())
			g.Expect(found).To(Equal("other"))
			found, kind = authenticate(t, c, "k")
			switch name {
			case "own key, 2x":
				g.Expect(problems).To(BeEmpty())
				g.Expect(found).To(Equal("bad"))
			case "unsendable", "same key":
				g.Expect(problems).To(HaveLen(max(len(bad.Keys), 1)))
				g.Expect(kind).To(Equal(fault.Unauthenticated))
			default:
				g.Expect(problems).NotTo(BeEmpty())
				g.Expect(kind).To(Equal(fault.WorkspaceUnusable))
			}
			if name == "same key" {
				_, kind = authenticate(t, c, "of-good")
				g.Expect(kind).To(Equal(fault.WorkspaceUnusable))
			}
		})
	}
}

// Guards against routes that ask for keys although they are exempt, or although the
// configuration has no workspaces.
func TestRoutesWithoutKeys(t *testing.T) {
	g := NewWithT(t)
	exempt := &route.Route{KeyExempt: true}
	w, err := route.Compile(withWorkspaces(route.Workspace{Name: "a", Keys: []string{"k"}})).Authenticate(exempt, []string{"k"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w).To(BeNil())
	w, err = route.Compile(config()).Authenticate(&route.Route{}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w).To(BeNil())
}

// Guards against tables that keep keys, which a state dump would show.
func TestTableHoldsNoKeys(t *testing.T) {
	table := route.Compile(withWorkspaces(route.Workspace{Name: "a", Keys: []string{"secret"}}))
	NewWithT(t).Expect(fmt.Sprintf("%+v", table.Workspaces()[0])).NotTo(ContainSubstring("secret"))
}

// Guards against a workspace without a quota that gets no share of the capacity or all of
// it.
func TestWeights(t *testing.T) {
	g := NewWithT(t)
	table := route.Compile(withWorkspaces(route.Workspace{Name: "a", Rate: 10}, route.Workspace{Name: "b", Rate: 40}, route.Workspace{Name: "c"}))
	weights := []float64{table.Weight(nil)}
	for _, w := range table.Workspaces() {
		weights = append(weights, table.Weight(w))
	}
	g.Expect(weights).To(Equal([]float64{25, 10, 40, 25}))
	g.Expect(route.Compile(withWorkspaces(route.Workspace{Name: "a"})).Weight(nil)).To(Equal(1.0))
}

// BenchmarkAuthenticate measures the lookup of a key by the number of workspaces.
func BenchmarkAuthenticate(b *testing.B) {
	for _, count := range []int{10, 24_000} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			var workspaces []route.Workspace
			for i := range count {
				workspaces = append(workspaces, route.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("key-number-", i)}})
			}
			table := route.Compile(withWorkspaces(workspaces...))
			r := &route.Route{}
			keys := []string{"key-number-7"}
			for b.Loop() {
				if _, err := table.Authenticate(r, keys); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package route

import (
	"crypto/sha256"
	"strings"

	"wisteriarelay.example/core/fault"
)

const (
	// maxKeyBytes is the largest length of a caller's key. Longer ones are not looked up.
	maxKeyBytes = 256
	// maxQuota is the largest rate or burst of a quota. A larger one, which stands for no
	// limit, is replaced by it, so that quotas can be added without an overflow.
	maxQuota = 1e9
)

// Workspace is a party on whose behalf callers make requests. Its callers authenticate
// with one of its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority ranks the workspace before the priorities of routes; 0 is the highest.
	// Without HasPriority, the priority of the route takes its place.
	Priority    int
	HasPriority bool
	// Rate is the number of requests a second that the whole fleet runs for the
	// workspace, and Burst the number that it runs besides, after a time without any. A
	// rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool {
	return w.Rate > 0
}

// keyDigest stands for a key. Digests are compared in place of keys, so that the time of
// a lookup does not show how much of a key is right, and tables hold no keys.
type keyDigest [sha256.Size]byte

// keyIndex finds workspaces by their keys.
type keyIndex struct {
	// byDigest has nil for a key that several workspaces hold.
	byDigest map[keyDigest]*Workspace
	// partial says that workspaces of the configuration, and so their keys, are missing.
	partial bool
}

// compileWorkspaces returns the workspaces without their keys, and the index of the keys.
func compileWorkspaces(c *Config) ([]*Workspace, keyIndex) {
	workspaces := make([]*Workspace, 0, len(c.Workspaces))
	index := keyIndex{byDigest: map[keyDigest]*Workspace{}, partial: c.WorkspacesPartial}
	for _, w := range c.Workspaces {
		keys := w.Keys
		w.Keys = nil
		workspaces = append(workspaces, &w)
		for _, key := range keys {
			index.add(key, &w)
		}
	}
	return workspaces, index
}

// add adds a key of the workspace. A key that another workspace holds too identifies
// neither of them.
func (x *keyIndex) add(key string, w *Workspace) {
	digest := keyDigest(sha256.Sum256([]byte(key)))
	if holder, known := x.byDigest[digest]; known && holder != w {
		w = nil
	}
	x.byDigest[digest] = w
}

// find returns the workspace that holds the key of a request. It fails with
// fault.Unauthenticated if there is not exactly one key or nobody holds it, and with
// fault.WorkspaceUnusable if its holder cannot be told from the configuration.
func (x *keyIndex) find(keys []string) (*Workspace, error) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return nil, fault.New(fault.Unauthenticated, "request needs exactly one key of at most %d bytes", maxKeyBytes)
	}
	w, known := x.byDigest[sha256.Sum256([]byte(keys[0]))]
	switch {
	case w != nil:
		return w, nil
	case known:
		return nil, fault.New(fault.WorkspaceUnusable, "several workspaces hold the key")
	case x.partial:
		return nil, fault.New(fault.WorkspaceUnusable, "key may belong to a workspace that could not be read")
	default:
		return nil, fault.New(fault.Unauthenticated, "nobody holds the key")
	}
}

// RequiresKeys reports whether callers have to authenticate on routes that are not exempt.
func (t *Table) RequiresKeys() bool {
	return t.requiresKeys
}

// meanRate returns the mean rate of the workspaces with a quota, or 1 if there are none.
func meanRate(workspaces []*Workspace) float64 {
	sum, count := 0.0, 0
	for _, w := range workspaces {
		if w.Limited() {
			sum += w.Rate
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// Weight returns the weight of a workspace in the sharing of capacity: the rate of its
// quota. A workspace without a quota and requests without a workspace, for which w is nil,
// have the mean of the others.
func (t *Table) Weight(w *Workspace) float64 {
	if w == nil || !w.Limited() {
		return t.meanWeight
	}
	return w.Rate
}

// Workspaces returns all workspaces, without their keys.
func (t *Table) Workspaces() []*Workspace {
	return t.workspaces
}

// Authenticate returns the workspace of a request on the route from its keys, or nil if
// the request needs none. It fails with fault.Unauthenticated or fault.WorkspaceUnusable.
func (t *Table) Authenticate(r *Route, keys []string) (*Workspace, error) {
	if !t.requiresKeys || r.KeyExempt {
		return nil, nil
	}
	return t.keys.find(keys)
}

// validateWorkspaces removes the workspaces that cannot be used and the keys that cannot
// be sent, and returns an error for each of them. Errors contain no keys.
func (c *Config) validateWorkspaces() []error {
	var problems []error
	names := map[string]int{}
	for _, w := range c.Workspaces {
		names[w.Name]++
	}
	var usable []Workspace
	for _, w := range c.Workspaces {
		err := w.validate()
		if err == nil && names[w.Name] > 1 {
			err = fault.New(fault.SettingsInvalid, "name occurs %d times", names[w.Name])
		}
		if err != nil {
			problems = append(problems, fault.Wrap(err, fault.SettingsInvalid, "workspace %q", w.Name))
			c.WorkspacesPartial = true
			continue
		}
		problems = append(problems, w.removeInvalidKeys()...)
		w.Rate, w.Burst = min(w.Rate, maxQuota), min(w.Burst, maxQuota)
		usable = append(usable, w)
	}
	c.Workspaces = usable
	return append(problems, sharedKeyProblems(usable)...)
}

// validate returns the reason why the workspace cannot be used, or nil.
func (w *Workspace) validate() error {
	if !validHeaderValue(w.Name) {
		return fault.New(fault.SettingsInvalid, "name must not be empty, must not have spaces around it and must have no control characters")
	}
	if w.Priority < 0 || w.Rate < 0 || w.Burst < 0 {
		return fault.New(fault.SettingsInvalid, "priority, rate and burst must not be negative")
	}
	return nil
}

// validHeaderValue reports whether the text is not empty and can be sent unchanged as the
// value of a header field: it has no control characters but tabs, and no spaces or tabs
// around it.
func validHeaderValue(text string) bool {
	control := func(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }
	return text != "" && text == strings.Trim(text, " \t") && !strings.ContainsFunc(text, control)
}

// removeInvalidKeys removes the keys that no caller can send and returns an error for
// each of them.
func (w *Workspace) removeInvalidKeys() []error {
	var problems []error
	var keys []string
	for i, key := range w.Keys {
		if !validHeaderValue(key) || len(key) > maxKeyBytes {
			problems = append(problems, fault.New(fault.SettingsInvalid,
				"workspace %q: key %d must have 1 to %d bytes, no spaces around it and no control characters", w.Name, i+1, maxKeyBytes))
			continue
		}
		keys = append(keys, key)
	}
	w.Keys = keys
	return problems
}

// sharedKeyProblems returns an error for each key that several workspaces hold.
func sharedKeyProblems(workspaces []Workspace) []error {
	var problems []error
	holders := map[string]string{}
	for _, w := range workspaces {
		for i, key := range w.Keys {
			other, known := holders[key]
			if known && other != w.Name {
				problems = append(problems, fault.New(fault.SettingsInvalid, "key %d of workspace %q is also a key of workspace %q", i+1, w.Name, other))
			}
			holders[key] = w.Name
		}
	}
	return problems
}

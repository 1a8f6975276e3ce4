package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
)

// Problem is one reason why a document or a change is not valid.
type Problem struct {
	Path Path `json:"path"`
	// Key is empty if the problem concerns the path itself.
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
	// Allowed says what is allowed in place of the value.
	Allowed string `json:"allowed"`
}

// maxShown bounds the part of a value that an error message repeats.
const maxShown = 200

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.Path))
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", shorten(p.Value))
	}
	fmt.Fprintf(&b, ": allowed: %s", p.Allowed)
	return b.String()
}

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}

// Invalid lists every problem of a document or a change.
type Invalid struct {
	Problems []Problem `json:"problems"`
}

// Error returns all problems, separated by semicolons.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}

// invalid returns an error of kind SettingsInvalid with an Invalid in its
// chain, or nil if there is no problem.
func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortFunc(problems, compareProblems)
	problems = slices.Compact(problems)
	return fault.Wrap(&Invalid{Problems: problems}, fault.SettingsInvalid, "%d problems", len(problems))
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(a.Path, b.Path),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Value, b.Value),
		cmp.Compare(a.Allowed, b.Allowed),
	)
}

package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
)

// Problem is a reason why a document or a change is invalid.
type Problem struct {
	Path Path `json:"path"`
	// Key is empty if the problem concerns the path itself.
	Key   string `json:"key,omitempty"`
	Value string `json:"value,omitempty"`
	// Allowed describes what is allowed instead of the value.
	Allowed string `json:"allowed"`
}

// maxShownBytes is the maximum length of a value in an error message.
const maxShownBytes = 200

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.Path))
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", truncate(p.Value))
	}
	fmt.Fprintf(&b, ": allowed: %s", p.Allowed)
	return b.String()
}

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}

// ValidationError is the error for an invalid document or change. It lists all problems.
type ValidationError struct {
	Problems []Problem `json:"problems"`
}

// Error returns all problems, separated by semicolons.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}

// invalidError returns an error of kind SettingsInvalid that wraps an Invalid
// with the problems, or nil if there are none.
func invalidError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortFunc(problems, compareProblems)
	problems = slices.Compact(problems)
	return fault.Wrap(&ValidationError{Problems: problems}, fault.SettingsInvalid, "%d problems", len(problems))
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(a.Path, b.Path),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Value, b.Value),
		cmp.Compare(a.Allowed, b.Allowed),
	)
}

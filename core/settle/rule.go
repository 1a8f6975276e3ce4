package settle

import (
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// need is the approval that a change demands and the path that demands it.
type need struct {
	rule tree.Rule
	path tree.Path
}

// needOf returns the strictest rule of all paths that the ops touch. The rule
// before the change holds; a path that the change creates also has the rule
// after it, such as the one of the region of a new service. Whatever weakens the rule demands both owners: a path
// whose rule falls from both to one, the removal of a path under the rule
// both, and a change of the owners themselves.
func needOf(before, after *tree.Doc, ops []tree.Op) need {
	n := need{rule: tree.RuleOne, path: tree.Root}
	for _, o := range ops {
		created := !before.Has(o.Path) && ruleAt(after, o.Path) == tree.RuleBoth
		if o.Key == ownersKey || created || ruleAt(before, o.Path) == tree.RuleBoth {
			return need{rule: tree.RuleBoth, path: o.Path}
		}
		n.path = o.Path
	}
	if !slices.ContainsFunc(ops, movesRules) {
		return n
	}
	for p := range before.Paths() {
		if ruleAt(before, p) == tree.RuleBoth && (!after.Has(p) || ruleAt(after, p) == tree.RuleOne) {
			return need{rule: tree.RuleBoth, path: p}
		}
	}
	return n
}

// Keys that decide which rule holds at a path.
const (
	ownersKey   = "owners"
	approvalKey = "approval"
	regionKey   = "region"
)

// movesRules reports whether the op may change the rule of another path than
// its own: the rule itself, the region that a service inherits from, and the
// removal of a path with all below it.
func movesRules(o tree.Op) bool {
	return o.Key == approvalKey || o.Key == regionKey || o.Key == ""
}

func ruleAt(d *tree.Doc, p tree.Path) tree.Rule {
	rule, err := d.Approval(p)
	if err != nil {
		return tree.RuleBoth
	}
	return rule
}

// consent returns the owners that approve the change, each once. The author's
// proposal is the author's approval.
func consent(c Change, owners []string) []string {
	var given []string
	for _, owner := range owners {
		approves := func(a Approval) bool { return a.Owner == owner }
		if c.Author == owner || slices.ContainsFunc(c.Approvals, approves) {
			given = append(given, owner)
		}
	}
	return given
}

// settled returns the owners whose consent counts, or an error of kind
// SettingsUnsettled that names the missing ones. The owners before the change
// decide.
func settled(before, after *tree.Doc, c Change) ([]string, error) {
	owners := before.Owners()
	given := consent(c, owners)
	n := needOf(before, after, c.Ops)
	if len(owners) > 0 && (len(given) == len(owners) || n.rule == tree.RuleOne && len(given) > 0) {
		return given, nil
	}
	var missing []string
	for _, o := range owners {
		if !slices.Contains(given, o) {
			missing = append(missing, o)
		}
	}
	return nil, fault.New(fault.SettingsUnsettled, "change %s needs the approval of %s owner(s) for %s; not yet given by %s", c.ID, n.rule, n.path, strings.Join(missing, ", "))
}

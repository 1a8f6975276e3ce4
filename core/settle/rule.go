package settle

import (
	"slices"
	"strings"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// requirement is the approval rule that a change must satisfy and the path that
// imposes it.
type requirement struct {
	rule tree.ApprovalRule
	path tree.Path
}

// requiredApproval returns the strictest approval rule of the paths that the ops
// touch. The rule of a path is the one before the change. A path that the change
// creates is also subject to its rule after the change, such as the rule of the
// region of a new service. Both owners must approve any change that weakens a
// rule: one that lowers the rule of a path from both to one, removes a path
// under the rule both, or replaces the owners.
func requiredApproval(before, after *tree.Document, ops []tree.Op) requirement {
	required := requirement{rule: tree.ApprovalByOne, path: tree.Root}
	for _, o := range ops {
		created := !before.Has(o.Path) && approvalRule(after, o.Path) == tree.ApprovalByBoth
		if o.Key == ownersKey || created || approvalRule(before, o.Path) == tree.ApprovalByBoth {
			return requirement{rule: tree.ApprovalByBoth, path: o.Path}
		}
		required.path = o.Path
	}
	if !slices.ContainsFunc(ops, mayChangeOtherRules) {
		return required
	}
	for p := range before.Paths() {
		if approvalRule(before, p) == tree.ApprovalByBoth && (!after.Has(p) || approvalRule(after, p) == tree.ApprovalByOne) {
			return requirement{rule: tree.ApprovalByBoth, path: p}
		}
	}
	return required
}

// Keys that determine the approval rule of a path.
const (
	ownersKey   = "owners"
	approvalKey = "approval"
	regionKey   = "region"
)

// mayChangeOtherRules reports whether the op may change the rule of paths other
// than its own. These ops set a rule, which paths below inherit, set the region
// from which a service inherits its rule, or declare or remove a whole path.
func mayChangeOtherRules(o tree.Op) bool {
	return o.Key == approvalKey || o.Key == regionKey || o.Key == ""
}

// approvalRule returns the rule of the path, or the strictest rule if the path has
// none because it is unknown.
func approvalRule(d *tree.Document, p tree.Path) tree.ApprovalRule {
	rule, err := d.ApprovalRule(p)
	if err != nil {
		return tree.ApprovalByBoth
	}
	return rule
}

// approvingOwners returns the owners who approve the change, each once. An owner
// who is the author of the change approves it by proposing it.
func approvingOwners(c Change, owners []string) []string {
	var approving []string
	for _, owner := range owners {
		isOwner := func(a Approval) bool { return a.Owner == owner }
		if c.Author == owner || slices.ContainsFunc(c.Approvals, isOwner) {
			approving = append(approving, owner)
		}
	}
	return approving
}

// checkApprovals returns the owners who approved the change. If the required
// approval is missing, it returns an error of kind SettingsUnsettled that names
// the owners who have not approved. The owners are those in the document before
// the change.
func checkApprovals(before, after *tree.Document, c Change) ([]string, error) {
	owners := before.Owners()
	approving := approvingOwners(c, owners)
	required := requiredApproval(before, after, c.Ops)
	if len(owners) > 0 && (len(approving) == len(owners) || required.rule == tree.ApprovalByOne && len(approving) > 0) {
		return approving, nil
	}
	var missing []string
	for _, o := range owners {
		if !slices.Contains(approving, o) {
			missing = append(missing, o)
		}
	}
	return nil, fault.New(fault.SettingsUnsettled, "change %s needs the approval of %s owner(s) for %s; not yet given by %s", c.ID, required.rule, required.path, strings.Join(missing, ", "))
}

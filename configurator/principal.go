package configurator

import (
	"strings"

	"apricotwinch"
)

// Principal is who makes an edit or a call: an operator or a team.
type Principal struct {
	operator bool
	name     string
}

// Operator returns the operator called name.
func Operator(name string) Principal { return Principal{operator: true, name: name} }

// Team returns the team called name.
func Team(name string) Principal { return Principal{name: name} }

// ParsePrincipal returns the principal whose String is text, or an error of kind
// Invalid.
func ParsePrincipal(text string) (Principal, error) {
	group, name, _ := strings.Cut(text, "/")
	if (group != segmentOperators && group != segmentTeams) || !validName(name) {
		return Principal{}, apricotwinch.Errorf(apricotwinch.Invalid, "author: %q is not %s/NAME or %s/NAME", text, segmentOperators, segmentTeams)
	}
	return Principal{operator: group == segmentOperators, name: name}, nil
}

// IsOperator reports whether p is an operator.
func (p Principal) IsOperator() bool { return p.operator }

// Name returns the name of the operator or team.
func (p Principal) Name() string { return p.name }

// String returns operators/NAME or teams/NAME, the form of an edit's author.
func (p Principal) String() string {
	if p.operator {
		return segmentOperators + "/" + p.name
	}
	return segmentTeams + "/" + p.name
}

// mayEdit reports whether p may edit path: a team its own subtree but for its
// access, an operator everything.
func (p Principal) mayEdit(path path) bool {
	return p.operator || path.kind.teamEdits && path.team() == p.name
}

package configurator

import (
	"strings"

	"apricotwinch"
)

// Principal is the operator or team on whose behalf an edit or a call is made.
type Principal struct {
	operator bool
	name     string
}

// Operator returns the principal of the operator called name.
func Operator(name string) Principal { return Principal{operator: true, name: name} }

// Team returns the principal of the team called name.
func Team(name string) Principal { return Principal{name: name} }

// ParsePrincipal parses the form that Principal.String returns. It fails with kind Invalid for any
// other text.
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

// String returns operators/NAME or teams/NAME, the form in which a record names its author.
func (p Principal) String() string {
	if p.operator {
		return segmentOperators + "/" + p.name
	}
	return segmentTeams + "/" + p.name
}

// mayEdit reports whether p may edit path. An operator may edit everything; a team may edit its own
// subtree except for its access tokens.
func (p Principal) mayEdit(path path) bool {
	return p.operator || path.kind.teamEditable && path.team() == p.name
}

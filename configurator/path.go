package configurator

import (
	"regexp"
	"strings"

	"apricotwinch"
)

// First segments of paths.
const (
	segmentDataCentres = "dataCentres"
	segmentOperators   = "operators"
	segmentQuotas      = "quotas"
	segmentTeams       = "teams"
)

// wildcard stands for a name in the pattern of a kind.
const wildcard = "*"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// path is the place of one leaf in the settings tree.
type path struct {
	text     string
	segments []string
	kind     *kind
}

// parsePath returns the path of a leaf, or an error of kind Invalid.
func parsePath(text string) (path, error) {
	segments := strings.Split(text, "/")
	for i := range kinds {
		if kinds[i].matches(segments) {
			return path{text: text, segments: segments, kind: &kinds[i]}, nil
		}
	}
	var known []string
	for _, k := range kinds {
		known = append(known, strings.Join(k.pattern, "/"))
	}
	return path{}, apricotwinch.Errorf(apricotwinch.Invalid, "path: %q is none of %s", text, strings.Join(known, ", "))
}

// name returns the last segment.
func (p path) name() string { return p.segments[len(p.segments)-1] }

// team returns the team that the leaf is about, "" for none.
func (p path) team() string {
	if p.segments[0] == segmentTeams || p.segments[0] == segmentQuotas {
		return p.segments[1]
	}
	return ""
}

// shard returns what decides the shard of the leaf: all of a team are in one.
func (p path) shard() string {
	if team := p.team(); team != "" {
		return team
	}
	return p.segments[0]
}

// teamPath returns the path of a leaf of team.
func teamPath(team string, rest ...string) string {
	return segmentTeams + "/" + team + "/" + strings.Join(rest, "/")
}

// under reports whether text is prefix or lies under it; "" holds everything.
func under(text, prefix string) bool {
	return prefix == "" || text == prefix || strings.HasPrefix(text, prefix+"/")
}

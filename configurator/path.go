package configurator

import (
	"regexp"
	"strings"

	"apricotwinch"
)

// The first segments of paths.
const (
	segmentDataCentres = "dataCentres"
	segmentOperators   = "operators"
	segmentQuotas      = "quotas"
	segmentTeams       = "teams"
)

// wildcard matches any valid name in the pattern of a kind.
const wildcard = "*"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// path identifies one leaf of the settings tree.
type path struct {
	text     string
	segments []string
	kind     *kind
}

// parsePath parses the path of a leaf. It fails with kind Invalid if no kind of leaf matches.
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

// name returns the last segment of the path.
func (p path) name() string { return p.segments[len(p.segments)-1] }

// team returns the team that the leaf belongs to, or "" if there is none.
func (p path) team() string {
	if p.segments[0] == segmentTeams || p.segments[0] == segmentQuotas {
		return p.segments[1]
	}
	return ""
}

// shard returns the shard key of the leaf. All leaves of a team share one key, so that the settings
// of a team are found in one shard.
func (p path) shard() string {
	if team := p.team(); team != "" {
		return team
	}
	return p.segments[0]
}

// teamPath returns the path of the leaf of team with the given remaining segments.
func teamPath(team string, rest ...string) string {
	return segmentTeams + "/" + team + "/" + strings.Join(rest, "/")
}

// hasPathPrefix reports whether the path text is prefix or lies below it. Every path lies below "".
func hasPathPrefix(text, prefix string) bool {
	return prefix == "" || text == prefix || strings.HasPrefix(text, prefix+"/")
}

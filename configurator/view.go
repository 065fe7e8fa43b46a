package configurator

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"apricotwinch/messenger"
)

// View is an immutable copy of the settings at one revision. It is safe for concurrent use.
type View struct {
	state state
}

// Entry is one leaf of the settings tree.
type Entry struct {
	path     string
	revision int64
	author   string
	value    json.RawMessage
}

// Path returns the path of the leaf.
func (e Entry) Path() string { return e.path }

// Revision returns the revision of the leaf, the base of the next edit.
func (e Entry) Revision() int64 { return e.revision }

// Author returns the author of the last accepted edit of the leaf.
func (e Entry) Author() string { return e.author }

// Value returns the value as JSON, or nil if the leaf was removed.
func (e Entry) Value() json.RawMessage { return e.value }

// Revision returns the offset after the last record that the view includes.
func (v *View) Revision() int64 { return v.state.revision }

// Check returns nil if record would be accepted on this view, or the reason why it would be
// rejected; see Outcome.Err.
func (v *View) Check(record messenger.EditRecord) error {
	_, _, err := v.state.check(record)
	return err
}

// Entry returns the leaf at path and whether it exists. A leaf that was removed has a revision but
// no value; a leaf that never existed has revision 0.
func (v *View) Entry(path string) (Entry, bool) {
	p, err := parsePath(path)
	if err != nil {
		return Entry{path: path}, false
	}
	l := v.state.leaf(p)
	return newEntry(path, l), !l.removed()
}

// Entries returns the leaves at and below path, ordered by path. The path "" selects all leaves.
func (v *View) Entries(path string) []Entry {
	var found []Entry
	for i := range v.state.leaves.shards {
		for text, l := range v.state.leaves.shards[i].values {
			if !l.removed() && hasPathPrefix(text, path) {
				found = append(found, newEntry(text, l))
			}
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return cmp.Compare(a.path, b.path) })
	return found
}

func newEntry(text string, l leaf) Entry {
	return Entry{path: text, revision: l.revision, author: l.author, value: l.value}
}

// DataCentre returns the settings of a data centre and whether they exist.
func (v *View) DataCentre(name string) (DataCentre, bool) { return v.state.dataCentre(name) }

// DataCentreOut reports whether tasks must not start in a data centre because operators took it
// out of service or because the settings don't list it.
func (v *View) DataCentreOut(name string) bool {
	d, ok := v.state.dataCentre(name)
	return !ok || d.out
}

// DataCentres returns all data centres, ordered by name.
func (v *View) DataCentres() []DataCentre {
	return sorted(collect[DataCentre](v, segmentDataCentres, segmentDataCentres), DataCentre.Name)
}

// Principal returns the principal that owns the token with the given SHA-256 hash in hexadecimal,
// and whether there is one.
func (v *View) Principal(tokenHash string) (Principal, bool) {
	return v.state.tokens.get(tokenHash, tokenHash)
}

// Quota returns the quota of a team and whether there is one.
func (v *View) Quota(team string) (Quota, bool) {
	return lookup[Quota](v, team, segmentQuotas+"/"+team)
}

// Service returns the service of a team with the given name and whether there is one.
func (v *View) Service(team, name string) (Service, bool) {
	return lookup[Service](v, team, teamPath(team, "services", name))
}

// Services returns the services of a team, ordered by name.
func (v *View) Services(team string) []Service {
	return sorted(collect[Service](v, team, segmentTeams+"/"+team), Service.Name)
}

// Watch returns the watch service of a team with the given name and whether there is one.
func (v *View) Watch(team, name string) (Watch, bool) {
	return lookup[Watch](v, team, teamPath(team, "watches", name))
}

// Watches returns the watch services of a team, ordered by name.
func (v *View) Watches(team string) []Watch {
	return sorted(collect[Watch](v, team, segmentTeams+"/"+team), Watch.Name)
}

// Teams returns the names of all teams that have access tokens, a quota, a service or a watch
// service, in alphabetical order.
func (v *View) Teams() []string {
	var names []string
	for i := range v.state.leaves.shards {
		for text, l := range v.state.leaves.shards[i].values {
			segments := strings.Split(text, "/")
			if !l.removed() && (segments[0] == segmentTeams || segments[0] == segmentQuotas) {
				names = append(names, segments[1])
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// lookup returns the value of the leaf at path text if the value has type V.
func lookup[V any](v *View, shardKey, text string) (V, bool) {
	l, _ := v.state.leaves.get(shardKey, text)
	value, ok := l.parsed.(V)
	return value, ok
}

// collect returns the values of type V at and below prefix in the shard that shardKey selects.
func collect[V any](v *View, shardKey, prefix string) []V {
	var found []V
	for text, l := range v.state.leaves.shards[shardIndex(shardKey)].values {
		if value, ok := l.parsed.(V); ok && hasPathPrefix(text, prefix) {
			found = append(found, value)
		}
	}
	return found
}

func sorted[V any](values []V, name func(V) string) []V {
	slices.SortFunc(values, func(a, b V) int { return cmp.Compare(name(a), name(b)) })
	return values
}

package configurator

import (
	"embed"
	"encoding/json"

	"apricotwinch/loader"
)

//go:embed schemas/*.json
var schemas embed.FS

// kind describes one kind of leaf of the settings tree.
type kind struct {
	pattern      []string
	schema       *loader.Schema
	teamEditable bool // Whether a team may edit its own leaves of this kind.
	decode       func(p path, data []byte) (any, error)
}

// kinds lists all kinds of leaves.
var kinds = []kind{
	{
		pattern: []string{segmentDataCentres, wildcard},
		schema:  mustSchema("dataCentre"),
		decode:  decoder(newDataCentre),
	},
	{
		pattern: []string{segmentOperators, wildcard},
		schema:  mustSchema("access"),
		decode:  decoder(newAccess),
	},
	{
		pattern: []string{segmentQuotas, wildcard},
		schema:  mustSchema("quota"),
		decode:  decoder(newQuota),
	},
	{
		pattern: []string{segmentTeams, wildcard, "access"},
		schema:  mustSchema("access"),
		decode:  decoder(newAccess),
	},
	{
		pattern:      []string{segmentTeams, wildcard, "services", wildcard},
		schema:       mustSchema("service"),
		teamEditable: true,
		decode:       decoder(newService),
	},
	{
		pattern:      []string{segmentTeams, wildcard, "watches", wildcard},
		schema:       mustSchema("watch"),
		teamEditable: true,
		decode:       decoder(newWatch),
	},
}

func mustSchema(name string) *loader.Schema {
	data, err := schemas.ReadFile("schemas/" + name + ".json")
	if err != nil {
		panic(err)
	}
	return loader.MustSchema(data)
}

// decoder returns a function that decodes a leaf from its JSON form W and builds its value with
// build.
func decoder[W, V any](build func(path, W) V) func(path, []byte) (any, error) {
	return func(p path, data []byte) (any, error) {
		var wire W
		if err := json.Unmarshal(data, &wire); err != nil {
			return nil, err
		}
		return build(p, wire), nil
	}
}

func (k *kind) matches(segments []string) bool {
	if len(segments) != len(k.pattern) {
		return false
	}
	for i, want := range k.pattern {
		if want == wildcard && !validName(segments[i]) || want != wildcard && want != segments[i] {
			return false
		}
	}
	return true
}

package configurator

import (
	"bytes"
	"encoding/json"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Bounds of the settings.
const (
	// MaxValueBytes is the greatest length of the value of one leaf.
	MaxValueBytes = 64 << 10

	// tombstoneRecords is how many records later the revision of a removed leaf is
	// forgotten; no append of an edit is delayed for longer.
	tombstoneRecords = 1 << 16
)

// leaf is one leaf of the tree; a removed one has no value.
type leaf struct {
	revision int64
	author   string
	value    json.RawMessage
	parsed   any
}

func (l leaf) removed() bool { return l.value == nil }

// state is the settings folded through a revision.
type state struct {
	leaves   tree[leaf]
	tokens   tree[Principal]
	revision int64
}

// leaf returns the leaf at p, also a removed one that is still remembered.
func (s *state) leaf(p path) leaf {
	l, _ := s.leaves.get(p.shard(), p.text)
	if l.removed() && s.revision >= l.revision+tombstoneRecords {
		return leaf{}
	}
	return l
}

// check returns the parsed value of an edit, nil for a removal, or why the edit
// is void.
func (s *state) check(record messenger.EditRecord) (path, any, error) {
	p, err := parsePath(record.Path)
	if err != nil {
		return path{}, nil, err
	}
	author, err := ParsePrincipal(record.Author)
	if err != nil {
		return path{}, nil, err
	}
	if !author.mayEdit(p) {
		return path{}, nil, apricotwinch.Errorf(apricotwinch.Forbidden, "%s: %s may not edit it", p.text, author)
	}
	current := s.leaf(p)
	if int64(record.Base) != current.revision {
		return path{}, nil, apricotwinch.Errorf(apricotwinch.Conflict, "%s: the edit is based on revision %d, in force is %d", p.text, record.Base, current.revision)
	}
	if isRemoval(record) {
		return p, nil, s.checkRemoval(p, current)
	}
	parsed, err := s.checkValue(p, record.Value)
	return p, parsed, err
}

func isRemoval(record messenger.EditRecord) bool {
	return len(record.Value) == 0 || bytes.Equal(record.Value, []byte("null"))
}

func (s *state) checkRemoval(p path, current leaf) error {
	if current.removed() {
		return apricotwinch.Errorf(apricotwinch.NotFound, "%s: there is nothing to remove", p.text)
	}
	if _, ok := current.parsed.(DataCentre); !ok {
		return nil
	}
	if user := s.userOf(p.name()); user != "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s refers to it in field /dataCentres", p.text, user)
	}
	return nil
}

// userOf returns the path of the first service that names dataCentre.
func (s *state) userOf(dataCentre string) string {
	var users []string
	for i := range s.leaves.shards {
		for text, l := range s.leaves.shards[i].values {
			if service, ok := l.parsed.(Service); ok && slices.Contains(service.dataCentres, dataCentre) {
				users = append(users, text)
			}
		}
	}
	if len(users) == 0 {
		return ""
	}
	return slices.Min(users)
}

// checkValue checks a value against the schema of its kind and its references.
func (s *state) checkValue(p path, value json.RawMessage) (any, error) {
	if len(value) > MaxValueBytes {
		return nil, apricotwinch.Errorf(apricotwinch.TooLarge, "%s: value of %d bytes is over %d", p.text, len(value), MaxValueBytes)
	}
	if err := p.kind.schema.Check(p.text, value); err != nil {
		return nil, err
	}
	parsed, err := p.kind.decode(p, value)
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", p.text, err)
	}
	if service, ok := parsed.(Service); ok {
		return parsed, s.checkDataCentres(p, service.dataCentres)
	}
	if tokens, ok := parsed.(access); ok {
		return parsed, s.checkTokens(p, tokens)
	}
	return parsed, nil
}

func (s *state) checkDataCentres(p path, names []string) error {
	for i, name := range names {
		if _, ok := s.dataCentre(name); !ok {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: field /dataCentres/%d: there is no data centre %q", p.text, i, name)
		}
	}
	return nil
}

func (s *state) checkTokens(p path, tokens access) error {
	for i, hash := range tokens.tokenHashes {
		if holder, ok := s.tokens.get(hash, hash); ok && holder != tokens.principal {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: field /tokenHashes/%d: the token belongs to %s", p.text, i, holder)
		}
	}
	return nil
}

func (s *state) dataCentre(name string) (DataCentre, bool) {
	l, _ := s.leaves.get(segmentDataCentres, segmentDataCentres+"/"+name)
	d, ok := l.parsed.(DataCentre)
	return d, ok
}

// put puts l at p and keeps the index of tokens.
func (s *state) put(p path, l leaf) {
	old, _ := s.leaves.get(p.shard(), p.text)
	if before, ok := old.parsed.(access); ok {
		for _, hash := range before.tokenHashes {
			s.tokens.remove(hash, hash)
		}
	}
	if after, ok := l.parsed.(access); ok {
		for _, hash := range after.tokenHashes {
			s.tokens.set(hash, hash, after.principal)
		}
	}
	s.leaves.set(p.shard(), p.text, l)
}

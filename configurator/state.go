package configurator

import (
	"bytes"
	"encoding/json"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Bounds on the size of the settings.
const (
	// MaxValueBytes is the greatest length of the value of one leaf, in bytes.
	MaxValueBytes = 64 << 10

	// tombstoneRetentionRecords is the number of records for which the revision of a removed leaf
	// is remembered. No append of an edit is delayed for longer than that.
	tombstoneRetentionRecords = 1 << 16
)

// leaf is one leaf of the settings tree. A removed leaf has no value.
type leaf struct {
	revision int64
	author   string
	value    json.RawMessage
	parsed   any
}

func (l leaf) removed() bool { return l.value == nil }

// state holds the settings after all records before revision were applied.
type state struct {
	leaves   shardedMap[leaf]
	tokens   shardedMap[Principal]
	revision int64
}

// leaf returns the leaf at p. A removed leaf is returned, with its revision, while its tombstone is
// retained.
func (s *state) leaf(p path) leaf {
	l, _ := s.leaves.get(p.shard(), p.text)
	if l.removed() && s.revision >= l.revision+tombstoneRetentionRecords {
		return leaf{}
	}
	return l
}

// check returns the path and the parsed value of an edit, which is nil for a removal, or the reason
// why the edit is rejected.
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
		return path{}, nil, apricotwinch.Errorf(apricotwinch.Conflict, "%s: the edit is based on revision %d, the current revision is %d", p.text, record.Base, current.revision)
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
	if referrer := s.firstReferrer(p.name()); referrer != "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %s refers to it in field /dataCentres", p.text, referrer)
	}
	return nil
}

// firstReferrer returns the path of the first service, in order of path, that refers to dataCentre,
// or "" if there is none.
func (s *state) firstReferrer(dataCentre string) string {
	var referrers []string
	for i := range s.leaves.shards {
		for text, l := range s.leaves.shards[i].values {
			if service, ok := l.parsed.(Service); ok && slices.Contains(service.dataCentres, dataCentre) {
				referrers = append(referrers, text)
			}
		}
	}
	if len(referrers) == 0 {
		return ""
	}
	return slices.Min(referrers)
}

// checkValue parses value and checks its size, its schema and its references to other leaves.
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

// put sets the leaf at p to l and updates the index of tokens.
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

package configurator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// removedValue is the JSON value that represents a removed leaf in a snapshot.
var removedValue = json.RawMessage("null")

// Snapshot returns the current settings in parts of about maxBytes each, or nil while the replayer
// waits for a snapshot itself. To preserve the settings past the log's retention, the caller must
// append every part in a record of its own before the log drops the edits that the settings come
// from or the last snapshot.
func (r *Replayer) Snapshot(maxBytes int) []messenger.SettingsSnapshot {
	if r.restoration != nil {
		return nil
	}
	through := int(r.state.revision) - 1
	parts := []messenger.SettingsSnapshot{{Through: through, Entries: []messenger.SettingsEntry{}}}
	size := 0
	for _, e := range r.entries() {
		size += len(e.Path) + len(e.Value) + len(e.Author)
		if last := &parts[len(parts)-1]; size > maxBytes && len(last.Entries) > 0 {
			parts = append(parts, messenger.SettingsSnapshot{Through: through})
			size = len(e.Path) + len(e.Value) + len(e.Author)
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, e)
	}
	parts[0].Voids = append(parts[0].Voids, r.rejected.order...)
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

// entries returns all leaves, including the removed ones that are remembered, ordered by path.
func (r *Replayer) entries() []messenger.SettingsEntry {
	var all []messenger.SettingsEntry
	for i := range r.state.leaves.shards {
		for text, l := range r.state.leaves.shards[i].values {
			e := messenger.SettingsEntry{Path: text, Revision: int(l.revision), Value: l.value, Author: l.author}
			if l.removed() {
				e.Value = removedValue
			}
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b messenger.SettingsEntry) int { return cmp.Compare(a.Path, b.Path) })
	return all
}

// SnapshotOffset returns the offset of the first part of the latest complete snapshot in the
// stream, or -1 if there is none. If it doesn't advance for a third of the log's retention, an
// entry process appends a new snapshot.
func (r *Replayer) SnapshotOffset() int64 { return r.assembler.latest }

// snapshotAssembler collects the parts of snapshots until a snapshot is complete.
type snapshotAssembler struct {
	parts  map[string]*partialSnapshot
	latest int64
}

// partialSnapshot holds the parts of a snapshot that were read so far.
type partialSnapshot struct {
	first   int64
	through int64
	parts   map[int]*messenger.SettingsSnapshot
}

func newSnapshotAssembler() snapshotAssembler {
	return snapshotAssembler{parts: make(map[string]*partialSnapshot), latest: -1}
}

// add adds the part in record. It returns the snapshot if the part completes it, or nil.
func (a *snapshotAssembler) add(offset int64, record messenger.EditRecord) *partialSnapshot {
	s := record.Snapshot
	if s.Part < 0 || s.Part >= s.Parts || int64(s.Through) >= offset {
		return nil
	}
	key := fmt.Sprintf("%s %d %d", record.Author, s.Through, s.Parts)
	p := a.parts[key]
	if p == nil {
		p = &partialSnapshot{first: offset, through: int64(s.Through), parts: make(map[int]*messenger.SettingsSnapshot)}
		a.parts[key] = p
	}
	p.parts[s.Part] = s
	if len(p.parts) < s.Parts {
		return nil
	}
	a.complete(p)
	return p
}

// complete records that p is complete and drops the snapshots that are not newer.
func (a *snapshotAssembler) complete(p *partialSnapshot) {
	a.latest = max(a.latest, p.first)
	for key, other := range a.parts {
		if other.through <= p.through {
			delete(a.parts, key)
		}
	}
}

// restoration buffers the records after a gap until a snapshot restores the settings.
type restoration struct {
	earliest   int64
	nextOffset int64
	records    []bufferedRecord
}

type bufferedRecord struct {
	offset int64
	record messenger.EditRecord
}

// buffer keeps record until a snapshot that covers the gap is complete, and then restores the
// settings from it.
func (r *Replayer) buffer(offset int64, record messenger.EditRecord) Outcome {
	r.restoration.nextOffset = offset + 1
	r.restoration.records = append(r.restoration.records, bufferedRecord{offset: offset, record: record})
	if record.Snapshot != nil {
		snapshot := r.assembler.add(offset, record)
		if snapshot != nil && snapshot.through+1 >= r.restoration.earliest {
			r.restore(snapshot)
			return r.outcomes.byID[record.Id]
		}
	}
	err := apricotwinch.Errorf(apricotwinch.StaleView, "the settings before offset %d aren't known yet", r.restoration.earliest)
	return Outcome{id: record.Id, path: record.Path, author: record.Author, offset: offset, value: record.Value, err: err}
}

// restore replaces the state with snapshot and applies the buffered records that follow it.
func (r *Replayer) restore(snapshot *partialSnapshot) {
	records := r.restoration.records
	r.restoration = nil
	r.state = state{revision: snapshot.through + 1}
	r.tombstones = nil
	r.rejected = newRejectedEdits()
	r.assembler = newSnapshotAssembler()
	for _, part := range snapshot.parts {
		for _, e := range part.Entries {
			r.restoreLeaf(e)
		}
	}
	for _, edit := range snapshot.parts[0].Voids {
		r.rejected.add(edit.Id, int64(edit.Offset))
	}
	slices.SortFunc(r.tombstones, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
	r.view = nil
	for _, b := range records {
		r.Apply(b.offset, b.record)
	}
}

// restoreLeaf puts a leaf of a snapshot into the state. The leaf needs no check: it was checked when
// its edit was accepted.
func (r *Replayer) restoreLeaf(e messenger.SettingsEntry) {
	p, err := parsePath(e.Path)
	if err != nil {
		return
	}
	l := leaf{revision: int64(e.Revision), author: e.Author}
	if string(e.Value) == string(removedValue) {
		r.tombstones = append(r.tombstones, tombstone{path: p, revision: l.revision})
		r.state.put(p, l)
		return
	}
	l.parsed, err = p.kind.decode(p, e.Value)
	if err != nil {
		return
	}
	l.value = compact(e.Value)
	r.state.put(p, l)
}

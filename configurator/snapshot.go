package configurator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// removedValue is the value of a removed leaf in a snapshot.
var removedValue = json.RawMessage("null")

// Snapshot returns the settings in force in parts of about maxBytes each. To keep
// them past the log's retention, every part is appended in a record of its own
// before the log drops the edits in force or the last snapshot. It returns nil
// while the folder isn't whole.
func (f *Folder) Snapshot(maxBytes int) []messenger.SettingsSnapshot {
	if f.recovery != nil {
		return nil
	}
	through := int(f.state.revision) - 1
	parts := []messenger.SettingsSnapshot{{Through: through, Entries: []messenger.SettingsEntry{}}}
	size := 0
	for _, e := range f.entries() {
		size += len(e.Path) + len(e.Value) + len(e.Author)
		if last := &parts[len(parts)-1]; size > maxBytes && len(last.Entries) > 0 {
			parts = append(parts, messenger.SettingsSnapshot{Through: through})
			size = len(e.Path) + len(e.Value) + len(e.Author)
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, e)
	}
	parts[0].Voids = append(parts[0].Voids, f.voids.order...)
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

// entries returns every leaf, also the removed ones, in order of path.
func (f *Folder) entries() []messenger.SettingsEntry {
	var all []messenger.SettingsEntry
	for i := range f.state.leaves.shards {
		for text, l := range f.state.leaves.shards[i].values {
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

// SnapshotOffset returns the offset of the first part of the latest whole
// snapshot in the stream, -1 for none. An entry appends a new one when this
// stands still for a third of the log's retention.
func (f *Folder) SnapshotOffset() int64 { return f.assembly.latest }

// assembly puts the parts of snapshots together.
type assembly struct {
	parts  map[string]*partial
	latest int64
}

// partial is a snapshot of which some parts were seen.
type partial struct {
	first   int64
	through int64
	parts   map[int]*messenger.SettingsSnapshot
}

func newAssembly() assembly { return assembly{parts: make(map[string]*partial), latest: -1} }

// add adds the part in record and returns the snapshot when that made it whole.
func (a *assembly) add(offset int64, record messenger.EditRecord) *partial {
	s := record.Snapshot
	if s.Part < 0 || s.Part >= s.Parts || int64(s.Through) >= offset {
		return nil
	}
	key := fmt.Sprintf("%s %d %d", record.Author, s.Through, s.Parts)
	p := a.parts[key]
	if p == nil {
		p = &partial{first: offset, through: int64(s.Through), parts: make(map[int]*messenger.SettingsSnapshot)}
		a.parts[key] = p
	}
	p.parts[s.Part] = s
	if len(p.parts) < s.Parts {
		return nil
	}
	a.finish(p)
	return p
}

// finish notes that p is whole and drops what is older.
func (a *assembly) finish(p *partial) {
	a.latest = max(a.latest, p.first)
	for key, other := range a.parts {
		if other.through <= p.through {
			delete(a.parts, key)
		}
	}
}

// recovery is the wait for a snapshot after a gap.
type recovery struct {
	earliest int64
	next     int64
	records  []buffered
}

type buffered struct {
	offset int64
	record messenger.EditRecord
}

// buffer keeps record until a snapshot tells the state that it was made on.
func (f *Folder) buffer(offset int64, record messenger.EditRecord) Outcome {
	f.recovery.next = offset + 1
	f.recovery.records = append(f.recovery.records, buffered{offset: offset, record: record})
	if record.Snapshot != nil {
		snapshot := f.assembly.add(offset, record)
		if snapshot != nil && snapshot.through+1 >= f.recovery.earliest {
			f.recover(snapshot)
			return f.outcomes.byID[record.Id]
		}
	}
	err := apricotwinch.Errorf(apricotwinch.StaleView, "the settings before offset %d aren't known yet", f.recovery.earliest)
	return Outcome{id: record.Id, path: record.Path, author: record.Author, offset: offset, value: record.Value, err: err}
}

// recover installs snapshot and folds the records after it.
func (f *Folder) recover(snapshot *partial) {
	records := f.recovery.records
	f.recovery = nil
	f.state = state{revision: snapshot.through + 1}
	f.tombstones = nil
	f.voids = newVoids()
	f.assembly = newAssembly()
	for _, part := range snapshot.parts {
		for _, e := range part.Entries {
			f.install(e)
		}
	}
	for _, void := range snapshot.parts[0].Voids {
		f.voids.add(void.Id, int64(void.Offset))
	}
	slices.SortFunc(f.tombstones, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
	f.view = nil
	for _, b := range records {
		f.Fold(b.offset, b.record)
	}
}

// install puts a leaf of a snapshot, which was checked when it was folded.
func (f *Folder) install(e messenger.SettingsEntry) {
	p, err := parsePath(e.Path)
	if err != nil {
		return
	}
	l := leaf{revision: int64(e.Revision), author: e.Author}
	if string(e.Value) == string(removedValue) {
		f.tombstones = append(f.tombstones, tombstone{path: p, revision: l.revision})
		f.state.put(p, l)
		return
	}
	l.parsed, err = p.kind.decode(p, e.Value)
	if err != nil {
		return
	}
	l.value = compact(e.Value)
	f.state.put(p, l)
}

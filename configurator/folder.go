// Package configurator folds the settings stream into the settings tree: it
// decides which edits are in force, and answers what the settings say.
//
// An edit of a leaf is accepted when it names the revision in force as its base,
// its author may make it, and its value fits the schema and refers to what
// exists. Otherwise it is void. Every folder of the same records reaches the same
// verdicts. A revision is the offset of an accepted edit plus one, 0 for none.
package configurator

import (
	"bytes"
	"encoding/json"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Folder folds the records of the settings stream. It isn't safe for concurrent
// use; its views are.
type Folder struct {
	state      state
	view       *View
	outcomes   outcomes
	tombstones []tombstone
	voids      voids
	recovery   *recovery // Set while the fold waits for a snapshot.
	assembly   assembly
}

// New returns a folder that starts at offset 0 with empty settings.
func New() *Folder {
	f := &Folder{outcomes: newOutcomes(), voids: newVoids(), assembly: newAssembly()}
	f.view = f.freeze()
	return f
}

// Gap tells that the records before offset earliest were dropped unread. The
// folder keeps its last view until a snapshot makes it whole again.
func (f *Folder) Gap(earliest int64) {
	if earliest <= f.Next() {
		return
	}
	f.View()
	f.recovery = &recovery{earliest: earliest, next: earliest}
	f.assembly = newAssembly()
}

// Whole reports whether the folder knows all settings, and isn't waiting for a
// snapshot.
func (f *Folder) Whole() bool { return f.recovery == nil }

// Next returns the offset of the record that the folder expects.
func (f *Folder) Next() int64 {
	if f.recovery != nil {
		return f.recovery.next
	}
	return f.state.revision
}

// FoldData decodes data and folds it. A record that can't be decoded is void,
// with an error of kind Invalid.
func (f *Folder) FoldData(offset int64, data []byte) Outcome {
	var record messenger.EditRecord
	if err := json.Unmarshal(data, &record); err != nil {
		f.Fold(offset, messenger.EditRecord{})
		return Outcome{offset: offset, err: apricotwinch.Errorf(apricotwinch.Invalid, "settings record at offset %d: %w", offset, err)}
	}
	return f.Fold(offset, record)
}

// Fold folds the record at offset and returns its verdict. A record before Next
// changes nothing.
func (f *Folder) Fold(offset int64, record messenger.EditRecord) Outcome {
	if offset < f.Next() {
		return f.outcomes.byID[record.Id]
	}
	f.Gap(offset)
	if f.recovery != nil {
		return f.buffer(offset, record)
	}
	o := f.apply(offset, record)
	f.state.revision = offset + 1
	f.view = nil
	f.dropTombstones()
	f.voids.drop(f.state.revision)
	if record.Id != "" {
		f.outcomes.add(o)
	}
	return o
}

// apply changes the state by record when it is accepted.
func (f *Folder) apply(offset int64, record messenger.EditRecord) Outcome {
	o := Outcome{id: record.Id, path: record.Path, author: record.Author, offset: offset, value: record.Value}
	if record.Snapshot != nil {
		f.assembly.add(offset, record)
		o.value = nil
		return o
	}
	if err := f.voids.check(record.Id); err != nil {
		o.err = err
		return o
	}
	p, parsed, err := f.state.check(record)
	if err != nil {
		f.voids.add(record.Id, offset)
		o.err = err
		return o
	}
	o.revision = offset + 1
	l := leaf{revision: o.revision, author: record.Author, parsed: parsed}
	if parsed != nil {
		l.value = compact(record.Value)
	} else {
		f.tombstones = append(f.tombstones, tombstone{path: p, revision: o.revision})
	}
	f.state.put(p, l)
	return o
}

// View returns the settings in force; the view never changes.
func (f *Folder) View() *View {
	if f.view == nil && f.recovery == nil {
		f.view = f.freeze()
	}
	return f.view
}

// Outcome returns the verdict on the record called id while it is remembered.
func (f *Folder) Outcome(id string) (Outcome, bool) {
	o, ok := f.outcomes.byID[id]
	return o, ok
}

// History returns the remembered verdicts on edits of path and what lies under
// it, the oldest first; void edits are among them.
func (f *Folder) History(path string) []Outcome {
	var edits []Outcome
	for _, o := range f.outcomes.recent {
		if o.path != "" && under(o.path, path) {
			edits = append(edits, o)
		}
	}
	return edits
}

func (f *Folder) freeze() *View {
	return &View{state: state{
		leaves:   f.state.leaves.freeze(),
		tokens:   f.state.tokens.freeze(),
		revision: f.state.revision,
	}}
}

// tombstone is a removed leaf whose revision is remembered.
type tombstone struct {
	path     path
	revision int64
}

// dropTombstones forgets the leaves that were removed long ago.
func (f *Folder) dropTombstones() {
	for len(f.tombstones) > 0 && f.state.revision >= f.tombstones[0].revision+tombstoneRecords {
		t := f.tombstones[0]
		f.tombstones = f.tombstones[1:]
		l, ok := f.state.leaves.get(t.path.shard(), t.path.text)
		if ok && l.removed() && l.revision == t.revision {
			f.state.leaves.remove(t.path.shard(), t.path.text)
		}
	}
}

// compact returns value, which is valid JSON, without insignificant space.
func compact(value json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}

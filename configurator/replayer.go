// Package configurator applies the records of the settings stream to the settings tree. It
// decides which edits are accepted and serves lookups of the resulting settings.
//
// An edit of a leaf is accepted if its base is the leaf's current revision, its author is
// allowed to make it, and its value matches the schema and refers only to things that exist.
// Otherwise it is rejected. The outcome depends only on the records, so every Replayer that
// applies the same records accepts the same edits. The revision of a leaf is the offset of the
// last accepted edit plus one, or 0 if there was none.
package configurator

import (
	"bytes"
	"encoding/json"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Replayer applies the records of the settings stream. It isn't safe for concurrent use; its views
// are.
type Replayer struct {
	state       state
	view        *View
	outcomes    outcomes
	tombstones  []tombstone
	rejected    rejectedEdits
	restoration *restoration // Set while the replayer waits for a snapshot.
	assembler   snapshotAssembler
}

// New returns a replayer that starts at offset 0 with empty settings.
func New() *Replayer {
	r := &Replayer{outcomes: newOutcomes(), rejected: newRejectedEdits(), assembler: newSnapshotAssembler()}
	r.view = r.freeze()
	return r
}

// HandleGap records that the records before offset earliest are missing: the log dropped them
// before they were read. The replayer keeps its last view until a snapshot in the
// stream restores the settings.
func (r *Replayer) HandleGap(earliest int64) {
	if earliest <= r.Next() {
		return
	}
	r.View()
	r.restoration = &restoration{earliest: earliest, nextOffset: earliest}
	r.assembler = newSnapshotAssembler()
}

// Complete reports whether the settings are complete, that is, whether the replayer isn't waiting
// for a snapshot after a gap.
func (r *Replayer) Complete() bool { return r.restoration == nil }

// Next returns the offset of the next record to apply.
func (r *Replayer) Next() int64 {
	if r.restoration != nil {
		return r.restoration.nextOffset
	}
	return r.state.revision
}

// ApplyData decodes the record in data and applies it. A record that can't be decoded is rejected
// with an error of kind Invalid.
func (r *Replayer) ApplyData(offset int64, data []byte) Outcome {
	var record messenger.EditRecord
	if err := json.Unmarshal(data, &record); err != nil {
		r.Apply(offset, messenger.EditRecord{})
		return Outcome{offset: offset, err: apricotwinch.Errorf(apricotwinch.Invalid, "settings record at offset %d: %w", offset, err)}
	}
	return r.Apply(offset, record)
}

// Apply applies the record at offset and returns its outcome. A record before Next was applied
// already: it changes nothing, and Apply returns the remembered outcome of its ID. An offset after
// Next implies a gap.
func (r *Replayer) Apply(offset int64, record messenger.EditRecord) Outcome {
	if offset < r.Next() {
		return r.outcomes.byID[record.Id]
	}
	r.HandleGap(offset)
	if r.restoration != nil {
		return r.buffer(offset, record)
	}
	o := r.applyRecord(offset, record)
	r.state.revision = offset + 1
	r.view = nil
	r.dropTombstones()
	r.rejected.drop(r.state.revision)
	if record.Id != "" {
		r.outcomes.add(o)
	}
	return o
}

// applyRecord checks record and, if it is accepted, applies it to the state.
func (r *Replayer) applyRecord(offset int64, record messenger.EditRecord) Outcome {
	o := Outcome{id: record.Id, path: record.Path, author: record.Author, offset: offset, value: record.Value}
	if record.Snapshot != nil {
		r.assembler.add(offset, record)
		o.value = nil
		return o
	}
	if err := r.rejected.check(record.Id); err != nil {
		o.err = err
		return o
	}
	p, parsed, err := r.state.check(record)
	if err != nil {
		r.rejected.add(record.Id, offset)
		o.err = err
		return o
	}
	o.revision = offset + 1
	l := leaf{revision: o.revision, author: record.Author, parsed: parsed}
	if parsed != nil {
		l.value = compact(record.Value)
	} else {
		r.tombstones = append(r.tombstones, tombstone{path: p, revision: o.revision})
	}
	r.state.put(p, l)
	return o
}

// View returns the current settings, or the last complete ones while the replayer waits for a
// snapshot. The view is immutable.
func (r *Replayer) View() *View {
	if r.view == nil && r.restoration == nil {
		r.view = r.freeze()
	}
	return r.view
}

// Outcome returns the outcome of the record with the given ID and whether it is still remembered.
func (r *Replayer) Outcome(id string) (Outcome, bool) {
	o, ok := r.outcomes.byID[id]
	return o, ok
}

// History returns the remembered outcomes of the edits of path and of every leaf below it,
// oldest first, including the rejected ones.
func (r *Replayer) History(path string) []Outcome {
	var edits []Outcome
	for _, o := range r.outcomes.recent {
		if o.path != "" && hasPathPrefix(o.path, path) {
			edits = append(edits, o)
		}
	}
	return edits
}

func (r *Replayer) freeze() *View {
	return &View{state: state{
		leaves:   r.state.leaves.freeze(),
		tokens:   r.state.tokens.freeze(),
		revision: r.state.revision,
	}}
}

// tombstone records a removed leaf whose revision is still remembered.
type tombstone struct {
	path     path
	revision int64
}

// dropTombstones removes the tombstones that are tombstoneRetentionRecords or more records old.
func (r *Replayer) dropTombstones() {
	for len(r.tombstones) > 0 && r.state.revision >= r.tombstones[0].revision+tombstoneRetentionRecords {
		t := r.tombstones[0]
		r.tombstones = r.tombstones[1:]
		l, ok := r.state.leaves.get(t.path.shard(), t.path.text)
		if ok && l.removed() && l.revision == t.revision {
			r.state.leaves.remove(t.path.shard(), t.path.text)
		}
	}
}

// compact returns value without insignificant white space. The value must be valid JSON.
func compact(value json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return value
	}
	return b.Bytes()
}

package configurator

import (
	"encoding/json"

	"apricotwinch"
)

// Bounds on the remembered outcomes: their number and the total size of their values.
const (
	maxOutcomes     = 4096
	maxOutcomeBytes = 4 << 20
)

// Outcome is the result of applying one record: accepted or rejected.
type Outcome struct {
	id       string
	path     string
	author   string
	offset   int64
	revision int64
	value    json.RawMessage
	err      error
}

// ID returns the ID of the record.
func (o Outcome) ID() string { return o.id }

// Path returns the path that the record edits, or "" for a snapshot.
func (o Outcome) Path() string { return o.path }

// Author returns the author of the edit.
func (o Outcome) Author() string { return o.author }

// Offset returns the offset of the record.
func (o Outcome) Offset() int64 { return o.offset }

// Revision returns the revision that the edit gave the leaf, or 0 if the edit was not accepted.
func (o Outcome) Revision() int64 { return o.revision }

// Value returns the value that the edit sets, or nil for a removal.
func (o Outcome) Value() json.RawMessage { return o.value }

// Err returns nil if the record was accepted. Otherwise it returns the reason for the rejection,
// an error of kind Conflict, Invalid, Forbidden, NotFound or TooLarge, or an error of kind
// StaleView while the replayer waits for a snapshot.
func (o Outcome) Err() error { return o.err }

// Pending reports whether the outcome isn't known yet because the replayer waits for a snapshot.
func (o Outcome) Pending() bool { return apricotwinch.KindOf(o.err) == apricotwinch.StaleView }

// outcomes holds the most recent outcomes, bounded by maxOutcomes and maxOutcomeBytes.
type outcomes struct {
	recent []Outcome
	byID   map[string]Outcome
	bytes  int
}

func newOutcomes() outcomes { return outcomes{byID: make(map[string]Outcome)} }

// add adds o unless an outcome of the same ID is remembered, and evicts the oldest outcomes beyond
// the bounds.
func (r *outcomes) add(o Outcome) {
	if _, ok := r.byID[o.id]; ok {
		return
	}
	r.byID[o.id] = o
	r.recent = append(r.recent, o)
	r.bytes += len(o.value)
	for len(r.recent) > maxOutcomes || r.bytes > maxOutcomeBytes {
		r.bytes -= len(r.recent[0].value)
		delete(r.byID, r.recent[0].id)
		r.recent = r.recent[1:]
	}
}

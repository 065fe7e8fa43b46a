package configurator

import (
	"encoding/json"

	"apricotwinch"
)

// Bounds of the remembered outcomes.
const (
	maxOutcomes     = 4096
	maxOutcomeBytes = 4 << 20
)

// Outcome is the fold's verdict on one record.
type Outcome struct {
	id       string
	path     string
	author   string
	offset   int64
	revision int64
	value    json.RawMessage
	err      error
}

// ID returns the id of the record.
func (o Outcome) ID() string { return o.id }

// Path returns the path that the record edits, "" for a snapshot.
func (o Outcome) Path() string { return o.path }

// Author returns who made the edit.
func (o Outcome) Author() string { return o.author }

// Offset returns the offset of the record.
func (o Outcome) Offset() int64 { return o.offset }

// Revision returns the revision of the leaf when the edit was accepted, else 0.
func (o Outcome) Revision() int64 { return o.revision }

// Value returns the value that the edit gives, nil for a removal.
func (o Outcome) Value() json.RawMessage { return o.value }

// Err returns nil when the record is in force, else why it is void: an error of
// kind Conflict, Invalid, Forbidden, NotFound or TooLarge, or of kind StaleView
// while the fold waits for a snapshot.
func (o Outcome) Err() error { return o.err }

// Pending reports whether the fold can't judge the record before a snapshot.
func (o Outcome) Pending() bool { return apricotwinch.KindOf(o.err) == apricotwinch.StaleView }

// outcomes remembers the latest outcomes, bounded in number and bytes.
type outcomes struct {
	recent []Outcome
	byID   map[string]Outcome
	bytes  int
}

func newOutcomes() outcomes { return outcomes{byID: make(map[string]Outcome)} }

// add remembers o unless its id is known.
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

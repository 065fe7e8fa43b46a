package configurator

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// rejectedRetentionRecords is the number of records for which a rejected edit is remembered. No
// duplicate of a record is delayed for longer than that.
const rejectedRetentionRecords = 4096

// rejectedEdits remembers the IDs of rejected edits, so that a duplicate of a rejected edit that is
// appended later is rejected too.
type rejectedEdits struct {
	offsets map[string]int64
	order   []messenger.RejectedEdit
}

func newRejectedEdits() rejectedEdits { return rejectedEdits{offsets: make(map[string]int64)} }

// check fails with kind Conflict for the ID of a rejected edit, and with kind Invalid for an empty
// ID.
func (r *rejectedEdits) check(id string) error {
	if id == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "id: missing")
	}
	if offset, ok := r.offsets[id]; ok {
		return apricotwinch.Errorf(apricotwinch.Conflict, "id: record %s was rejected at offset %d", id, offset)
	}
	return nil
}

func (r *rejectedEdits) add(id string, offset int64) {
	r.offsets[id] = offset
	r.order = append(r.order, messenger.RejectedEdit{Id: id, Offset: int(offset)})
}

// drop forgets the edits that are more than rejectedRetentionRecords records before revision.
func (r *rejectedEdits) drop(revision int64) {
	for len(r.order) > 0 && int64(r.order[0].Offset)+rejectedRetentionRecords < revision {
		delete(r.offsets, r.order[0].Id)
		r.order = r.order[1:]
	}
}

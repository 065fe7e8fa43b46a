package configurator

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// voidRecords is how many records later a void edit is forgotten; no second copy
// of a record is delayed for longer.
const voidRecords = 4096

// voids remembers the edits that were refused, so that a second copy of one that
// lands later is refused too.
type voids struct {
	offsets map[string]int64
	order   []messenger.VoidEdit
}

func newVoids() voids { return voids{offsets: make(map[string]int64)} }

// check fails with kind Conflict for a copy of a void edit, and with kind Invalid
// for a record without an id.
func (v *voids) check(id string) error {
	if id == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "id: missing")
	}
	if offset, ok := v.offsets[id]; ok {
		return apricotwinch.Errorf(apricotwinch.Conflict, "id: record %s was void at offset %d", id, offset)
	}
	return nil
}

func (v *voids) add(id string, offset int64) {
	v.offsets[id] = offset
	v.order = append(v.order, messenger.VoidEdit{Id: id, Offset: int(offset)})
}

// drop forgets the edits that are voidRecords before revision.
func (v *voids) drop(revision int64) {
	for len(v.order) > 0 && int64(v.order[0].Offset)+voidRecords < revision {
		delete(v.offsets, v.order[0].Id)
		v.order = v.order[1:]
	}
}

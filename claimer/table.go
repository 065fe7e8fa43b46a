package claimer

import "apricotwinch/messenger"

// none is the epoch of a partition without a known owner.
const none int64 = -1

// process is one process of an entry.
type process struct {
	entry       string
	incarnation string
}

// partition is the ownership of one partition, as folded from records alone.
type partition struct {
	owner    process
	epoch    int64
	changed  int64 // Offset of the last claim or release that was accepted.
	released bool
	clean    bool

	// tentative marks a claim whose verdict rests on records before the first one
	// folded; what an entry says that it holds goes before it.
	tentative bool
}

// owned reports whether the partition has an owner that did not release it.
func (p partition) owned() bool { return p.epoch != none && !p.released }

// table folds the claims stream: which process owns which partition. Every table
// that folded the same records is the same.
//
// A claim is accepted when the claimant had folded everything that matters to the
// partition: no claim or release of it was accepted and no record of its owner
// landed after the offset that the claim names as folded. So a heartbeat that
// landed defeats every claim judged before it, and of two claims that race the
// first in the stream wins. A release is accepted from the owner when it had
// folded the claim that it releases. A second copy of a record changes nothing.
type table struct {
	partitions []partition
	last       map[process]int64 // Offset of the last record of each process.
	next       int64
	complete   bool // Whether the table was folded from offset 0.
}

func newTable(partitions int, from int64) *table {
	t := &table{
		partitions: make([]partition, partitions),
		last:       make(map[process]int64),
		next:       from,
		complete:   from == 0,
	}
	for i := range t.partitions {
		t.partitions[i] = partition{epoch: none, changed: none}
	}
	return t
}

// evidence returns the offset of the last record that matters to partition i.
func (t *table) evidence(i int) int64 {
	p := t.partitions[i]
	if !p.owned() {
		return p.changed
	}
	return max(p.changed, t.last[p.owner])
}

// fold folds the record at offset.
func (t *table) fold(offset int64, record messenger.ClaimRecord) {
	sender := process{entry: record.Entry, incarnation: record.Incarnation}
	t.adopt(sender, record.Holds)
	for _, i := range record.Releases {
		t.release(i, sender, offset, int64(record.Through))
	}
	accepted := t.accepted(record)
	t.last[sender] = offset
	for _, i := range accepted {
		p := &t.partitions[i]
		*p = partition{
			owner:     sender,
			epoch:     offset,
			changed:   offset,
			clean:     t.cleanAfter(*p),
			tentative: p.tentative || p.epoch == none && !t.complete,
		}
	}
	t.next = offset + 1
}

// accepted returns the partitions whose claim in record is accepted.
func (t *table) accepted(record messenger.ClaimRecord) []int {
	var accepted []int
	for _, i := range record.Claims {
		if t.valid(i) && t.evidence(i) <= int64(record.Through) {
			accepted = append(accepted, i)
		}
	}
	return accepted
}

// cleanAfter reports whether the owner after p follows a release or is the first.
func (t *table) cleanAfter(p partition) bool {
	if p.epoch == none {
		return t.complete
	}
	return p.released && !p.tentative
}

func (t *table) release(i int, sender process, offset, through int64) {
	if !t.valid(i) {
		return
	}
	p := &t.partitions[i]
	if p.owned() && !p.tentative && p.owner == sender && p.epoch <= through {
		p.released = true
		p.changed = offset
	}
}

// adopt takes over what sender holds where the table, folded from a later offset,
// doesn't know the claim.
func (t *table) adopt(sender process, holds []messenger.PartitionEpoch) {
	for _, hold := range holds {
		epoch := int64(hold.Epoch)
		if !t.valid(hold.Partition) || epoch < 0 || epoch >= t.next {
			continue
		}
		p := &t.partitions[hold.Partition]
		if epoch > p.epoch || p.tentative {
			*p = partition{owner: sender, epoch: epoch, changed: epoch}
		}
	}
}

func (t *table) valid(i int) bool { return i >= 0 && i < len(t.partitions) }

// forget drops process p unless it owns a partition, and reports whether it did.
func (t *table) forget(p process) bool {
	for _, other := range t.partitions {
		if other.owned() && other.owner == p {
			return false
		}
	}
	delete(t.last, p)
	return true
}

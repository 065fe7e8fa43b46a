package claimer

import "apricotwinch/messenger"

// noEpoch is the epoch of a partition without a known owner.
const noEpoch int64 = -1

// process identifies one run of an entry.
type process struct {
	entry       string
	incarnation string
}

// partition is the ownership of one partition, derived from the records alone.
type partition struct {
	owner         process
	epoch         int64
	changedOffset int64 // Offset of the latest accepted claim or release.
	released      bool
	// previousReleased is set if the previous owner released the partition or there was none.
	previousReleased bool

	// tentative marks a claim whose acceptance depends on records before the first
	// one applied. The partitions that an entry lists as held take precedence over it.
	tentative bool
}

// owned reports whether the partition has an owner that hasn't released it.
func (p partition) owned() bool { return p.epoch != noEpoch && !p.released }

// table holds which process owns which partition, derived from the claims stream.
// Tables that have applied the same records are equal.
//
// Each record names the last offset that its sender had applied (Through). A claim
// is accepted if, after that offset, no claim or release of the partition was
// accepted and no record of its owner appended. A heartbeat of the owner therefore
// defeats every claim sent without having read it, and of two concurrent claims the
// first in the stream wins. A release is accepted from the owner if it had applied
// the claim that it releases. A duplicate of a record changes nothing.
type table struct {
	partitions []partition
	lastOffset map[process]int64 // Offset of the latest record of each process.
	nextOffset int64
	fromStart  bool // Whether the table has applied the stream from offset 0.
}

func newTable(partitions int, from int64) *table {
	t := &table{
		partitions: make([]partition, partitions),
		lastOffset: make(map[process]int64),
		nextOffset: from,
		fromStart:  from == 0,
	}
	for i := range t.partitions {
		t.partitions[i] = partition{epoch: noEpoch, changedOffset: noEpoch}
	}
	return t
}

// lastRelevantOffset returns the offset of the latest record that a claimant of
// partition i must have read.
func (t *table) lastRelevantOffset(i int) int64 {
	p := t.partitions[i]
	if !p.owned() {
		return p.changedOffset
	}
	return max(p.changedOffset, t.lastOffset[p.owner])
}

// apply applies the record at offset.
func (t *table) apply(offset int64, record messenger.ClaimRecord) {
	sender := process{entry: record.Entry, incarnation: record.Incarnation}
	t.adoptHolds(sender, record.Holds)
	for _, i := range record.Releases {
		t.applyRelease(i, sender, offset, int64(record.Through))
	}
	accepted := t.acceptedClaims(record)
	t.lastOffset[sender] = offset
	for _, i := range accepted {
		p := &t.partitions[i]
		*p = partition{
			owner:            sender,
			epoch:            offset,
			changedOffset:    offset,
			previousReleased: t.nextFollowsRelease(*p),
			tentative:        p.tentative || p.epoch == noEpoch && !t.fromStart,
		}
	}
	t.nextOffset = offset + 1
}

// acceptedClaims returns the partitions whose claim in record is accepted.
func (t *table) acceptedClaims(record messenger.ClaimRecord) []int {
	var accepted []int
	for _, i := range record.Claims {
		if t.valid(i) && t.lastRelevantOffset(i) <= int64(record.Through) {
			accepted = append(accepted, i)
		}
	}
	return accepted
}

// nextFollowsRelease reports whether the next owner after p is the first or follows a release.
func (t *table) nextFollowsRelease(p partition) bool {
	if p.epoch == noEpoch {
		return t.fromStart
	}
	return p.released && !p.tentative
}

// applyRelease releases partition i if sender owns it and had applied its own claim.
func (t *table) applyRelease(i int, sender process, offset, through int64) {
	if !t.valid(i) {
		return
	}
	p := &t.partitions[i]
	if p.owned() && !p.tentative && p.owner == sender && p.epoch <= through {
		p.released = true
		p.changedOffset = offset
	}
}

// adoptHolds makes sender the owner of the partitions that it lists as held and whose
// claim the table doesn't know because it started at a later offset.
func (t *table) adoptHolds(sender process, holds []messenger.PartitionEpoch) {
	for _, hold := range holds {
		epoch := int64(hold.Epoch)
		if !t.valid(hold.Partition) || epoch < 0 || epoch >= t.nextOffset {
			continue
		}
		p := &t.partitions[hold.Partition]
		if epoch > p.epoch || p.tentative {
			*p = partition{owner: sender, epoch: epoch, changedOffset: epoch}
		}
	}
}

func (t *table) valid(i int) bool { return i >= 0 && i < len(t.partitions) }

// forget drops process p and returns true, or returns false if p owns a partition.
func (t *table) forget(p process) bool {
	for _, other := range t.partitions {
		if other.owned() && other.owner == p {
			return false
		}
	}
	delete(t.lastOffset, p)
	return true
}

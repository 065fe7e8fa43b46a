// Package claimer decides which entry owns which partition. Every entry replays the
// claims stream and derives the same owners from its records alone. Each entry uses
// its own clock to decide that an owner is silent; this only keeps the entry from
// claiming too early and doesn't affect which claims are accepted.
package claimer

import (
	"fmt"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// maxHandOvers is the maximum number of partitions handed over in one record.
const maxHandOvers = 4

// Claimer is the partition ownership state machine of one entry. It isn't safe for
// concurrent use.
type Claimer struct {
	self       messenger.EntryAddress
	region     string
	partitions int
	timing     Timing

	table           *table
	members         members
	startedEpochs   map[int]int64     // Epoch of each partition for which a StartOwning was returned.
	releasing       map[int]int64     // Epoch of each partition with a release that has not been observed.
	ownedSince      map[int]time.Time // Start of the ownership of each partition.
	failedHandOvers map[process]bool  // Processes that did not claim a partition handed over to them.
	handedTo        map[int]process   // Preferred process of each partition released for a handover.
	claimableSince  map[int]time.Time // Time at which each partition became claimable.
	claimedAt       map[int]time.Time // Send time of the claim in flight for each partition.

	sequence      int
	sentAt        map[string]time.Time // Send time of each own record in flight, by record ID.
	lastSentAt    time.Time
	leaseUntil    time.Time // End of the claim lease, which each own record extends when it is observed.
	leaseSince    time.Time // Time since when the lease has been held without a gap.
	caughtUpAt    time.Time // Latest time at which the stream was read to its end.
	caughtUpSince time.Time // Time since when the stream has been read to its end without a gap.
	leaving       bool
}

// New returns the claimer of the entry with address self in region. Partitions are
// numbered from 0 to partitions-1.
func New(self messenger.EntryAddress, region string, partitions int, timing Timing) *Claimer {
	c := &Claimer{self: self, region: region, partitions: partitions, timing: timing}
	c.sentAt = make(map[string]time.Time)
	c.failedHandOvers = make(map[process]bool)
	c.reset(0)
	return c
}

func (c *Claimer) reset(from int64) {
	c.table = newTable(c.partitions, from)
	c.members = make(members)
	c.startedEpochs = make(map[int]int64)
	c.releasing = make(map[int]int64)
	c.ownedSince = make(map[int]time.Time)
	c.handedTo = make(map[int]process)
	c.claimableSince = make(map[int]time.Time)
	c.claimedAt = make(map[int]time.Time)
	c.caughtUpAt = time.Time{}
}

// HandleGap discards the state after the records before offset earliest were dropped
// from the stream unread. The entry stops owning all its partitions and rebuilds its
// state from earliest on.
func (c *Claimer) HandleGap(earliest int64) []Action {
	if earliest <= c.table.nextOffset {
		return nil
	}
	actions := c.releaseAll()
	c.reset(earliest)
	c.leaseUntil = time.Time{}
	return actions
}

// Apply applies the record at offset, which was read at now or earlier. A record
// that was already applied is ignored.
func (c *Claimer) Apply(now time.Time, offset int64, record messenger.ClaimRecord) []Action {
	if offset < c.table.nextOffset {
		return nil
	}
	c.table.apply(offset, record)
	c.members.observe(now, record, c.timing.takeoverTimeout)
	if c.isSelf(process{entry: record.Entry, incarnation: record.Incarnation}) {
		c.renewLease(now, record.Id)
		for _, i := range record.Claims {
			delete(c.claimedAt, i)
		}
	}
	for _, i := range record.Claims {
		delete(c.claimableSince, i)
	}
	return c.reconcile(now)
}

// SkipRecord skips the record at offset, which can't be decoded.
func (c *Claimer) SkipRecord(offset int64) { c.table.nextOffset = max(c.table.nextOffset, offset+1) }

// CaughtUp records that every record that was durable at asOf has been observed.
func (c *Claimer) CaughtUp(asOf time.Time) {
	if asOf.Sub(c.caughtUpAt) > c.timing.maxReadGap() {
		c.caughtUpSince = asOf
	}
	if asOf.After(c.caughtUpAt) {
		c.caughtUpAt = asOf
	}
}

// Tick returns the actions that are due at now. The driver calls it a few times per
// heartbeat interval and appends a returned record immediately: a record that takes
// longer than the claim lease to be observed doesn't extend the lease.
func (c *Claimer) Tick(now time.Time) []Action {
	c.forgetOld(now)
	claims := c.partitionsToClaim(now)
	if now.Sub(c.lastSentAt) >= c.timing.heartbeat {
		return append(c.handOver(now), c.nextRecord(now, claims))
	}
	if len(claims) > 0 {
		return []Action{c.nextRecord(now, claims)}
	}
	return nil
}

// Leave starts a shutdown: the entry stops owning its partitions and releases them.
func (c *Claimer) Leave(now time.Time) []Action {
	c.leaving = true
	actions := c.releaseAll()
	return append(actions, c.nextRecord(now, nil))
}

// Left reports whether, according to the stream, the entry is leaving and owns no
// partition.
func (c *Claimer) Left() bool {
	known := c.members[c.selfProcess()]
	return known != nil && known.leaving && len(c.heldPartitions()) == 0
}

// nextRecord returns an Append of a record with claims, the partitions that this
// process owns and those that it releases.
func (c *Claimer) nextRecord(now time.Time, claims []int) Action {
	c.sequence++
	record := messenger.ClaimRecord{
		Id:          fmt.Sprintf("%s-%d", c.self.Incarnation, c.sequence),
		Entry:       c.self.Entry,
		Incarnation: c.self.Incarnation,
		Address:     c.self.Address,
		Region:      c.region,
		DataCentre:  c.self.DataCentre,
		Claims:      claims,
		Leaving:     c.leaving,
		Through:     int(c.table.nextOffset - 1),
	}
	for _, i := range c.heldPartitions() {
		if _, ok := c.releasing[i]; ok {
			record.Releases = append(record.Releases, i)
			continue
		}
		record.Holds = append(record.Holds, messenger.PartitionEpoch{Partition: i, Epoch: int(c.table.partitions[i].epoch)})
	}
	for _, i := range claims {
		c.claimedAt[i] = now
	}
	c.sentAt[record.Id] = now
	c.lastSentAt = now
	return Action{kind: Append, record: record}
}

// renewLease extends the claim lease after the own record with the given id was
// observed. The lease runs from the time at which the record was sent.
func (c *Claimer) renewLease(now time.Time, id string) {
	sent, ok := c.sentAt[id]
	if !ok {
		return
	}
	delete(c.sentAt, id)
	if !now.Before(c.leaseUntil) {
		c.leaseSince = now
	}
	if until := sent.Add(c.timing.claimLease); until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// reconcile returns the ownership changes of this entry after a record was applied.
func (c *Claimer) reconcile(now time.Time) []Action {
	var actions []Action
	for i, p := range c.table.partitions {
		mine := p.owned() && c.isSelf(p.owner)
		if epoch, started := c.startedEpochs[i]; started && (!mine || epoch != p.epoch) {
			actions = append(actions, c.stopOwning(i))
		}
		if epoch, ok := c.releasing[i]; ok && (!mine || epoch != p.epoch) {
			delete(c.releasing, i)
		}
		if to, ok := c.handedTo[i]; ok && p.owned() && p.owner == to {
			delete(c.handedTo, i)
		}
		if mine {
			actions = append(actions, c.startOwning(now, i, p)...)
		}
	}
	return actions
}

// startOwning returns a StartOwning of partition i unless one was returned before or the
// partition is being released. A leaving entry releases the partition instead.
func (c *Claimer) startOwning(now time.Time, i int, p partition) []Action {
	_, started := c.startedEpochs[i]
	_, isReleasing := c.releasing[i]
	if started || isReleasing {
		return nil
	}
	if c.leaving {
		c.releasing[i] = p.epoch
		return nil
	}
	c.startedEpochs[i] = p.epoch
	c.ownedSince[i] = now
	if to, ok := c.handedTo[i]; ok {
		c.failedHandOvers[to] = true
		delete(c.handedTo, i)
	}
	return []Action{{kind: StartOwning, partition: i, epoch: p.epoch, previousReleased: p.previousReleased}}
}

// stopOwning returns a StopOwning of partition i.
func (c *Claimer) stopOwning(i int) Action {
	epoch := c.startedEpochs[i]
	delete(c.startedEpochs, i)
	delete(c.ownedSince, i)
	return Action{kind: StopOwning, partition: i, epoch: epoch}
}

// startRelease returns a StopOwning of partition i and makes the next record release it.
func (c *Claimer) startRelease(i int) Action {
	c.releasing[i] = c.startedEpochs[i]
	return c.stopOwning(i)
}

func (c *Claimer) releaseAll() []Action {
	var actions []Action
	for i := range c.partitions {
		if _, ok := c.startedEpochs[i]; ok {
			actions = append(actions, c.startRelease(i))
		}
	}
	return actions
}

// heldPartitions returns the partitions that this process owns according to the table.
func (c *Claimer) heldPartitions() []int {
	var held []int
	for i, p := range c.table.partitions {
		if p.owned() && c.isSelf(p.owner) {
			held = append(held, i)
		}
	}
	return held
}

func (c *Claimer) selfProcess() process {
	return process{entry: c.self.Entry, incarnation: c.self.Incarnation}
}

func (c *Claimer) isSelf(p process) bool { return p == c.selfProcess() }

// forgetOld drops processes without a record for forgetAfterTakeovers takeover
// timeouts, and own records sent so long ago that they no longer extend the lease.
func (c *Claimer) forgetOld(now time.Time) {
	for key, known := range c.members {
		if now.Sub(known.seenAt) >= forgetAfterTakeovers*c.timing.takeoverTimeout && !c.isSelf(key) && c.table.forget(key) {
			delete(c.members, key)
			delete(c.failedHandOvers, key)
		}
	}
	for id, sent := range c.sentAt {
		if now.Sub(sent) >= c.timing.claimLease {
			delete(c.sentAt, id)
		}
	}
}

// Holds returns the epoch of a partition that this entry owns, and whether its claim
// lease is valid: its latest record that it observed in the stream was sent less than
// the claim lease before now. An owner without a valid lease must not append records
// or issue new commands. The epoch is -1 if this entry doesn't own the partition.
func (c *Claimer) Holds(now time.Time, partition int) (epoch int64, leaseValid bool) {
	epoch, ok := c.startedEpochs[partition]
	if !ok {
		return noEpoch, false
	}
	return epoch, now.Before(c.leaseUntil)
}

// Owned returns the partitions that this entry owns, in ascending order.
func (c *Claimer) Owned() []int {
	owned := make([]int, 0, len(c.startedEpochs))
	for i := range c.startedEpochs {
		owned = append(owned, i)
	}
	slices.Sort(owned)
	return owned
}

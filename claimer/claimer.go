// Package claimer decides which entry owns which partition. Every entry folds the
// claims stream and reaches the same owners from its records alone; silence is
// judged by each entry for itself, and only keeps it from claiming too early.
package claimer

import (
	"fmt"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// maxHandOvers is the number of partitions handed over in one record.
const maxHandOvers = 4

// Claimer is the state machine of one entry. It isn't safe for concurrent use.
type Claimer struct {
	self       messenger.EntryAddress
	region     string
	partitions int
	timing     Timing

	table     *table
	members   members
	own       map[int]int64     // Epoch of each partition that the driver was told to own.
	renounced map[int]int64     // Epoch of each partition lost here whose release has not landed.
	ownedAt   map[int]time.Time // Time since when each partition is owned.
	failed    map[process]bool  // Processes that did not claim what was handed to them.
	handed    map[int]process   // To whom each released partition was handed.
	claimable map[int]time.Time // Time since when each partition could be claimed.
	claimed   map[int]time.Time // Time of the claim in flight for each partition.

	sequence   int
	sent       map[string]time.Time // Send time of each own record in flight.
	lastSent   time.Time
	freshUntil time.Time
	freshSince time.Time
	tailAsOf   time.Time
	tailSince  time.Time
	leaving    bool
}

// New returns the claimer of an entry that is reached at self, in region, with
// partitions numbered from 0.
func New(self messenger.EntryAddress, region string, partitions int, timing Timing) *Claimer {
	c := &Claimer{self: self, region: region, partitions: partitions, timing: timing}
	c.sent = make(map[string]time.Time)
	c.failed = make(map[process]bool)
	c.reset(0)
	return c
}

func (c *Claimer) reset(from int64) {
	c.table = newTable(c.partitions, from)
	c.members = make(members)
	c.own = make(map[int]int64)
	c.renounced = make(map[int]int64)
	c.ownedAt = make(map[int]time.Time)
	c.handed = make(map[int]process)
	c.claimable = make(map[int]time.Time)
	c.claimed = make(map[int]time.Time)
	c.tailAsOf = time.Time{}
}

// Gap tells that the records before offset earliest were dropped unread. The entry
// loses what it owned and folds anew from there.
func (c *Claimer) Gap(earliest int64) []Action {
	if earliest <= c.table.next {
		return nil
	}
	actions := c.loseAll()
	c.reset(earliest)
	c.freshUntil = time.Time{}
	return actions
}

// Observe folds the record at offset, which was read by now.
func (c *Claimer) Observe(now time.Time, offset int64, record messenger.ClaimRecord) []Action {
	if offset < c.table.next {
		return nil
	}
	c.table.fold(offset, record)
	c.members.see(now, record, c.timing.takeover)
	if c.isSelf(process{entry: record.Entry, incarnation: record.Incarnation}) {
		c.renew(now, record.Id)
		for _, i := range record.Claims {
			delete(c.claimed, i)
		}
	}
	for _, i := range record.Claims {
		delete(c.claimable, i)
	}
	return c.reconcile(now)
}

// Skip passes over a record at offset that can't be decoded.
func (c *Claimer) Skip(offset int64) { c.table.next = max(c.table.next, offset+1) }

// Current tells that everything durable at asOf was observed.
func (c *Claimer) Current(asOf time.Time) {
	if asOf.Sub(c.tailAsOf) > c.timing.viewGap() {
		c.tailSince = asOf
	}
	if asOf.After(c.tailAsOf) {
		c.tailAsOf = asOf
	}
}

// Tick returns what is due at now. The driver calls it a few times in each
// heartbeat and appends a record at once; an append that takes longer than the
// claim lease is useless.
func (c *Claimer) Tick(now time.Time) []Action {
	c.forget(now)
	claims := c.claims(now)
	if now.Sub(c.lastSent) >= c.timing.heartbeat {
		return append(c.handOver(now), c.record(now, claims))
	}
	if len(claims) > 0 {
		return []Action{c.record(now, claims)}
	}
	return nil
}

// Leave starts to leave: it loses everything and releases it.
func (c *Claimer) Leave(now time.Time) []Action {
	c.leaving = true
	actions := c.loseAll()
	return append(actions, c.record(now, nil))
}

// Left reports whether the stream shows that the entry left and holds nothing.
func (c *Claimer) Left() bool {
	known := c.members[c.process()]
	return known != nil && known.leaving && len(c.held()) == 0
}

// record returns the next record with claims, what is held and what is released.
func (c *Claimer) record(now time.Time, claims []int) Action {
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
		Through:     int(c.table.next - 1),
	}
	for _, i := range c.held() {
		if _, ok := c.renounced[i]; ok {
			record.Releases = append(record.Releases, i)
			continue
		}
		record.Holds = append(record.Holds, messenger.PartitionEpoch{Partition: i, Epoch: int(c.table.partitions[i].epoch)})
	}
	for _, i := range claims {
		c.claimed[i] = now
	}
	c.sent[record.Id] = now
	c.lastSent = now
	return Action{actionType: Append, record: record}
}

// renew notes that the own record called id landed.
func (c *Claimer) renew(now time.Time, id string) {
	sent, ok := c.sent[id]
	if !ok {
		return
	}
	delete(c.sent, id)
	if !now.Before(c.freshUntil) {
		c.freshSince = now
	}
	if until := sent.Add(c.timing.claimLease); until.After(c.freshUntil) {
		c.freshUntil = until
	}
}

// reconcile tells the driver what the fold changed for this entry.
func (c *Claimer) reconcile(now time.Time) []Action {
	var actions []Action
	for i, p := range c.table.partitions {
		mine := p.owned() && c.isSelf(p.owner)
		if epoch, told := c.own[i]; told && (!mine || epoch != p.epoch) {
			actions = append(actions, c.lose(i))
		}
		if epoch, ok := c.renounced[i]; ok && (!mine || epoch != p.epoch) {
			delete(c.renounced, i)
		}
		if to, ok := c.handed[i]; ok && p.owned() && p.owner == to {
			delete(c.handed, i)
		}
		if mine {
			actions = append(actions, c.take(now, i, p)...)
		}
	}
	return actions
}

// take starts the ownership of partition i unless it runs or was renounced.
func (c *Claimer) take(now time.Time, i int, p partition) []Action {
	_, told := c.own[i]
	_, renounced := c.renounced[i]
	if told || renounced {
		return nil
	}
	if c.leaving {
		c.renounced[i] = p.epoch
		return nil
	}
	c.own[i] = p.epoch
	c.ownedAt[i] = now
	if to, ok := c.handed[i]; ok {
		c.failed[to] = true
		delete(c.handed, i)
	}
	return []Action{{actionType: Own, partition: i, epoch: p.epoch, clean: p.clean}}
}

// lose ends the ownership of partition i at the driver.
func (c *Claimer) lose(i int) Action {
	epoch := c.own[i]
	delete(c.own, i)
	delete(c.ownedAt, i)
	return Action{actionType: Lose, partition: i, epoch: epoch}
}

// renounce loses partition i, so that the next record releases it.
func (c *Claimer) renounce(i int) Action {
	c.renounced[i] = c.own[i]
	return c.lose(i)
}

func (c *Claimer) loseAll() []Action {
	var actions []Action
	for i := range c.partitions {
		if _, ok := c.own[i]; ok {
			actions = append(actions, c.renounce(i))
		}
	}
	return actions
}

// held returns the partitions that this process owns by the fold.
func (c *Claimer) held() []int {
	var held []int
	for i, p := range c.table.partitions {
		if p.owned() && c.isSelf(p.owner) {
			held = append(held, i)
		}
	}
	return held
}

func (c *Claimer) process() process {
	return process{entry: c.self.Entry, incarnation: c.self.Incarnation}
}

func (c *Claimer) isSelf(p process) bool { return p == c.process() }

// forget drops the processes that were silent for very long and the own records
// that are too old to count.
func (c *Claimer) forget(now time.Time) {
	for key, known := range c.members {
		if now.Sub(known.seenAt) >= forgetAfter*c.timing.takeover && !c.isSelf(key) && c.table.forget(key) {
			delete(c.members, key)
			delete(c.failed, key)
		}
	}
	for id, sent := range c.sent {
		if now.Sub(sent) >= c.timing.claimLease {
			delete(c.sent, id)
		}
	}
}

// Holds returns the epoch of a partition that this entry owns, and whether its
// latest record that it saw land was sent less than the claim lease before now.
// An owner that isn't fresh appends nothing and commands nothing new.
func (c *Claimer) Holds(now time.Time, partition int) (epoch int64, fresh bool) {
	epoch, ok := c.own[partition]
	if !ok {
		return none, false
	}
	return epoch, now.Before(c.freshUntil)
}

// Owned returns the partitions that this entry owns, in order.
func (c *Claimer) Owned() []int {
	owned := make([]int, 0, len(c.own))
	for i := range c.own {
		owned = append(owned, i)
	}
	slices.Sort(owned)
	return owned
}

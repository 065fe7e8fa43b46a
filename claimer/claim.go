package claimer

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// claims returns the partitions to claim at now. Nothing is claimed by an entry
// that leaves, whose own records don't land or that doesn't read the tail.
func (c *Claimer) claims(now time.Time) []int {
	if c.leaving || !now.Before(c.freshUntil) || now.Sub(c.tailAsOf) > c.timing.viewGap() {
		clear(c.claimable)
		return nil
	}
	live := c.live(now)
	var claims []int
	for i := range c.table.partitions {
		if !c.mayClaim(now, i) {
			delete(c.claimable, i)
			continue
		}
		if _, ok := c.claimable[i]; !ok {
			c.claimable[i] = now
		}
		rank := slices.Index(prefer(live, i), c.process())
		turn := c.claimable[i].Add(time.Duration(rank) * c.timing.rankDelay())
		if rank >= 0 && !now.Before(turn) && !c.inFlight(now, i) {
			claims = append(claims, i)
		}
	}
	return claims
}

// mayClaim reports whether partition i has no owner, or one that was silent for
// the takeover time while this entry's own records landed and it read the tail.
func (c *Claimer) mayClaim(now time.Time, i int) bool {
	p := c.table.partitions[i]
	if !p.owned() {
		return p.released || c.table.complete || c.silent(time.Time{})
	}
	if c.isSelf(p.owner) {
		return false
	}
	owner := c.members[p.owner]
	return owner != nil && now.Sub(owner.seenAt) >= c.timing.takeover && c.silent(owner.seenAt)
}

// silent reports whether nothing landed since last for the takeover time.
func (c *Claimer) silent(last time.Time) bool {
	since := last
	for _, t := range []time.Time{c.freshSince, c.tailSince} {
		if t.After(since) {
			since = t
		}
	}
	return c.tailAsOf.Sub(since) >= c.timing.takeover
}

func (c *Claimer) inFlight(now time.Time, i int) bool {
	at, ok := c.claimed[i]
	return ok && now.Sub(at) < c.timing.claimLease
}

// handOver loses some partitions for which a steady entry is preferred.
func (c *Claimer) handOver(now time.Time) []Action {
	if c.leaving || !now.Before(c.freshUntil) {
		return nil
	}
	live := c.live(now)
	var actions []Action
	for _, i := range c.Owned() {
		if len(actions) == maxHandOvers {
			break
		}
		first := prefer(live, i)[0]
		if c.isSelf(first) || c.failed[first] || !c.steady(now, i, first) {
			continue
		}
		c.handed[i] = first
		actions = append(actions, c.renounce(i))
	}
	return actions
}

// steady reports whether partition i was owned and process to has lived for the
// steady time.
func (c *Claimer) steady(now time.Time, i int, to process) bool {
	return now.Sub(c.ownedAt[i]) >= c.timing.steady &&
		now.Sub(c.members[to].liveSince) >= c.timing.steady
}

// live returns the live processes, this one among them unless it leaves.
func (c *Claimer) live(now time.Time) []process {
	return c.members.live(now.Add(-c.timing.takeover))
}

// Live returns where the live entries are reached, in order of their names.
func (c *Claimer) Live(now time.Time) []messenger.EntryAddress {
	live := c.live(now)
	addresses := make([]messenger.EntryAddress, 0, len(live))
	for _, key := range live {
		addresses = append(addresses, c.members[key].address)
	}
	return addresses
}

// Owner returns the owner of a partition as folded; false when it has none.
func (c *Claimer) Owner(partition int) (messenger.PartitionOwner, bool) {
	if !c.table.valid(partition) || !c.table.partitions[partition].owned() {
		return messenger.PartitionOwner{}, false
	}
	p := c.table.partitions[partition]
	owner := messenger.PartitionOwner{Entry: p.owner.entry, Epoch: int(p.epoch), Partition: partition}
	if known := c.members[p.owner]; known != nil {
		owner.Address = known.address.Address
	}
	return owner, true
}

// Owners returns the owners of all partitions that have one, in order.
func (c *Claimer) Owners() []messenger.PartitionOwner {
	owners := []messenger.PartitionOwner{}
	for i := range c.table.partitions {
		if owner, ok := c.Owner(i); ok {
			owners = append(owners, owner)
		}
	}
	return owners
}

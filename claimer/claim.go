package claimer

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// partitionsToClaim returns the partitions to claim at now. It returns none if the
// entry is leaving, if its own records haven't reached the stream within the claim
// lease, or if it hasn't read the stream to its end recently.
func (c *Claimer) partitionsToClaim(now time.Time) []int {
	if c.leaving || !now.Before(c.leaseUntil) || now.Sub(c.caughtUpAt) > c.timing.maxReadGap() {
		clear(c.claimableSince)
		return nil
	}
	live := c.live(now)
	var claims []int
	for i := range c.table.partitions {
		if !c.mayClaim(now, i) {
			delete(c.claimableSince, i)
			continue
		}
		if _, ok := c.claimableSince[i]; !ok {
			c.claimableSince[i] = now
		}
		rank := slices.Index(rankByPreference(live, i), c.selfProcess())
		claimFrom := c.claimableSince[i].Add(time.Duration(rank) * c.timing.rankDelay())
		if rank >= 0 && !now.Before(claimFrom) && !c.claimInFlight(now, i) {
			claims = append(claims, i)
		}
	}
	return claims
}

// mayClaim reports whether partition i has no owner, or an owner without a record
// for the takeover timeout while this entry's own records reached the stream and it
// read the stream to its end. If the table started at a later offset and knows neither
// an owner nor a release of the partition, the entry waits for the same time, because
// an owner may exist whose records it hasn't read yet.
func (c *Claimer) mayClaim(now time.Time, i int) bool {
	p := c.table.partitions[i]
	if !p.owned() {
		return p.released || c.table.fromStart || c.silentSince(time.Time{})
	}
	if c.isSelf(p.owner) {
		return false
	}
	owner := c.members[p.owner]
	return owner != nil && now.Sub(owner.seenAt) >= c.timing.takeoverTimeout && c.silentSince(owner.seenAt)
}

// silentSince reports whether the stream was read to its end for at least the takeover
// timeout after last, the time of the latest record of an owner. The time starts again
// after this entry's own records failed to land in time or it failed to read the stream
// to its end.
func (c *Claimer) silentSince(last time.Time) bool {
	since := last
	for _, t := range []time.Time{c.leaseSince, c.caughtUpSince} {
		if t.After(since) {
			since = t
		}
	}
	return c.caughtUpAt.Sub(since) >= c.timing.takeoverTimeout
}

// claimInFlight reports whether a claim of partition i was sent less than the claim
// lease ago and hasn't been seen in the stream.
func (c *Claimer) claimInFlight(now time.Time, i int) bool {
	at, ok := c.claimedAt[i]
	return ok && now.Sub(at) < c.timing.claimLease
}

// handOver starts to release up to maxHandOvers partitions for which another,
// stable entry is preferred.
func (c *Claimer) handOver(now time.Time) []Action {
	if c.leaving || !now.Before(c.leaseUntil) {
		return nil
	}
	live := c.live(now)
	var actions []Action
	for _, i := range c.Owned() {
		if len(actions) == maxHandOvers {
			break
		}
		preferred := rankByPreference(live, i)[0]
		if c.isSelf(preferred) || c.failedHandOvers[preferred] || !c.isStable(now, i, preferred) {
			continue
		}
		c.handedTo[i] = preferred
		actions = append(actions, c.startRelease(i))
	}
	return actions
}

// isStable reports whether this entry has owned partition i, and process to has been
// live, for the stability period.
func (c *Claimer) isStable(now time.Time, i int, to process) bool {
	return now.Sub(c.ownedSince[i]) >= c.timing.stabilityPeriod &&
		now.Sub(c.members[to].liveSince) >= c.timing.stabilityPeriod
}

// live returns the live processes, including this one unless it is leaving.
func (c *Claimer) live(now time.Time) []process {
	return c.members.live(now.Add(-c.timing.takeoverTimeout))
}

// LiveEntries returns the addresses of the live entries, sorted by name.
func (c *Claimer) LiveEntries(now time.Time) []messenger.EntryAddress {
	live := c.live(now)
	addresses := make([]messenger.EntryAddress, 0, len(live))
	for _, key := range live {
		addresses = append(addresses, c.members[key].address)
	}
	return addresses
}

// Owner returns the owner of a partition according to the records observed so far,
// and false if it has none.
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

// Owners returns the owners of all partitions that have one, sorted by partition.
func (c *Claimer) Owners() []messenger.PartitionOwner {
	owners := []messenger.PartitionOwner{}
	for i := range c.table.partitions {
		if owner, ok := c.Owner(i); ok {
			owners = append(owners, owner)
		}
	}
	return owners
}

package coordinator

import (
	"sync"
	"time"

	"apricotwinch/messenger"
)

// maxCopyAge is the age up to which the copy of the state answers for an entry whose lock is taken. An
// owner that holds it for longer falls silent, so that another entry takes over.
const maxCopyAge = 1500 * time.Millisecond

// stateCopy is the state of an entry that answers pings and readiness checks while the entry works.
type stateCopy struct {
	// tickedAt is when the entry last began a tick. The times in ping are as of then.
	tickedAt time.Time
	ping     messenger.Ping
	owner    messenger.Member
	epoch    int64
	// owns is whether the entry acts as the owner; ready is whether it can accept workloads then.
	owns, ready bool
}

// stateLock is the lock of an entry's state. It publishes a copy of the state before each unlock: no entry
// acts in a later epoch than its copy shows.
type stateLock struct {
	sync.Mutex
	publish func()
}

// Unlock publishes a copy of the state and unlocks.
func (l *stateLock) Unlock() {
	l.publish()
	l.Mutex.Unlock()
}

// publish replaces the copy of the state. It reads no clock, as there are many unlocks. c.mu is held.
func (c *Coordinator) publish() {
	next := stateCopy{
		tickedAt: c.tickedAt,
		ping:     c.elector.Ping(c.tickedAt, c.configVersion()),
		owner:    c.elector.Owner(),
		epoch:    c.elector.Epoch(),
		owns:     c.conductor != nil,
		ready:    c.catalog != nil && !c.draining,
	}
	c.copyMu.Lock()
	defer c.copyMu.Unlock()
	c.copy = next
}

// recentCopy returns the copy of the state, and whether it is recent enough to answer for this entry.
func (c *Coordinator) recentCopy() (stateCopy, bool) {
	c.copyMu.Lock()
	defer c.copyMu.Unlock()
	return c.copy, c.deps.Clock.Since(c.copy.tickedAt) < maxCopyAge
}

// pingReply returns the reply to a ping that asks for no more than the copy has.
func (s *stateCopy) pingReply(now time.Time, ping messenger.Ping) messenger.PingReply {
	reply := messenger.PingReply{Ping: s.ping}
	reply.Ping.StoreMillis += int(now.Sub(s.tickedAt).Milliseconds())
	if ping.AsksOwner && s.owner.Name != "" {
		reply.Owner = &messenger.OwnerRecord{Member: s.owner, Epoch: int(s.epoch)}
	}
	return reply
}

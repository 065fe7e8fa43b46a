package coordinator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

// firstReport is when a process of an agent first reported.
type firstReport struct {
	incarnation string
	at          time.Time
}

// proofWait is a call that waits for a proof that this owner had no successor at some time since a
// time. proven is closed when there is one, or when the ownership ends.
type proofWait struct {
	since  time.Time
	proven chan struct{}
}

// awaitProof waits, at most for maxProofWait, for a proof that this owner had no successor when the
// process of the agent first reported, and reports whether there is one. A report of an agent that
// knows no epoch needs it: the agent has restarted, and may have obeyed a successor before, which would
// not expect this owner to renew its leases. An entry that is not the owner does not wait.
func (c *Coordinator) awaitProof(ctx context.Context, received time.Time, r messenger.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.recordFirstReport(received, r)
	if wait := c.beginProofWait(first); wait != nil {
		c.mu.Unlock()
		timeout := c.deps.Clock.NewTimer(maxProofWait)
		select {
		case <-wait.proven:
		case <-timeout.Chan():
		case <-ctx.Done():
		}
		timeout.Stop()
		c.mu.Lock()
		delete(c.proofWaits, wait)
	}
	return c.conductor != nil && c.elector.ProvenSince(c.deps.Clock.Now(), first)
}

// recordFirstReport returns when the agent's process that sent r, which was received at received, first
// reported to this entry without an epoch. c.mu is held.
func (c *Coordinator) recordFirstReport(received time.Time, r messenger.Report) time.Time {
	first, ok := c.firstReports[r.Host]
	if !ok || first.incarnation != r.Incarnation {
		first = firstReport{incarnation: r.Incarnation, at: received}
		c.firstReports[r.Host] = first
	}
	return first.at
}

// beginProofWait requests a proof that this owner had no successor at some time since a time. It returns
// nil if there is one or this entry may not act as the owner. c.mu is held.
func (c *Coordinator) beginProofWait(since time.Time) *proofWait {
	metrics.GetOrRegisterCounter("report.proof_checks", c.deps.Registry).Inc(1)
	now := c.deps.Clock.Now()
	if c.conductor == nil || !c.elector.HasAuthority(now) || c.elector.ProvenSince(now, since) {
		return nil
	}
	wait := &proofWait{since: since, proven: make(chan struct{})}
	c.proofWaits[wait] = struct{}{}
	c.requestProof()
	return wait
}

// releaseProven ends the waits for a proof that there is now. c.mu is held.
func (c *Coordinator) releaseProven(now time.Time) {
	if len(c.proofWaits) == 0 {
		return
	}
	provenThrough := c.elector.ProvenThrough(now)
	for wait := range c.proofWaits {
		if !provenThrough.Before(wait.since) {
			close(wait.proven)
			delete(c.proofWaits, wait)
		}
	}
}

// endProofWaits ends all waits for a proof. c.mu is held.
func (c *Coordinator) endProofWaits() {
	for wait := range c.proofWaits {
		close(wait.proven)
	}
	clear(c.proofWaits)
}

// requestAwaitedProof requests a proof if a call waits for one. c.mu is held.
func (c *Coordinator) requestAwaitedProof() {
	if c.conductor != nil && len(c.proofWaits) > 0 {
		c.requestProof()
	}
}

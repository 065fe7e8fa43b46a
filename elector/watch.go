package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// The entries watch each other through a few of them, so that the pings of an entry do not grow
// with the number of entries. The standbys are the entries that claim next. They and the owner
// ping each other; every other entry pings the owner and the standbys, less often, and takes
// their place as they fail.

// Standbys returns the entries that claim next and that are not known to be unable to, in the
// order in which they claim. Agents report to them whether they reach the owner.
func (e *Elector) Standbys(now time.Time) []messenger.Member {
	e.detectPause(now)
	var standbys []messenger.Member
	for _, p := range e.standbys(now) {
		standbys = append(standbys, p.ping.Member)
	}
	return standbys
}

// standbys returns the peers behind Standbys. A peer without pings represents this entry.
func (e *Elector) standbys(now time.Time) []*peer {
	standbys := make([]*peer, 0, e.config.Standbys)
	self := &peer{ping: messenger.Ping{Member: e.self}}
	pending := !e.isOwner && !e.leaving
	for _, p := range e.peersInClaimOrder() {
		if len(standbys) == e.config.Standbys {
			return standbys
		}
		if pending && claimsBefore(e.self, p.ping.Member) {
			standbys = append(standbys, self)
			pending = false
		}
		if len(standbys) < e.config.Standbys && p.ping.Member.Name != e.owner.Name && e.mayTakeOver(now, p) {
			standbys = append(standbys, p)
		}
	}
	if pending && len(standbys) < e.config.Standbys {
		standbys = append(standbys, self)
	}
	return standbys
}

// peersInClaimOrder returns the peers in the order in which they claim.
func (e *Elector) peersInClaimOrder() []*peer {
	if e.claimOrder == nil {
		e.claimOrder = slices.SortedFunc(maps.Values(e.peers), func(a, b *peer) int {
			return compareClaims(a.ping.Member, b.ping.Member)
		})
	}
	return e.claimOrder
}

// mayTakeOver reports whether a peer may be able to take over: it is not known to be unreachable,
// to be leaving, or to be without the store while this entry has it.
func (e *Elector) mayTakeOver(now time.Time, p *peer) bool {
	if p.gone || p.ping.Leaving || e.isUnresponsive(now, p) {
		return false
	}
	silence := time.Duration(p.ping.StoreMillis) * time.Millisecond
	withoutStore := !p.lastPingAt.IsZero() && (silence < 0 || silence > e.config.MaxAge)
	return !withoutStore || e.StoreSilence(now) > e.config.MaxAge
}

// isUnresponsive reports whether a peer has left pings unanswered for ResponseTimeout.
func (e *Elector) isUnresponsive(now time.Time, p *peer) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > e.config.ResponseTimeout
}

// isStandby reports whether this entry is one of the standbys.
func (e *Elector) isStandby(now time.Time) bool {
	return slices.ContainsFunc(e.standbys(now), func(p *peer) bool { return p.ping.Member.Name == e.self.Name })
}

// watchInterval returns the time between two pings of this entry to the owner and to each
// standby.
func (e *Elector) watchInterval(now time.Time) time.Duration {
	if e.isOwner || e.isStandby(now) {
		return e.config.PingInterval
	}
	spread := time.Duration(float64(len(e.peers)) / e.config.PingsPerSecond * float64(time.Second))
	return max(e.config.MinWatchInterval, spread)
}

// PingTargets returns the peers to ping now, ordered by name, and counts them as pinged. It is
// called a few times in each PingInterval.
func (e *Elector) PingTargets(now time.Time) []messenger.Member {
	e.detectPause(now)
	var targets []messenger.Member
	for _, p := range e.watchedPeers(now) {
		targets = append(targets, e.markPinged(now, p))
	}
	if p := e.nextProbed(now); p != nil {
		e.probedAt = now
		targets = append(targets, e.markPinged(now, p))
	}
	slices.SortFunc(targets, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	return targets
}

// AllPingTargets returns all peers, ordered by name, and counts them as pinged.
func (e *Elector) AllPingTargets(now time.Time) []messenger.Member {
	for _, p := range e.peers {
		e.markPinged(now, p)
	}
	return e.Peers()
}

// watchedPeers returns the peers whose state this entry needs and has not heard for its watch
// interval: the owner and the standbys, its predecessor until that is known to have stopped, and all peers while this entry owns the workloads and
// the store accepts no append, since its authority then depends on their replies.
func (e *Elector) watchedPeers(now time.Time) []*peer {
	watched := e.standbys(now)
	if p := e.peers[e.owner.Name]; p != nil && !p.gone {
		watched = append(watched, p)
	}
	if p := e.peers[e.predecessor.Name]; p != nil && !p.gone && e.awaitsPredecessor() && !slices.Contains(watched, p) {
		watched = append(watched, p)
	}
	needsReplies := e.isOwner && now.Sub(e.appendSentAt) > e.config.ProofInterval+e.config.StoreTimeout/2
	if needsReplies {
		watched = slices.Collect(maps.Values(e.peers))
	}
	interval := e.watchInterval(now) - e.config.PingInterval/4
	return slices.DeleteFunc(watched, func(p *peer) bool {
		heardAt := p.pingedAt
		if !needsReplies && !e.needsReply(p) {
			heardAt = latest(p.lastPingAt, p.pingedAt)
		}
		return p.ping.Member.Name == e.self.Name || now.Sub(heardAt) < interval
	})
}

// needsReply reports whether a peer has pinged as another process of the owner, or of this entry's
// predecessor, and a reply must show which of the two is the later one.
func (e *Elector) needsReply(p *peer) bool {
	if p.ping.Member.Name == e.predecessor.Name && e.awaitsPredecessor() {
		return true
	}
	return p.ping.Member.Name == e.owner.Name && p.ping.Member.Incarnation != e.owner.Incarnation && !e.ownerReplaced(p)
}

// nextProbed returns the peer that was not pinged for longest, so that each peer is found to be
// gone or to be back in the end. It returns nil while none is due. Each entry begins behind its
// own name, so that entries that start together do not all probe the same peer.
func (e *Elector) nextProbed(now time.Time) *peer {
	if now.Sub(e.probedAt) < e.config.PingInterval {
		return nil
	}
	var next *peer
	for _, p := range e.peers {
		if now.Sub(latest(p.pingedAt, p.lastPingAt)) < e.config.MinProbeInterval {
			continue
		}
		if next == nil || cmp.Or(p.pingedAt.Compare(next.pingedAt), e.compareProbes(p.ping.Member.Name, next.ping.Member.Name)) < 0 {
			next = p
		}
	}
	return next
}

// compareProbes orders names in a ring that begins behind this entry's own name.
func (e *Elector) compareProbes(a, b string) int {
	aWraps, bWraps := a < e.self.Name, b < e.self.Name
	if aWraps != bWraps {
		if bWraps {
			return -1
		}
		return 1
	}
	return cmp.Compare(a, b)
}

func (e *Elector) markPinged(now time.Time, p *peer) messenger.Member {
	p.pingedAt = now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	return p.ping.Member
}

// detectPause restarts the times of silence of all peers when this entry itself stood still:
// it heard nothing because it did not listen.
func (e *Elector) detectPause(now time.Time) {
	if !e.activeAt.IsZero() && now.Sub(e.activeAt) > e.config.ResponseTimeout {
		e.resumedAt = now
		for _, p := range e.peers {
			if !p.unansweredSince.IsZero() {
				p.unansweredSince = now
			}
		}
	}
	e.activeAt = now
}

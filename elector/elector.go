// Package elector decides which entry owns the workloads: when an entry claims
// the ownership, and when an owner lets go of it.
//
// The store arbitrates: a claim is an append in a later epoch, which fences every
// earlier owner. An Elector is fed what the store, the other entries and the
// hosts tell, and the time; it does no I/O.
package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Config holds the bounds of an Elector.
type Config struct {
	// OwnerSilence is how long an owner is silent before another entry claims.
	OwnerSilence time.Duration
	// RankDelay is added for each entry that goes before this one.
	RankDelay time.Duration
	// Fresh is the age up to which a ping or an answer of the store counts.
	Fresh time.Duration
	// Present is the age of a ping up to which an entry could take over now.
	Present time.Duration
	// StorePatience is how long an owner goes without the store before it lets go
	// to an entry that reaches it.
	StorePatience time.Duration
	// Served is the age of a peer's last answer of the store up to which the owner lets
	// go to it: a store that is down for all fell silent for all at once.
	Served time.Duration
	// Authority is how long an owner acts without the store while an entry that
	// may have claimed can't be reached.
	Authority time.Duration
	// MemberLife is how long an entry that is silent is remembered.
	MemberLife time.Duration
	// Stronger is how many times an owner's processors another entry must have for
	// the owner to yield to it.
	Stronger float64
	// Sightings is the number of reports a second that an entry wants of all hosts
	// together, to judge by whether most of them hear the owner.
	Sightings float64
	// LeastLookout is the least time between two reports of a host.
	LeastLookout time.Duration
	// SightingLife is how long a report counts.
	SightingLife time.Duration
	// Settle is how long an owner acts before it yields; it doubles with each time.
	Settle, MaxSettle time.Duration
}

// DefaultConfig returns the bounds used by entries.
func DefaultConfig() Config {
	return Config{
		OwnerSilence:  700 * time.Millisecond,
		RankDelay:     150 * time.Millisecond,
		Fresh:         time.Second,
		Present:       500 * time.Millisecond,
		StorePatience: 900 * time.Millisecond,
		Served:        600 * time.Millisecond,
		Authority:     apricotwinch.OwnerAuthority,
		MemberLife:    time.Minute,
		Stronger:      1.5,
		Sightings:     30,
		LeastLookout:  500 * time.Millisecond,
		SightingLife:  600 * time.Millisecond,
		Settle:        3 * time.Second,
		MaxSettle:     time.Minute,
	}
}

// Step is what an entry must do.
type Step int

const (
	// Stay means nothing.
	Stay Step = iota
	// Claim means to append a claim in a later epoch.
	Claim
	// Release means to stop acting as the owner.
	Release
	// Yield means to finish what is under way, and then to call Yielded: an entry
	// with more processors can take over.
	Yield
)

// peer is another entry.
type peer struct {
	ping    messenger.Ping
	heardAt time.Time
	knownAt time.Time
	gone    bool
}

// sighting is what a host tells about the owner.
type sighting struct {
	at     time.Time
	silent time.Duration
}

// Elector is the ownership as one entry sees it. It is not safe for concurrent
// use.
type Elector struct {
	config Config
	self   messenger.Member

	epoch    int64
	owner    messenger.Member
	owned    bool
	released bool
	leaving  bool
	yields   int

	startedAt  time.Time
	ownerSince time.Time
	yieldedAt  time.Time
	forgotAt   time.Time
	// ownerHeardAt is when an entry was last known to own the workloads.
	ownerHeardAt time.Time
	// supersededAt is when a later epoch was heard of, whose owner is not known yet.
	supersededAt time.Time
	storeAt      time.Time
	answeredAt   time.Time
	storeHeard   bool
	peers        map[string]*peer
	hosts        map[string]sighting
}

// New returns an elector of the entry self, which knows no owner.
func New(now time.Time, config Config, self messenger.Member) *Elector {
	return &Elector{
		config:    config,
		self:      self,
		startedAt: now,
		peers:     map[string]*peer{},
		hosts:     map[string]sighting{},
	}
}

// Epoch returns the greatest epoch that is known.
func (e *Elector) Epoch() int64 { return e.epoch }

// Owner returns the owner in that epoch; its name is empty when none is known.
func (e *Elector) Owner() messenger.Member { return e.owner }

// Owned reports whether this entry is the owner.
func (e *Elector) Owned() bool { return e.owned }

// Learned takes an owner of an epoch from the store or a peer.
func (e *Elector) Learned(now time.Time, epoch int64, owner messenger.Member) {
	if epoch < e.epoch || epoch == e.epoch && e.owner.Name != "" {
		return
	}
	if e.owner != owner {
		e.ownerSince = now
	}
	e.epoch = epoch
	e.owner = owner
	if owner != e.self {
		e.owned = false
	}
	e.released = false
}

// Superseded takes that a later epoch than this entry's exists.
func (e *Elector) Superseded(now time.Time, epoch int64) {
	e.owned = false
	if epoch > e.epoch {
		e.epoch = epoch
		e.owner = messenger.Member{}
		e.supersededAt = now
	}
}

// Claimed takes that this entry's claim of epoch landed.
func (e *Elector) Claimed(now time.Time, epoch int64) {
	e.epoch = epoch
	e.owner = e.self
	e.owned = true
	e.released = false
	e.ownerSince = now
	e.StoreAnswered(now, now)
}

// Left takes that this entry shuts down: it never claims again.
func (e *Elector) Left() {
	e.leaving = true
	if e.owned {
		e.owned = false
		e.released = true
	}
}

// Yielded takes that this entry has stopped acting as the owner, for a stronger one
// to claim.
func (e *Elector) Yielded(now time.Time) {
	if !e.owned {
		return
	}
	e.owned = false
	e.released = true
	e.yields++
	e.yieldedAt = now
}

// StoreAnswered takes an answer of the store, at now, to a call that was sent at
// sent.
func (e *Elector) StoreAnswered(sent, now time.Time) {
	if sent.After(e.storeAt) {
		e.storeAt = sent
	}
	e.answeredAt = now
	e.storeHeard = true
}

// StoreSilence returns how long the store has not answered.
func (e *Elector) StoreSilence(now time.Time) time.Duration {
	if !e.storeHeard {
		return now.Sub(e.startedAt) + e.config.Authority
	}
	return now.Sub(e.answeredAt)
}

// unproved returns how long ago the last answered call of the store was sent: what
// the store has seen since is not known.
func (e *Elector) unproved(now time.Time) time.Duration {
	if !e.storeHeard {
		return e.StoreSilence(now)
	}
	return now.Sub(e.storeAt)
}

// Known takes an entry from the list of members.
func (e *Elector) Known(now time.Time, member messenger.Member) {
	if member.Name == e.self.Name {
		return
	}
	p := e.peers[member.Name]
	if p == nil || p.ping.Member.Incarnation != member.Incarnation && now.Sub(p.heardAt) > e.config.Fresh {
		e.peers[member.Name] = &peer{ping: messenger.Ping{Member: member, StoreMillis: -1}, knownAt: now}
	}
}

// Pinged takes what another entry tells of itself.
func (e *Elector) Pinged(now time.Time, ping messenger.Ping) {
	if ping.Member.Name == e.self.Name {
		return
	}
	e.peers[ping.Member.Name] = &peer{ping: ping, heardAt: now}
	epoch := int64(ping.Epoch)
	switch {
	case ping.Owner:
		e.Learned(now, epoch, ping.Member)
		if epoch == e.epoch {
			e.ownerHeardAt = now
		}
	case epoch > e.epoch:
		e.Superseded(now, epoch)
	}
}

// Refused takes that no process listens at another entry's address.
func (e *Elector) Refused(name string) {
	if p := e.peers[name]; p != nil {
		p.gone = true
	}
}

// HostHeard takes how long a host has not heard the owner of epoch.
func (e *Elector) HostHeard(now time.Time, host string, epoch int64, silent time.Duration) {
	if epoch > e.epoch {
		e.Superseded(now, epoch)
	}
	if epoch == e.epoch {
		e.hosts[host] = sighting{at: now, silent: silent}
	}
}

// Lookout returns the time until the next report that this entry wants of a host:
// a sample of the hosts is enough to judge an owner.
func (e *Elector) Lookout() time.Duration {
	period := time.Duration(float64(len(e.hosts)) / e.config.Sightings * float64(time.Second))
	return max(e.config.LeastLookout, period)
}

// Peers returns the other entries in order of their names.
func (e *Elector) Peers() []messenger.Member {
	var members []messenger.Member
	for _, p := range e.peers {
		members = append(members, p.ping.Member)
	}
	slices.SortFunc(members, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Ping returns what this entry tells the others.
func (e *Elector) Ping(now time.Time, view int) messenger.Ping {
	return messenger.Ping{
		Member:      e.self,
		Epoch:       int(e.epoch),
		Owner:       e.owned,
		Released:    e.released,
		StoreMillis: int(e.StoreSilence(now).Milliseconds()),
		View:        view,
		Leaving:     e.leaving,
	}
}

// Authority reports whether this entry may act as the owner: it owns the epoch,
// and no other entry can have claimed a later one for so long that its hosts
// count as lost.
func (e *Elector) Authority(now time.Time) bool {
	if !e.owned {
		return false
	}
	return e.unproved(now) < e.config.Authority || e.unanimous(now)
}

// unanimous reports whether every other entry was heard lately and knows of no
// later epoch.
func (e *Elector) unanimous(now time.Time) bool {
	for _, p := range e.peers {
		if !p.gone && now.Sub(p.heardAt) > e.config.Fresh || int64(p.ping.Epoch) > e.epoch {
			return false
		}
	}
	return true
}

// Tick returns what is due.
func (e *Elector) Tick(now time.Time) Step {
	for name, p := range e.peers {
		if now.Sub(latest(p.heardAt, p.knownAt)) > e.config.MemberLife {
			delete(e.peers, name)
		}
	}
	e.forgetHosts(now)
	switch {
	case e.leaving:
		return Stay
	case e.owned:
		e.ownerHeardAt = now
		return e.tickOwner(now)
	case e.StoreSilence(now) > e.config.Fresh:
		return Stay
	case e.vacant(now):
		return Claim
	}
	return Stay
}

// forgetHosts drops the hosts that have been silent for long.
func (e *Elector) forgetHosts(now time.Time) {
	if now.Sub(e.forgotAt) < e.config.MemberLife {
		return
	}
	e.forgotAt = now
	maps.DeleteFunc(e.hosts, func(_ string, s sighting) bool { return now.Sub(s.at) > e.config.MemberLife })
}

// tickOwner lets go when the store refuses this entry and serves another one, and
// yields to an entry that is much stronger.
func (e *Elector) tickOwner(now time.Time) Step {
	if e.StoreSilence(now) < e.config.StorePatience {
		settle := apricotwinch.Doubled(e.config.Settle, e.config.MaxSettle, e.yields)
		if now.Sub(e.ownerSince) > settle && e.outranked(now) {
			return Yield
		}
		return Stay
	}
	for _, p := range e.peers {
		if e.able(now, p) && p.storeSilence(now) < e.config.Served {
			e.owned = false
			e.released = true
			return Release
		}
	}
	return Stay
}

// outranked reports whether an entry that could take over is much stronger.
func (e *Elector) outranked(now time.Time) bool {
	for _, p := range e.peers {
		if float64(p.ping.Member.ProcessorMillis) >= e.config.Stronger*float64(e.self.ProcessorMillis) && e.self.ProcessorMillis > 0 && e.able(now, p) {
			return true
		}
	}
	return false
}

// able reports whether another entry could take over.
func (e *Elector) able(now time.Time, p *peer) bool {
	present := !p.gone && !p.ping.Leaving && now.Sub(p.heardAt) < e.config.Present
	store := time.Duration(p.ping.StoreMillis) * time.Millisecond
	return present && store >= 0 && store < e.config.Fresh
}

// storeSilence returns how long ago the store has answered another entry, as far as it
// told.
func (p *peer) storeSilence(now time.Time) time.Duration {
	return time.Duration(p.ping.StoreMillis)*time.Millisecond + now.Sub(p.heardAt)
}

// vacant reports whether it is this entry's turn to claim.
func (e *Elector) vacant(now time.Time) bool {
	delay := time.Duration(e.rank(now)) * e.config.RankDelay
	if e.owner.Name == "" {
		wait := delay + e.config.RankDelay
		if !e.supersededAt.IsZero() {
			// Somebody has claimed, and reads the journal.
			wait += e.config.OwnerSilence
		}
		return now.Sub(latest(latest(e.startedAt, e.ownerSince), e.supersededAt)) > wait
	}
	if e.owner.Name == e.self.Name {
		return now.Sub(e.yieldedAt) > e.config.OwnerSilence+delay
	}
	p := e.peers[e.owner.Name]
	if p == nil {
		return now.Sub(latest(e.startedAt, e.ownerSince)) > e.config.OwnerSilence+delay
	}
	replaced := p.ping.Member.Incarnation != e.owner.Incarnation && !p.ping.Owner
	if replaced || p.gone || p.ping.Released || p.ping.Leaving && !p.ping.Owner {
		return e.rank(now) == 0 || now.Sub(p.heardAt) > delay
	}
	since := latest(latest(p.heardAt, e.ownerSince), e.startedAt)
	return now.Sub(since) > e.config.OwnerSilence+delay && !e.seenByHosts(now)
}

// seenByHosts reports whether most hosts that were heard lately hear the owner.
func (e *Elector) seenByHosts(now time.Time) bool {
	fresh, seen := 0, 0
	for _, s := range e.hosts {
		if now.Sub(s.at) > e.config.SightingLife {
			continue
		}
		fresh++
		if s.silent+now.Sub(s.at) < e.config.OwnerSilence {
			seen++
		}
	}
	return seen*2 > fresh
}

// rank returns the number of entries that claim before this one.
func (e *Elector) rank(now time.Time) int {
	rank := 0
	for name, p := range e.peers {
		if name != e.owner.Name && before(p.ping.Member, e.self) && e.able(now, p) {
			rank++
		}
	}
	return rank
}

// before reports whether one entry claims before another: the one with more
// processors, as an owner's work grows with the deployment.
func before(a, b messenger.Member) bool {
	return cmp.Or(cmp.Compare(b.ProcessorMillis, a.ProcessorMillis), cmp.Compare(a.Name, b.Name)) < 0
}

// Clean reports whether the owner is known to have stopped acting.
func (e *Elector) Clean() bool {
	if e.owner.Name == "" || e.owner.Name == e.self.Name {
		return true
	}
	p := e.peers[e.owner.Name]
	return p != nil && (p.ping.Released || p.gone || p.ping.Member.Incarnation != e.owner.Incarnation)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Newer returns the strongest entry, heard lately, that has a later configuration than
// view; false when there is none.
func (e *Elector) Newer(now time.Time, view int) (string, bool) {
	var best *peer
	for _, p := range e.peers {
		if p.gone || p.ping.View <= view || now.Sub(p.heardAt) > e.config.Present {
			continue
		}
		if best == nil || before(p.ping.Member, best.ping.Member) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.ping.Member.Name, true
}

// OwnerHeard reports whether the owner was heard lately.
func (e *Elector) OwnerHeard(now time.Time) bool { return e.OwnerSilence(now) < e.config.Fresh }

// OwnerSilence returns how long ago an entry, this one included, was last known to own
// the workloads.
func (e *Elector) OwnerSilence(now time.Time) time.Duration {
	return now.Sub(latest(e.ownerHeardAt, e.startedAt))
}

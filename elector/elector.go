// Package elector decides which entry owns the workloads: when an entry claims the ownership,
// and when an owner releases it.
//
// The store arbitrates: a claim is an append in a later epoch, which fences every earlier
// owner. The caller passes an Elector the time and what the store, the other entries and the
// hosts report; an Elector does no I/O.
package elector

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// prunePeriod is the time between two searches for peers and hosts that are no longer remembered.
const prunePeriod = 5 * time.Second

// Config holds the time limits and thresholds of an Elector.
type Config struct {
	// OwnerTimeout is how long an owner must be silent before another entry claims. It doubles with
	// each silent owner that was replaced within TakeoverWindow, up to MaxOwnerTimeout: a new owner
	// may be too busy to answer. MaxOwnerTimeout leaves enough of the executors' leases for the next
	// owner to renew them.
	OwnerTimeout, MaxOwnerTimeout time.Duration
	// TakeoverWindow is how long the replacement of a silent owner counts.
	TakeoverWindow time.Duration
	// After the replacement of UnsettledOwners owners that were each last heard within SettleTime of their
	// start, MaxUnsettledTimeout takes the place of MaxOwnerTimeout. The leases have then ended in any
	// case, and the next owner would be as busy.
	UnsettledOwners                 int
	SettleTime, MaxUnsettledTimeout time.Duration
	// RankDelay is added to the wait before a claim for each entry that claims before this one, so
	// that claims do not collide.
	RankDelay time.Duration
	// StartDelay is how long an entry that has started leaves the claim to those with YieldRatio times its
	// processors that it hasn't heard yet: they may be starting, too, and it would yield to them.
	StartDelay time.Duration
	// MaxAge is the age up to which a ping or an answer of the store is current.
	MaxAge time.Duration
	// MaxTakeoverPingAge is the age of its last ping up to which an entry counts as able to take
	// over at once.
	MaxTakeoverPingAge time.Duration
	// StoreTimeout is how long an owner goes without an answer of the store before it steps down
	// in favor of an entry that reaches the store.
	StoreTimeout time.Duration
	// MaxPeerStoreAge is the age of a peer's last answer of the store up to which the owner steps
	// down in its favor. It is less than StoreTimeout: when the store is down for all entries, it
	// fell silent for all of them at the same time, and the owner must stay.
	MaxPeerStoreAge time.Duration
	// AuthorityTimeout is how long an owner acts after its last proof that it has no successor.
	AuthorityTimeout time.Duration
	// ProofInterval is the age of that proof from which on an owner renews it.
	ProofInterval time.Duration
	// MemberTTL is how long a silent entry or host is remembered.
	MemberTTL time.Duration
	// YieldRatio is how many times this owner's processors another entry must have for the owner
	// to yield to it.
	YieldRatio float64
	// ReportsPerSecond is the number of short reports a second that this entry wants from all
	// hosts together. They show whether most hosts still reach the owner.
	ReportsPerSecond float64
	// MinReportInterval is the least time between two short reports of a host.
	MinReportInterval time.Duration
	// ReportTTL is how long the report of a host counts.
	ReportTTL time.Duration
	// MaxTakeover is how long other entries wait for an entry that has claimed and reads the journal,
	// which takes long over a slow link.
	MaxTakeover time.Duration
	// Standbys is the number of entries, the next ones to claim, that watch the owner closely.
	Standbys int
	// PingInterval is the time between two pings among the owner and the standbys.
	PingInterval time.Duration
	// MinWatchInterval is the least time between two pings of another entry to the owner or to a
	// standby. PingsPerSecond is how many such pings a second each of them takes from all other
	// entries together.
	MinWatchInterval time.Duration
	PingsPerSecond   float64
	// ResponseTimeout is how long a peer may leave pings unanswered before it counts as
	// unresponsive. An entry that did nothing for that long was paused itself.
	ResponseTimeout time.Duration
	// MinProbeInterval is the least time between two pings of a peer that is not watched.
	MinProbeInterval time.Duration
	// YieldDelay is how long an owner acts before it yields. It doubles with each time that it
	// yielded, up to MaxYieldDelay.
	YieldDelay, MaxYieldDelay time.Duration
}

// DefaultConfig returns the configuration used by entries.
func DefaultConfig() Config {
	return Config{
		OwnerTimeout:        700 * time.Millisecond,
		MaxOwnerTimeout:     2 * time.Second,
		TakeoverWindow:      15 * time.Second,
		UnsettledOwners:     2,
		SettleTime:          1500 * time.Millisecond,
		MaxUnsettledTimeout: 4 * time.Second,
		RankDelay:           150 * time.Millisecond,
		StartDelay:          time.Second,
		MaxAge:              time.Second,
		MaxTakeoverPingAge:  500 * time.Millisecond,
		StoreTimeout:        900 * time.Millisecond,
		MaxPeerStoreAge:     600 * time.Millisecond,
		AuthorityTimeout:    apricotwinch.OwnerAuthority,
		ProofInterval:       time.Second,
		MemberTTL:           time.Minute,
		YieldRatio:          1.5,
		ReportsPerSecond:    30,
		MinReportInterval:   500 * time.Millisecond,
		ReportTTL:           600 * time.Millisecond,
		MaxTakeover:         8 * time.Second,
		Standbys:            7,
		PingInterval:        200 * time.Millisecond,
		MinWatchInterval:    500 * time.Millisecond,
		PingsPerSecond:      100,
		ResponseTimeout:     500 * time.Millisecond,
		MinProbeInterval:    time.Second,
		YieldDelay:          3 * time.Second,
		MaxYieldDelay:       time.Minute,
	}
}

// Action is what an entry must do next.
type Action int

const (
	// None means that nothing is due.
	None Action = iota
	// Claim means to append a claim in a later epoch.
	Claim
	// Release means to stop acting as the owner at once.
	Release
	// Yield means to finish what is in progress, and then to call RecordYield, so that an entry
	// with more processors can take over.
	Yield
)

// peer is another entry: its last ping and when it was received, or when the entry was found in the
// list of members.
type peer struct {
	ping       messenger.Ping
	lastPingAt time.Time
	listedAt   time.Time
	// stateAsOf is the time as of which the state of the peer is known: when this entry sent the
	// last ping that the peer replied to. Pings of the peer prove nothing here, as a partition may
	// hold them up for seconds. It includes what is known of earlier processes of the peer;
	// repliedAsOf counts replies of the last one alone.
	stateAsOf, repliedAsOf time.Time
	// unaccountedAt is when a process of the peer was found to have ended that may have claimed
	// unseen; zero if there is none.
	unaccountedAt time.Time
	// goneAsOf is when the last ping was sent that the peer's host refused.
	goneAsOf time.Time
	// takingOverSince is when the peer first reported that it takes over the epoch of its last
	// ping; zero if it doesn't.
	takingOverSince time.Time
	gone            bool
	// pingedAt is when this entry last pinged the peer; unansweredSince is when it sent the first
	// ping since the peer's last one, and zero if it sent none.
	pingedAt        time.Time
	unansweredSince time.Time
}

// hostReport is how long the owner had not answered a host, as of the host's report.
type hostReport struct {
	at           time.Time
	ownerSilence time.Duration
}

// replacement is when this entry learned that a silent owner had been replaced.
type replacement struct {
	at time.Time
	// unsettled is whether that owner was last heard less than SettleTime after this entry had learned of it.
	unsettled bool
	// unseen is whether this entry never learned of that owner: an entry had claimed, and was replaced before
	// it was heard.
	unseen bool
}

// Elector is the state of the ownership as one entry knows it. It is not safe for concurrent
// use.
type Elector struct {
	config Config
	self   messenger.Member

	epoch int64
	// sightings holds times by which the latest epochs had been claimed, in order of both.
	sightings []sighting
	owner     messenger.Member
	isOwner   bool
	// predecessor is the owner of predecessorEpoch, after which this entry claimed, and predecessorSince is since
	// when this entry knew it; its name is empty if it isn't known.
	predecessor      messenger.Member
	predecessorEpoch int64
	predecessorSince time.Time
	released         bool
	leaving          bool
	// takingOverEpoch is the epoch that this entry has claimed and does not act in yet; 0 if there
	// is none.
	takingOverEpoch int64
	yieldCount      int
	// pingNumber is the number of the last state that this entry reported.
	pingNumber int

	startedAt  time.Time
	ownerSince time.Time
	yieldedAt  time.Time
	prunedAt   time.Time
	probedAt   time.Time
	// activeAt is when this entry last did something; resumedAt is when it last resumed after a
	// pause.
	activeAt, resumedAt time.Time
	// ownerSeenAt is when an entry, this one included, was last known to own the workloads.
	ownerSeenAt time.Time
	// replacements holds the owners that were replaced without being known to have stepped down or to be
	// gone.
	replacements []replacement
	// supersededAt is when this entry learned of a later epoch without its owner.
	supersededAt    time.Time
	storeAnsweredAt time.Time
	storeAnswered   bool
	// appendSentAt is when the last append that the store accepted in this entry's epoch was sent.
	appendSentAt time.Time
	peers        map[string]*peer
	// claimOrder holds the peers in the order in which they claim; nil if it must be sorted again.
	claimOrder  []*peer
	hostReports map[string]hostReport
}

// New returns the elector of the entry self. It knows no owner yet.
func New(now time.Time, config Config, self messenger.Member) *Elector {
	return &Elector{
		config:      config,
		self:        self,
		startedAt:   now,
		peers:       map[string]*peer{},
		hostReports: map[string]hostReport{},
	}
}

// Epoch returns the greatest known epoch.
func (e *Elector) Epoch() int64 { return e.epoch }

// Owner returns the owner in the greatest known epoch; its name is empty when none is known.
func (e *Elector) Owner() messenger.Member { return e.owner }

// IsOwner reports whether this entry is the owner.
func (e *Elector) IsOwner() bool { return e.isOwner }

// RecordOwner records the owner of an epoch, as the store or a peer reports it. An earlier epoch,
// or one whose owner is known, is ignored.
func (e *Elector) RecordOwner(now time.Time, epoch int64, owner messenger.Member) {
	if epoch < e.epoch || epoch == e.epoch && e.owner.Name != "" {
		return
	}
	e.recordReplacement(now, epoch)
	if e.owner != owner {
		e.ownerSince = now
	}
	e.setEpoch(now, epoch)
	e.owner = owner
	if owner != e.self {
		e.isOwner = false
	}
	e.released = false
}

// RecordLaterEpoch records that a later epoch than this entry's exists. The entry stops owning the
// workloads.
func (e *Elector) RecordLaterEpoch(now time.Time, epoch int64) {
	if epoch > e.epoch {
		e.recordReplacement(now, epoch)
		e.setEpoch(now, epoch)
		e.owner = messenger.Member{}
		e.released = false
		e.supersededAt = now
	}
	e.isOwner = false
}

// RecordTakeover records that the store accepted this entry's claim of epoch. The entry reads the
// journal, and then calls RecordClaim if it can act as the owner, and EndTakeover.
func (e *Elector) RecordTakeover(epoch int64) {
	e.takingOverEpoch = epoch
	e.recordPredecessor(epoch)
}

// recordPredecessor records the owner before an epoch that this entry has claimed. Peers that learn of the claim
// tell of the epoch before this entry owns the workloads, and the owner before isn't known any more then.
func (e *Elector) recordPredecessor(epoch int64) {
	if e.epoch == epoch-1 {
		e.predecessor, e.predecessorEpoch, e.predecessorSince = e.owner, e.epoch, e.ownerSince
	}
}

// EndTakeover records that a takeover has ended, whether or not this entry owns the workloads.
func (e *Elector) EndTakeover(now time.Time) {
	if e.takingOverEpoch > e.epoch {
		e.RecordLaterEpoch(now, e.takingOverEpoch)
	}
	e.takingOverEpoch = 0
}

// RecordClaim records that the store accepted this entry's claim of epoch, which was sent at
// sent.
func (e *Elector) RecordClaim(sent, now time.Time, epoch int64) {
	e.recordReplacement(now, epoch)
	e.recordPredecessor(epoch)
	e.setEpoch(now, epoch)
	e.owner = e.self
	e.isOwner = true
	e.released = false
	e.ownerSince = now
	e.appendSentAt = sent
	e.RecordStoreAnswer(now)
}

// recordReplacement counts the replacement of the owner of the greatest known epoch by that of a later
// one, if it was silent, or is this entry, and is not known to have stepped down or to be gone.
func (e *Elector) recordReplacement(now time.Time, epoch int64) {
	if e.epoch == 0 || epoch <= e.epoch || e.owner.Name == e.self.Name && !e.isOwner || e.ownerEnded() || e.heardOwner(now) {
		return
	}
	e.replacements = slices.DeleteFunc(e.replacements, func(r replacement) bool { return now.Sub(r.at) > e.config.TakeoverWindow })
	e.replacements = append(e.replacements, replacement{at: now, unsettled: e.ownerUnsettled(now), unseen: e.owner.Name == ""})
}

// ownerUnsettled reports whether the owner that is replaced was last heard less than SettleTime after this
// entry had learned of it. An owner doesn't know since when the others missed it.
func (e *Elector) ownerUnsettled(now time.Time) bool {
	if e.isOwner {
		return now.Sub(e.ownerSince) < e.config.MaxUnsettledTimeout
	}
	p := e.peers[e.owner.Name]
	return p == nil || p.lastPingAt.Sub(latest(e.ownerSince, e.supersededAt)) < e.config.SettleTime
}

// ownerEnded reports whether the owner is known to have stepped down or seems to be gone.
func (e *Elector) ownerEnded() bool {
	p := e.peers[e.owner.Name]
	return p != nil && (e.ownerLeaving(p) || e.ownerReleased(p) || e.ownerGone(p) || e.ownerReplaced(p))
}

// heardOwner reports whether the owner was heard so recently that no standby can have taken it for
// silent: two standbys hear it up to PingInterval apart.
func (e *Elector) heardOwner(now time.Time) bool {
	p := e.peers[e.owner.Name]
	return p != nil && now.Sub(p.lastPingAt) < e.config.OwnerTimeout-e.config.PingInterval
}

// claimTimeout returns how long the owner must be silent before another entry claims.
func (e *Elector) claimTimeout(now time.Time) time.Duration {
	recent := e.recentReplacements(now)
	unsettled := 0
	for _, r := range recent {
		if r.unsettled {
			unsettled++
		}
	}
	limit := e.config.MaxOwnerTimeout
	if unsettled >= e.config.UnsettledOwners && e.ownerUnsettled(now) {
		limit = e.config.MaxUnsettledTimeout
	}
	return apricotwinch.ExponentialBackoff(e.config.OwnerTimeout, limit, len(recent))
}

// takeoverTimeout returns how long an entry that has claimed, and that this one doesn't know, may take until
// another one claims. It grows with each claim that was superseded before its entry was heard: one that
// reads the journal over a slow link is heard only when it has read it.
func (e *Elector) takeoverTimeout(now time.Time) time.Duration {
	unseen := 0
	for _, r := range e.recentReplacements(now) {
		if r.unseen {
			unseen++
		}
	}
	return apricotwinch.ExponentialBackoff(e.config.OwnerTimeout, e.config.MaxUnsettledTimeout, unseen)
}

// recentReplacements returns the replacements within TakeoverWindow.
func (e *Elector) recentReplacements(now time.Time) []replacement {
	first := slices.IndexFunc(e.replacements, func(r replacement) bool { return now.Sub(r.at) <= e.config.TakeoverWindow })
	if first < 0 {
		return nil
	}
	return e.replacements[first:]
}

// RecordAppend records that the store accepted an append in the epoch of this owner, which was
// first sent at sent. It proves that no entry had claimed a later epoch by then; other answers of
// the store prove nothing, as the store does not check the epoch for them.
func (e *Elector) RecordAppend(sent time.Time) { e.appendSentAt = latest(e.appendSentAt, sent) }

// Shutdown records that this entry shuts down: it releases the ownership and never claims again.
func (e *Elector) Shutdown() {
	e.leaving = true
	if e.isOwner {
		e.isOwner = false
		e.released = true
	}
}

// RecordYield records that this entry has stopped acting as the owner, so that a stronger entry
// can claim.
func (e *Elector) RecordYield(now time.Time) {
	if !e.isOwner {
		return
	}
	e.isOwner = false
	e.released = true
	e.yieldCount++
	e.yieldedAt = now
}

// RecordStoreAnswer records that the store answered a call at now.
func (e *Elector) RecordStoreAnswer(now time.Time) {
	e.storeAnsweredAt = now
	e.storeAnswered = true
}

// StoreSilence returns how long ago the store last answered. When it has never answered, it
// returns more than the time for which an owner may act without the store.
func (e *Elector) StoreSilence(now time.Time) time.Duration {
	if !e.storeAnswered {
		return now.Sub(e.startedAt) + e.config.AuthorityTimeout
	}
	return now.Sub(e.storeAnsweredAt)
}

// AddMember records an entry from the list of members. A known entry is kept unless it is another
// incarnation and its last ping is too old.
func (e *Elector) AddMember(now time.Time, member messenger.Member) {
	if member.Name == e.self.Name {
		return
	}
	p := e.peers[member.Name]
	if p == nil || p.ping.Member.Incarnation != member.Incarnation && now.Sub(p.lastPingAt) > e.config.MaxAge {
		next := &peer{ping: messenger.Ping{Member: member, StoreMillis: -1}, listedAt: now}
		next.follow(p)
		e.setPeer(member.Name, next)
	}
}

// follow takes over what is known of the process that p follows; earlier is nil if there was none.
func (p *peer) follow(earlier *peer) {
	if earlier != nil {
		p.stateAsOf, p.unaccountedAt = earlier.stateAsOf, earlier.unaccountedAt
	}
}

// setPeer adds or replaces a peer.
func (e *Elector) setPeer(name string, p *peer) {
	e.peers[name] = p
	e.claimOrder = nil
}

// PeerCount returns the number of other known entries.
func (e *Elector) PeerCount() int { return len(e.peers) }

// HandlePingReply records the state that another entry sent in reply to a ping that was sent at
// sent.
func (e *Elector) HandlePingReply(sent, now time.Time, ping messenger.Ping) {
	e.HandlePing(now, ping)
	p := e.peers[ping.Member.Name]
	if p == nil || p.ping.Member != ping.Member {
		return
	}
	if p.repliedAsOf.IsZero() {
		e.accountForEnd(now, p)
	}
	p.repliedAsOf = latest(p.repliedAsOf, sent)
	p.stateAsOf = latest(p.stateAsOf, sent)
}

// HandlePing records the state that another entry sent in a ping. A state that the same process sent
// before one that is known is ignored.
func (e *Elector) HandlePing(now time.Time, ping messenger.Ping) {
	if ping.Member.Name == e.self.Name {
		return
	}
	p := e.peers[ping.Member.Name]
	switch {
	case p == nil || p.ping.Member != ping.Member:
		next := &peer{}
		next.follow(p)
		p = next
		e.setPeer(ping.Member.Name, p)
	case ping.Number < p.ping.Number:
		return
	}
	switch {
	case !ping.TakingOver:
		p.takingOverSince = time.Time{}
	case p.takingOverSince.IsZero() || p.ping.Epoch != ping.Epoch:
		p.takingOverSince = now
	}
	p.ping, p.lastPingAt, p.unansweredSince, p.gone = ping, now, time.Time{}, false
	epoch := int64(ping.Epoch)
	switch {
	case ping.Owner:
		e.RecordOwner(now, epoch, ping.Member)
		if epoch == e.epoch {
			e.ownerSeenAt = now
		}
	case epoch > e.epoch:
		e.RecordLaterEpoch(now, epoch)
	}
	e.handleEpochAge(now, ping)
}

// MarkPeerGone records that a ping that was sent to another entry's address at sent was refused. It is
// ignored if the entry has pinged since then or has another address. A refusal is a reason to claim but
// proves nothing, as a partition may refuse connections to a process that runs.
func (e *Elector) MarkPeerGone(sent time.Time, member messenger.Member) {
	p := e.peers[member.Name]
	if p == nil || p.lastPingAt.After(sent) || p.ping.Member.Address != member.Address {
		return
	}
	p.gone = true
	p.goneAsOf = latest(p.goneAsOf, sent)
}

// accountForEnd records that a process of a peer may have ended between p.stateAsOf, or any time if this entry
// never had its reply, and now. One that was out of sight for less than OwnerTimeout counts as one that has not
// claimed. That is not proven: an entry whose pings the owner refuses claims earlier.
func (e *Elector) accountForEnd(now time.Time, p *peer) {
	if now.Sub(latest(p.stateAsOf, e.appendSentAt)) > e.config.OwnerTimeout {
		p.unaccountedAt = now
	}
}

// HandleHostReport records a host's report of how long the owner of epoch has not answered it.
func (e *Elector) HandleHostReport(now time.Time, host string, epoch int64, ownerSilence time.Duration) {
	if epoch > e.epoch {
		e.RecordLaterEpoch(now, epoch)
	}
	if epoch == e.epoch {
		e.hostReports[host] = hostReport{at: now, ownerSilence: ownerSilence}
	}
}

// ReportInterval returns the interval of the short reports that this entry wants from a host. It
// grows with the number of hosts: a sample of them is enough to decide whether the owner is
// alive.
func (e *Elector) ReportInterval() time.Duration {
	period := time.Duration(float64(len(e.hostReports)) / e.config.ReportsPerSecond * float64(time.Second))
	return max(e.config.MinReportInterval, period)
}

// Peers returns the other known entries, ordered by name.
func (e *Elector) Peers() []messenger.Member {
	var members []messenger.Member
	for _, p := range e.peers {
		members = append(members, p.ping.Member)
	}
	slices.SortFunc(members, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Ping returns the state of this entry to send to the others. View is the version of its
// configuration.
func (e *Elector) Ping(now time.Time, view int) messenger.Ping {
	takingOver := e.takingOverEpoch > e.epoch
	epochAge := e.epochAge(now)
	if takingOver {
		epochAge = 0
	}
	e.pingNumber++
	return messenger.Ping{
		Member:      e.self,
		Number:      e.pingNumber,
		Epoch:       int(max(e.epoch, e.takingOverEpoch)),
		EpochMillis: int(epochAge.Milliseconds()),
		TakingOver:  takingOver,
		Owner:       e.isOwner,
		Released:    e.released && !takingOver,
		StoreMillis: int(e.StoreSilence(now).Milliseconds()),
		View:        view,
		Leaving:     e.leaving,
		AsksOwner:   e.owner.Name == "",
	}
}

// HasAuthority reports whether this entry may act as the owner: it owns the epoch, and no other
// entry can have claimed a later one so long ago that its new owner counts this owner's hosts
// as lost.
func (e *Elector) HasAuthority(now time.Time) bool {
	return e.isOwner && now.Sub(e.ProvenAt(now)) < e.config.AuthorityTimeout
}

// ProvenAt returns the latest time at which this owner provably had no successor that acted: the
// store had accepted no later claim, or no other entry knew that it had claimed.
func (e *Elector) ProvenAt(now time.Time) time.Time {
	return latest(e.appendSentAt, e.peersProvenAt(now))
}

// peersProvenAt returns the latest time at which no other entry knew of a later epoch; the zero
// time if one does, has never replied to a ping, or may have claimed, unseen, before its process
// ended, or if no other entry is known. The store alone can prove then that it hasn't.
func (e *Elector) peersProvenAt(now time.Time) time.Time {
	if len(e.peers) == 0 {
		return time.Time{}
	}
	provenAt := now
	for _, p := range e.peers {
		unaccounted := !p.unaccountedAt.IsZero() && !e.appendSentAt.After(p.unaccountedAt)
		if unaccounted || int64(p.ping.Epoch) > e.epoch {
			return time.Time{}
		}
		if p.stateAsOf.Before(provenAt) {
			provenAt = p.stateAsOf
		}
	}
	return provenAt
}

// ProvenThrough returns the latest time at which this owner provably had no successor. If it knows no
// other entry, only the store can prove that.
func (e *Elector) ProvenThrough(now time.Time) time.Time {
	if len(e.peers) == 0 {
		return e.appendSentAt
	}
	return e.ProvenAt(now)
}

// ProvenSince reports whether this owner provably had no successor at some time since began.
func (e *Elector) ProvenSince(now, began time.Time) bool {
	return !e.ProvenThrough(now).Before(began)
}

// ProofDue reports whether this owner should renew the proof that it has no successor.
func (e *Elector) ProofDue(now time.Time) bool {
	return e.isOwner && now.Sub(e.appendSentAt) >= e.config.ProofInterval
}

// Tick forgets silent entries and hosts, and returns the action that is due.
func (e *Elector) Tick(now time.Time) Action {
	e.detectPause(now)
	e.prune(now)
	switch {
	case e.leaving:
		return None
	case e.isOwner:
		e.ownerSeenAt = now
		return e.tickOwner(now)
	case e.ClaimDue(now):
		return Claim
	}
	return None
}

// ClaimDue reports whether this entry should claim the ownership now.
func (e *Elector) ClaimDue(now time.Time) bool {
	return !e.leaving && !e.isOwner && e.StoreSilence(now) <= e.config.MaxAge && e.isStandby(now) && e.shouldClaim(now)
}

// prune removes, once each prunePeriod, the peers and the reports of hosts that have been silent
// for MemberTTL. An owner without a proof from the store keeps them: one of the silent peers may be
// its successor.
func (e *Elector) prune(now time.Time) {
	isolated := e.isOwner && now.Sub(e.appendSentAt) >= e.config.AuthorityTimeout
	if isolated || now.Sub(e.prunedAt) < prunePeriod {
		return
	}
	e.prunedAt = now
	for name, p := range e.peers {
		if now.Sub(latest(p.lastPingAt, p.listedAt)) > e.config.MemberTTL && e.isUnresponsive(now, p) {
			delete(e.peers, name)
			e.claimOrder = nil
		}
	}
	maps.DeleteFunc(e.hostReports, func(_ string, s hostReport) bool { return now.Sub(s.at) > e.config.MemberTTL })
}

// tickOwner returns Release when the store does not answer this entry but answers another one,
// and Yield when another entry is much stronger.
func (e *Elector) tickOwner(now time.Time) Action {
	if e.observedStoreSilence(now) < e.config.StoreTimeout {
		delay := apricotwinch.ExponentialBackoff(e.config.YieldDelay, e.config.MaxYieldDelay, e.yieldCount)
		if now.Sub(e.ownerSince) > delay && e.hasStrongerPeer(now) {
			return Yield
		}
		return None
	}
	for _, p := range e.peers {
		if e.canTakeOver(now, p) && p.storeSilence(now) < e.config.MaxPeerStoreAge {
			e.isOwner = false
			e.released = true
			return Release
		}
	}
	return None
}

// observedStoreSilence returns for how long this entry has listened for the store in vain. The silence of
// a pause of its own is left out, up to the time for which an owner acts without the store.
func (e *Elector) observedStoreSilence(now time.Time) time.Duration {
	silence := e.StoreSilence(now)
	if silence >= e.config.AuthorityTimeout {
		return silence
	}
	return min(silence, now.Sub(e.resumedAt))
}

// hasStrongerPeer reports whether an entry that could take over has YieldRatio times the
// processors of this one.
func (e *Elector) hasStrongerPeer(now time.Time) bool {
	for _, p := range e.peers {
		if e.isMuchStronger(p) && e.canTakeOver(now, p) {
			return true
		}
	}
	return false
}

// isMuchStronger reports whether another entry has YieldRatio times the processors of this one.
func (e *Elector) isMuchStronger(p *peer) bool {
	return float64(p.ping.Member.ProcessorMillis) >= e.config.YieldRatio*float64(e.self.ProcessorMillis) && e.self.ProcessorMillis > 0
}

// canTakeOver reports whether another entry could take over now: it is reachable, is not leaving,
// and reaches the store.
func (e *Elector) canTakeOver(now time.Time, p *peer) bool {
	reachable := !p.gone && !p.ping.Leaving && now.Sub(p.lastPingAt) < e.config.MaxTakeoverPingAge
	silence := time.Duration(p.ping.StoreMillis) * time.Millisecond
	return reachable && silence >= 0 && silence < e.config.MaxAge
}

// storeSilence returns how long ago the store last answered another entry, as estimated from
// its last ping.
func (p *peer) storeSilence(now time.Time) time.Duration {
	return time.Duration(p.ping.StoreMillis)*time.Millisecond + now.Sub(p.lastPingAt)
}

// shouldClaim reports whether it is this entry's turn to claim.
func (e *Elector) shouldClaim(now time.Time) bool {
	delay := time.Duration(e.rank(now)) * e.config.RankDelay
	if e.isPeerTakingOver(now) || e.awaitsStrongerPeer(now) {
		return false
	}
	if e.owner.Name == "" {
		wait := delay + e.config.RankDelay
		if !e.supersededAt.IsZero() {
			// Another entry has claimed, and is reading the journal before it acts.
			wait += e.takeoverTimeout(now)
		}
		return now.Sub(latest(latest(e.startedAt, e.ownerSince), e.supersededAt)) > wait
	}
	if e.owner.Name == e.self.Name {
		return now.Sub(e.yieldedAt) > e.config.OwnerTimeout+delay
	}
	p := e.peers[e.owner.Name]
	if p == nil {
		return now.Sub(latest(e.startedAt, e.ownerSince)) > e.config.OwnerTimeout+delay
	}
	if e.ownerLeaving(p) || e.ownerReleased(p) || e.ownerGone(p) || e.ownerReplaced(p) && !p.ping.Owner {
		return e.rank(now) == 0 || now.Sub(p.lastPingAt) > delay
	}
	since := latest(latest(p.lastPingAt, e.ownerSince), latest(e.startedAt, e.resumedAt))
	return now.Sub(since) > e.claimTimeout(now)+delay && !e.hostsReachOwner(now)
}

// awaitsStrongerPeer reports whether this entry has just started and has not heard an entry to which it would
// yield. Whether connections to it are refused doesn't matter.
func (e *Elector) awaitsStrongerPeer(now time.Time) bool {
	if now.Sub(e.startedAt) >= e.config.StartDelay {
		return false
	}
	for _, p := range e.peers {
		if p.lastPingAt.IsZero() && e.isMuchStronger(p) {
			return true
		}
	}
	return false
}

// isPeerTakingOver reports whether another entry is taking over the greatest known epoch.
func (e *Elector) isPeerTakingOver(now time.Time) bool {
	for _, p := range e.peers {
		current := p.ping.TakingOver && int64(p.ping.Epoch) == e.epoch && !p.gone
		if current && now.Sub(p.lastPingAt) < e.config.OwnerTimeout && now.Sub(p.takingOverSince) < e.config.MaxTakeover {
			return true
		}
	}
	return false
}

// hostsReachOwner reports whether most hosts with a recent report reach the owner.
func (e *Elector) hostsReachOwner(now time.Time) bool {
	recent, reaching := 0, 0
	for _, s := range e.hostReports {
		if now.Sub(s.at) > e.config.ReportTTL {
			continue
		}
		recent++
		if s.ownerSilence+now.Sub(s.at) < e.config.OwnerTimeout {
			reaching++
		}
	}
	return reaching*2 > recent
}

// rank returns the number of entries that claim before this one.
func (e *Elector) rank(now time.Time) int {
	rank := 0
	for name, p := range e.peers {
		if name != e.owner.Name && claimsBefore(p.ping.Member, e.self) && e.canTakeOver(now, p) {
			rank++
		}
	}
	return rank
}

// claimsBefore reports whether entry a claims before entry b: the one with more processors
// does, since an owner's work grows with the deployment. Equal ones are ordered by name.
func claimsBefore(a, b messenger.Member) bool { return compareClaims(a, b) < 0 }

func compareClaims(a, b messenger.Member) int {
	return cmp.Or(cmp.Compare(b.ProcessorMillis, a.ProcessorMillis), cmp.Compare(a.Name, b.Name))
}

// PreviousOwnerStopped reports whether the owner is known to have stopped acting: it released the
// ownership, its process was replaced, or there has been no other owner. An owner that this entry
// doesn't know by name, or that it can't connect to, may still act.
func (e *Elector) PreviousOwnerStopped() bool {
	if e.owner.Name == "" {
		return e.epoch == 0
	}
	if e.owner.Name == e.self.Name {
		return true
	}
	p := e.peers[e.owner.Name]
	return p != nil && (e.ownerReleased(p) || e.ownerReplaced(p))
}

// PredecessorStopped reports whether this entry owns the workloads and the owner before it is known to have
// stopped acting: its process was replaced, or knows of this entry's epoch or a later one.
func (e *Elector) PredecessorStopped() bool {
	p := e.peers[e.predecessor.Name]
	if !e.isOwner || e.predecessorEpoch != e.epoch-1 || p == nil {
		return false
	}
	return replaced(p, e.predecessor, e.predecessorSince) ||
		p.ping.Member == e.predecessor && int64(p.ping.Epoch) >= e.epoch && !p.ping.Owner
}

// awaitsPredecessor reports whether this entry owns the workloads and doesn't know that the owner before it has
// stopped acting.
func (e *Elector) awaitsPredecessor() bool {
	known := e.predecessorEpoch == e.epoch-1 && e.predecessor.Name != "" && e.predecessor.Name != e.self.Name
	return e.isOwner && known && !e.PredecessorStopped()
}

// ownerLeaving reports whether the owner, which is the peer p, shuts down and has stopped acting.
func (e *Elector) ownerLeaving(p *peer) bool {
	return p.ping.Member == e.owner && p.ping.Leaving && !p.ping.Owner
}

// ownerReleased reports whether the owner, which is the peer p, released the ownership of the greatest
// known epoch. It may have released that of an earlier epoch before it claimed again.
func (e *Elector) ownerReleased(p *peer) bool {
	return p.ping.Released && p.ping.Member == e.owner && int64(p.ping.Epoch) == e.epoch
}

// ownerGone reports whether connections to the owner, which is the peer p, are refused. The peer may be
// known as an earlier process than the owner: a refusal counts then only if it is later than the
// news of the owner.
func (e *Elector) ownerGone(p *peer) bool {
	return p.gone && (p.ping.Member == e.owner || p.ping.Member.Address == e.owner.Address && p.goneAsOf.After(e.ownerSince))
}

// ownerReplaced reports whether the owner's process, that of the peer p, is known to have been replaced.
func (e *Elector) ownerReplaced(p *peer) bool { return replaced(p, e.owner, e.ownerSince) }

// replaced reports whether the process of an owner that this entry has known since a time is known to have
// been replaced: the peer p of its name replied as another incarnation to a ping that was sent after that
// time. An incarnation from the list of members, or one whose pings were held up, may be an earlier
// one than the owner.
func replaced(p *peer, owner messenger.Member, since time.Time) bool {
	return p.ping.Member.Incarnation != owner.Incarnation && p.repliedAsOf.After(since)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PeerWithNewerConfig returns an entry that sent a ping recently and whose configuration is later than
// view, and whether there is one. It is one of those with the most processors; entries that are behind
// at the same time choose different ones, as a configuration may be long.
func (e *Elector) PeerWithNewerConfig(now time.Time, view int) (messenger.Member, bool) {
	var best *peer
	maxAge := max(e.config.MaxTakeoverPingAge, 2*e.watchInterval(now))
	for _, p := range e.peers {
		if p.gone || p.ping.View <= view || now.Sub(p.lastPingAt) > maxAge {
			continue
		}
		if best == nil || e.compareSources(p.ping.Member, best.ping.Member) < 0 {
			best = p
		}
	}
	if best == nil {
		return messenger.Member{}, false
	}
	return best.ping.Member, true
}

// compareSources orders entries by their processors, and those with as many in an order that differs from
// one entry to the next.
func (e *Elector) compareSources(a, b messenger.Member) int {
	return cmp.Or(cmp.Compare(b.ProcessorMillis, a.ProcessorMillis), cmp.Compare(e.hashWith(a.Name), e.hashWith(b.Name)), cmp.Compare(a.Name, b.Name))
}

// hashWith returns a hash of another entry's name and that of this one.
func (e *Elector) hashWith(name string) uint64 {
	sum := sha256.Sum256([]byte(name + "/" + e.self.Name))
	return binary.BigEndian.Uint64(sum[:])
}

// OwnerRecentlyKnown reports whether an owner was known within MaxAge.
func (e *Elector) OwnerRecentlyKnown(now time.Time) bool {
	return e.OwnerSilence(now) < e.config.MaxAge
}

// OwnerSilence returns how long ago an entry, this one included, was last known to own the
// workloads. The time by which this entry pings the owner later than a standby does is left
// out.
func (e *Elector) OwnerSilence(now time.Time) time.Duration {
	silence := now.Sub(latest(e.ownerSeenAt, e.startedAt))
	return max(0, silence-(e.watchInterval(now)-e.config.PingInterval))
}

// RecordOwnerAnswer records that an entry answered a request as the owner.
func (e *Elector) RecordOwnerAnswer(now time.Time, owner messenger.Member) {
	if owner == e.owner {
		e.ownerSeenAt = now
	}
}

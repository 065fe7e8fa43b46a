package elector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/elector"
	"apricotwinch/messenger"
)

var start = time.Unix(1000, 0)

func member(name string) messenger.Member {
	return messenger.Member{Name: name, Address: name + ":1", Incarnation: name + "-1"}
}

// fixture is an elector of entry-b with the time that is passed to it.
type fixture struct {
	*elector.Elector
	now time.Time
}

func newFixture() *fixture {
	return &fixture{Elector: elector.New(start, elector.DefaultConfig(), member("entry-b")), now: start}
}

// advance moves the time forward in ticks of 25 ms. At each tick every ping is received again, in
// reply to one of this entry, and the store answers and accepts an append if store is set. It
// returns the first action that is due.
func (s *fixture) advance(d time.Duration, store bool, pings ...messenger.Ping) elector.Action {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		if store {
			s.RecordStoreAnswer(s.now)
			s.RecordAppend(s.now)
		}
		for _, p := range pings {
			s.HandlePingReply(s.now, s.now, p)
		}
		if action := s.Tick(s.now); action != elector.None {
			return action
		}
	}
	return elector.None
}

func ping(name string, epoch int, change func(*messenger.Ping)) messenger.Ping {
	p := messenger.Ping{Member: member(name), Epoch: epoch}
	if change != nil {
		change(&p)
	}
	return p
}

func asOwner(p *messenger.Ping) { p.Owner = true }

func TestClaims(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *fixture) elector.Action
		want elector.Action
	}{
		{name: "no owner", run: func(s *fixture) elector.Action { return s.advance(time.Second, true) }, want: elector.Claim},
		{name: "no owner and no store", run: func(s *fixture) elector.Action { return s.advance(10*time.Second, false) }},
		{name: "owner sends pings", run: func(s *fixture) elector.Action { return s.advance(10*time.Second, true, ping("entry-a", 3, asOwner)) }},
		{name: "owner falls silent", want: elector.Claim, run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			return s.advance(time.Second, true)
		}},
		{name: "owner is silent, but its hosts reach it", run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			for range 100 {
				s.HandleHostReport(s.now, "host-1", 3, 100*time.Millisecond)
				if action := s.advance(50*time.Millisecond, true); action != elector.None {
					return action
				}
			}
			return elector.None
		}},
		{name: "owner's process is gone", want: elector.Claim, run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			s.MarkPeerGone(s.now, member("entry-a"))
			return s.advance(50*time.Millisecond, true)
		}},
		{name: "owner released", want: elector.Claim, run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			return s.advance(50*time.Millisecond, true, ping("entry-a", 3, func(p *messenger.Ping) { p.Released = true }))
		}},
		{name: "owner restarted as another incarnation", want: elector.Claim, run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			return s.advance(50*time.Millisecond, true, ping("entry-a", 3, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" }))
		}},
		{name: "another entry claims first", run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, ping("entry-c", 3, asOwner), ping("entry-a", 3, nil))
			return s.advance(720*time.Millisecond, true, ping("entry-a", 3, nil))
		}},
		{name: "earlier incarnation of this entry was the owner", want: elector.Claim, run: func(s *fixture) elector.Action {
			s.RecordOwner(s.now, 3, messenger.Member{Name: "entry-b", Incarnation: "entry-b-0"})
			return s.advance(50*time.Millisecond, true)
		}},
		{name: "shutting down", run: func(s *fixture) elector.Action { s.Shutdown(); return s.advance(10*time.Second, true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.run(newFixture())); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOwnerWithoutStore checks how an owner acts while the store does not answer.
func TestOwnerWithoutStore(t *testing.T) {
	reachingStore := ping("entry-c", 4, nil)
	withoutStore := ping("entry-c", 4, func(p *messenger.Ping) { p.StoreMillis = 60_000 })
	tests := []struct {
		name      string
		run       func(s *fixture) elector.Action
		want      elector.Action
		authority bool
	}{
		{name: "the store answers", run: func(s *fixture) elector.Action { return s.advance(time.Minute, true, reachingStore) }, authority: true},
		{name: "another entry reaches it", run: func(s *fixture) elector.Action { return s.advance(time.Minute, false, reachingStore) }, want: elector.Release},
		{name: "no entry reaches it", run: func(s *fixture) elector.Action { return s.advance(30*time.Second, false, withoutStore) }, authority: true},
		{name: "an entry that may have claimed is silent", run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, reachingStore)
			return s.advance(5*time.Second, false)
		}},
		{name: "the silence is short", authority: true, run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, reachingStore)
			return s.advance(3*time.Second, false)
		}},
		{name: "the machine was suspended", run: func(s *fixture) elector.Action {
			s.advance(time.Second, true, reachingStore)
			s.now = s.now.Add(6 * time.Second)
			return elector.None
		}},
		{name: "a host knows a later epoch", run: func(s *fixture) elector.Action {
			s.HandleHostReport(s.now, "host-1", 5, 0)
			return elector.None
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordClaim(s.now, s.now, 4)
			if diff := cmp.Diff(test.want, test.run(s)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.authority, s.HasAuthority(s.now)); diff != "" {
				t.Errorf("authority (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPausedOwnerKeepsOwnership guards against an owner that steps down after it stood still, as its own
// processor kept it from hearing the store.
func TestPausedOwnerKeepsOwnership(t *testing.T) {
	const pause = 1500 * time.Millisecond
	reachingStore := ping("entry-a", 1, func(p *messenger.Ping) { p.StoreMillis = 20 })
	tests := []struct {
		name  string
		store bool
		want  elector.Action
	}{
		{name: "store answers after the pause", store: true, want: elector.None},
		{name: "store stays silent", want: elector.Release},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordClaim(s.now, s.now, 1)
			s.advance(2*time.Second, true, reachingStore)
			s.now = s.now.Add(pause)
			// The ping of another entry is heard before the store's answer.
			s.HandlePing(s.now, reachingStore)
			if diff := cmp.Diff(elector.None, s.Tick(s.now)); diff != "" {
				t.Errorf("action right after the pause (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.want, s.advance(time.Second, test.store, reachingStore)); diff != "" {
				t.Errorf("action after the pause (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPausedOwnerWithoutStoreStepsDown checks that pauses don't make an owner that doesn't reach the store
// stay for longer than it may act.
func TestPausedOwnerWithoutStoreStepsDown(t *testing.T) {
	reachingStore := ping("entry-a", 1, func(p *messenger.Ping) { p.StoreMillis = 20 })
	s := newFixture()
	s.RecordClaim(s.now, s.now, 1)
	s.advance(2*time.Second, true, reachingStore)
	silentSince := s.now
	for s.advance(300*time.Millisecond, false, reachingStore) != elector.Release {
		s.now = s.now.Add(600 * time.Millisecond)
		if silent := s.now.Sub(silentSince); silent > elector.DefaultConfig().AuthorityTimeout+time.Second {
			t.Fatalf("owner %s after the last answer of the store", silent)
		}
	}
}

// TestOnlyFencedAppendsExtendAuthority guards against an owner that acts although a successor has
// long taken over: answers of the store to other calls, and pings that a partition held up, say
// nothing of a later epoch.
func TestOnlyFencedAppendsExtendAuthority(t *testing.T) {
	const step = 100 * time.Millisecond
	peer := ping("entry-c", 4, nil)
	tests := []struct {
		name   string
		update func(s *fixture)
		want   bool
	}{
		{name: "the store answers other calls", update: func(s *fixture) { s.RecordStoreAnswer(s.now) }},
		{name: "a peer's pings arrive", update: func(s *fixture) { s.HandlePing(s.now, peer) }},
		{name: "a peer replies to a ping that was sent long ago", update: func(s *fixture) { s.HandlePingReply(start, s.now, peer) }},
		{name: "the store accepts an append that was first sent long ago", update: func(s *fixture) { s.RecordAppend(start) }},
		{name: "a peer refused a connection long ago", update: func(s *fixture) { s.MarkPeerGone(start, member("entry-c")) }},
		{name: "a peer refuses connections", update: func(s *fixture) { s.MarkPeerGone(s.now, member("entry-c")) }},
		{name: "the store accepts appends", update: func(s *fixture) { s.RecordAppend(s.now) }, want: true},
		{name: "a peer replies to pings", update: func(s *fixture) { s.HandlePingReply(s.now, s.now, peer) }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordClaim(s.now, s.now, 4)
			s.AddMember(s.now, member("entry-c"))
			for range 50 {
				s.now = s.now.Add(step)
				s.RecordStoreAnswer(s.now)
				test.update(s)
			}
			if diff := cmp.Diff(test.want, s.HasAuthority(s.now)); diff != "" {
				t.Errorf("authority (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLongIsolationGivesNoAuthority guards against an owner that acts again after a long partition,
// as it has forgotten the peers that it no longer hears.
func TestLongIsolationGivesNoAuthority(t *testing.T) {
	s := newFixture()
	s.RecordClaim(s.now, s.now, 4)
	s.advance(time.Second, true, ping("entry-c", 4, nil))
	s.AllPingTargets(s.now)
	for range 5 {
		s.advance(30*time.Second, false)
		if diff := cmp.Diff(false, s.HasAuthority(s.now)); diff != "" {
			t.Fatalf("authority %s after the claim (-want +got):\n%s", s.now.Sub(start), diff)
		}
	}
}

// TestUnknownOwnerCountsAsActing guards against a takeover that trusts the silence of an owner
// that this entry does not know by name.
func TestUnknownOwnerCountsAsActing(t *testing.T) {
	s := newFixture()
	if diff := cmp.Diff(true, s.PreviousOwnerStopped()); diff != "" {
		t.Errorf("stopped before the first epoch (-want +got):\n%s", diff)
	}
	s.RecordOwner(s.now, 3, member("entry-a"))
	s.RecordLaterEpoch(s.now, 4)
	if diff := cmp.Diff(false, s.PreviousOwnerStopped()); diff != "" {
		t.Errorf("stopped when the owner of epoch 4 is not known (-want +got):\n%s", diff)
	}
}

// TestPredecessorStopped guards against work that waits twice as long as it must after a takeover: the proof that
// the predecessor has stopped comes only after the claim. It also guards against a run of the predecessor that is
// given up although that may still act.
func TestPredecessorStopped(t *testing.T) {
	next := func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" }
	tests := []struct {
		name   string
		update func(s *fixture)
		want   bool
	}{
		{name: "silent", update: func(*fixture) {}},
		{name: "refuses connections", update: func(s *fixture) { s.MarkPeerGone(s.now, member("entry-a")) }},
		{name: "replies at its own epoch", update: func(s *fixture) { s.HandlePingReply(s.now, s.now, ping("entry-a", 3, nil)) }},
		{name: "knows the later epoch", update: func(s *fixture) { s.HandlePingReply(s.now, s.now, ping("entry-a", 4, nil)) }, want: true},
		{name: "another process replies", update: func(s *fixture) { s.HandlePingReply(s.now, s.now, ping("entry-a", 0, next)) }, want: true},
		{
			name:   "another process replies to a ping from before the owner was known",
			update: func(s *fixture) { s.HandlePingReply(start, s.now, ping("entry-a", 0, next)) },
		},
		{name: "ping of another process", update: func(s *fixture) { s.HandlePing(s.now, ping("entry-a", 0, next)) }},
		{name: "another entry replies", update: func(s *fixture) { s.HandlePingReply(s.now, s.now, ping("entry-c", 4, nil)) }},
		{
			name: "replaced in turn",
			update: func(s *fixture) {
				s.HandlePingReply(s.now, s.now, ping("entry-a", 0, next))
				s.RecordLaterEpoch(s.now, 5)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.advance(time.Second, true, ping("entry-a", 3, asOwner))
			s.RecordTakeover(4)
			s.HandlePingReply(s.now, s.now, ping("entry-c", 4, nil)) // It has learned of the claim.
			s.RecordClaim(s.now, s.now, 4)
			s.now = s.now.Add(100 * time.Millisecond)
			test.update(s)
			if diff := cmp.Diff(test.want, s.PredecessorStopped()); diff != "" {
				t.Errorf("the predecessor has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPredecessorIsPinged guards against a proof that never comes: the predecessor's entry is back as another
// process and pings the owner, which hears it and asks for no reply.
func TestPredecessorIsPinged(t *testing.T) {
	s := newFixture()
	s.advance(time.Second, true, ping("entry-a", 3, asOwner))
	s.RecordClaim(s.now, s.now, 4)
	next := ping("entry-a", 0, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" })
	pinged := func() bool {
		for end := s.now.Add(500 * time.Millisecond); s.now.Before(end); {
			s.now = s.now.Add(25 * time.Millisecond)
			next.Number++
			s.HandlePing(s.now, next)
			if slices.Contains(s.PingTargets(s.now), next.Member) {
				return true
			}
		}
		return false
	}
	if !pinged() {
		t.Error("the predecessor's next process isn't pinged within 0.5 s")
	}
	s.HandlePingReply(s.now, s.now, next)
	if pinged() {
		t.Error("it is pinged again although it is known that the predecessor has stopped")
	}
}

// TestRefusedConnectionIsNotStoppedOwner guards against tasks that run twice after a takeover: an owner
// behind a partition that refuses connections acts until its authority ends.
func TestRefusedConnectionIsNotStoppedOwner(t *testing.T) {
	s := newFixture()
	s.advance(time.Second, true, ping("entry-a", 3, asOwner))
	s.MarkPeerGone(s.now, member("entry-a"))
	if diff := cmp.Diff(elector.Claim, s.advance(50*time.Millisecond, true)); diff != "" {
		t.Errorf("action (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(false, s.PreviousOwnerStopped()); diff != "" {
		t.Errorf("the owner has stopped (-want +got):\n%s", diff)
	}
}

// TestOutdatedPeerIsNotReplacedOwner guards against a claim over an owner that acts, after all entries
// restarted: what this entry knew of the owner's process was of an earlier one.
func TestOutdatedPeerIsNotReplacedOwner(t *testing.T) {
	earlier := messenger.Member{Name: "entry-a", Incarnation: "entry-a-0"}
	tests := []struct {
		name   string
		before func(s *fixture)
	}{
		{name: "listed as an earlier incarnation", before: func(s *fixture) { s.AddMember(s.now, earlier) }},
		{name: "found gone before it pinged", before: func(s *fixture) {
			sent := s.now
			s.now = s.now.Add(10 * time.Millisecond)
			s.HandlePing(s.now, ping("entry-a", 2, nil))
			s.MarkPeerGone(sent, member("entry-a"))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			test.before(s)
			s.RecordOwner(s.now, 3, member("entry-a"))
			if diff := cmp.Diff(elector.None, s.advance(200*time.Millisecond, true)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(false, s.PreviousOwnerStopped()); diff != "" {
				t.Errorf("the owner has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOutdatedStateIsNotEndOfOwner guards against a claim over an owner that acts, and against a
// successor that takes its runs for ended too early, because of what the owner's name reported
// earlier: a partition holds pings up for seconds, and other entries report a new owner first.
func TestOutdatedStateIsNotEndOfOwner(t *testing.T) {
	released := func(p *messenger.Ping) { p.Released = true }
	next := messenger.Member{Name: "entry-a", Address: "entry-a:2", Incarnation: "entry-a-2"}
	tests := []struct {
		name string
		run  func(s *fixture)
	}{
		{name: "released an earlier epoch before it claimed again", run: func(s *fixture) {
			s.HandlePing(s.now, ping("entry-a", 3, released))
			s.RecordOwner(s.now, 4, member("entry-a"))
		}},
		{name: "released an earlier epoch, ping arrives late", run: func(s *fixture) {
			s.HandlePing(s.now, ping("entry-a", 4, asOwner))
			s.HandlePing(s.now, ping("entry-a", 3, released))
		}},
		{name: "left no owner for a moment, ping arrives late", run: func(s *fixture) {
			s.HandlePing(s.now, ping("entry-a", 4, func(p *messenger.Ping) { p.Owner, p.Number = true, 2 }))
			s.HandlePing(s.now, ping("entry-a", 4, func(p *messenger.Ping) { p.Released, p.Number = true, 1 }))
		}},
		{name: "an earlier process was gone before another entry named the owner", run: func(s *fixture) {
			s.AddMember(s.now, messenger.Member{Name: "entry-a", Address: "entry-a:1", Incarnation: "entry-a-0"})
			s.MarkPeerGone(s.now, member("entry-a"))
			s.RecordOwner(s.now.Add(time.Millisecond), 4, member("entry-a"))
		}},
		{name: "no process listens at an earlier address", run: func(s *fixture) {
			s.HandlePing(s.now, messenger.Ping{Member: next, Epoch: 4, Owner: true})
			s.MarkPeerGone(s.now, member("entry-a"))
		}},
		{name: "ping of an earlier process arrives late", run: func(s *fixture) {
			s.HandlePing(s.now, messenger.Ping{Member: next, Epoch: 4, Owner: true})
			s.HandlePing(s.now.Add(time.Millisecond), ping("entry-a", 3, nil))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			test.run(s)
			if diff := cmp.Diff(elector.None, s.advance(100*time.Millisecond, true)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(false, s.PreviousOwnerStopped()); diff != "" {
				t.Errorf("the owner has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedOwnerIsAskedAtOnce checks that an entry asks another process of the owner's name for a
// reply at once, and claims when that has come.
func TestReplacedOwnerIsAskedAtOnce(t *testing.T) {
	s := newFixture()
	s.advance(time.Second, true, ping("entry-a", 3, asOwner))
	s.PingTargets(s.now)
	replacement := ping("entry-a", 0, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" })
	s.HandlePing(s.now, replacement)
	if diff := cmp.Diff([]messenger.Member{replacement.Member}, s.PingTargets(s.now)); diff != "" {
		t.Errorf("pinged entries (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(elector.Claim, s.advance(50*time.Millisecond, true, replacement)); diff != "" {
		t.Errorf("action (-want +got):\n%s", diff)
	}
}

// TestEndedPeerMayHaveClaimed guards against an owner without the store that acts on beside a
// successor's runs: the entry that claimed has ended or restarted since, and knows nothing of it.
func TestEndedPeerMayHaveClaimed(t *testing.T) {
	const step = 100 * time.Millisecond
	peer := ping("entry-c", 4, nil)
	restarted := ping("entry-c", 0, func(p *messenger.Ping) { p.Member.Incarnation = "entry-c-2" })
	tests := []struct {
		name string
		// unseen is how long the peer does not answer before it replies again.
		unseen time.Duration
		reply  messenger.Ping
		want   bool
	}{
		{name: "restarted after a partition", unseen: 2 * time.Second, reply: restarted},
		{name: "restarted while it was watched", reply: restarted, want: true},
		{name: "restarted after a short partition that refused its pings to the owner", unseen: 500 * time.Millisecond, reply: restarted},
		{name: "replies again after a partition", unseen: 2 * time.Second, reply: peer, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.name == "restarted after a short partition that refused its pings to the owner" {
				knownRed(t)
			}
			s := newFixture()
			s.RecordClaim(s.now, s.now, 4)
			for range 10 {
				s.now = s.now.Add(step)
				s.HandlePingReply(s.now, s.now, peer)
			}
			s.now = s.now.Add(test.unseen)
			for range 50 {
				s.now = s.now.Add(step)
				s.HandlePingReply(s.now, s.now, test.reply)
			}
			if diff := cmp.Diff(test.want, s.HasAuthority(s.now)); diff != "" {
				t.Errorf("authority (-want +got):\n%s", diff)
			}
			s.RecordAppend(s.now)
			s.now = s.now.Add(step)
			s.HandlePingReply(s.now, s.now, test.reply)
			if diff := cmp.Diff(true, s.ProvenSince(s.now, s.now)); diff != "" {
				t.Errorf("proven by the peers after an append (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedConnectionIsNotEndOfProcess guards against two owners that act at the same time behind a
// partition that refuses connections: each took the other for ended.
func TestRefusedConnectionIsNotEndOfProcess(t *testing.T) {
	successor := newFixture()
	successor.advance(time.Second, true, ping("entry-a", 3, asOwner))
	successor.MarkPeerGone(successor.now, member("entry-a"))
	if diff := cmp.Diff(elector.Claim, successor.advance(50*time.Millisecond, true)); diff != "" {
		t.Errorf("action of the successor (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(false, successor.PreviousOwnerStopped()); diff != "" {
		t.Errorf("the owner has stopped (-want +got):\n%s", diff)
	}
	owner := newFixture()
	owner.RecordClaim(owner.now, owner.now, 4)
	owner.advance(time.Second, true, ping("entry-c", 4, nil))
	for range 50 {
		owner.now = owner.now.Add(100 * time.Millisecond)
		owner.MarkPeerGone(owner.now, member("entry-c"))
	}
	if diff := cmp.Diff(false, owner.HasAuthority(owner.now)); diff != "" {
		t.Errorf("authority of the owner (-want +got):\n%s", diff)
	}
}

// TestEpochNeverDecreases checks that reports of earlier epochs that arrive late change
// nothing.
func TestEpochNeverDecreases(t *testing.T) {
	s := newFixture()
	s.RecordOwner(s.now, 5, member("entry-a"))
	s.RecordOwner(s.now, 4, member("entry-c"))
	s.HandlePing(s.now, ping("entry-c", 3, asOwner))
	if diff := cmp.Diff("entry-a", s.Owner().Name); diff != "" {
		t.Errorf("owner (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(5), s.Epoch()); diff != "" {
		t.Errorf("epoch (-want +got):\n%s", diff)
	}
}

func ExampleElector() {
	e := elector.New(start, elector.DefaultConfig(), member("entry-a"))
	e.RecordStoreAnswer(start)
	fmt.Println(e.Tick(start.Add(time.Second)) == elector.Claim)
	e.RecordClaim(start.Add(time.Second), start.Add(time.Second), 1)
	fmt.Println(e.HasAuthority(start.Add(2 * time.Second)))
	// Output:
	// true
	// true
}

func memberWithProcessors(name string, processorMillis int) messenger.Member {
	m := member(name)
	m.ProcessorMillis = processorMillis
	return m
}

// TestWeakOwnerYieldsToStrongerPeer checks that an owner on a weak host yields to a much
// stronger entry that reaches the store, leaves it time to claim, and waits longer before each
// further yield.
func TestWeakOwnerYieldsToStrongerPeer(t *testing.T) {
	tests := []struct {
		name string
		peer messenger.Ping
		want elector.Action
	}{
		{name: "much stronger", peer: messenger.Ping{Member: memberWithProcessors("entry-c", 800)}, want: elector.Yield},
		{name: "hardly stronger", peer: messenger.Ping{Member: memberWithProcessors("entry-c", 250)}},
		{name: "without the store", peer: messenger.Ping{Member: memberWithProcessors("entry-c", 800), StoreMillis: -1}},
		{name: "shuts down", peer: messenger.Ping{Member: memberWithProcessors("entry-c", 800), Leaving: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &fixture{Elector: elector.New(start, elector.DefaultConfig(), memberWithProcessors("entry-b", 192)), now: start}
			s.RecordClaim(s.now, s.now, 1)
			test.peer.Epoch = 1
			if diff := cmp.Diff(test.want, s.advance(10*time.Second, true, test.peer)); diff != "" {
				t.Fatalf("action (-want +got):\n%s", diff)
			}
			if test.want != elector.Yield {
				return
			}
			firstYieldAfter := s.now.Sub(start)
			s.RecordYield(s.now)
			if got := s.advance(500*time.Millisecond, true, test.peer); got != elector.None {
				t.Errorf("action after the yield: got %v, want none", got)
			}
			s.RecordClaim(s.now, s.now, 2)
			claimed := s.now
			s.advance(time.Minute, true, test.peer)
			if nextYieldAfter := s.now.Sub(claimed); nextYieldAfter < 2*firstYieldAfter-100*time.Millisecond {
				t.Errorf("second yield after %s, first after %s", nextYieldAfter, firstYieldAfter)
			}
		})
	}
}

// TestStrongestClaimsFirst checks that of several entries the one with the most processors
// claims, and that the others wait for it.
func TestStrongestClaimsFirst(t *testing.T) {
	s := &fixture{Elector: elector.New(start, elector.DefaultConfig(), memberWithProcessors("entry-b", 800)), now: start}
	weak := messenger.Ping{Member: memberWithProcessors("entry-a", 192)}
	if got := s.advance(200*time.Millisecond, true, weak); got != elector.Claim {
		t.Errorf("strongest entry: got %v, want a claim", got)
	}
	s = &fixture{Elector: elector.New(start, elector.DefaultConfig(), memberWithProcessors("entry-b", 192)), now: start}
	strong := messenger.Ping{Member: memberWithProcessors("entry-c", 800)}
	if got := s.advance(250*time.Millisecond, true, strong); got != elector.None {
		t.Errorf("weaker entry: got %v, want none", got)
	}
}

// TestOwnerSilence checks the silence that decides how requests without an owner are answered. It
// counts from when any owner was last known, whichever entry that was. Clients that retry would
// otherwise be kept waiting again each time.
func TestOwnerSilence(t *testing.T) {
	s := newFixture()
	s.advance(3*time.Second, false, ping("entry-a", 3, asOwner))
	if got := s.OwnerSilence(s.now); got > 25*time.Millisecond {
		t.Errorf("silence of an owner that sends pings: got %s, want at most 25 ms", got)
	}
	s.advance(2*time.Second, false, ping("entry-c", 3, nil))
	if got := s.OwnerSilence(s.now); got < 2*time.Second {
		t.Errorf("silence of an owner that is gone: got %s, want at least 2 s", got)
	}
	s.RecordClaim(s.now, s.now, 4)
	s.advance(2*time.Second, true, ping("entry-c", 4, nil))
	s.RecordYield(s.now)
	if got := s.OwnerSilence(s.now); got > 25*time.Millisecond {
		t.Errorf("silence after this entry was the owner: got %s, want at most 25 ms", got)
	}
}

// TestStoreOutageKeepsOwner checks that an owner steps down in favor of an entry that the
// store answers, but not when the store fell silent for all entries at once, whatever the
// order of its last answers.
func TestStoreOutageKeepsOwner(t *testing.T) {
	tests := []struct {
		name string
		// lag is how much later than this entry the other one got its last answer; served is
		// whether it still gets answers.
		lag    time.Duration
		served bool
		want   elector.Action
	}{
		{name: "down for all", lag: 0},
		{name: "down for all, the other was answered later", lag: 250 * time.Millisecond},
		{name: "serves the other", served: true, want: elector.Release},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordClaim(s.now, s.now, 1)
			s.advance(time.Second, true, ping("entry-a", 1, nil))
			outageStart := s.now
			for range 120 {
				answered := outageStart.Add(test.lag)
				if test.served {
					answered = s.now
				}
				other := ping("entry-a", 1, func(p *messenger.Ping) {
					p.StoreMillis = int(max(0, s.now.Sub(answered)).Milliseconds())
				})
				if action := s.advance(25*time.Millisecond, false, other); action != elector.None {
					if diff := cmp.Diff(test.want, action); diff != "" {
						t.Errorf("action after %s (-want +got):\n%s", s.now.Sub(outageStart), diff)
					}
					return
				}
			}
			if diff := cmp.Diff(test.want, elector.None); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSupersededClaimWaitsForOwner checks that an entry whose claim lost to another one leaves
// the unknown winner time to read the journal. Entries that claim in turn would otherwise
// fence each other before any of them acts.
func TestSupersededClaimWaitsForOwner(t *testing.T) {
	s := newFixture()
	if got := s.advance(time.Second, true); got != elector.Claim {
		t.Fatalf("got %v, want a claim", got)
	}
	s.RecordLaterEpoch(s.now, 1)
	if got := s.advance(700*time.Millisecond, true); got != elector.None {
		t.Errorf("got %v right after another entry's claim, want none", got)
	}
	if got := s.advance(time.Second, true); got != elector.Claim {
		t.Errorf("got %v, want a claim when no entry reports that it owns the workloads", got)
	}
}

// TestTakeoverOverSlowLinkIsAwaited checks that other entries do not claim while one that has
// claimed still reads the journal, but do if it takes too long or its process is gone. Entries
// on slow links would otherwise fence each other before any of them acts.
func TestTakeoverOverSlowLinkIsAwaited(t *testing.T) {
	takingOver := ping("entry-a", 4, func(p *messenger.Ping) { p.TakingOver = true })
	s := newFixture()
	s.advance(time.Second, true, ping("entry-c", 3, asOwner), ping("entry-a", 3, nil))
	if got := s.advance(6*time.Second, true, takingOver); got != elector.None {
		t.Errorf("during the takeover: got %v, want none", got)
	}
	if got := s.advance(6*time.Second, true, takingOver); got != elector.Claim {
		t.Errorf("after a takeover that does not end: got %v, want a claim", got)
	}
	s = newFixture()
	s.advance(time.Second, true, takingOver)
	s.MarkPeerGone(s.now, member("entry-a"))
	if got := s.advance(2*time.Second, true); got != elector.Claim {
		t.Errorf("after the death of the entry that takes over: got %v, want a claim", got)
	}
}

// TestTakeoverIsReported checks what an entry reports to others from its claim until it acts.
func TestTakeoverIsReported(t *testing.T) {
	s := newFixture()
	s.RecordOwner(s.now, 3, member("entry-a"))
	s.RecordTakeover(4)
	if p := s.Ping(s.now, 0); p.Epoch != 4 || !p.TakingOver || p.Owner {
		t.Errorf("during the takeover: %+v", p)
	}
	s.RecordClaim(s.now, s.now, 4)
	s.EndTakeover(s.now)
	if p := s.Ping(s.now, 0); p.Epoch != 4 || p.TakingOver || !p.Owner {
		t.Errorf("after the takeover: %+v", p)
	}
	s.RecordTakeover(5)
	s.EndTakeover(s.now)
	if p := s.Ping(s.now, 0); p.Epoch != 5 || p.TakingOver || p.Owner {
		t.Errorf("after a takeover that failed: %+v", p)
	}
}

// TestPeerWithNewerConfigReturnsStrongestPeer checks that an entry whose configuration is behind
// asks a single peer: the strongest of those that send pings and have a later configuration.
func TestPeerWithNewerConfigReturnsStrongestPeer(t *testing.T) {
	s := newFixture()
	pingWithView := func(name string, processorMillis, view int) messenger.Ping {
		return messenger.Ping{Member: memberWithProcessors(name, processorMillis), View: view}
	}
	s.advance(100*time.Millisecond, true, pingWithView("entry-a", 200, 9), pingWithView("entry-c", 800, 9), pingWithView("entry-d", 800, 7))
	tests := []struct {
		name string
		view int
		wait time.Duration
		want string
	}{
		{name: "behind", view: 7, want: "entry-c"},
		{name: "the same", view: 9, want: ""},
		{name: "all are silent", view: 7, wait: time.Second, want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := s.PeerWithNewerConfig(s.now.Add(test.wait), test.view)
			if got.Name != test.want || ok != (test.want != "") {
				t.Errorf("got %q, %v, want %q", got.Name, ok, test.want)
			}
		})
	}
}

// TestDelayedPingIsNotStoppedOwner guards against tasks that run twice after a takeover: a ping that a
// partition held up says nothing of what the owner does now.
func TestDelayedPingIsNotStoppedOwner(t *testing.T) {
	tests := []struct {
		name string
		ping messenger.Ping
	}{
		{name: "sent by an earlier incarnation", ping: ping("entry-a", 2, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-0" })},
		{name: "sent after the release of an earlier epoch", ping: ping("entry-a", 2, func(p *messenger.Ping) { p.Released = true })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordOwner(s.now, 3, member("entry-a"))
			s.now = s.now.Add(10 * time.Millisecond)
			s.HandlePing(s.now, test.ping)
			if diff := cmp.Diff(false, s.PreviousOwnerStopped()); diff != "" {
				t.Errorf("the owner has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnsweredPingShowsReplacedOwner checks that the next owner need not wait for an owner whose process
// has been replaced by one that answers, or that has released the ownership.
func TestAnsweredPingShowsReplacedOwner(t *testing.T) {
	tests := []struct {
		name string
		ping messenger.Ping
	}{
		{name: "replaced", ping: ping("entry-a", 0, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" })},
		{name: "released", ping: ping("entry-a", 3, func(p *messenger.Ping) { p.Released = true })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.RecordOwner(s.now, 3, member("entry-a"))
			sent := s.now.Add(10 * time.Millisecond)
			s.now = sent.Add(time.Millisecond)
			s.HandlePingReply(sent, s.now, test.ping)
			if diff := cmp.Diff(true, s.PreviousOwnerStopped()); diff != "" {
				t.Errorf("the owner has stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKilledOwnerIsNotCountedAsSilent guards against a slow takeover after the kill of an owner: entries
// that learned of its successor before they noticed the kill took it for a silent owner that was replaced.
func TestKilledOwnerIsNotCountedAsSilent(t *testing.T) {
	s := newFixture()
	s.advance(time.Second, true, ping("entry-a", 1, asOwner), ping("entry-c", 1, nil))
	s.now = s.now.Add(250 * time.Millisecond)
	s.HandlePing(s.now, ping("entry-c", 2, asOwner))
	s.MarkPeerGone(s.now, member("entry-a"))
	s.advance(3*time.Second, true, ping("entry-c", 2, asOwner))
	if diff := cmp.Diff(elector.Claim, s.advance(time.Second, true)); diff != "" {
		t.Errorf("action a second after the next owner fell silent (-want +got):\n%s", diff)
	}
}

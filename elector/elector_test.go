package elector_test

import (
	"fmt"
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

// stage is an elector of entry-b with the time that it is told.
type stage struct {
	*elector.Elector
	now time.Time
}

func newStage() *stage {
	return &stage{Elector: elector.New(start, elector.DefaultConfig(), member("entry-b")), now: start}
}

// pass lets time pass in steps in which the store answers and each of the pings is
// heard again, and returns the first step that is due.
func (s *stage) pass(d time.Duration, store bool, pings ...messenger.Ping) elector.Step {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		if store {
			s.StoreAnswered(s.now, s.now)
		}
		for _, p := range pings {
			s.Pinged(s.now, p)
		}
		if step := s.Tick(s.now); step != elector.Stay {
			return step
		}
	}
	return elector.Stay
}

func ping(name string, epoch int, change func(*messenger.Ping)) messenger.Ping {
	p := messenger.Ping{Member: member(name), Epoch: epoch}
	if change != nil {
		change(&p)
	}
	return p
}

func owning(p *messenger.Ping) { p.Owner = true }

func TestClaims(t *testing.T) {
	tests := []struct {
		name string
		play func(s *stage) elector.Step
		want elector.Step
	}{
		{name: "no owner", play: func(s *stage) elector.Step { return s.pass(time.Second, true) }, want: elector.Claim},
		{name: "no owner and no store", play: func(s *stage) elector.Step { return s.pass(10*time.Second, false) }},
		{name: "owner is heard", play: func(s *stage) elector.Step { return s.pass(10*time.Second, true, ping("entry-a", 3, owning)) }},
		{name: "owner falls silent", want: elector.Claim, play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-a", 3, owning))
			return s.pass(time.Second, true)
		}},
		{name: "owner is silent here, and its hosts hear it", play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-a", 3, owning))
			for range 100 {
				s.HostHeard(s.now, "host-1", 3, 100*time.Millisecond)
				if step := s.pass(50*time.Millisecond, true); step != elector.Stay {
					return step
				}
			}
			return elector.Stay
		}},
		{name: "owner's process is gone", want: elector.Claim, play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-a", 3, owning))
			s.Refused("entry-a")
			return s.pass(50*time.Millisecond, true)
		}},
		{name: "owner released", want: elector.Claim, play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-a", 3, owning))
			return s.pass(50*time.Millisecond, true, ping("entry-a", 3, func(p *messenger.Ping) { p.Released = true }))
		}},
		{name: "owner came back as another process", want: elector.Claim, play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-a", 3, owning))
			return s.pass(50*time.Millisecond, true, ping("entry-a", 3, func(p *messenger.Ping) { p.Member.Incarnation = "entry-a-2" }))
		}},
		{name: "another one goes first", play: func(s *stage) elector.Step {
			s.pass(time.Second, true, ping("entry-c", 3, owning), ping("entry-a", 3, nil))
			return s.pass(720*time.Millisecond, true, ping("entry-a", 3, nil))
		}},
		{name: "own earlier process owned", want: elector.Claim, play: func(s *stage) elector.Step {
			s.Learned(s.now, 3, messenger.Member{Name: "entry-b", Incarnation: "entry-b-0"})
			return s.pass(50*time.Millisecond, true)
		}},
		{name: "shutting down", play: func(s *stage) elector.Step { s.Left(); return s.pass(10*time.Second, true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.play(newStage())); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOwnerWithoutStore holds what an owner does that the store does not answer.
func TestOwnerWithoutStore(t *testing.T) {
	able := ping("entry-c", 4, nil)
	unable := ping("entry-c", 4, func(p *messenger.Ping) { p.StoreMillis = 60_000 })
	tests := []struct {
		name      string
		play      func(s *stage) elector.Step
		step      elector.Step
		authority bool
	}{
		{name: "the store answers", play: func(s *stage) elector.Step { return s.pass(time.Minute, true, able) }, authority: true},
		{name: "another entry reaches it", play: func(s *stage) elector.Step { return s.pass(time.Minute, false, able) }, step: elector.Release},
		{name: "no entry reaches it", play: func(s *stage) elector.Step { return s.pass(30*time.Second, false, unable) }, authority: true},
		{name: "an entry that may have claimed is silent", play: func(s *stage) elector.Step {
			s.pass(time.Second, true, able)
			return s.pass(5*time.Second, false)
		}},
		{name: "the silence is short", authority: true, play: func(s *stage) elector.Step {
			s.pass(time.Second, true, able)
			return s.pass(3*time.Second, false)
		}},
		{name: "the machine stood still", play: func(s *stage) elector.Step {
			s.pass(time.Second, true, able)
			s.now = s.now.Add(6 * time.Second)
			return elector.Stay
		}},
		{name: "a host knows a later epoch", play: func(s *stage) elector.Step {
			s.HostHeard(s.now, "host-1", 5, 0)
			return elector.Stay
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStage()
			s.Claimed(s.now, 4)
			if diff := cmp.Diff(test.step, test.play(s)); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.authority, s.Authority(s.now)); diff != "" {
				t.Errorf("authority (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEpochsNeverFall holds that what is learned late changes nothing.
func TestEpochsNeverFall(t *testing.T) {
	s := newStage()
	s.Learned(s.now, 5, member("entry-a"))
	s.Learned(s.now, 4, member("entry-c"))
	s.Pinged(s.now, ping("entry-c", 3, owning))
	if diff := cmp.Diff("entry-a", s.Owner().Name); diff != "" {
		t.Errorf("owner (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(5), s.Epoch()); diff != "" {
		t.Errorf("epoch (-want +got):\n%s", diff)
	}
}

func ExampleElector() {
	e := elector.New(start, elector.DefaultConfig(), member("entry-a"))
	e.StoreAnswered(start, start)
	fmt.Println(e.Tick(start.Add(time.Second)) == elector.Claim)
	e.Claimed(start.Add(time.Second), 1)
	fmt.Println(e.Authority(start.Add(2 * time.Second)))
	// Output:
	// true
	// true
}

func sized(name string, processorMillis int) messenger.Member {
	m := member(name)
	m.ProcessorMillis = processorMillis
	return m
}

// TestWeakOwnerYields holds that an owner on a weak host gives way to a much stronger
// entry that reaches the store, leaves it time to claim, and yields ever more rarely.
func TestWeakOwnerYields(t *testing.T) {
	tests := []struct {
		name string
		peer messenger.Ping
		want elector.Step
	}{
		{name: "much stronger", peer: messenger.Ping{Member: sized("entry-c", 800)}, want: elector.Yield},
		{name: "hardly stronger", peer: messenger.Ping{Member: sized("entry-c", 250)}},
		{name: "without the store", peer: messenger.Ping{Member: sized("entry-c", 800), StoreMillis: -1}},
		{name: "shuts down", peer: messenger.Ping{Member: sized("entry-c", 800), Leaving: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &stage{Elector: elector.New(start, elector.DefaultConfig(), sized("entry-b", 192)), now: start}
			s.Claimed(s.now, 1)
			test.peer.Epoch = 1
			if diff := cmp.Diff(test.want, s.pass(10*time.Second, true, test.peer)); diff != "" {
				t.Fatalf("step (-want +got):\n%s", diff)
			}
			if test.want != elector.Yield {
				return
			}
			first := s.now.Sub(start)
			s.Yielded(s.now)
			if got := s.pass(500*time.Millisecond, true, test.peer); got != elector.Stay {
				t.Errorf("step after the yield: got %v, want none", got)
			}
			s.Claimed(s.now, 2)
			claimed := s.now
			s.pass(time.Minute, true, test.peer)
			if again := s.now.Sub(claimed); again < 2*first-100*time.Millisecond {
				t.Errorf("yielded again after %s, at first after %s", again, first)
			}
		})
	}
}

// TestStrongestClaimsFirst holds that of several entries the one with most processors
// claims, and the others wait for it.
func TestStrongestClaimsFirst(t *testing.T) {
	s := &stage{Elector: elector.New(start, elector.DefaultConfig(), sized("entry-b", 800)), now: start}
	weak := messenger.Ping{Member: sized("entry-a", 192)}
	if got := s.pass(200*time.Millisecond, true, weak); got != elector.Claim {
		t.Errorf("the strongest: got %v, want a claim", got)
	}
	s = &stage{Elector: elector.New(start, elector.DefaultConfig(), sized("entry-b", 192)), now: start}
	strong := messenger.Ping{Member: sized("entry-c", 800)}
	if got := s.pass(250*time.Millisecond, true, strong); got != elector.Stay {
		t.Errorf("the weaker: got %v, want none", got)
	}
}

// TestRetryStormWithoutOwner holds what requests without an owner are judged by: its
// silence counts from when it was last heard, whoever it was, so that clients that come
// again are not held once more.
func TestRetryStormWithoutOwner(t *testing.T) {
	s := newStage()
	s.pass(3*time.Second, false, ping("entry-a", 3, owning))
	if got := s.OwnerSilence(s.now); got > 25*time.Millisecond {
		t.Errorf("silence of an owner that is heard: %s", got)
	}
	s.pass(2*time.Second, false, ping("entry-c", 3, nil))
	if got := s.OwnerSilence(s.now); got < 2*time.Second {
		t.Errorf("silence of an owner that is gone: %s", got)
	}
	s.Claimed(s.now, 4)
	s.pass(2*time.Second, true, ping("entry-c", 4, nil))
	s.Yielded(s.now)
	if got := s.OwnerSilence(s.now); got > 25*time.Millisecond {
		t.Errorf("silence after this entry's own ownership: %s", got)
	}
}

// TestStoreOutageKeepsTheOwner holds that an owner lets go to an entry that the store
// serves, but not when the store fell silent for all at once, however the last answers
// fell.
func TestStoreOutageKeepsTheOwner(t *testing.T) {
	tests := []struct {
		name string
		// lag is how much later than this entry the other one was last answered, served
		// whether it still is.
		lag    time.Duration
		served bool
		want   elector.Step
	}{
		{name: "down for all", lag: 0},
		{name: "down for all, the other was answered later", lag: 250 * time.Millisecond},
		{name: "serves the other", served: true, want: elector.Release},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStage()
			s.Claimed(s.now, 1)
			s.pass(time.Second, true, ping("entry-a", 1, nil))
			lost := s.now
			for range 120 {
				answered := lost.Add(test.lag)
				if test.served {
					answered = s.now
				}
				other := ping("entry-a", 1, func(p *messenger.Ping) {
					p.StoreMillis = int(max(0, s.now.Sub(answered)).Milliseconds())
				})
				if step := s.pass(25*time.Millisecond, false, other); step != elector.Stay {
					if diff := cmp.Diff(test.want, step); diff != "" {
						t.Errorf("step after %s (-want +got):\n%s", s.now.Sub(lost), diff)
					}
					return
				}
			}
			if diff := cmp.Diff(test.want, elector.Stay); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHerdOfClaimsWaitsForTheWinner holds that an entry whose claim was forestalled
// leaves the unknown winner time to read the journal.
func TestHerdOfClaimsWaitsForTheWinner(t *testing.T) {
	s := newStage()
	if got := s.pass(time.Second, true); got != elector.Claim {
		t.Fatalf("got %v, want a claim", got)
	}
	s.Superseded(s.now, 1)
	if got := s.pass(700*time.Millisecond, true); got != elector.Stay {
		t.Errorf("claimed %v after the winner's claim", got)
	}
	if got := s.pass(time.Second, true); got != elector.Claim {
		t.Errorf("got %v, want a claim when nobody tells of the ownership", got)
	}
}

// TestHerdOfConfigurationsAsksOnePeer holds that an entry that is behind finds one peer to
// ask: the strongest of those that are heard and have a later configuration.
func TestHerdOfConfigurationsAsksOnePeer(t *testing.T) {
	s := newStage()
	view := func(name string, processorMillis, view int) messenger.Ping {
		return messenger.Ping{Member: sized(name, processorMillis), View: view}
	}
	s.pass(100*time.Millisecond, true, view("entry-a", 200, 9), view("entry-c", 800, 9), view("entry-d", 800, 7))
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
			got, ok := s.Newer(s.now.Add(test.wait), test.view)
			if got != test.want || ok != (test.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, test.want)
			}
		})
	}
}

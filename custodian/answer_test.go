package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

var errNoProcess = apricotwinch.Errorf(apricotwinch.StaleIncarnation, "no process listens")

// TestStartAnsweredByNextIncarnation guards against a task that runs twice: the next incarnation of an executor answers a
// start that was meant for the last one, without its start time, so that the start counted as one on the last one, and
// its lease as that one's.
func TestStartAnsweredByNextIncarnation(t *testing.T) {
	const nextClock = 3 * time.Hour
	old := apricotwinch.Errorf(apricotwinch.Conflict, "old")
	for _, test := range []struct {
		name string
		// clock is that of the answer; 0 for the clock of the last incarnation.
		clock time.Duration
		err   error
		// held is whether the task waits for the next incarnation's list, and stray whether that has a stray lease.
		held, stray bool
	}{
		{name: "next incarnation", clock: nextClock, held: true, stray: true},
		{name: "next incarnation, clock behind", clock: time.Millisecond, held: true, stray: true},
		{name: "next incarnation, rejected", clock: nextClock, err: old, held: true, stray: true},
		{name: "last incarnation"},
		{name: "last incarnation, rejected", err: old},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.answers(30 * time.Second)
			s.renew()
			s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
			call := s.startRun(t, 0)
			s.now = s.now.Add(100 * time.Millisecond)
			answer := custodian.Answer{Clock: test.clock}
			if test.clock == 0 {
				answer.Clock = s.clock()
			}
			s.HandleStartAnswer(s.now, call, answer, test.err)
			s.hold(custodian.HoldAnswer{}, errNoProcess)
			var listed []messenger.RunRef
			for _, e := range s.renew().Executors {
				for _, run := range e.Runs {
					listed = append(listed, run.Run)
				}
			}
			var want []messenger.RunRef
			if test.held {
				want = []messenger.RunRef{call.Order.Run}
			}
			if diff := cmp.Diff(want, listed); diff != "" {
				t.Errorf("runs that wait for the next incarnation (-want +got):\n%s", diff)
			}
			if got := strayMillis(t, s.confirmNext()) > 0; got != test.stray {
				t.Errorf("stray lease = %t, want %t", got, test.stray)
			}
		})
	}
}

// newUsedFixture returns a fixture of which no earlier agent has calls under way, with a lease.
func newUsedFixture() *fixture {
	s := newFixture()
	s.answers(30 * time.Second)
	s.renew()
	s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
	return s
}

// TestHoldRejectedByNextIncarnation guards against a task that runs twice: the next incarnation rejects a hold, whose answer
// has its clock, before it answers a start that was meant for the last one.
func TestHoldRejectedByNextIncarnation(t *testing.T) {
	s := newUsedFixture()
	call := s.startRun(t, 0)
	hold, _ := s.NextHold(s.now, "e")
	sent := s.now
	s.now = s.now.Add(50 * time.Millisecond)
	next := custodian.Answer{Clock: 3 * time.Hour}
	s.HandleHoldAnswer(s.now, sent, hold, custodian.HoldAnswer{Answer: next}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	s.HandleStartAnswer(s.now, call, next, nil)
	s.hold(custodian.HoldAnswer{}, errNoProcess)
	if diff := cmp.Diff(listing{Phases: map[string]string{"0#1": messenger.RunStarting}}, s.listing()); diff != "" {
		t.Errorf("listing (-want +got):\n%s", diff)
	}
	if strayMillis(t, s.confirmNext()) <= 0 {
		t.Error("no stray lease")
	}
}

// TestStartUnderWayToSecondNextIncarnation guards against a task that runs twice: the next incarnation has carried out one call
// of a repeated start and ends, and the one after it carries out the other.
func TestStartUnderWayToSecondNextIncarnation(t *testing.T) {
	s := newUsedFixture()
	s.HandleStartAnswer(s.now, s.startRun(t, 0), custodian.Answer{}, errNoAnswer)
	s.HandleStartAnswer(s.now, s.repeatStart(t), custodian.Answer{}, errNoAnswer)
	s.hold(custodian.HoldAnswer{}, errNoProcess)
	s.announce(func(a *custodian.Announcement) { a.StartedMillis = nextBorn })
	for range 2 {
		s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: nextBorn}, Runs: states(0)}, nil)
	}
	s.renew()
	s.hold(custodian.HoldAnswer{}, errNoProcess)
	if diff := cmp.Diff(listing{Phases: map[string]string{"0#1": messenger.RunRunning}, Gone: 1}, s.listing()); diff != "" {
		t.Errorf("listing (-want +got):\n%s", diff)
	}
}

// TestStartUnderWayAtExpiry guards against a task that runs twice: an executor is silent, its leases expire, and the next
// incarnation carries out a start that was under way.
func TestStartUnderWayAtExpiry(t *testing.T) {
	s := newUsedFixture()
	began := s.now
	s.HandleStartAnswer(s.now, s.startRun(t, 0), custodian.Answer{}, errNoAnswer)
	for s.now.Sub(began) < 8*time.Second {
		s.hold(custodian.HoldAnswer{}, errNoAnswer)
		s.now = s.now.Add(100 * time.Millisecond)
		s.renew()
		s.Tick(s.now)
		if len(s.listing().Phases) == 0 {
			t.Fatalf("the run is released after %s, while a start for it may be carried out", s.now.Sub(began))
		}
	}
}

// TestStartOfEarlierAgentUnderWay guards against a task that runs twice: an agent restarts as its executor ends, and reports
// that gone while starts of the agent before may be under way to the next incarnation.
func TestStartOfEarlierAgentUnderWay(t *testing.T) {
	now := start.Add(time.Hour)
	agent := newAgent(now, "i2")
	record := messenger.ExecutorRecord{Id: "e", Born: 7, Address: "host:2"}
	agent.HandleReportAnswer(now, now, messenger.ReportReply{Epoch: 1, Owner: true, Lease: true, Executors: []messenger.ExecutorRecord{record}})
	call, ok := agent.NextHold(now, "e")
	if !ok {
		t.Fatal("the executor is not known")
	}
	now = now.Add(10 * time.Millisecond)
	agent.HandleHoldAnswer(now, now, call, custodian.HoldAnswer{}, errNoProcess)
	if diff := cmp.Diff(0, len(agent.Report(now, true).Gone)); diff != "" {
		t.Errorf("executors reported gone (-want +got):\n%s", diff)
	}
}

// TestStrayLeaseBeginsOnceForRejection guards against tasks that wait too long: each confirmation after an executor had once
// rejected the agent's token began a stray lease anew.
func TestStrayLeaseBeginsOnceForRejection(t *testing.T) {
	s := newUsedFixture()
	s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	for range 300 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
		s.renew()
	}
	s.HandleStartAnswer(s.now, s.startRun(t, 0), custodian.Answer{}, errNoAnswer)
	s.now = s.now.Add(5 * time.Second)
	s.Tick(s.now)
	for range 3 {
		s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
	}
	if diff := cmp.Diff(0, strayMillis(t, s.renew())); diff != "" {
		t.Errorf("stray lease in milliseconds (-want +got):\n%s", diff)
	}
}

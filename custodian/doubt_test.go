package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// conversionSlack is by how much the deadline of one lease varies, as it is converted anew to the executor's
// clock, which may be slow.
const conversionSlack = 90 * time.Millisecond

// newStartedFixture returns a fixture with two runs that the executor lists.
func newStartedFixture(t *testing.T) *fixture {
	t.Helper()
	s := newFixture()
	s.holdFor(11*time.Second, custodian.HoldAnswer{})
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000), order(1, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range calls.Starts {
		s.HandleStartAnswer(s.now, call, custodian.Answer{}, nil)
	}
	s.now = s.now.Add(time.Millisecond)
	s.hold(custodian.HoldAnswer{Runs: states(0, 1)}, nil)
	return s
}

// states returns the states of the first runs of tasks.
func states(indexes ...int) []messenger.RunState {
	var list []messenger.RunState
	for _, index := range indexes {
		list = append(list, messenger.RunState{Run: ref(index, 1)})
	}
	return list
}

func done(number, index int) messenger.RunEnd {
	return messenger.RunEnd{Number: number, Run: ref(index, 1), How: messenger.EndDone}
}

// ends returns the numbers of the ends of the only executor in a report.
func ends(t *testing.T, r messenger.Report) []int {
	t.Helper()
	if len(r.Executors) != 1 {
		t.Fatalf("executors = %d, want 1", len(r.Executors))
	}
	var numbers []int
	for _, end := range r.Executors[0].Ends {
		numbers = append(numbers, end.Number)
	}
	return numbers
}

// acknowledge makes all ends through a number durable.
func (s *fixture) acknowledge(through int) {
	s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{
		Epoch: s.epoch, Owner: true, Lease: true, Seen: []messenger.DurableEnds{{Executor: "e", Born: 7, Through: through}},
	})
}

// holdFor repeats an answer for a time, in which the owner renews the leases, and returns the highest end that
// was acknowledged.
func (s *fixture) holdFor(d time.Duration, answer custodian.HoldAnswer) int {
	acked := 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		acked = max(acked, s.hold(answer, nil).AckedEnd)
		s.Tick(s.now)
		s.renew()
	}
	return acked
}

// TestUnreadableEndIsNotAcknowledged guards against a task that runs again after it was done: the end of its run
// can't be read, a later end is acknowledged, and with it that one.
func TestUnreadableEndIsNotAcknowledged(t *testing.T) {
	s := newStartedFixture(t)
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(2, 1)}}, nil)
	if diff := cmp.Diff([]int(nil), ends(t, s.renew())); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	s.acknowledge(2)
	if diff := cmp.Diff(0, s.holdFor(3*time.Second, custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(2, 1)}})); diff != "" {
		t.Errorf("acknowledged while in doubt (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, lists(t, s.renew())["incomplete"]); diff != "" {
		t.Errorf("incomplete while in doubt (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2, s.holdFor(2*time.Second, custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(2, 1)}})); diff != "" {
		t.Errorf("acknowledged after the lapse (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(false, lists(t, s.renew())["incomplete"]); diff != "" {
		t.Errorf("incomplete after the lapse (-want +got):\n%s", diff)
	}
}

// TestUnreadableEndThatBecomesReadable guards against the loss of an end: ends after it were taken while it
// couldn't be read.
func TestUnreadableEndThatBecomesReadable(t *testing.T) {
	s := newStartedFixture(t)
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(2, 1)}}, nil)
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0), done(2, 1)}}, nil)
	report := s.renew()
	if diff := cmp.Diff([]int{1, 2}, ends(t, report)); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(false, lists(t, report)["incomplete"]); diff != "" {
		t.Errorf("incomplete (-want +got):\n%s", diff)
	}
}

// TestUnreadableEndOfNoRunIsSettled guards against leases that are not renewed although all runs are accounted
// for, and against a row that stays settled for an end after it.
func TestUnreadableEndOfNoRunIsSettled(t *testing.T) {
	steps := []struct {
		name       string
		answer     custodian.HoldAnswer
		incomplete bool
	}{
		{name: "all runs listed", answer: custodian.HoldAnswer{Runs: states(0, 1), Ends: []messenger.RunEnd{{}}}},
		{name: "one has ended after it", answer: custodian.HoldAnswer{Runs: states(1), Ends: []messenger.RunEnd{{}, done(5, 0)}}},
		{name: "another row, all runs listed", answer: custodian.HoldAnswer{Runs: states(1), Ends: []messenger.RunEnd{{}, done(5, 0), {}}}},
		{name: "a row in the place of the end", answer: custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(5, 0), {}, {}}}, incomplete: true},
		{name: "the end can be read", answer: custodian.HoldAnswer{Ends: []messenger.RunEnd{{}, done(5, 0), {}, done(7, 1)}}},
	}
	s := newStartedFixture(t)
	for _, step := range steps {
		s.hold(step.answer, nil)
		report := s.renew()
		if diff := cmp.Diff(step.incomplete, lists(t, report)["incomplete"]); diff != "" {
			t.Errorf("%s: incomplete (-want +got):\n%s", step.name, diff)
		}
		if diff := cmp.Diff(!step.incomplete, report.Executors[0].Reachable); diff != "" {
			t.Errorf("%s: reachable (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestSettledRowIsNoEndOfLaterRun guards against leases that are not renewed: a start is under way, or was refused,
// when the executor lists a row that was there before.
func TestSettledRowIsNoEndOfLaterRun(t *testing.T) {
	s := newStartedFixture(t)
	answer := custodian.HoldAnswer{Runs: states(0, 1), Ends: []messenger.RunEnd{{}}}
	incomplete := func(want bool) {
		t.Helper()
		s.hold(answer, nil)
		if diff := cmp.Diff(want, lists(t, s.renew())["incomplete"]); diff != "" {
			t.Errorf("incomplete (-want +got):\n%s", diff)
		}
	}
	incomplete(false)
	if call, _ := s.NextHold(s.now, "e"); call.Wait > 0 {
		t.Errorf("the executor is asked to wait %s while it lists an end", call.Wait)
	}
	calls, err := s.HandleOrders(s.now, s.orders(order(2, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	incomplete(false)
	answer.Ends = append(answer.Ends, messenger.RunEnd{})
	incomplete(true)
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.NoTarget, "refused"))
	incomplete(false)
}

// TestMissingEndIsSuspect guards against a run that is taken for lost: it has ended when the executor listed only
// some ends, and its end turns out not to be readable.
func TestMissingEndIsSuspect(t *testing.T) {
	s := newStartedFixture(t)
	s.hold(custodian.HoldAnswer{Runs: states(1), EndsIncomplete: true}, nil)
	s.hold(custodian.HoldAnswer{Runs: states(1), Ends: []messenger.RunEnd{{}}}, nil)
	if diff := cmp.Diff(true, lists(t, s.renew())["incomplete"]); diff != "" {
		t.Errorf("incomplete (-want +got):\n%s", diff)
	}
}

// TestUnreadableRunDoesNotHoldRefusedStart guards against a task that waits for good: its start was refused after a
// call without an answer, and a row of the executor's runs can't be read.
func TestUnreadableRunDoesNotHoldRefusedStart(t *testing.T) {
	s := newStartedFixture(t)
	calls, err := s.HandleOrders(s.now, s.orders(order(2, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	s.now = s.now.Add(400 * time.Millisecond)
	calls, _ = s.Tick(s.now)
	calls, _ = s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.NoTarget, "refused"))
	s.HandleStopAnswer(s.now, calls.Stops[0], custodian.Answer{}, nil)
	s.now = s.now.Add(time.Millisecond)
	s.hold(custodian.HoldAnswer{Runs: states(0, 1), RunsIncomplete: true}, nil)
	if diff := cmp.Diff([]string(nil), refusals(s.renew())); diff != "" {
		t.Errorf("refusals while in doubt (-want +got):\n%s", diff)
	}
	var got []string
	for range 50 {
		s.hold(custodian.HoldAnswer{RunsIncomplete: true}, nil)
		s.now = s.now.Add(100 * time.Millisecond)
		got = append(got, refusals(s.renew())...)
	}
	if diff := cmp.Diff([]string{"no_target"}, got); diff != "" {
		t.Errorf("refusals after the lapse (-want +got):\n%s", diff)
	}
}

// TestStrayLeaseOutlastsDoubt guards against a task that runs twice: a call for an earlier incarnation of the
// executor, whose clock was ahead, has granted it a longer lease than the agent.
func TestStrayLeaseOutlastsDoubt(t *testing.T) {
	s := newFixture()
	answer := custodian.HoldAnswer{EndsIncomplete: true, RunsIncomplete: true, Ends: []messenger.RunEnd{{}}}
	s.HandleAnnouncement(s.now, custodian.Announcement{ID: "young", StartedMillis: 9, Sequence: 1, Address: "host:3", Clock: time.Second})
	hold := func() {
		call, _ := s.NextHold(s.now, "young")
		sent := s.now
		s.now = s.now.Add(100 * time.Millisecond)
		answer.Clock = s.now.Sub(start)
		s.HandleHoldAnswer(s.now, sent, call, answer, nil)
	}
	hold()
	hold()
	confirmed := s.now
	listed := func() bool {
		report := s.renew()
		return report.Executors[len(report.Executors)-1].RunsListed
	}
	for s.now.Sub(confirmed) < custodian.DefaultConfig().MaxLease {
		if listed() {
			t.Fatalf("runs listed after %s", s.now.Sub(confirmed))
		}
		hold()
	}
	for range 5 {
		hold()
	}
	if !listed() {
		t.Error("runs not listed after all leases")
	}
}

// TestNewRowKeepsDoubt guards against a run that is taken for lost: a row became readable as the end of the
// run became another that can't be read.
func TestNewRowKeepsDoubt(t *testing.T) {
	s := newStartedFixture(t)
	s.hold(custodian.HoldAnswer{Runs: states(1), Ends: []messenger.RunEnd{{}}}, nil)
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0), {}}}, nil)
	if diff := cmp.Diff(true, lists(t, s.renew())["incomplete"]); diff != "" {
		t.Errorf("incomplete (-want +got):\n%s", diff)
	}
}

// TestDoubtEndsWithLeases guards against tasks that are held for good: an executor that answers keeps listing
// rows that can't be read.
func TestDoubtEndsWithLeases(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  custodian.HoldAnswer
		unknown bool
	}{
		{name: "end of a run", answer: custodian.HoldAnswer{Ends: []messenger.RunEnd{{}}}},
		{name: "end, the runs not known", answer: custodian.HoldAnswer{Ends: []messenger.RunEnd{{}}}, unknown: true},
		{name: "run, the runs not known", answer: custodian.HoldAnswer{RunsIncomplete: true}, unknown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fixture{now: start.Add(30 * time.Second), epoch: 1}
			s.Custodian = custodian.New(s.now, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
			s.announce(nil)
			if !test.unknown {
				s = newStartedFixture(t)
			}
			s.hold(test.answer, nil)
			s.hold(test.answer, nil)
			s.endStrayLeases()
			doubted := s.now
			granted := s.renewingHold(test.answer, nil).Deadline + conversionSlack
			for s.now.Sub(doubted) < apricotwinch.ExecutorLease {
				report := s.renew()
				if diff := cmp.Diff(true, lists(t, report)["incomplete"]); diff != "" {
					t.Fatalf("incomplete %s after the first answer (-want +got):\n%s", s.now.Sub(doubted), diff)
				}
				call := s.hold(test.answer, nil)
				if call.Deadline > granted {
					t.Fatalf("deadline %s, not at most %s", call.Deadline, granted)
				}
				s.now = s.now.Add(100 * time.Millisecond)
			}
			s.holdFor(500*time.Millisecond, test.answer)
			report := s.renew()
			if diff := cmp.Diff(map[string]bool{"incomplete": false, "runs listed": true}, lists(t, report)); diff != "" {
				t.Errorf("lists after the lapse (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]string{}, phases(report)); diff != "" {
				t.Errorf("runs after the lapse (-want +got):\n%s", diff)
			}
			if call := s.renewingHold(test.answer, nil); call.Deadline <= granted {
				t.Errorf("deadline %s after the lapse, not over %s", call.Deadline, granted)
			}
		})
	}
}

// TestDoubtEndsAfterToken guards against a task that runs twice: a start without an answer is carried out after
// the leases have lapsed because of doubt and are renewed.
func TestDoubtEndsAfterToken(t *testing.T) {
	s := newStartedFixture(t)
	calls, err := s.HandleOrders(s.now, s.orders(order(2, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	answer := custodian.HoldAnswer{Runs: states(0), Ends: []messenger.RunEnd{{}}}
	s.hold(answer, nil)
	first := s.renewingHold(answer, nil)
	for s.now.Sub(start) < 20*time.Second {
		call := s.hold(answer, nil)
		s.renew()
		s.now = s.now.Add(50 * time.Millisecond)
		renewed := call.Deadline > first.Deadline+conversionSlack
		if renewed && call.Token == first.Token {
			t.Fatalf("deadline %s after %s, with the same token", call.Deadline, first.Deadline)
		}
		if renewed {
			return
		}
	}
	t.Error("leases are not renewed")
}

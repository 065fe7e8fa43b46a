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

// maxStrayMillis is how long a lease of the greatest length lasts by a clock that is 2% slow, in milliseconds, rounded up.
const maxStrayMillis = 10_205

// nextBorn identifies the incarnation after that of a fixture.
const nextBorn = 8

// confirmNext confirms the next incarnation of the executor, whose clock is far behind, and returns the report.
func (s *fixture) confirmNext() messenger.Report { return s.confirmNextAt(time.Millisecond) }

// confirmNextAt is confirmNext for a clock that starts now at a time.
func (s *fixture) confirmNextAt(clock time.Duration) messenger.Report {
	bornAt := s.now
	s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.Clock = nextBorn, clock })
	for range 4 {
		s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: nextBorn, Clock: s.now.Sub(bornAt) + clock}}, nil)
	}
	return s.renew()
}

// answers lets the executor answer holds for a time.
func (s *fixture) answers(d time.Duration) {
	s.holdFor(d, custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}})
}

// strayMillis returns for how long a lease of the only executor in a report may last that a call for an earlier
// incarnation granted, as of the confirmation if that was right before the report.
func strayMillis(t *testing.T, r messenger.Report) int {
	t.Helper()
	if !r.StrayLeases || len(r.Executors) != 1 {
		t.Fatalf("report = %+v, want one that tells the stray leases of one executor", r)
	}
	return r.Executors[0].StrayLeaseMillis
}

// TestStrayLeaseIsReported guards against tasks that run twice: an executor that is back under its id keeps a lease
// by a call for an earlier incarnation, of which the owner doesn't know. No executor that can't have got such
// a call may delay tasks.
func TestStrayLeaseIsReported(t *testing.T) {
	noAnswer := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	refused := apricotwinch.Errorf(apricotwinch.StaleIncarnation, "no process listens")
	unsent := apricotwinch.Errorf(apricotwinch.Unreachable, "not sent")
	const settled = 30 * time.Second // No call of an earlier agent is under way after that.
	tests := []struct {
		name string
		end  func(s *fixture)
		// earliest and latest bound the remaining time in milliseconds.
		earliest, latest int
	}{
		{name: "hold under way", end: func(s *fixture) {
			s.answers(settled)
			s.now = s.now.Add(custodian.DefaultConfig().RenewalPeriod)
			s.NextHold(s.now, "e")
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "hold without an answer", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{}, noAnswer)
			s.hold(custodian.HoldAnswer{}, refused)
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "hold answered by the next incarnation", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: nextBorn, Clock: time.Millisecond}}, nil)
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "hold without an answer, another answered", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{}, noAnswer)
			s.answers(5 * time.Second)
			s.hold(custodian.HoldAnswer{}, refused)
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "hold without an answer, another answered after the greatest delay", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{}, noAnswer)
			s.answers(13 * time.Second)
			s.hold(custodian.HoldAnswer{}, refused)
		}},
		{name: "hold without an answer, none for the greatest delay", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{}, noAnswer)
			s.now = s.now.Add(14 * time.Second)
			s.hold(custodian.HoldAnswer{}, refused)
		}, earliest: maxStrayMillis - 2200, latest: maxStrayMillis - 2000},
		{name: "hold without a lease under way", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
			s.NextHold(s.now, "e")
		}},
		{name: "probe without an answer", end: func(s *fixture) {
			s.answers(settled)
			s.renewingHold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 7}}, nil)
			s.hold(custodian.HoldAnswer{}, noAnswer)
			s.renewingHold(custodian.HoldAnswer{}, noAnswer)
		}},
		{name: "start without an answer", end: func(s *fixture) {
			s.answers(settled)
			calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, noAnswer)
			s.hold(custodian.HoldAnswer{}, refused)
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "start refused by the next incarnation", end: func(s *fixture) {
			s.answers(settled)
			calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{StartedMillis: nextBorn, Clock: time.Millisecond},
				apricotwinch.Errorf(apricotwinch.NoCapacity, "room"))
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		{name: "holds answered or not sent", end: func(s *fixture) {
			s.answers(settled)
			s.hold(custodian.HoldAnswer{}, unsent)
			s.hold(custodian.HoldAnswer{}, refused)
		}},
		{name: "start refused", end: func(s *fixture) {
			s.answers(settled)
			calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{StartedMillis: 7}, apricotwinch.Errorf(apricotwinch.NoCapacity, "room"))
			s.hold(custodian.HoldAnswer{}, refused)
		}},
		{name: "agent started 3 s ago", end: func(s *fixture) {
			s.answers(3 * time.Second)
			s.hold(custodian.HoldAnswer{}, refused)
		}, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			test.end(s)
			if got := strayMillis(t, s.confirmNext()); got < test.earliest || got > test.latest {
				t.Errorf("stray lease = %d ms, want %d to %d", got, test.earliest, test.latest)
			}
		})
	}
}

// TestStrayLeaseAfterRestartOfAgent guards against tasks that run twice: the agent has started again, and doesn't know
// of the calls that the one before made to an earlier incarnation of the executor. It guards, too, against tasks that
// wait for a stray lease although the owner knows that the executor was confirmed long ago.
func TestStrayLeaseAfterRestartOfAgent(t *testing.T) {
	ended := func(born int) []messenger.DurableEnds {
		return []messenger.DurableEnds{{Executor: "e", Born: born, StrayLeasesEnded: true}}
	}
	for _, test := range []struct {
		name string
		// after is how long after the start of the agent the executor is announced.
		after            time.Duration
		seen             []messenger.DurableEnds
		earliest, latest int
	}{
		{name: "at once", earliest: maxStrayMillis - 50, latest: maxStrayMillis},
		{name: "11 s later", after: 11 * time.Second, earliest: maxStrayMillis - 50, latest: maxStrayMillis},
		{name: "14 s later", after: 14 * time.Second, earliest: maxStrayMillis - 2050, latest: maxStrayMillis - 2000},
		{name: "22.3 s later", after: 22300 * time.Millisecond},
		{name: "the owner knows that it ended", seen: ended(7)},
		{name: "the owner knows that it ended of another incarnation", seen: ended(6), earliest: maxStrayMillis - 50, latest: maxStrayMillis},
		{name: "the owner doesn't know that it ended", seen: []messenger.DurableEnds{{Executor: "e", Born: 7}}, earliest: maxStrayMillis - 50, latest: maxStrayMillis},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fixture{now: start.Add(test.after), epoch: 1}
			s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
			s.announce(nil)
			s.hold(custodian.HoldAnswer{}, nil)
			s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{Epoch: s.epoch, Owner: true, Seen: test.seen})
			if got := strayMillis(t, s.Report(s.now, true)); got < test.earliest || got > test.latest {
				t.Errorf("stray lease = %d ms, want %d to %d", got, test.earliest, test.latest)
			}
		})
	}
}

// TestStrayLeaseEndsAtLatestDeadline guards against tasks that wait for a stray lease that can't last as long: the next
// incarnation's clock is about to reach, or is ahead of, each deadline of a call that was made.
func TestStrayLeaseEndsAtLatestDeadline(t *testing.T) {
	for _, test := range []struct {
		name string
		// ahead is how far the next incarnation's clock is ahead of that of the last one.
		ahead            time.Duration
		earliest, latest int
	}{
		{name: "clock far behind", ahead: -time.Hour, earliest: maxStrayMillis - 100, latest: maxStrayMillis},
		// A deadline is up to 4 s ahead, and leases are renewed each 0.4 s.
		{name: "clock 4 s behind", ahead: -4 * time.Second, earliest: 7400, latest: 8200},
		{name: "same clock", earliest: 3300, latest: 4100},
		{name: "clock ahead", ahead: 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.answers(30 * time.Second)
			s.renew()
			s.renewingHold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
			if got := strayMillis(t, s.confirmNextAt(max(time.Millisecond, s.clock()+test.ahead))); got < test.earliest || got > test.latest {
				t.Errorf("stray lease = %d ms, want %d to %d", got, test.earliest, test.latest)
			}
		})
	}
}

// TestSilentExecutorKeepsStrayLease guards against tasks that run twice: an executor that is back under its id falls
// silent, and its runs count as ended when the leases of this incarnation have, while it has a longer one.
func TestSilentExecutorKeepsStrayLease(t *testing.T) {
	s := newFixture()
	s.answers(30 * time.Second)
	s.renewingHold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	left := strayMillis(t, s.confirmNext())
	// The first answer after the report renews the leases.
	end := s.now.Add(time.Duration(left)*time.Millisecond + custodian.DefaultConfig().Margin)
	answer := custodian.Answer{StartedMillis: nextBorn, Clock: time.Second}
	s.hold(custodian.HoldAnswer{Answer: answer}, nil)
	o := s.orders(order(0, 1, 1000))
	calls, err := s.HandleOrders(s.now, o)
	if err != nil || len(calls.Starts) != 1 {
		t.Fatalf("starts = %d, error %v; want one start", len(calls.Starts), err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], answer, nil)
	s.hold(custodian.HoldAnswer{Answer: answer, Runs: []messenger.RunState{{Run: ref(0, 1)}}}, nil)
	for ; s.now.Before(end.Add(-50 * time.Millisecond)); s.now = s.now.Add(100 * time.Millisecond) {
		s.Tick(s.now)
		if diff := cmp.Diff(map[string]string{"0#1": messenger.RunRunning}, phases(s.renew())); diff != "" {
			t.Fatalf("runs %s before the end of the stray lease (-want +got):\n%s", end.Sub(s.now), diff)
		}
	}
	s.now = end.Add(time.Millisecond)
	s.Tick(s.now)
	if diff := cmp.Diff(map[string]string{}, phases(s.renew())); diff != "" {
		t.Errorf("runs after the end of the stray lease (-want +got):\n%s", diff)
	}
}

// TestRejectionOfConfirmedTokenBeginsStrayLease guards against tasks that run twice: another call comes through after
// the executor was confirmed, and with it a lease that this agent doesn't know.
func TestRejectionOfConfirmedTokenBeginsStrayLease(t *testing.T) {
	s := newFixture()
	s.answers(30 * time.Second)
	got := []int{strayMillis(t, s.renew())}
	s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	s.now = s.now.Add(3 * time.Second)
	s.hold(custodian.HoldAnswer{}, nil)
	s.endStrayLeases() // The owner doesn't know of it.
	report := s.Report(s.now, true)
	got = append(got, strayMillis(t, report))
	// In turn: before the rejection, and after an answer to a greater token.
	if diff := cmp.Diff([]int{0, maxStrayMillis}, got); diff != "" {
		t.Errorf("stray lease in milliseconds (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, report.Executors[0].StrayLeaseAnew); diff != "" {
		t.Errorf("stray lease may have begun anew (-want +got):\n%s", diff)
	}
}

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

// modelExecutor is an executor that answers holds. Its clock starts with it.
type modelExecutor struct {
	id     string
	bornAt time.Time
	// clockRate is the rate of its clock, 0.98 to 1.
	clockRate float64
}

func (m modelExecutor) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(m.bornAt)) * m.clockRate)
}

func newAgent(now time.Time, incarnation string) *custodian.Custodian {
	return custodian.New(now, custodian.DefaultConfig(), "host", "host:1", incarnation, hclog.NewNullLogger(), metrics.NewRegistry())
}

func (m modelExecutor) announce(now time.Time, agent *custodian.Custodian) {
	agent.HandleAnnouncement(now, custodian.Announcement{
		ID: m.id, StartedMillis: int(m.bornAt.UnixMilli()), Sequence: 1, Address: "host:" + m.id, Clock: m.clock(now),
	})
}

// confirm answers holds until the agent reports the executor, and returns the token of the last one.
func (m modelExecutor) confirm(t *testing.T, now time.Time, agent *custodian.Custodian) int64 {
	t.Helper()
	for range 3 {
		call, ok := agent.NextHold(now, m.id)
		if !ok {
			t.Fatalf("%s is not known", m.id)
		}
		agent.HandleHoldAnswer(now, now, call, custodian.HoldAnswer{Answer: custodian.Answer{Clock: m.clock(now), StartedMillis: call.Born}}, nil)
		for _, e := range agent.Report(now, true).Executors {
			if e.Executor.Id == m.id {
				return call.Token
			}
		}
	}
	t.Fatalf("%s is not reported", m.id)
	return 0
}

// TestTokenExceedsThoseOfEarlierIncarnations guards against a task that runs twice: a start by an earlier agent for
// an earlier incarnation of an executor, whose clock was ahead, is carried out by the next one.
func TestTokenExceedsThoseOfEarlierIncarnations(t *testing.T) {
	const uptime = time.Hour
	tests := []struct {
		name                string
		clockRate, nextRate float64
		// restored is whether the next agent knows the executor from the owner's record only.
		restored bool
	}{
		{name: "accurate clocks", clockRate: 1, nextRate: 1},
		{name: "slow clock", clockRate: 0.98, nextRate: 1},
		{name: "slow clock of the next incarnation", clockRate: 1, nextRate: 0.98},
		{name: "executor restored", clockRate: 1, nextRate: 1, restored: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first := modelExecutor{id: "e", bornAt: start, clockRate: test.clockRate}
			now := start.Add(uptime)
			agent := newAgent(now, "i1")
			first.announce(now, agent)
			before := first.confirm(t, now, agent)

			next := modelExecutor{id: "e", bornAt: now.Add(time.Second), clockRate: test.nextRate}
			now = next.bornAt.Add(time.Second)
			agent = newAgent(now, "i2")
			if test.restored {
				record := messenger.ExecutorRecord{Id: next.id, Born: int(next.bornAt.UnixMilli()), Address: "host:2"}
				agent.HandleReportAnswer(now, now, messenger.ReportReply{Epoch: 1, Owner: true, Executors: []messenger.ExecutorRecord{record}})
			} else {
				next.announce(now, agent)
			}
			if got := next.confirm(t, now, agent); got <= before {
				t.Errorf("token = %d, want more than %d, that of the earlier agent", got, before)
			}
		})
	}
}

// TestTokenAfterTimeOfDayWentBack guards against a task that runs twice: the time of day is set back between the starts of
// two agents, so that calls of the first one for the last incarnation of an executor have greater tokens than those
// of the next one.
func TestTokenAfterTimeOfDayWentBack(t *testing.T) {
	knownRed(t)
	first := modelExecutor{id: "e", bornAt: start, clockRate: 1}
	now := start.Add(time.Hour)
	agent := newAgent(now, "i1")
	first.announce(now, agent)
	before := first.confirm(t, now, agent)

	now = now.Add(time.Second - time.Minute)
	next := modelExecutor{id: "e", bornAt: now, clockRate: 1}
	agent = newAgent(now, "i2")
	next.announce(now, agent)
	if got := next.confirm(t, now, agent); got <= before {
		t.Errorf("token = %d, want more than %d, that of the earlier agent", got, before)
	}
}

// TestAgentExceedsRejectedToken guards against runs that lapse: the time of day is set back between the starts of two agents,
// and the executor has seen a greater token than the next one's.
func TestAgentExceedsRejectedToken(t *testing.T) {
	const maxRejections = 30
	e := modelExecutor{id: "e", bornAt: start, clockRate: 1}
	now := start.Add(2 * time.Hour)
	agent := newAgent(now, "i1")
	e.announce(now, agent)
	seen := e.confirm(t, now, agent)
	now = now.Add(-time.Hour)
	agent = newAgent(now, "i2")
	e.announce(now, agent)
	for range maxRejections {
		call, _ := agent.NextHold(now, e.id)
		if call.Token >= seen {
			return
		}
		agent.HandleHoldAnswer(now, now, call, custodian.HoldAnswer{Answer: custodian.Answer{Clock: e.clock(now)}}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	}
	t.Errorf("the token is still below %d after %d rejections", seen, maxRejections)
}

// TestTokenIsIndependentOfOtherExecutors guards against a task that runs twice: the earlier agent's token for an
// executor came from the clock of another one, so that it was greater than that of the next agent.
func TestTokenIsIndependentOfOtherExecutors(t *testing.T) {
	e := modelExecutor{id: "e", bornAt: start, clockRate: 0.98}
	other := modelExecutor{id: "f", bornAt: start, clockRate: 1}
	now := start.Add(time.Hour)
	agent := newAgent(now, "i1")
	other.announce(now, agent)
	other.confirm(t, now, agent)
	e.announce(now, agent)
	before := e.confirm(t, now, agent)
	now = now.Add(time.Second)
	agent = newAgent(now, "i2")
	e.announce(now, agent)
	if got := e.confirm(t, now, agent); got <= before {
		t.Errorf("token = %d, want more than %d, that of the earlier agent", got, before)
	}
}

// TestAnnouncementDoesNotRaiseToken checks that the start time that another writer announces is no part of a token:
// the executor would reject the tokens of all later agents.
func TestAnnouncementDoesNotRaiseToken(t *testing.T) {
	now := start.Add(time.Hour)
	agent := newAgent(now, "i1")
	modelExecutor{id: "e", bornAt: start.AddDate(100, 0, 0), clockRate: 1}.announce(now, agent)
	agent.NextHold(now, "e")
	agent.Tick(now.Add(time.Minute))
	e := modelExecutor{id: "e", bornAt: start, clockRate: 1}
	e.announce(now.Add(time.Minute), agent)
	if got, limit := e.confirm(t, now.Add(time.Minute), agent), now.Add(time.Hour).UnixMilli(); got > limit {
		t.Errorf("token = %d, want at most %d", got, limit)
	}
}

// TestRejectedTokenEndsConfirmation guards against a task that runs twice: an executor that carried out a call of another
// agent, or for another incarnation, was still reported with the runs that it had listed before.
func TestRejectedTokenEndsConfirmation(t *testing.T) {
	rejected := apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence")
	tests := []struct {
		name   string
		reject func(*testing.T, *fixture)
	}{
		{name: "hold", reject: func(_ *testing.T, s *fixture) { s.hold(custodian.HoldAnswer{}, rejected) }},
		{name: "start", reject: func(t *testing.T, s *fixture) {
			calls, err := s.HandleOrders(s.now, s.orders(order(2, 1, 1000)))
			if err != nil {
				t.Fatal(err)
			}
			if _, due := s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, rejected); !due {
				t.Error("no report is due")
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStartedFixture(t)
			s.renew()
			before := s.renewingHold(custodian.HoldAnswer{Runs: states(0, 1)}, nil)
			test.reject(t, s)
			s.now = s.now.Add(time.Second)
			if got := len(s.renew().Executors); got != 0 {
				t.Errorf("%d executors are reported after the rejection, want 0", got)
			}
			confirming := s.hold(custodian.HoldAnswer{Runs: states(0, 1, 3)}, nil)
			if confirming.Token <= before.Token || confirming.Deadline != 0 {
				t.Errorf("hold with token %d and deadline %s, want a token above %d and no lease", confirming.Token, confirming.Deadline, before.Token)
			}
			if got := s.renewingHold(custodian.HoldAnswer{Runs: states(0, 1, 3)}, nil).Deadline; got > before.Deadline+conversionSlack {
				t.Errorf("deadline %s, want none after %s, as no report has listed the executor since", got, before.Deadline)
			}
			report := s.renew()
			if len(report.Executors) != 1 {
				t.Fatalf("%d executors are reported, want 1", len(report.Executors))
			}
			unknown := map[int]bool{}
			for _, run := range report.Executors[0].Runs {
				unknown[run.Run.Task.Index] = run.Unknown
			}
			delete(unknown, 2)
			if diff := cmp.Diff(map[int]bool{0: false, 1: false, 3: true}, unknown); diff != "" {
				t.Errorf("runs that were found (-want +got):\n%s", diff)
			}
			if got := s.renewingHold(custodian.HoldAnswer{Runs: states(0, 1, 3)}, nil).Deadline; got <= before.Deadline+conversionSlack {
				t.Errorf("deadline %s, want one after %s", got, before.Deadline)
			}
		})
	}
}

// TestRejectionOfEarlierTokenIsExpected checks that an executor stays confirmed if it rejects a call with a token
// that this agent has replaced.
func TestRejectionOfEarlierTokenIsExpected(t *testing.T) {
	s := newStartedFixture(t)
	call, _ := s.NextHold(s.now, "e")
	s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	confirming := s.hold(custodian.HoldAnswer{Runs: states(0, 1)}, nil)
	s.HandleHoldAnswer(s.now, s.now, call, custodian.HoldAnswer{Answer: custodian.Answer{Clock: s.clock()}}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	if got := len(s.renew().Executors); got != 1 {
		t.Errorf("%d executors are reported, want 1", got)
	}
	if got := s.hold(custodian.HoldAnswer{Runs: states(0, 1)}, nil).Token; got != confirming.Token {
		t.Errorf("token = %d, want %d as before", got, confirming.Token)
	}
}

// TestReportWithoutExecutorRenewsNoLease guards against tasks that run twice: the answer to a report that didn't list an
// executor, whose token was raised, renewed its leases beyond the time at which the owner takes them for ended.
func TestReportWithoutExecutorRenewsNoLease(t *testing.T) {
	s := newStartedFixture(t)
	calls, err := s.HandleOrders(s.now, s.orders(order(2, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	s.now = s.now.Add(custodian.DefaultConfig().Lease + time.Second)
	s.Tick(s.now)
	if got := len(s.renew().Executors); got != 0 {
		t.Fatalf("%d executors are reported before the greater token is answered, want 0", got)
	}
	s.hold(custodian.HoldAnswer{}, nil)
	if got := s.hold(custodian.HoldAnswer{}, nil).Deadline; got != 0 {
		t.Errorf("deadline = %s, want no lease before a report lists the executor", got)
	}
	s.renew()
	if got := s.hold(custodian.HoldAnswer{}, nil).Deadline; got == 0 {
		t.Error("no lease after a report has listed the executor")
	}
}

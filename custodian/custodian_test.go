package custodian_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

var start = time.Unix(1000, 0)

// fixture is a custodian of one executor called e, whose clock starts at 1 s with the fixture.
type fixture struct {
	*custodian.Custodian
	now         time.Time
	epoch       int
	orderNumber int
}

// newFixture returns a custodian whose executor is announced, has answered a hold and has a
// lease.
func newFixture() *fixture {
	s := &fixture{now: start, epoch: 1}
	s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
	s.announce(nil)
	s.hold(custodian.HoldAnswer{}, nil)
	s.hold(custodian.HoldAnswer{}, nil)
	s.endStrayLeases()
	s.renew()
	return s
}

// endStrayLeases lets the owner say that the executor was confirmed long ago, so that no lease lasts that a call for an
// earlier incarnation granted.
func (s *fixture) endStrayLeases() {
	s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{
		Epoch: s.epoch, Owner: true, Seen: []messenger.DurableEnds{{Executor: "e", Born: 7, StrayLeasesEnded: true}},
	})
}

func (s *fixture) clock() time.Duration { return s.now.Sub(start) + time.Second }

func (s *fixture) announce(change func(*custodian.Announcement)) bool {
	a := custodian.Announcement{
		ID: "e", StartedMillis: 7, Sequence: int(s.now.Sub(start)/time.Millisecond) + 1, Service: "s", Address: "host:2", DataCentre: "dc",
		Capacity: apricotwinch.NewResources(4000, 1000, 0), Clock: s.clock(),
	}
	if change != nil {
		change(&a)
	}
	return s.HandleAnnouncement(s.now, a)
}

// hold simulates one hold of the executor, which takes 10 ms.
func (s *fixture) hold(answer custodian.HoldAnswer, err error) custodian.HoldCall {
	call, ok := s.NextHold(s.now, "e")
	if !ok {
		return call
	}
	sent := s.now
	s.now = s.now.Add(10 * time.Millisecond)
	if answer.Clock == 0 {
		answer.Clock = s.clock()
	}
	s.HandleHoldAnswer(s.now, sent, call, answer, err)
	return call
}

// renewingHold is hold at a time at which it renews the leases if that is allowed.
func (s *fixture) renewingHold(answer custodian.HoldAnswer, err error) custodian.HoldCall {
	s.now = s.now.Add(custodian.DefaultConfig().RenewalPeriod)
	return s.hold(answer, err)
}

// renew simulates a report to the owner and its answer, and returns the report.
func (s *fixture) renew() messenger.Report {
	report := s.Report(s.now, true)
	sent := s.now
	s.now = s.now.Add(10 * time.Millisecond)
	s.HandleReportAnswer(s.now, sent, messenger.ReportReply{Epoch: s.epoch, Owner: true, Lease: true, RefusalsThrough: report.RefusalsThrough})
	return report
}

func ref(index, run int) messenger.RunRef {
	return messenger.RunRef{Task: messenger.TaskRef{Workload: "w", Index: index}, Run: run}
}

func order(index, run int, cpu int) messenger.StartOrder {
	return messenger.StartOrder{Run: ref(index, run), Executor: "e", Resources: messenger.Resources{ProcessorMillis: cpu, MemoryBytes: 10}}
}

// orders returns the owner's next orders.
func (s *fixture) orders(starts ...messenger.StartOrder) messenger.Orders {
	s.orderNumber++
	return messenger.Orders{
		Epoch: s.epoch, Number: s.orderNumber, Incarnation: "i1", TicketMillis: int(s.now.Sub(start).Milliseconds()), Starts: starts,
	}
}

// phases returns the phases of the reported runs, by task index and run number.
func phases(r messenger.Report) map[string]string {
	got := map[string]string{}
	for _, e := range r.Executors {
		for _, run := range e.Runs {
			got[fmt.Sprintf("%d#%d", run.Run.Task.Index, run.Run.Run)] = run.Phase
		}
	}
	return got
}

func refusals(r messenger.Report) []string {
	var kinds []string
	for _, refusal := range r.Refusals {
		kinds = append(kinds, refusal.Kind)
	}
	return kinds
}

func TestOrdersAreChecked(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *fixture, o *messenger.Orders)
		want   apricotwinch.Kind
		starts int
	}{
		{name: "current", change: func(*fixture, *messenger.Orders) {}, starts: 1},
		{name: "earlier owner", change: func(_ *fixture, o *messenger.Orders) { o.Epoch = 0 }, want: apricotwinch.StaleEpoch},
		{name: "earlier agent", change: func(_ *fixture, o *messenger.Orders) { o.Incarnation = "i0" }, want: apricotwinch.StaleIncarnation},
		{name: "delivered late", change: func(s *fixture, _ *messenger.Orders) { s.now = s.now.Add(5 * time.Second) }, want: apricotwinch.StaleView},
		{name: "delivered twice", change: func(s *fixture, o *messenger.Orders) { s.HandleOrders(s.now, *o) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			o := s.orders(order(0, 1, 1000))
			test.change(s, &o)
			calls, err := s.HandleOrders(s.now, o)
			if diff := cmp.Diff(test.want, apricotwinch.KindOf(err)); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.starts, len(calls.Starts)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestStartAnswers(t *testing.T) {
	unanswered := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	tests := []struct {
		name     string
		answers  []error
		listed   []messenger.RunState
		ends     []messenger.RunEnd
		phases   map[string]string
		refusals []string
	}{
		{name: "started", answers: []error{nil}, listed: []messenger.RunState{{Run: ref(0, 1)}}, phases: map[string]string{"0#1": messenger.RunRunning}},
		{name: "no capacity", answers: []error{apricotwinch.Errorf(apricotwinch.NoCapacity, "room")}, phases: map[string]string{}, refusals: []string{"no_capacity"}},
		{name: "unanswered", answers: []error{unanswered}, phases: map[string]string{"0#1": messenger.RunStarting}},
		{name: "unanswered, and listed", answers: []error{unanswered}, listed: []messenger.RunState{{Run: ref(0, 1)}}, phases: map[string]string{"0#1": messenger.RunRunning}},
		{name: "unanswered, repeated after the run ended", answers: []error{unanswered, apricotwinch.Errorf(apricotwinch.Conflict, "old")},
			ends: []messenger.RunEnd{{Number: 1, Run: ref(0, 1), How: messenger.EndDone}}, phases: map[string]string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			if err != nil {
				t.Fatal(err)
			}
			for _, answer := range test.answers {
				if len(calls.Starts) != 1 {
					t.Fatalf("starts = %d, want 1", len(calls.Starts))
				}
				s.now = s.now.Add(time.Millisecond)
				s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, answer)
				s.now = s.now.Add(600 * time.Millisecond)
				s.hold(custodian.HoldAnswer{}, unanswered)
				calls, _ = s.Tick(s.now)
			}
			earlyReport := s.renew()
			s.hold(custodian.HoldAnswer{Runs: test.listed, Ends: test.ends}, nil)
			report := s.renew()
			if diff := cmp.Diff(test.phases, phases(report)); diff != "" {
				t.Errorf("phases (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.refusals, refusals(earlyReport)); diff != "" {
				t.Errorf("refusals (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(len(test.ends), len(report.Executors[0].Ends)); diff != "" {
				t.Errorf("ends (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusedRepeatOfListedRun guards against a task that runs twice: an executor lists a run and refuses a repeat of its start,
// of which the first call got no answer, as it has become unhealthy.
func TestRefusedRepeatOfListedRun(t *testing.T) {
	s := newUsedFixture()
	s.HandleStartAnswer(s.now, s.startRun(t, 0), custodian.Answer{}, errNoAnswer)
	repeat := s.repeatStart(t)
	s.hold(custodian.HoldAnswer{Runs: states(0)}, nil)
	s.HandleStartAnswer(s.now, repeat, custodian.Answer{Clock: s.clock()}, apricotwinch.Errorf(apricotwinch.NoTarget, "unhealthy"))
	report := s.renew()
	if diff := cmp.Diff(map[string]string{"0#1": messenger.RunRunning}, phases(report)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	if got := refusals(report); len(got) > 0 {
		t.Errorf("refusals = %v, want none", got)
	}
}

// TestRefusedRepeatWaitsForStop guards against a task that runs twice: the refusal of a repeated
// start says nothing of the first call, which the executor may carry out late.
func TestRefusedRepeatWaitsForStop(t *testing.T) {
	unanswered := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	tests := []struct {
		name string
		kind apricotwinch.Kind
		// ends are the ends that the executor lists once it has confirmed the stop.
		ends     []messenger.RunEnd
		refusals []string
	}{
		{name: "unhealthy", kind: apricotwinch.NoTarget, refusals: []string{"no_target"}},
		{name: "no capacity", kind: apricotwinch.NoCapacity, refusals: []string{"no_capacity"}},
		{name: "no ticket", kind: apricotwinch.Forbidden, refusals: []string{"forbidden"}},
		{name: "bad request", kind: apricotwinch.Invalid, refusals: []string{"invalid"}},
		{name: "the first call was carried out", kind: apricotwinch.NoTarget, ends: []messenger.RunEnd{{Number: 1, Run: ref(0, 1), How: messenger.EndStopped}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 3000)))
			if err != nil {
				t.Fatal(err)
			}
			s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, unanswered)
			s.now = s.now.Add(400 * time.Millisecond)
			calls, _ = s.Tick(s.now)
			if len(calls.Starts) != 1 {
				t.Fatalf("repeated starts = %d, want 1", len(calls.Starts))
			}
			calls, _ = s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(test.kind, "refused"))
			if len(calls.Stops) != 1 {
				t.Fatalf("stops = %d, want 1", len(calls.Stops))
			}
			s.HandleStopAnswer(s.now, calls.Stops[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.NoTarget, "refused"))
			s.hold(custodian.HoldAnswer{}, nil)
			report := s.renew()
			if diff := cmp.Diff(map[string]string{"0#1": messenger.RunStopping}, phases(report)); diff != "" {
				t.Errorf("phases in doubt (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string(nil), refusals(report)); diff != "" {
				t.Errorf("refusals in doubt (-want +got):\n%s", diff)
			}
			s.now = s.now.Add(400 * time.Millisecond)
			calls, _ = s.Tick(s.now)
			if len(calls.Stops) != 1 {
				t.Fatalf("repeated stops = %d, want 1", len(calls.Stops))
			}
			s.HandleStopAnswer(s.now, calls.Stops[0], custodian.Answer{}, nil)
			s.now = s.now.Add(time.Millisecond)
			s.hold(custodian.HoldAnswer{Ends: test.ends}, nil)
			report = s.Report(s.now, true)
			if diff := cmp.Diff(map[string]string{}, phases(report)); diff != "" {
				t.Errorf("phases after the stop (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.refusals, refusals(report)); diff != "" {
				t.Errorf("refusals after the stop (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStartsFitCapacity checks that the executor never gets more than it has capacity for,
// whatever the owner orders. A run that is being stopped still counts.
func TestStartsFitCapacity(t *testing.T) {
	s := newFixture()
	calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 3000), order(1, 1, 2000)))
	if diff := cmp.Diff(1, len(calls.Starts)); diff != "" {
		t.Fatalf("starts (-want +got):\n%s", diff)
	}
	stop := s.orders(order(2, 1, 2000))
	stop.Stops = []messenger.StopOrder{{Run: ref(0, 1), Executor: "e"}}
	s.HandleOrders(s.now, stop)
	if diff := cmp.Diff([]string{"no_capacity", "no_capacity"}, refusals(s.Report(s.now, true))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	bestEffort := order(3, 1, 9000)
	bestEffort.Fills = true
	calls, _ = s.HandleOrders(s.now, s.orders(bestEffort))
	if diff := cmp.Diff(1, len(calls.Starts)); diff != "" {
		t.Errorf("starts of best-effort work (-want +got):\n%s", diff)
	}
}

// TestLeasesRequireReports checks that an executor gets no lease before the owner knows of it,
// and no longer lease than the last answered report allows.
func TestLeasesRequireReports(t *testing.T) {
	s := &fixture{now: start, epoch: 1}
	s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
	s.renew()
	s.announce(nil)
	for range 4 {
		if call := s.hold(custodian.HoldAnswer{}, nil); call.Deadline != 0 {
			t.Fatalf("deadline = %s before a report listed the executor, want none", call.Deadline)
		}
	}
	reportedAt := s.now
	s.renew()
	s.now = s.now.Add(time.Second)
	call := s.hold(custodian.HoldAnswer{}, nil)
	latest := reportedAt.Add(custodian.DefaultConfig().Lease).Sub(start) + time.Second
	if call.Deadline <= 0 || call.Deadline > latest {
		t.Errorf("deadline = %s, want at most %s", call.Deadline, latest)
	}
	s.now = s.now.Add(10 * time.Second)
	if call := s.hold(custodian.HoldAnswer{}, nil); call.Deadline != 0 {
		t.Errorf("deadline = %s without an owner, want none", call.Deadline)
	}
}

// TestTokenExceedsEarlierAgents checks that a new agent takes the executor's clock as its
// token, and reports no executor before the executor has accepted the token.
func TestTokenExceedsEarlierAgents(t *testing.T) {
	s := &fixture{now: start.Add(time.Minute), epoch: 1}
	s.Custodian = custodian.New(s.now, custodian.DefaultConfig(), "host", "host:1", "i2", hclog.NewNullLogger(), metrics.NewRegistry())
	s.announce(func(a *custodian.Announcement) { a.Clock = 0 })
	s.hold(custodian.HoldAnswer{Answer: custodian.Answer{Clock: s.clock()}}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	if got := len(s.Report(s.now, true).Executors); got != 0 {
		t.Fatalf("%d executors reported before the executor accepted the token, want 0", got)
	}
	call := s.hold(custodian.HoldAnswer{}, nil)
	if call.Token < time.Minute.Milliseconds() {
		t.Errorf("token = %d, want the executor's clock", call.Token)
	}
	if got := len(s.Report(s.now, true).Executors); got != 1 {
		t.Errorf("%d executors reported, want 1", got)
	}
}

func TestExecutorIncarnations(t *testing.T) {
	tests := []struct {
		name      string
		run       func(s *fixture)
		gone      []messenger.ExecutorIncarnation
		executors []string
	}{
		{name: "alive", run: func(*fixture) {}, executors: []string{"e"}},
		{name: "no process listens", executors: []string{}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "refused"))
		}},
		{name: "silent", executors: []string{"e"}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unknown, "timeout"))
		}},
		{name: "no connection in time", executors: []string{"e"}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unreachable, "dial: timeout"))
		}},
		{name: "reborn", executors: []string{"e"}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			s.now = s.now.Add(1100 * time.Millisecond)
			s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.Sequence = 8, 1 })
			s.hold(custodian.HoldAnswer{}, nil)
			s.hold(custodian.HoldAnswer{}, nil)
		}},
		{name: "restarted, and has not answered a hold yet", executors: []string{"e"}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 8, Clock: 1}}, nil)
		}},
		{name: "owner lists an executor that another one replaced", executors: []string{"e"}, gone: []messenger.ExecutorIncarnation{{Id: "d", Born: 99}}, run: func(s *fixture) {
			s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{Epoch: 1, Owner: true, Executors: []messenger.ExecutorRecord{{Id: "d", Born: 99, Address: "host:2"}}})
		}},
		{name: "replaced by one with an earlier start time after a clock jumped", executors: []string{"f"}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			next := func(a *custodian.Announcement) { a.StartedMillis, a.ID = 5, "f" }
			s.announce(next)
			s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "another incarnation answers"))
			s.announce(next)
		}},
		{name: "restarted with an earlier start time after a clock jumped", executors: []string{"e"}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 5, Clock: 1}}, nil)
			s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 5, Clock: 1}}, nil)
			s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 5, Clock: 1}}, nil)
		}},
		{name: "late announcement of an earlier incarnation", executors: []string{"e"}, run: func(s *fixture) {
			s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.ID = 6, "d" })
		}},
		{name: "replaced at its address", executors: []string{"f"}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			s.now = s.now.Add(1100 * time.Millisecond)
			s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.ID = 9, "f" })
		}},
		{name: "another writer announces a later start while it answers", executors: []string{"e"}, run: func(s *fixture) {
			s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.Sequence = 8, 1 })
		}},
		{name: "another writer announces its address while it answers", executors: []string{"e"}, run: func(s *fixture) {
			s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.ID = 9, "f" })
		}},
		{name: "late announcement after its end", executors: []string{}, gone: []messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, run: func(s *fixture) {
			s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "refused"))
			s.announce(nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			test.run(s)
			if diff := cmp.Diff(test.executors, s.Executors()); diff != "" {
				t.Errorf("executors (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.gone, s.Report(s.now, true).Gone); diff != "" {
				t.Errorf("gone (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartedAgent checks that an agent without state learns its executors from the owner
// and takes over their runs.
func TestRestartedAgent(t *testing.T) {
	s := &fixture{now: start.Add(time.Minute), epoch: 1}
	s.Custodian = custodian.New(s.now, custodian.DefaultConfig(), "host", "host:1", "i2", hclog.NewNullLogger(), metrics.NewRegistry())
	s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{Epoch: 1, Owner: true, Executors: []messenger.ExecutorRecord{{Id: "e", Born: 7, Address: "host:2"}}})
	s.hold(custodian.HoldAnswer{Answer: custodian.Answer{Clock: s.clock()}}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"))
	s.hold(custodian.HoldAnswer{Runs: []messenger.RunState{{Run: ref(0, 1)}}}, nil)
	report := s.Report(s.now, true)
	if diff := cmp.Diff(map[string]string{"0#1": messenger.RunRunning}, phases(report)); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	if !report.Executors[0].Runs[0].Unknown {
		t.Error("the adopted run is not reported as unknown")
	}
}

// TestRunsOfSilentExecutorEnd checks that the runs of a silent executor end when the last
// lease that it may have received is over, and not before.
func TestRunsOfSilentExecutorEnd(t *testing.T) {
	s := newFixture()
	calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, nil)
	s.renew()
	silent := apricotwinch.Errorf(apricotwinch.Unknown, "timeout")
	s.hold(custodian.HoldAnswer{}, silent)
	leasedAt := s.now
	for s.now.Sub(leasedAt) < custodian.DefaultConfig().Lease-100*time.Millisecond {
		s.now = s.now.Add(100 * time.Millisecond)
		s.Tick(s.now)
		if diff := cmp.Diff(1, len(phases(s.Report(s.now, true)))); diff != "" {
			t.Fatalf("runs after %s (-want +got):\n%s", s.now.Sub(leasedAt), diff)
		}
	}
	s.now = s.now.Add(time.Second)
	s.Tick(s.now)
	if diff := cmp.Diff(map[string]string{}, phases(s.Report(s.now, true))); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// TestLeaseLengthIsHonored guards against a task that runs twice: an agent holds a lease for longer than the owner
// granted it, which a successor doesn't wait for.
func TestLeaseLengthIsHonored(t *testing.T) {
	tests := []struct {
		name  string
		reply messenger.ReportReply
		// want is the end of the lease, in milliseconds from the report; 0 for none.
		want int
	}{
		{name: "length", reply: messenger.ReportReply{Lease: true, LeaseMillis: 1500}, want: 1500},
		{name: "more than the full length", reply: messenger.ReportReply{Lease: true, LeaseMillis: 60_000}, want: 4000},
		{name: "owner of the version before", reply: messenger.ReportReply{Lease: true}, want: 4000},
		{name: "length without a lease", reply: messenger.ReportReply{LeaseMillis: 1500}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			s.now = s.now.Add(10 * time.Second)
			s.hold(custodian.HoldAnswer{}, nil)
			clockAt, sent := s.now, s.now
			test.reply.Epoch, test.reply.Owner = 1, true
			if diff := cmp.Diff(true, s.Report(sent, true).LeaseLengths); diff != "" {
				t.Errorf("the report says that lengths are honored (-want +got):\n%s", diff)
			}
			s.now = s.now.Add(300 * time.Millisecond)
			s.HandleReportAnswer(s.now, sent, test.reply)
			var want time.Duration
			if test.want > 0 {
				want = clockAt.Sub(start) + time.Second + time.Duration(test.want)*time.Millisecond*98/100
			}
			if diff := cmp.Diff(want, s.hold(custodian.HoldAnswer{}, nil).Deadline); diff != "" {
				t.Errorf("deadline (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestartedAgentKeepsRunsOfSilentExecutor guards against tasks that run twice: runs found by a
// restarted agent may hold a lease that the earlier agent granted, also if their executor falls
// silent before it gets one from this agent.
func TestRestartedAgentKeepsRunsOfSilentExecutor(t *testing.T) {
	s := &fixture{now: start.Add(time.Minute), epoch: 1}
	s.Custodian = custodian.New(s.now, custodian.DefaultConfig(), "host", "host:1", "i2", hclog.NewNullLogger(), metrics.NewRegistry())
	startedAt := s.now
	s.announce(nil)
	found := custodian.HoldAnswer{Runs: []messenger.RunState{{Run: ref(0, 1)}}}
	s.hold(found, nil)
	s.hold(found, nil)
	s.endStrayLeases()
	got := map[time.Duration]int{}
	for s.now.Sub(startedAt) < custodian.DefaultConfig().Lease+time.Second {
		s.now = s.now.Add(100 * time.Millisecond)
		s.Tick(s.now)
		got[s.now.Sub(startedAt).Truncate(time.Second)] = len(phases(s.Report(s.now, true)))
	}
	want := map[time.Duration]int{0: 1, time.Second: 1, 2 * time.Second: 1, 3 * time.Second: 1, 4 * time.Second: 0, 5 * time.Second: 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("runs by time (-want +got):\n%s", diff)
	}
}

// TestBestEffortIsThrottledAtStart checks that best-effort work that interferes with a serving
// task is throttled when its start is answered, not only with the next measurements.
func TestBestEffortIsThrottledAtStart(t *testing.T) {
	s := newFixture()
	serving := order(0, 1, 1000)
	serving.TailTargetMillis, serving.Image = 40, "quotes"
	calls, _ := s.HandleOrders(s.now, s.orders(serving))
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, nil)
	s.hold(custodian.HoldAnswer{Runs: []messenger.RunState{{Run: ref(0, 1), Figure: 25}}}, nil)
	s.HandleReportAnswer(s.now, s.now, messenger.ReportReply{Epoch: 1, Owner: true, Presses: []messenger.Interference{{Serving: "quotes", Filling: "render", Headroom: 1}}})
	bestEffort := order(1, 1, 2000)
	bestEffort.Fills, bestEffort.Image = true, "render"
	calls, _ = s.HandleOrders(s.now, s.orders(bestEffort))
	paces, _ := s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, nil)
	if len(paces.Paces) != 1 || paces.Paces[0].Percent > 35 {
		t.Errorf("paces = %+v, want one of at most 35%%", paces.Paces)
	}
}

// TestBackgroundRun guards against background work that takes more than the least pace from other best-effort work,
// and against a run that isn't promoted.
func TestBackgroundRun(t *testing.T) {
	s := newFixture()
	background, working := order(0, 1, 2000), order(1, 1, 2000)
	background.Fills, background.Background, working.Fills = true, true, true
	calls, _ := s.HandleOrders(s.now, s.orders(background, working))
	paces := map[messenger.RunRef]int{background.Run: 100, working.Run: 100}
	apply := func(calls custodian.Calls) {
		for _, call := range calls.Paces {
			paces[call.Run] = call.Percent
		}
	}
	for _, start := range calls.Starts {
		calls, _ := s.HandleStartAnswer(s.now, start, custodian.Answer{Clock: s.clock()}, nil)
		apply(calls)
	}
	if diff := cmp.Diff(map[messenger.RunRef]int{background.Run: pacer.DefaultConfig().MinPace, working.Run: 100}, paces); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
	listed := s.NextReport(s.now).Executors[0].Runs
	if got := []bool{listed[0].Background, listed[1].Background}; !cmp.Equal(got, []bool{true, false}) {
		t.Errorf("reported as background: %v, want the first run", got)
	}
	orders := s.orders()
	orders.Promotions = []messenger.PromotionOrder{{Run: background.Run, Executor: background.Executor}}
	calls, _ = s.HandleOrders(s.now, orders)
	apply(calls)
	if diff := cmp.Diff(map[messenger.RunRef]int{background.Run: 100, working.Run: 100}, paces); diff != "" {
		t.Errorf("paces once promoted (-want +got):\n%s", diff)
	}
}

// TestNextIncarnationGetsGreaterToken checks that calls for an earlier incarnation of an
// executor do not block calls for the next one, whose clock starts anew.
func TestNextIncarnationGetsGreaterToken(t *testing.T) {
	s := newFixture()
	before := s.hold(custodian.HoldAnswer{}, nil).Token
	s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 8, Clock: time.Millisecond}}, nil)
	if got := s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 8, Clock: time.Millisecond}}, nil).Token; got <= before {
		t.Errorf("token = %d, want more than %d", got, before)
	}
}

func ExampleCustodian() {
	c := custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
	c.HandleAnnouncement(start, custodian.Announcement{ID: "e", Address: "host:2"})
	call, known := c.NextHold(start, "e")
	fmt.Println(call.Address, known)
	// Output: host:2 true
}

// TestEndsAreAcknowledgedOnce checks that an end is acknowledged to the executor once, and
// again only while no answer came. The next incarnation under the same id numbers its ends
// anew, and would forget its first ones.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	s := newFixture()
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, nil)
	end := messenger.RunEnd{Number: 5, Run: ref(0, 1), How: messenger.EndDone}
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{end}}, nil)
	acknowledgment := s.orders()
	acknowledgment.Seen = []messenger.DurableEnds{{Executor: "e", Born: 7, Through: 5}}
	if _, err := s.HandleOrders(s.now, acknowledgment); err != nil {
		t.Fatal(err)
	}
	var seen []int
	for _, err := range []error{apricotwinch.Errorf(apricotwinch.Unknown, "lost"), nil, nil, nil} {
		seen = append(seen, s.hold(custodian.HoldAnswer{}, err).AckedEnd)
	}
	if diff := cmp.Diff([]int{5, 5, 0, 0}, seen); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// TestStartRevealsNewIncarnation checks that an executor that restarted under its id is
// recognized as soon as it answers a start. The run belongs to the new incarnation, and the
// runs of the earlier one have ended.
func TestStartRevealsNewIncarnation(t *testing.T) {
	s := newFixture()
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{StartedMillis: 9, Clock: time.Millisecond}, nil)
	s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 9, Clock: 2 * time.Millisecond}}, nil)
	s.hold(custodian.HoldAnswer{
		Answer: custodian.Answer{StartedMillis: 9, Clock: 3 * time.Millisecond},
		Ends:   []messenger.RunEnd{{Number: 1, Run: ref(0, 1), How: messenger.EndFailed}},
	}, nil)
	report := s.Report(s.now, true)
	if diff := cmp.Diff([]messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, report.Gone); diff != "" {
		t.Errorf("gone (-want +got):\n%s", diff)
	}
	if len(report.Executors) != 1 || report.Executors[0].Executor.Born != 9 || len(report.Executors[0].Ends) != 1 {
		t.Errorf("executors: %+v, want the incarnation born at 9 with the end of its run", report.Executors)
	}
}

// TestStartForEarlierIncarnationIsRefused guards against tasks that run twice: the owner may start a
// task elsewhere once it knows that an executor was restarted, while its order to start the task on
// the earlier incarnation is still on the way.
func TestStartForEarlierIncarnationIsRefused(t *testing.T) {
	s := newFixture()
	first, late := order(0, 1, 1000), order(1, 1, 1000)
	first.Born, late.Born = 7, 7
	calls, err := s.HandleOrders(s.now, s.orders(first))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(calls.Starts)); diff != "" {
		t.Errorf("starts on the known incarnation (-want +got):\n%s", diff)
	}
	for range 3 {
		s.hold(custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 9, Clock: time.Millisecond}}, nil)
	}
	s.renew()
	calls, err = s.HandleOrders(s.now, s.orders(late))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(0, len(calls.Starts)); diff != "" {
		t.Errorf("starts on the next incarnation (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{string(apricotwinch.NotFound)}, refusals(s.Report(s.now, true))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestAnswerOfEarlierIncarnation guards against tasks that run twice: a late answer to a call for an
// earlier incarnation of an executor must not be taken for the end of the next one, whose runs
// would start elsewhere.
func TestAnswerOfEarlierIncarnation(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer custodian.Answer
		err    error
	}{
		{name: "lists", answer: custodian.Answer{StartedMillis: 7, Clock: time.Second}},
		{name: "no process listens", err: apricotwinch.Errorf(apricotwinch.StaleIncarnation, "refused")},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			if err != nil {
				t.Fatal(err)
			}
			earlier, _ := s.NextHold(s.now, "e")
			sent := s.now
			next := custodian.Answer{StartedMillis: 9, Clock: time.Millisecond}
			s.HandleStartAnswer(s.now, calls.Starts[0], next, nil)
			s.HandleHoldAnswer(s.now, sent, earlier, custodian.HoldAnswer{Answer: test.answer}, test.err)
			found := custodian.HoldAnswer{Answer: next, Runs: []messenger.RunState{{Run: ref(0, 1)}}}
			s.hold(found, nil)
			s.hold(found, nil)
			report := s.Report(s.now, true)
			if diff := cmp.Diff([]messenger.ExecutorIncarnation{{Id: "e", Born: 7}}, report.Gone); diff != "" {
				t.Errorf("gone (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]string{"0#1": messenger.RunRunning}, phases(report)); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLapseFencesRunsInDoubt checks that after a lapse of the lease, during which the owner may
// have started a task elsewhere, a start without an answer is not repeated, and that the
// executor is not reported or used before it has answered a greater token.
func TestLapseFencesRunsInDoubt(t *testing.T) {
	s := newFixture()
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	if err != nil || len(calls.Starts) != 1 {
		t.Fatalf("starts %v, error %v", calls.Starts, err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	before := s.hold(custodian.HoldAnswer{}, nil).Token
	s.now = s.now.Add(5 * time.Second)
	if report := s.renew(); len(report.Executors) != 1 {
		t.Fatalf("report during the lapse lists %d executors, want 1", len(report.Executors))
	}
	if calls, _ := s.Tick(s.now); len(calls.Starts) != 0 {
		t.Errorf("start repeated after the lapse: %v", calls.Starts)
	}
	if report := s.renew(); len(report.Executors) != 0 {
		t.Errorf("the executor is reported before it has answered the greater token")
	}
	fencing := s.hold(custodian.HoldAnswer{}, nil)
	if fencing.Token <= before || fencing.Deadline != 0 {
		t.Errorf("hold with token %d and deadline %s, want a token above %d and no lease", fencing.Token, fencing.Deadline, before)
	}
	if diff := cmp.Diff(map[string]string{}, phases(s.renew())); diff != "" {
		t.Errorf("runs after the fence (-want +got):\n%s", diff)
	}
}

// TestUnconfirmedExecutorIsForgotten checks that an announcement of another writer, which names a
// later incarnation and an address at which nothing answers, stands for the executor of that id
// only for a while.
func TestUnconfirmedExecutorIsForgotten(t *testing.T) {
	s := newFixture()
	s.announce(func(a *custodian.Announcement) { a.StartedMillis, a.Address = 1<<41, "host:3" })
	for range 12 {
		s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unreachable, "no route"))
		s.now = s.now.Add(time.Second)
		s.announce(nil)
		s.Tick(s.now)
	}
	s.hold(custodian.HoldAnswer{}, nil)
	s.hold(custodian.HoldAnswer{}, nil)
	report := s.renew()
	if len(report.Executors) != 1 || report.Executors[0].Executor.Born != 7 {
		t.Errorf("got %+v, want the executor that announces itself", report.Executors)
	}
}

// TestSilentExecutorKeepsLeasesOfEarlierAgent guards against a task that runs twice: a new agent may not
// report the runs of a silent executor as ended while the leases of the earlier agent may last.
func TestSilentExecutorKeepsLeasesOfEarlierAgent(t *testing.T) {
	unanswered := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	s := &fixture{now: start, epoch: 1}
	s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i2", hclog.NewNullLogger(), metrics.NewRegistry())
	s.announce(nil)
	for range 2 {
		s.hold(custodian.HoldAnswer{Runs: []messenger.RunState{{Run: ref(0, 1)}}}, nil)
	}
	s.endStrayLeases()
	config := custodian.DefaultConfig()
	for s.now.Before(start.Add(config.Lease + config.Margin)) {
		s.now = s.now.Add(50 * time.Millisecond)
		s.hold(custodian.HoldAnswer{}, unanswered)
		s.Tick(s.now)
		want := map[string]string{"0#1": messenger.RunRunning}
		if s.now.After(start.Add(config.Lease + config.Margin)) {
			want = map[string]string{}
		}
		if diff := cmp.Diff(want, phases(s.Report(s.now, true))); diff != "" {
			t.Fatalf("runs %s after the start of the agent (-want +got):\n%s", s.now.Sub(start), diff)
		}
	}
}

// TestSilentExecutorGetsNoLaterLease guards against tasks that never run again: holds that an executor
// leaves without an answer may not move the end of its lease on, while the owner renews it.
func TestSilentExecutorGetsNoLaterLease(t *testing.T) {
	unanswered := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	s := newFixture()
	calls, _ := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{Clock: s.clock()}, nil)
	s.hold(custodian.HoldAnswer{Runs: []messenger.RunState{{Run: ref(0, 1)}}}, nil)
	config := custodian.DefaultConfig()
	silentFrom, lastGrant := s.now, time.Duration(0)
	for s.now.Before(silentFrom.Add(config.SilenceTimeout + config.Lease + config.Margin + 100*time.Millisecond)) {
		s.now = s.now.Add(100 * time.Millisecond)
		lastGrant = max(lastGrant, s.hold(custodian.HoldAnswer{}, unanswered).Deadline)
		s.Tick(s.now)
		running := s.clock() <= lastGrant
		if report := s.renew(); running && len(phases(report)) == 0 {
			t.Fatalf("the run is given up %s after the executor fell silent, while its lease may last", s.now.Sub(silentFrom))
		}
	}
	if diff := cmp.Diff(map[string]string{}, phases(s.Report(s.now, true))); diff != "" {
		t.Errorf("runs %s after the executor fell silent (-want +got):\n%s", s.now.Sub(silentFrom), diff)
	}
}

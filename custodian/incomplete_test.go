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

// lists are the flags of the only executor in a report.
func lists(t *testing.T, r messenger.Report) map[string]bool {
	t.Helper()
	if len(r.Executors) != 1 {
		t.Fatalf("executors = %d, want 1", len(r.Executors))
	}
	return map[string]bool{"incomplete": r.Executors[0].Incomplete, "runs listed": r.Executors[0].RunsListed}
}

// TestMissingEndsDoNotHideEndOfRun guards against a run that is reported for good: its executor has ended it
// and doesn't list that end.
func TestMissingEndsDoNotHideEndOfRun(t *testing.T) {
	s := newFixture()
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000), order(1, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range calls.Starts {
		s.HandleStartAnswer(s.now, call, custodian.Answer{}, nil)
	}
	s.now = s.now.Add(time.Millisecond)
	running := []messenger.RunState{{Run: ref(1, 1)}}
	s.hold(custodian.HoldAnswer{Runs: running, EndsIncomplete: true, RunsIncomplete: true}, nil)
	if diff := cmp.Diff(map[string]string{"0#1": messenger.RunRunning, "1#1": messenger.RunRunning}, phases(s.renew())); diff != "" {
		t.Errorf("phases while runs may be missing (-want +got):\n%s", diff)
	}
	s.hold(custodian.HoldAnswer{Runs: running, EndsIncomplete: true}, nil)
	report := s.renew()
	if diff := cmp.Diff(map[string]string{"1#1": messenger.RunRunning}, phases(report)); diff != "" {
		t.Errorf("phases while ends are missing (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]bool{"incomplete": true, "runs listed": true}, lists(t, report)); diff != "" {
		t.Errorf("lists (-want +got):\n%s", diff)
	}
}

// TestMissingEndsHoldRefusedStart guards against a task that runs again after it was done: its start was
// refused after an earlier call without an answer, and the end of its run may be missing.
func TestMissingEndsHoldRefusedStart(t *testing.T) {
	s := newFixture()
	calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
	if err != nil {
		t.Fatal(err)
	}
	s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
	s.now = s.now.Add(400 * time.Millisecond)
	calls, _ = s.Tick(s.now)
	calls, _ = s.HandleStartAnswer(s.now, calls.Starts[0], custodian.Answer{}, apricotwinch.Errorf(apricotwinch.NoTarget, "refused"))
	s.HandleStopAnswer(s.now, calls.Stops[0], custodian.Answer{}, nil)
	s.now = s.now.Add(time.Millisecond)
	s.hold(custodian.HoldAnswer{EndsIncomplete: true}, nil)
	if diff := cmp.Diff([]string(nil), refusals(s.renew())); diff != "" {
		t.Errorf("refusals while ends are missing (-want +got):\n%s", diff)
	}
	s.hold(custodian.HoldAnswer{}, nil)
	if diff := cmp.Diff([]string{"no_target"}, refusals(s.renew())); diff != "" {
		t.Errorf("refusals with all ends (-want +got):\n%s", diff)
	}
}

// TestLapseCompletesLists guards against tasks that are held for good by an executor that didn't list
// everything and is silent since: once its leases have expired, nothing that it has not listed matters.
func TestLapseCompletesLists(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer custodian.HoldAnswer
	}{
		{name: "ends missing", answer: custodian.HoldAnswer{EndsIncomplete: true}},
		{name: "runs missing", answer: custodian.HoldAnswer{RunsIncomplete: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &fixture{now: start, epoch: 1}
			s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
			s.announce(nil)
			s.hold(test.answer, nil)
			s.hold(test.answer, nil)
			s.endStrayLeases()
			s.renew()
			silent := s.now
			for s.now.Sub(silent) < 4*time.Second {
				s.hold(custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unknown, "no answer"))
				s.now = s.now.Add(200 * time.Millisecond)
				s.Tick(s.now)
				if report := s.renew(); s.now.Sub(silent) < 3500*time.Millisecond {
					if diff := cmp.Diff(true, lists(t, report)["incomplete"]); diff != "" {
						t.Fatalf("incomplete %s after the last answer (-want +got):\n%s", s.now.Sub(silent), diff)
					}
				}
			}
			s.now = s.now.Add(2 * time.Second)
			if _, changed := s.Tick(s.now); !changed {
				t.Error("the owner gets no report at once")
			}
			if diff := cmp.Diff(map[string]bool{"incomplete": false, "runs listed": true}, lists(t, s.renew())); diff != "" {
				t.Errorf("lists after the lapse (-want +got):\n%s", diff)
			}
			if _, changed := s.Tick(s.now.Add(time.Second)); changed {
				t.Error("the lapse is reported twice")
			}
		})
	}
}

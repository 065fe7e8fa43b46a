package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// TestNextIncarnationIsProbed guards against a run that starts again: an executor ends, and its next incarnation
// carries a start out, which was meant for the last one, before it has announced itself and has seen a token.
func TestNextIncarnationIsProbed(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func(*testing.T, *fixture) custodian.StartCall
		want  bool
	}{
		{name: "start unanswered", start: func(t *testing.T, s *fixture) custodian.StartCall {
			call := s.startRun(t, 0)
			s.HandleStartAnswer(s.now, call, custodian.Answer{}, errNoAnswer)
			return call
		}, want: true},
		{name: "repeated start answered", start: func(t *testing.T, s *fixture) custodian.StartCall {
			call := s.startRun(t, 0)
			s.HandleStartAnswer(s.now, call, custodian.Answer{}, errNoAnswer)
			s.answerStart(s.repeatStart(t))
			return call
		}, want: true},
		{name: "repeated start answered, and run ended", start: func(t *testing.T, s *fixture) custodian.StartCall {
			call := s.startRun(t, 0)
			s.HandleStartAnswer(s.now, call, custodian.Answer{}, errNoAnswer)
			s.answerStart(s.repeatStart(t))
			s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0)}}, nil)
			return call
		}, want: true},
		{name: "start answered", start: func(t *testing.T, s *fixture) custodian.StartCall {
			call := s.startRun(t, 0)
			s.answerStart(call)
			return call
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			start := test.start(t, s)
			s.hold(custodian.HoldAnswer{}, errRefused)
			probe, ok := s.NextHold(s.now, "e")
			if diff := cmp.Diff(test.want, ok); diff != "" {
				t.Fatalf("probed (-want +got):\n%s", diff)
			}
			if !ok {
				return
			}
			if probe.Token <= start.Token {
				t.Errorf("token of the probe = %d, want one above %d, that of the start", probe.Token, start.Token)
			}
			want := custodian.HoldCall{Executor: "e", Born: 7, Address: "host:2", Token: probe.Token}
			if diff := cmp.Diff(want, probe); diff != "" {
				t.Errorf("probe (-want +got):\n%s", diff)
			}
			s.HandleHoldAnswer(s.now, s.now, probe, custodian.HoldAnswer{}, apricotwinch.Errorf(apricotwinch.Unreachable, "refused"))
			next := custodian.HoldAnswer{Answer: custodian.Answer{StartedMillis: 9, Clock: time.Second}}
			s.hold(next, nil)
			s.hold(next, nil)
			report := s.Report(s.now, true)
			if len(report.Executors) != 1 || report.Executors[0].Executor.Born != 9 {
				t.Errorf("executors: %+v, want the incarnation born at 9", report.Executors)
			}
		})
	}
}

// TestProbesEnd checks that an executor that has ended is probed until no start can be under way any more.
func TestProbesEnd(t *testing.T) {
	s := newFixture()
	s.HandleStartAnswer(s.now, s.startRun(t, 0), custodian.Answer{}, errNoAnswer)
	s.hold(custodian.HoldAnswer{}, errRefused)
	s.now = s.now.Add(custodian.DefaultConfig().MaxCallDelay)
	if call, ok := s.NextHold(s.now, "e"); ok {
		t.Errorf("probe %+v, want none", call)
	}
}

package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// startRun orders the start of a run and returns the call.
func (s *fixture) startRun(t *testing.T, index int) custodian.StartCall {
	t.Helper()
	calls, err := s.HandleOrders(s.now, s.orders(order(index, 1, 100)))
	if err != nil || len(calls.Starts) != 1 {
		t.Fatalf("starts = %d, error %v, want one start", len(calls.Starts), err)
	}
	return calls.Starts[0]
}

// repeatStart returns the repeated call of a start without an answer.
func (s *fixture) repeatStart(t *testing.T) custodian.StartCall {
	t.Helper()
	s.now = s.now.Add(custodian.DefaultConfig().RetryDelay)
	calls, _ := s.Tick(s.now)
	if len(calls.Starts) != 1 {
		t.Fatalf("starts = %d, want one that is repeated", len(calls.Starts))
	}
	return calls.Starts[0]
}

// answerStart answers a start.
func (s *fixture) answerStart(call custodian.StartCall) {
	s.HandleStartAnswer(s.now, call, custodian.Answer{Clock: s.clock()}, nil)
}

// newDurableFixture returns a fixture with the end of a run, with the number 1, that is durable and not yet
// acknowledged. found is whether it has found a run of an earlier agent before.
func newDurableFixture(t *testing.T, found bool) *fixture {
	t.Helper()
	s := newFixture()
	if found {
		s.hold(custodian.HoldAnswer{Runs: states(2)}, nil)
	}
	s.answerStart(s.startRun(t, 0))
	s.hold(custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0)}}, nil)
	s.acknowledge(1)
	return s
}

// TestNoAcknowledgmentWhileStartIsUnderWay guards against an end that is dropped unheard, and against a task that
// starts again after its end is acknowledged: the next incarnation of an executor carries out a start that was
// meant for the last one.
func TestNoAcknowledgmentWhileStartIsUnderWay(t *testing.T) {
	noAnswer := func(s *fixture, call custodian.StartCall) {
		s.HandleStartAnswer(s.now, call, custodian.Answer{}, errNoAnswer)
	}
	none := custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0)}}
	listed := custodian.HoldAnswer{Runs: states(1), Ends: []messenger.RunEnd{done(1, 0)}}
	ended := custodian.HoldAnswer{Ends: []messenger.RunEnd{done(1, 0), done(2, 1)}}
	for _, test := range []struct {
		name  string
		found bool
		start func(*testing.T, *fixture)
		// answer is what a hold after that returns; nil for no such hold.
		answer *custodian.HoldAnswer
		// want is whether the end may be acknowledged next.
		want bool
	}{
		{name: "no start", start: func(*testing.T, *fixture) {}, want: true},
		{name: "no answer yet", start: func(t *testing.T, s *fixture) { s.startRun(t, 1) }},
		{name: "no answer", start: func(t *testing.T, s *fixture) { noAnswer(s, s.startRun(t, 1)) }},
		{name: "answered after the last hold", start: func(t *testing.T, s *fixture) { s.answerStart(s.startRun(t, 1)) }},
		{name: "answered before the last hold", start: func(t *testing.T, s *fixture) { s.answerStart(s.startRun(t, 1)) }, answer: &listed, want: true},
		{name: "no answer, and listed", start: func(t *testing.T, s *fixture) { noAnswer(s, s.startRun(t, 1)) }, answer: &listed, want: true},
		{name: "no answer, and ended", start: func(t *testing.T, s *fixture) { noAnswer(s, s.startRun(t, 1)) }, answer: &ended, want: true},
		{name: "no answer, and the repeated one answered", start: func(t *testing.T, s *fixture) {
			noAnswer(s, s.startRun(t, 1))
			s.answerStart(s.repeatStart(t))
		}, answer: &listed},
		{name: "no answer twice, and ended", start: func(t *testing.T, s *fixture) {
			noAnswer(s, s.startRun(t, 1))
			noAnswer(s, s.repeatStart(t))
		}, answer: &ended},
		{name: "refused", start: func(t *testing.T, s *fixture) {
			s.HandleStartAnswer(s.now, s.startRun(t, 1), custodian.Answer{Clock: s.clock()}, apricotwinch.Errorf(apricotwinch.NoTarget, "unhealthy"))
		}, answer: &none, want: true},
		{name: "not sent", start: func(t *testing.T, s *fixture) {
			s.HandleStartAnswer(s.now, s.startRun(t, 1), custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unreachable, "refused"))
		}, answer: &listed, want: true},
		{name: "by an earlier agent", found: true, start: func(*testing.T, *fixture) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newDurableFixture(t, test.found)
			durableAt := s.now
			s.now = s.now.Add(time.Millisecond)
			test.start(t, s)
			var acked []int
			if test.answer != nil {
				s.now = s.now.Add(time.Millisecond)
				acked = append(acked, s.hold(*test.answer, nil).AckedEnd)
			}
			call, _ := s.NextHold(s.now, "e")
			acked = append(acked, call.AckedEnd)
			s.now = durableAt.Add(custodian.DefaultConfig().MaxAckDelay)
			call, _ = s.NextHold(s.now, "e")
			acked = append(acked, call.AckedEnd)
			want := make([]int, len(acked))
			want[len(want)-1] = 1
			if test.want {
				want[len(want)-2] = 1
			}
			if diff := cmp.Diff(want, acked); diff != "" {
				t.Errorf("acknowledged by the next holds, and after MaxAckDelay (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStartOutranksAcknowledgment guards against an end that is dropped unheard: the next incarnation of an executor
// carries out a start, and then an acknowledgment that was sent before it.
func TestStartOutranksAcknowledgment(t *testing.T) {
	s := newDurableFixture(t, false)
	acknowledgment, _ := s.NextHold(s.now, "e")
	if diff := cmp.Diff(1, acknowledgment.AckedEnd); diff != "" {
		t.Fatalf("acknowledged (-want +got):\n%s", diff)
	}
	if start := s.startRun(t, 1); start.Token <= acknowledgment.Token {
		t.Errorf("token of the start = %d, want one above %d, that of the acknowledgment", start.Token, acknowledgment.Token)
	}
}

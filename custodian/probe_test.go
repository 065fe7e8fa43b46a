package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// TestProbe guards against tasks that wait for a late start although no executor is up that could have begun it, and against
// one that runs twice, as a connection is refused while a call may still be carried out.
func TestProbe(t *testing.T) {
	const starting = messenger.RunStarting
	held := listing{Phases: map[string]string{"0#1": starting, "1#1": starting, "3#1": starting}}
	released := listing{Phases: map[string]string{}, Gone: 1}
	for _, test := range []struct {
		name   string
		answer custodian.Answer
		err    error
		want   listing
		// announced is whether another incarnation is to be confirmed.
		announced bool
	}{
		{name: "refused", err: errRefused, want: released},
		{name: "no answer", err: errNoAnswer, want: held},
		{name: "rejected", err: apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence"), want: held},
		{name: "answered by another incarnation", answer: custodian.Answer{StartedMillis: nextBorn, Clock: time.Second}, want: held, announced: true},
		{name: "answered by an incarnation that doesn't say which", want: held},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := newUnderWayFixture(t, nil)
			lastCall := start.Add(custodian.DefaultConfig().MaxCallDelay)
			for s.now.Before(lastCall) {
				if calls, _ := s.Tick(s.now); len(calls.Probes) > 0 {
					t.Fatalf("a probe is made after %s, while calls may be carried out", s.now.Sub(start))
				}
				s.now = s.now.Add(100 * time.Millisecond)
			}
			if diff := cmp.Diff(held, s.listing()); diff != "" {
				t.Fatalf("listing after the last call (-want +got):\n%s", diff)
			}
			s.now = s.now.Add(100 * time.Millisecond)
			calls, _ := s.Tick(s.now)
			if len(calls.Probes) != 1 {
				t.Fatalf("%d probes are made, want 1", len(calls.Probes))
			}
			s.HandleProbeAnswer(s.now.Add(10*time.Millisecond), s.now, calls.Probes[0], test.answer, test.err)
			if diff := cmp.Diff(test.want, s.listing()); diff != "" {
				t.Errorf("listing (-want +got):\n%s", diff)
			}
			if got := len(s.Executors()) > 0; got != test.announced {
				t.Errorf("another incarnation is known = %t, want %t", got, test.announced)
			}
		})
	}
}

package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/custodian"
)

// TestReporterWaitsForLateOwner guards against agents that give up the answers of an overloaded owner:
// the timeout grows until they come, and stays while they are late.
func TestReporterWaitsForLateOwner(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second, 1700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			now := time.Unix(0, 0)
			var reporter custodian.Reporter
			reporter.HandleOwner(now)
			answered, missed := 0, 0
			for answered < 5 {
				sent, timeout := now, reporter.AnswerTimeout()
				now = now.Add(min(delay, timeout))
				if delay < timeout {
					reporter.HandleAnswer(now, sent)
					answered++
					continue
				}
				missed++
				if answered > 0 || reporter.HandleFailure(now, apricotwinch.Unknown) {
					t.Fatalf("report %d: an owner that answers after %s is given up", answered+missed, delay)
				}
			}
			if missed > 2 {
				t.Errorf("%d answers missed, want at most 2", missed)
			}
		})
	}
}

// TestReporterGivesUpSilentOwner checks how long an owner may be silent before the agent looks for
// another one.
func TestReporterGivesUpSilentOwner(t *testing.T) {
	tests := []struct {
		name   string
		kind   apricotwinch.Kind
		silent time.Duration
		want   bool
	}{
		{name: "no answer", kind: apricotwinch.Unknown, silent: 2400 * time.Millisecond, want: false},
		{name: "no answer for long", kind: apricotwinch.Unknown, silent: 2401 * time.Millisecond, want: true},
		{name: "unreachable", kind: apricotwinch.Unreachable, silent: 600 * time.Millisecond, want: false},
		{name: "unreachable for long", kind: apricotwinch.Unreachable, silent: 601 * time.Millisecond, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			var reporter custodian.Reporter
			reporter.HandleOwner(now)
			if diff := cmp.Diff(test.want, reporter.HandleFailure(now.Add(test.silent), test.kind)); diff != "" {
				t.Errorf("owner given up (-want +got):\n%s", diff)
			}
		})
	}
}

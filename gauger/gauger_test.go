package gauger_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/gauger"
)

// seed is the seed of every run, here and in the table.
const seed = 1

// Targets of the decisions for requests.
const (
	maxSlowdown    = 1.1  // p99 with a slow host against calm
	minGoodput     = 0.95 // of what all hosts can serve, in an overload
	maxFaultyShare = 0.01 // of the attempts, at a host that fails everything
)

func run(t *testing.T, name string, policy gauger.Policy) gauger.Report {
	t.Helper()
	for _, scenario := range gauger.Scenarios() {
		if scenario.Name() == name {
			report := gauger.Run(scenario, policy, seed)
			t.Log(report)
			return report
		}
	}
	t.Fatalf("no scenario %q", name)
	return gauger.Report{}
}

func TestASlowHostDoesNotSlowTheOthers(t *testing.T) {
	t.Parallel()
	calm, slow := run(t, gauger.Calm, gauger.Composed), run(t, gauger.SlowHost, gauger.Composed)
	if ratio := float64(slow.Quantile(99)) / float64(calm.Quantile(99)); ratio > maxSlowdown {
		t.Errorf("p99 is %.2f times the calm one, want at most %g", ratio, maxSlowdown)
	}
	naive := run(t, gauger.SlowHost, gauger.RoundRobin)
	if naive.Quantile(99) <= slow.Quantile(99) {
		t.Errorf("p99 %v is not below that of the naive policy, %v", slow.Quantile(99), naive.Quantile(99))
	}
}

func TestGoodputInAnOverload(t *testing.T) {
	t.Parallel()
	for _, name := range []string{gauger.Overload, gauger.UnevenOverload} {
		report := run(t, name, gauger.Composed)
		if got := report.Goodput(); got < minGoodput {
			t.Errorf("%s: goodput is %.3f of the capacity, want at least %g", name, got, minGoodput)
		}
		if got := report.Refused(apricotwinch.Critical); got > 0 {
			t.Errorf("%s: %d critical requests were refused, want 0", name, got)
		}
	}
}

func TestNoCriticalRequestGivesWayToABatchOne(t *testing.T) {
	t.Parallel()
	report := run(t, gauger.CriticalOverload, gauger.Composed)
	if got := report.Refused(apricotwinch.Critical); got == 0 {
		t.Error("no critical request was refused: the scenario tests nothing")
	}
	if got := report.Displaced(); got > 0 {
		t.Errorf("%d critical requests were refused while a batch one held a place", got)
	}
	if got := report.Goodput(); got < minGoodput {
		t.Errorf("goodput is %.3f of the capacity, want at least %g", got, minGoodput)
	}
}

func TestAFailingHostGetsFewAttempts(t *testing.T) {
	t.Parallel()
	for _, name := range []string{gauger.FailingHost, gauger.FailingHostIdle} {
		if got := run(t, name, gauger.Composed).FaultyShare(); got > maxFaultyShare {
			t.Errorf("%s: %.4f of the attempts went to it, want at most %g", name, got, maxFaultyShare)
		}
	}
	if got := run(t, gauger.FailingHost, gauger.RoundRobin).FaultyShare(); got < 1.0/12 {
		t.Errorf("the naive policy sent %.4f of its attempts to the failing host: the scenario tests nothing", got)
	}
}

func TestADataCentreOutLosesAndDoublesNothing(t *testing.T) {
	t.Parallel()
	report := run(t, gauger.DataCentreOut, gauger.Composed)
	got := map[string]int{"failed": report.Failed(), "doubled": report.Doubled(), "critical refused": report.Refused(apricotwinch.Critical)}
	if diff := cmp.Diff(map[string]int{"failed": 0, "doubled": 0, "critical refused": 0}, got); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

func TestTheSameSeedGivesTheSameReport(t *testing.T) {
	t.Parallel()
	first, second := run(t, gauger.FailingHostIdle, gauger.Composed), run(t, gauger.FailingHostIdle, gauger.Composed)
	if diff := cmp.Diff(first.String(), second.String()); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

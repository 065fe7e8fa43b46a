package conductor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// TestUnderservedWorkloadsAreLogged guards against long-running workloads that are passed over, for their size or
// for others, without a line or a gauge that shows it.
func TestUnderservedWorkloadsAreLogged(t *testing.T) {
	sim, logs := newLoggedSimulation(t, 2)
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "served", tasks(2, 5000, time.Hour, longRunning))
	sim.submit(watchQueue, "partly", tasks(5, 3000, time.Hour, longRunning, func(s *messenger.StepSpec) { s.MaxPerExecutor = 1 }))
	sim.submit(watchQueue, "unserved", tasks(1, 2000, time.Hour, longRunning, needsLabel))
	sim.run(8 * time.Second)
	want := []string{
		"workload=partly size=largest rank=1 of=3 processorMillis=15000 tasks=5 running=2 working=2 overTarget=0 sinceMillis=2000",
		"workload=unserved size=ordinary rank=3 of=3 processorMillis=2000 tasks=1 running=0 working=0 overTarget=0 sinceMillis=2000",
		"workload=partly size=largest rank=1 of=3 processorMillis=15000 tasks=5 running=2 working=2 overTarget=0 sinceMillis=7000",
		"workload=unserved size=ordinary rank=3 of=3 processorMillis=2000 tasks=1 running=0 working=0 overTarget=0 sinceMillis=7000",
	}
	got := logs.lines(t, "long-running workload underserved",
		"workload", "size", "rank", "of", "processorMillis", "tasks", "running", "working", "overTarget", "sinceMillis")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

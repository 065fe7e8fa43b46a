package conductor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// repeatSlack is how much longer than the leases and its own time a repeat of a lost run may take: for reports,
// records and a pass of the scheduler.
const repeatSlack = 300 * time.Millisecond

// runningStep returns the number of runs of a step of a workload.
func (sim *simulation) runningStep(id string, step int) int {
	n := 0
	for _, h := range sim.hosts {
		for ref := range h.executor.runs {
			if ref.Task.Workload == id && ref.Task.Step == step {
				n++
			}
		}
	}
	return n
}

// TestUnheardEndHoldsNextStepNoLongerThanLeases guards against accepted work that waits for long after a run
// ended unheard: a host is cut off, its tasks end behind the cut, and the owner is replaced. The next step must
// start once the leases of that host, as the last owner can have granted them before the takeover, and the
// tasks' own time are over.
func TestUnheardEndHoldsNextStepNoLongerThanLeases(t *testing.T) {
	const (
		own      = 800 * time.Millisecond
		ownedFor = 500 * time.Millisecond
	)
	fills := func(s *messenger.StepSpec) { s.Fills = true }
	gang := func(s *messenger.StepSpec) { s.Gang = true }
	config := conductor.DefaultConfig()
	for _, work := range []struct {
		name      string
		first     messenger.StepSpec
		scheduled bool
	}{
		{name: "ordinary", first: tasks(8, 2000, own)},
		{name: "best-effort", first: tasks(8, 2000, own, fills)},
		{name: "gang", first: tasks(8, 2000, own, gang)},
		{name: "scheduled", first: tasks(8, 2000, own), scheduled: true},
	} {
		for _, change := range []struct {
			name   string
			clean  bool
			owners int
		}{
			{name: "stopped predecessor", clean: true, owners: 1},
			{name: "predecessor not known to have stopped", owners: 1},
			{name: "two owners in a row", owners: 2},
		} {
			t.Run(work.name+", "+change.name, func(t *testing.T) {
				sim := newSimulation(t, 1, 6)
				sim.season()
				sim.run(6 * time.Second)
				steps := []messenger.StepSpec{work.first, tasks(2, 1000, time.Hour, after(0))}
				if work.scheduled {
					sim.submitScheduled(batchQueue, "job", 0, time.Hour, 2, steps...)
				} else {
					sim.submit(batchQueue, "job", steps...)
				}
				sim.runUntil(time.Second, func() bool { return sim.running("job") == work.first.Tasks })
				sim.hostOf("job").disconnected = true
				sim.run(100 * time.Millisecond)
				for range change.owners {
					sim.replaceOwner(change.clean)
					sim.run(ownedFor)
				}
				bound := config.Lease + config.Margin + own + repeatSlack - ownedFor
				sim.runUntil(bound, func() bool { return sim.runningStep("job", 1) > 0 })
			})
		}
	}
}

// TestRepeatOfLostRunIsLogged guards against a log that doesn't show how long lost work was held, nor when its
// repeat ended.
func TestRepeatOfLostRunIsLogged(t *testing.T) {
	for _, test := range []struct {
		name string
		// replaced is whether the owner is replaced before the run is given up.
		replaced       bool
		ordered, ended []string
	}{
		{
			name:    "one owner",
			ordered: []string{"lost=executor-host-0 unheardMillis=4420 running=1"},
			ended:   []string{"how=done lost=executor-host-0 unheardMillis=5230"},
		},
		{
			name:     "after a takeover",
			replaced: true,
			ordered:  []string{"lost=executor-host-0 unheardMillis=4420 running=1"},
			ended:    []string{"how=done lost=executor-host-0 unheardMillis=5240"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim, logs := newLoggedSimulation(t, 3)
			sim.replaceOwner(true)
			sim.run(6 * time.Second)
			sim.submit(batchQueue, "job", tasks(1, 1000, 800*time.Millisecond))
			sim.runUntil(time.Second, func() bool { return sim.running("job") == 1 })
			sim.hostOf("job").disconnected = true
			if test.replaced {
				sim.run(100 * time.Millisecond)
				sim.replaceOwner(true)
			}
			sim.run(8 * time.Second)
			if diff := cmp.Diff(test.ordered, logs.lines(t, "lost run repeated", "lost", "unheardMillis", "running")); diff != "" {
				t.Errorf("lost run repeated (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.ended, logs.lines(t, "repeat ended", "how", "lost", "unheardMillis")); diff != "" {
				t.Errorf("repeat ended (-want +got):\n%s", diff)
			}
		})
	}
}

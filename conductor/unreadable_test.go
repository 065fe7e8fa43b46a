package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/messenger"
)

// unreadableRows are rows of an executor's lists that can't be read, as made by hide on a host with runs
// of "short".
var unreadableRows = []struct {
	name string
	hide func(*simulation, *modelHost)
}{
	{name: "an end", hide: func(sim *simulation, h *modelHost) {
		ref := sim.hideRun(h)
		h.executor.end(sim, ref, messenger.EndDone)
	}},
	{name: "an end before others", hide: func(sim *simulation, h *modelHost) {
		ref := sim.hideRun(h)
		h.executor.end(sim, ref, messenger.EndDone)
		h.executor.end(sim, h.executor.refs()[0], messenger.EndDone)
	}},
	{name: "a run", hide: func(sim *simulation, h *modelHost) { sim.hideRun(h) }},
	{name: "a run and all ends", hide: func(sim *simulation, h *modelHost) {
		h.executor.hideRuns()
		h.executor.end(sim, h.executor.refs()[1], messenger.EndDone)
		h.executor.end(sim, h.executor.refs()[2], messenger.EndFailed)
	}},
	{name: "rows of another writer", hide: func(_ *simulation, h *modelHost) { h.executor.otherWriter = true }},
}

// newSeasonedSimulation returns newCutSimulation after a time in which all leases have ended that stray calls for
// earlier incarnations of the executors granted.
func newSeasonedSimulation(t *testing.T) (*simulation, *modelHost) {
	t.Helper()
	sim, h := newCutSimulation(t, 1)
	sim.run(22 * time.Second)
	return sim, h
}

// hideRuns makes the rows of all present runs unreadable.
func (m *modelExecutor) hideRuns() {
	m.unreadable = map[messenger.RunRef]bool{}
	for _, ref := range m.refs() {
		m.unreadable[ref] = true
	}
}

// hideRun makes the row of a run on a host unreadable and returns the run.
func (sim *simulation) hideRun(h *modelHost) messenger.RunRef {
	ref := h.executor.refs()[0]
	h.executor.unreadable = map[messenger.RunRef]bool{ref: true}
	return ref
}

// TestUnreadableRowsDoNotHoldTasks guards against accepted tasks that wait for good: an executor that answers
// keeps listing rows that can't be read, and each owner waits for its lists anew. No task may
// run twice, nor start again after an end as done that counts.
func TestUnreadableRowsDoNotHoldTasks(t *testing.T) {
	for _, rows := range unreadableRows {
		for _, restarted := range []bool{false, true} {
			for _, readableAfter := range []time.Duration{0, 300 * time.Millisecond, 4500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, agent restarted %t, readable after %s", rows.name, restarted, readableAfter), func(t *testing.T) {
					sim, h := newSeasonedSimulation(t)
					sim.submit(batchQueue, "short", tasks(120, 1000, 1500*time.Millisecond))
					sim.runUntil(2*time.Second, func() bool { return len(h.executor.runs) > 4 })
					rows.hide(sim, h)
					if restarted {
						sim.restartAgent(h)
					}
					sim.replaceOwner(false)
					hidden := sim.now
					sim.replaceOwnerEvery(2*time.Second, false, 8*time.Second, func() bool {
						if readableAfter > 0 && sim.now.Sub(hidden) > readableAfter {
							h.executor.unreadable, h.executor.otherWriter = nil, false
						}
						return sim.state("short") == messenger.WorkloadCompleted
					})
				})
			}
		}
	}
}

// TestUnreadableLastEndDoesNotHoldItsTask guards against an accepted task that waits for good: the end of its run
// can't be read and no other end follows it.
func TestUnreadableLastEndDoesNotHoldItsTask(t *testing.T) {
	for _, how := range []string{messenger.EndDone, messenger.EndFailed} {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, agent restarted %t", how, restarted), func(t *testing.T) {
				sim, h := newSeasonedSimulation(t)
				sim.submit(batchQueue, "short", tasks(1, 1000, time.Second, on(h)), tasks(1, 1000, time.Second, after(0)))
				sim.runUntil(2*time.Second, func() bool { return len(h.executor.runs) == 1 })
				h.executor.end(sim, sim.hideRun(h), how)
				if restarted {
					sim.restartAgent(h)
				}
				sim.replaceOwnerEvery(2*time.Second, false, 8*time.Second, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
			})
		}
	}
}

// TestUnreadableRowOfAnotherWriterKeepsRuns guards against runs that are given up: the executor lists rows that
// are none of its runs, whose ends its agent all knows.
func TestUnreadableRowOfAnotherWriterKeepsRuns(t *testing.T) {
	sim, h := newSeasonedSimulation(t)
	sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning))
	sim.submit(batchQueue, "short", tasks(60, 1000, time.Second))
	sim.runUntil(time.Second, func() bool { return sim.running("watch") == 2 && len(h.executor.runs) > 4 })
	lapses := h.executor.lapses
	h.executor.otherWriter = true
	sim.replaceOwnerEvery(2*time.Second, true, 10*time.Second, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
	sim.run(10 * time.Second)
	if diff := cmp.Diff(lapses, h.executor.lapses); diff != "" {
		t.Errorf("lapses (-want +got):\n%s", diff)
	}
	var runs []string
	for _, ref := range h.executor.refs() {
		runs = append(runs, fmt.Sprintf("%s.%d#%d", ref.Task.Workload, ref.Task.Index, ref.Run))
	}
	if diff := cmp.Diff([]string{"watch.0#1", "watch.1#1"}, runs); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// TestInvariantsWithUnreadableRows injects random faults while executors list rows that can't be read, which they
// go on to list when the faults have ended. No task may run twice, and all must complete.
func TestInvariantsWithUnreadableRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		sim.run(22 * time.Second)
		workloads := rapid.IntRange(1, 4).Draw(t, "jobs")
		for i := range workloads {
			sim.submit(batchQueue, fmt.Sprint("job", i),
				tasks(rapid.IntRange(1, 6).Draw(t, "tasks"), 1000, 800*time.Millisecond),
				tasks(rapid.IntRange(1, 6).Draw(t, "tasks"), 2000, 1500*time.Millisecond, after(0), func(s *messenger.StepSpec) {
					s.Gang = rapid.Bool().Draw(t, "gang")
				}))
		}
		sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning))
		faults := []func(){
			func() { sim.replaceOwner(true) },
			func() { sim.replaceOwner(false) },
			func() { sim.isolateOwner(sim.randomHost()) },
			func() { sim.restartAgent(sim.randomHost()) },
			func() { sim.randomHost().agentDown = true },
			func() { sim.randomHost().disconnected = true },
			func() { sim.randomHost().executor.mute = true },
			func() { sim.crash(sim.randomHost()) },
			func() { sim.lostShare = 0.5 },
			func() { sim.lateShare = 0.5 },
			func() { sim.lateShare, sim.refusedShare = 0.3, 0.5 },
			func() { sim.randomHost().executor.slowdown = 1 },
			func() { sim.randomHost().executor.hideRuns() },
			func() { sim.randomHost().executor.hideRuns() },
			func() { sim.randomHost().executor.otherWriter = true },
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")]()
			sim.run(time.Duration(rapid.IntRange(0, 2500).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "heals") {
				sim.clearFaults()
			}
		}
		sim.clearFaults()
		sim.runUntil(2*time.Minute, func() bool {
			for i := range workloads {
				if sim.state(fmt.Sprint("job", i)) != messenger.WorkloadCompleted {
					return false
				}
			}
			return sim.running("watch") == 2
		})
	})
}

// TestTakeoverDrainsEnds guards against accepted tasks that wait for good: an executor has more ends than it
// lists when an owner takes over.
func TestTakeoverDrainsEnds(t *testing.T) {
	sim, h := newSeasonedSimulation(t)
	fillEnds(sim, h)
	sim.submit(batchQueue, "short", tasks(120, 1000, time.Second))
	sim.run(500 * time.Millisecond)
	h.executor.keepsEnds = false
	sim.restartAgent(h)
	sim.replaceOwner(true)
	sim.replaceOwnerEvery(2*time.Second, true, 6*time.Second, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
}

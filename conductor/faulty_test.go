package conductor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"apricotwinch/messenger"
)

// failingDelay is how long runs go on until they fail on an executor that fails all.
const failingDelay = 100 * time.Millisecond

// executorFault is a way in which an executor that counts as healthy carries out no start for long.
type executorFault struct {
	name  string
	apply func(*modelExecutor)
}

func executorFaults() []executorFault {
	return []executorFault{
		{"refuse starts", func(m *modelExecutor) { m.refusing = true }},
		{"fail all runs", func(m *modelExecutor) { m.refusing, m.failAfter = false, failingDelay }},
		{"don't answer starts", func(m *modelExecutor) { m.refusing, m.ignoresStarts = false, true }},
	}
}

// newFaultySimulation returns a simulation and its first hosts, which work. The executors of the others refuse all starts.
func newFaultySimulation(t *testing.T, working, faulty int) (*simulation, []*modelHost) {
	t.Helper()
	sim := newSimulation(t, 1, working+faulty)
	for _, h := range sim.hosts[working:] {
		h.executor.refusing = true
	}
	sim.run(2 * time.Second)
	return sim, sim.hosts[:working]
}

// serveOverTarget has each working executor serve users over their target, so that best-effort tasks of the image "render" start
// there only beyond their bounds.
func (sim *simulation) serveOverTarget(working []*modelHost) {
	sim.t.Helper()
	sim.submit(watchQueue, "watch", tasks(len(working), 2000, time.Hour, servingUsers(10)))
	sim.runUntil(time.Minute, func() bool {
		return !slices.ContainsFunc(working, func(h *modelHost) bool { return !sim.runsTasksOf(h, "watch") })
	})
	sim.setInterference("render", 0.6)
	for _, h := range sim.hosts {
		h.executor.tailMillis = 30
	}
	sim.run(5 * time.Second)
}

// checkIdleTime checks for a time that a workload that was just accepted is never without a run on a working host for longer
// than maxIdleTime.
func (sim *simulation) checkIdleTime(d time.Duration, id string, working []*modelHost) {
	sim.t.Helper()
	lastRun := sim.now
	for end := sim.now.Add(d); sim.now.Before(end); sim.step() {
		if slices.ContainsFunc(working, func(h *modelHost) bool { return sim.runsTasksOf(h, id) }) {
			lastRun = sim.now
		}
		if idle := sim.now.Sub(lastRun); idle > maxIdleTime {
			sim.t.Fatalf("workload %s has no run for %s, want %s at most", id, idle, maxIdleTime)
		}
	}
}

// TestIdleWorkloadRunsBesideFaultyExecutors guards against best-effort workloads that get no run, though most of the room is
// free, while the only executors within the bounds on best-effort work are some on which nothing runs for long.
func TestIdleWorkloadRunsBesideFaultyExecutors(t *testing.T) {
	// All tasks are ordered to executors that don't answer; see KNOWN-RED.txt.
	red := []string{"2 don't answer starts beside serving tasks", "6 don't answer starts beside serving tasks", "4 don't answer starts beside best-effort tasks"}
	for _, fault := range executorFaults() {
		for _, faulty := range []int{1, 2, 6} {
			name := fmt.Sprint(faulty, " ", fault.name, " beside serving tasks")
			t.Run(name, func(t *testing.T) {
				if slices.Contains(red, name) {
					knownRed(t)
				}
				sim, working := newFaultySimulation(t, 12, faulty)
				sim.serveOverTarget(working)
				for _, h := range sim.hosts[12:] {
					fault.apply(h.executor)
				}
				sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort, image("render")))
				sim.checkIdleTime(20*time.Second, "w", working)
			})
		}
		for _, faulty := range []int{1, 4} {
			name := fmt.Sprint(faulty, " ", fault.name, " beside best-effort tasks")
			t.Run(name, func(t *testing.T) {
				if slices.Contains(red, name) {
					knownRed(t)
				}
				sim, working := newFaultySimulation(t, 4, faulty)
				sim.submit(batchQueue, "earlier", tasks(80, 1000, time.Hour, bestEffort))
				sim.run(5 * time.Second)
				for _, h := range sim.hosts[4:] {
					fault.apply(h.executor)
				}
				sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort))
				sim.checkIdleTime(20*time.Second, "w", working)
			})
		}
	}
}

// runsSeen counts the runs of a workload that executors of some hosts show in a time.
func (sim *simulation) runsSeen(d time.Duration, id string, hosts []*modelHost) int {
	seen := map[messenger.RunRef]bool{}
	for end := sim.now.Add(d); sim.now.Before(end); sim.step() {
		for _, h := range hosts {
			for _, ref := range h.executor.refs() {
				if ref.Task.Workload == id {
					seen[ref] = true
				}
			}
		}
	}
	return len(seen)
}

// TestIdleRunStaysWhereItWorks guards against runs that work and are stopped again and again to move to an executor that refuses
// all starts.
func TestIdleRunStaysWhereItWorks(t *testing.T) {
	for _, faulty := range []int{0, 1, 2} {
		sim, working := newFaultySimulation(t, 4, faulty)
		sim.submit(batchQueue, "earlier", tasks(80, 1000, time.Hour, bestEffort))
		sim.run(5 * time.Second)
		sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort))
		n := sim.runsSeen(60*time.Second, "w", working)
		if n != 1 {
			t.Errorf("%d faulty: %d runs on working executors in 60 s, want 1", faulty, n)
		}
	}
}

// TestFlappingStartsKeepNoWorkloadIdle guards against workloads without a run, as starts of their tasks that lead to nothing
// keep renewing the wait for them.
func TestFlappingStartsKeepNoWorkloadIdle(t *testing.T) {
	for _, faulty := range []int{12, 30} {
		sim, working := newFaultySimulation(t, 40, faulty)
		sim.serveOverTarget(working)
		for _, h := range sim.hosts[40:] {
			h.executor.refusing = true
		}
		sim.submit(batchQueue, "w", tasks(60, 1000, time.Hour, bestEffort, image("render")))
		sim.checkIdleTime(20*time.Second, "w", working)
	}
}

// TestRefusalsInDoubtKeepNoWorkloadIdle guards against workloads without a run beside executors whose answers get lost and that
// refuse starts, as a start that is stopped in doubt counts as a run that an executor has shown.
func TestRefusalsInDoubtKeepNoWorkloadIdle(t *testing.T) {
	for _, faulty := range []int{1, 2, 6, 12} {
		for _, lost := range []float64{0, 0.5, 0.8} {
			sim, working := newFaultySimulation(t, 12, faulty)
			sim.serveOverTarget(working)
			for _, h := range sim.hosts[12:] {
				h.executor.refusing = true
			}
			sim.lostShare = lost
			sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort, image("render")))
			sim.checkIdleTime(30*time.Second, "w", working)
		}
	}
}

// TestExecutorFailingOneWorkloadCountsAsFailed guards against an executor that fails all runs and counts as one that works
// again after its second failure of the same workload, as the streak of failures starts anew at 0.
func TestExecutorFailingOneWorkloadCountsAsFailed(t *testing.T) {
	sim, _ := newFaultySimulation(t, 2, 1)
	sim.submit(batchQueue, "earlier", tasks(32, 1000, time.Hour, bestEffort))
	sim.run(5 * time.Second)
	faulty := sim.hosts[2].executor
	faulty.refusing, faulty.failAfter = false, failingDelay
	sim.submit(batchQueue, "w", tasks(4, 1000, time.Hour, bestEffort))
	start, highest := sim.now, 0
	for end := sim.now.Add(60 * time.Second); sim.now.Before(end); sim.step() {
		for _, ref := range faulty.refs() {
			if ref.Run > highest {
				highest = ref.Run
				t.Logf("run %d of a task after %s", highest, sim.now.Sub(start))
			}
		}
	}
	if highest > 2 {
		t.Errorf("%d runs of a task on the executor in a minute, want 2 at most; the workload has %s", highest, sim.state("w"))
	}
}

// TestThrottledRunStaysBesideRefusingExecutor guards against throttled runs that are stopped to move to an executor that
// refuses all starts.
func TestThrottledRunStaysBesideRefusingExecutor(t *testing.T) {
	for _, faulty := range []int{0, 1} {
		sim, working := newFaultySimulation(t, 3, faulty)
		sim.submit(watchQueue, "watch", tasks(3, 2000, time.Hour, servingUsers(10)))
		sim.run(2 * time.Second)
		sim.submit(batchQueue, "w", tasks(6, 1000, time.Hour, bestEffort, image("render"), func(s *messenger.StepSpec) { s.Checkpoints = true }))
		sim.run(2 * time.Second)
		for _, h := range working {
			h.executor.tailMillis = 30
		}
		n := sim.runsSeen(60*time.Second, "w", working)
		if n > 12 {
			t.Errorf("%d faulty: %d runs of 6 tasks on working executors in 60 s, want 12 at most", faulty, n)
		}
	}
}

package conductor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// faults lists the ways in which an executor that counts as healthy carries out no start for long.
func faults() map[string]func(*modelExecutor) {
	return map[string]func(*modelExecutor){
		"refuse starts":       func(m *modelExecutor) { m.refusing = true },
		"fail all runs":       func(m *modelExecutor) { m.refusing, m.failing = false, true },
		"don't answer starts": func(m *modelExecutor) { m.refusing, m.ignoresStarts = false, true },
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

// checkIdleTime checks that a workload that was just accepted runs on a working host within maxIdleTime.
func (sim *simulation) checkIdleTime(id string, working []*modelHost) {
	sim.t.Helper()
	runs := func() bool {
		return slices.ContainsFunc(working, func(h *modelHost) bool { return sim.runsTasksOf(h, id) })
	}
	if waited := sim.runUntil(time.Minute, runs); waited > maxIdleTime {
		sim.t.Fatalf("workload %s: no run for %s, want %s at most", id, waited, maxIdleTime)
	}
}

// TestIdleWorkloadRunsBesideFaultyExecutors guards against best-effort workloads that get no run, though most of the room is
// free, while the only executors within the bounds on best-effort work are some on which nothing runs for long.
func TestIdleWorkloadRunsBesideFaultyExecutors(t *testing.T) {
	knownRed(t)
	for name, fault := range faults() {
		for _, faulty := range []int{1, 2, 6} {
			t.Run(fmt.Sprint(faulty, " ", name, " beside serving tasks"), func(t *testing.T) {
				sim, working := newFaultySimulation(t, 12, faulty)
				sim.serveOverTarget(working)
				for _, h := range sim.hosts[12:] {
					fault(h.executor)
				}
				sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort, image("render")))
				sim.checkIdleTime("w", working)
			})
		}
		for _, faulty := range []int{1, 4} {
			t.Run(fmt.Sprint(faulty, " ", name, " beside best-effort tasks"), func(t *testing.T) {
				sim, working := newFaultySimulation(t, 4, faulty)
				sim.submit(batchQueue, "earlier", tasks(80, 1000, time.Hour, bestEffort))
				sim.run(5 * time.Second)
				for _, h := range sim.hosts[4:] {
					fault(h.executor)
				}
				sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort))
				sim.checkIdleTime("w", working)
			})
		}
	}
}

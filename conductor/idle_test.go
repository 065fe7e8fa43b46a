package conductor_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"apricotwinch/messenger"
)

// maxIdleTime is how long a workload that could run may have no run, in the eyes of users.
const maxIdleTime = 3 * time.Second

// image returns a change of a step that sets its image.
func image(name string) func(*messenger.StepSpec) {
	return func(s *messenger.StepSpec) { s.Image = name }
}

// servingUsers returns a change of a step that makes its tasks, one on each executor, serve users.
func servingUsers(targetMillis int) func(*messenger.StepSpec) {
	return func(s *messenger.StepSpec) {
		s.Lasting, s.Image, s.TailTargetMillis, s.MaxPerExecutor = true, "watch", targetMillis, 1
	}
}

// setInterference makes the next owner expect an interference, in headroom, between the serving tasks and a
// best-effort image, and replaces the owner.
func (sim *simulation) setInterference(bestEffortImage string, headroom float64) {
	sim.t.Helper()
	record := messenger.InterferenceRecord{Presses: []messenger.Interference{{Serving: "watch", Filling: bestEffortImage, Headroom: headroom}}}
	data, err := json.Marshal(record)
	if err != nil {
		sim.t.Fatalf("interference: %v", err)
	}
	sim.store["presses"] = data
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
}

// TestIdleWorkloadStartsBesideServingTasks guards against best-effort workloads that get no run at all, though
// most processors and memory are free, as the serving tasks of all executors have little headroom.
func TestIdleWorkloadStartsBesideServingTasks(t *testing.T) {
	tests := []struct {
		name         string
		tailMillis   float64
		interference float64
		workloads    int
		change       func(*messenger.StepSpec)
	}{
		{name: "little headroom", tailMillis: 9, interference: 0.6, workloads: 1},
		{name: "over the target", tailMillis: 30, interference: 0.6, workloads: 1},
		{name: "over the target, several workloads", tailMillis: 30, interference: 0.6, workloads: 12},
		{name: "over the target without interference", tailMillis: 30, interference: 0.01, workloads: 12},
		{name: "gang", tailMillis: 30, interference: 0.6, workloads: 1, change: func(s *messenger.StepSpec) { s.Gang = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "watch", tasks(3, 2000, time.Hour, servingUsers(10)))
			sim.run(time.Second)
			sim.setInterference("render", test.interference)
			for _, h := range sim.hosts {
				h.executor.tailMillis = test.tailMillis
			}
			sim.run(time.Second)
			change := test.change
			if change == nil {
				change = func(*messenger.StepSpec) {}
			}
			for i := range test.workloads {
				sim.submit(batchQueue, fmt.Sprint("w", i), tasks(2, 1000, time.Hour, bestEffort, image("render"), change))
			}
			sim.runUntil(maxIdleTime, func() bool {
				for i := range test.workloads {
					if sim.running(fmt.Sprint("w", i)) == 0 {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestIdleWorkloadStartsBesideBestEffortTasks guards against best-effort workloads that get no run at all, as
// their tasks request more processors than the other ones leave unused, or the tasks of earlier
// workloads do.
func TestIdleWorkloadStartsBesideBestEffortTasks(t *testing.T) {
	tests := []struct {
		name string
		// earlier and waiting are the steps of the workloads, of which the earlier one runs.
		earlier, waiting messenger.StepSpec
	}{
		{name: "as wide as an executor", earlier: tasks(2, 1000, time.Hour, servingUsers(10)), waiting: tasks(1, 16_000, time.Hour, bestEffort)},
		{name: "wider than an executor", earlier: tasks(2, 1000, time.Hour, longRunning), waiting: tasks(1, 40_000, time.Hour, bestEffort)},
		{name: "beside earlier ones", earlier: tasks(32, 1000, time.Hour, bestEffort), waiting: tasks(4, 1000, time.Hour, bestEffort)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "earlier", test.earlier)
			sim.run(time.Second)
			sim.submit(batchQueue, "w", test.waiting)
			sim.runUntil(maxIdleTime, func() bool { return sim.running("w") > 0 })
		})
	}
}

// TestIdleWorkloadStartsOneTask guards against more best-effort tasks than the bounds allow: beyond
// the first task, those of a workload wait for room.
func TestIdleWorkloadStartsOneTask(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "earlier", tasks(32, 1000, time.Hour, bestEffort))
	sim.run(time.Second)
	sim.submit(batchQueue, "w", tasks(4, 1000, time.Hour, bestEffort))
	sim.run(20 * time.Second)
	if n := sim.running("w"); n != 1 {
		t.Errorf("%d tasks run, want 1", n)
	}
}

// TestIdleWorkloadAvoidsServingTasks guards against harm by a first task beside serving tasks over their
// target while another executor has none.
func TestIdleWorkloadAvoidsServingTasks(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(2, 2000, time.Hour, servingUsers(10)))
	sim.run(time.Second)
	sim.setInterference("render", 0.6)
	for _, h := range sim.hosts {
		h.executor.tailMillis = 30
	}
	sim.run(time.Second)
	sim.submit(batchQueue, "earlier", tasks(16, 1000, time.Hour, bestEffort, image("render")))
	sim.run(time.Second)
	sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour, bestEffort, image("render")))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") > 0 })
	if h := sim.hostOf("w"); sim.runsTasksOf(h, "watch") {
		t.Errorf("the task runs beside serving tasks on %s", h.name)
	}
}

// runsTasksOf reports whether a host runs a task of a workload.
func (sim *simulation) runsTasksOf(h *modelHost, id string) bool {
	return slices.ContainsFunc(h.executor.refs(), func(ref messenger.RunRef) bool { return ref.Task.Workload == id })
}

// TestBusyServiceKeepsBestEffortOrder guards against processors that idle workloads take from those that come
// first while other tasks use most of a service.
func TestBusyServiceKeepsBestEffortOrder(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	sim.submit(urgentQueue, "urgent", tasks(24, 1000, time.Hour))
	sim.submit(batchQueue, "earlier", tasks(8, 1000, time.Hour, bestEffort))
	sim.run(time.Second)
	sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour, bestEffort))
	sim.run(20 * time.Second)
	if n := sim.running("w"); n != 0 {
		t.Errorf("%d tasks run, want 0", n)
	}
}

// TestIdleLongRunningWorkloadUsesReserve guards against long-running workloads that get no run at all, as
// one task takes more than each data centre has outside its reserve.
func TestIdleLongRunningWorkloadUsesReserve(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	for i, h := range sim.hosts {
		h.dc = fmt.Sprint("dc-", i)
	}
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "w", tasks(2, 15_000, time.Hour, longRunning))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") > 0 })
}

// TestFirstTaskOfIdleWorkloadRunsInBackground guards against processors that the first task of an idle workload takes from
// best-effort tasks that come before it, and against one that is never promoted: it works at full speed once there is
// room for it, at its own executor or at another one, also if its agent or the owner has been replaced.
func TestFirstTaskOfIdleWorkloadRunsInBackground(t *testing.T) {
	tests := []struct {
		name string
		// elsewhere is whether there is room only at the other executor.
		elsewhere bool
		disturb   func(*simulation)
	}{
		{name: "calm", disturb: func(*simulation) {}},
		{name: "room elsewhere", elsewhere: true, disturb: func(*simulation) {}},
		{name: "agents replaced", disturb: func(sim *simulation) {
			for _, h := range sim.hosts {
				sim.restartAgent(h)
			}
		}},
		{name: "owner replaced", disturb: func(sim *simulation) { sim.replaceOwner(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 1, 2)
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "earlier", tasks(32, 1000, time.Hour, bestEffort))
			sim.run(time.Second)
			const workTime = 2 * time.Second
			sim.submit(batchQueue, "w", tasks(1, 1000, workTime, bestEffort))
			sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == 1 })
			sim.run(time.Second)
			test.disturb(sim)
			sim.run(3 * workTime)
			if state := sim.state("w"); state != messenger.WorkloadRunning {
				t.Fatalf("state %q while there is no room for its work, want %q", state, messenger.WorkloadRunning)
			}
			first := sim.hostOf("w")
			for ref, r := range first.executor.runs {
				if ref.Task.Workload == "w" && r.remaining >= workTime {
					t.Error("the task has done no work in the background")
				}
			}
			for _, h := range sim.hosts {
				if (h != first) == test.elsewhere {
					h.executor.endRunsOf(sim, "earlier")
				}
			}
			sim.runUntil(workTime+2*time.Second, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
		})
	}
}

// TestWideBestEffortTaskWorks guards against a best-effort task that never works, as it requests more processors
// than any executor's other tasks leave unused.
func TestWideBestEffortTaskWorks(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	for _, h := range sim.hosts {
		h.executor.tailMillis = 4
	}
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(2, 2000, time.Hour, servingUsers(10)))
	sim.run(time.Second)
	const workTime = 2 * time.Second
	sim.submit(batchQueue, "w", tasks(1, 16_000, workTime, bestEffort, image("render")))
	sim.runUntil(maxIdleTime+workTime, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
}

// endRunsOf ends the runs of a workload as done.
func (m *modelExecutor) endRunsOf(sim *simulation, id string) {
	for _, ref := range m.refs() {
		if ref.Task.Workload == id {
			m.end(sim, ref, messenger.EndDone)
		}
	}
}

// TestStoreOutageStartsOneIdleTask guards against workloads that start many tasks beyond the bounds on best-effort work, as
// their first one is held while the store refuses appends.
func TestStoreOutageStartsOneIdleTask(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "earlier", tasks(32, 1000, time.Hour, bestEffort))
			sim.run(time.Second)
			sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort))
			sim.run(200 * time.Millisecond)
			sim.storeOffline = true
			sim.run(1500*time.Millisecond + outage)
			sim.storeOffline = false
			sim.run(time.Second)
			if n := sim.running("w"); n != 1 {
				t.Errorf("%d tasks run beyond the bounds, want 1", n)
			}
		})
	}
}

// TestStoreOutageLeavesReserve guards against a long-running workload that takes the reserve task by task, as its first
// start is held while the store refuses appends.
func TestStoreOutageLeavesReserve(t *testing.T) {
	for _, outage := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 8)
			for i, h := range sim.hosts {
				h.dc = fmt.Sprint("dc-", i)
			}
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "w", tasks(8, 15_000, time.Hour, longRunning))
			sim.run(200 * time.Millisecond)
			before := sim.running("w")
			sim.storeOffline = outage > 0
			sim.run(1500*time.Millisecond + outage)
			sim.storeOffline = false
			sim.run(time.Second)
			t.Logf("running %d before, %d after", before, sim.running("w"))
			if n := sim.running("w"); n > 1 {
				t.Errorf("%d tasks take the reserve, want 1", n)
			}
		})
	}
}

// TestTasksRunSoonAfterOwnFailures guards against best-effort tasks that wait for long on a sound fleet with room for all,
// as each failed once on each executor.
func TestTasksRunSoonAfterOwnFailures(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	for _, h := range sim.hosts {
		h.executor.failAfter = failingDelay
	}
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "w", tasks(20, 1000, time.Hour, bestEffort))
	sim.runUntil(time.Second, func() bool { return sim.running("w") == 20 })
	for _, h := range sim.hosts {
		h.executor.failAfter = 0
	}
	sim.run(time.Second)
	took := sim.runUntil(time.Minute, func() bool { return sim.running("w") == 20 })
	t.Logf("all tasks run after %s", time.Second+took)
	if took > 5*time.Second {
		t.Errorf("all tasks run after %s more, want 5 s at most", took)
	}
}

// TestFailedTaskLetsOthersOfItsStepStart guards against best-effort tasks that wait though there is room for them, as an earlier
// task of their step had a failed attempt on the executors with room.
func TestFailedTaskLetsOthersOfItsStepStart(t *testing.T) {
	const waves = 8
	for _, hosts := range []int{1, 3} {
		for _, failures := range []int{0, 1, 2} {
			sim := newSimulation(t, 1, hosts)
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "w", tasks(16*hosts*waves, 1000, 500*time.Millisecond, bestEffort))
			lowTime := time.Duration(0)
			took := sim.runUntil(time.Minute, func() bool {
				for _, h := range sim.hosts {
					for ref, r := range h.executor.runs {
						if ref.Task.Index == 0 && ref.Run <= failures && !r.fails {
							r.fails, r.remaining = true, min(r.remaining, failingDelay)
						}
					}
				}
				if sim.running("w") <= 1 && len(sim.doneTasks) < 16*hosts*waves-1 {
					lowTime += tickInterval
				}
				return sim.state("w") == messenger.WorkloadCompleted
			})
			t.Logf("%d hosts, %d failures: completed after %s, at most one task ran for %s while others waited", hosts, failures, took, lowTime)
			if lowTime > time.Second {
				t.Errorf("%d hosts, %d failures: at most one task ran for %s while others waited, want 1 s at most", hosts, failures, lowTime)
			}
		}
	}
}

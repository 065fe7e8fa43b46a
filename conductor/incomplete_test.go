package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// fillEnds makes a host's executor end more runs than it lists at a time, and keep all these ends.
func fillEnds(sim *simulation, h *modelHost) {
	sim.t.Helper()
	const jobs, tasksPerJob = 17, 32
	for i := range jobs {
		sim.submit(batchQueue, fmt.Sprint("filler", i, h.name), tasks(tasksPerJob, 100, 50*time.Millisecond, on(h)))
	}
	h.executor.keepsEnds = true
	sim.runUntil(30*time.Second, func() bool { return len(h.executor.ends) == jobs*tasksPerJob })
}

// TestEndBeyondTheListFreesLongRunningTask guards against a long-running task that stays down: its run has
// ended, its executor has more ends than it lists, and none of them is acknowledged.
func TestEndBeyondTheListFreesLongRunningTask(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	host := sim.hosts[0]
	sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning, on(host)))
	sim.runUntil(time.Second, func() bool { return sim.running("watch") == 2 })
	fillEnds(sim, host)
	for _, ref := range host.executor.refs() {
		if ref.Task.Workload == "watch" {
			host.executor.end(sim, ref, messenger.EndFailed)
		}
	}
	sim.runUntil(2*time.Second, func() bool { return sim.running("watch") == 2 })
}

// TestSilentExecutorWithIncompleteListsFreesTasks guards against tasks that are held for good: their
// executor didn't list everything before it fell silent, and its agent still reports it when its leases
// have expired.
func TestSilentExecutorWithIncompleteListsFreesTasks(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*simulation, *modelHost)
	}{
		{name: "too many ends", prepare: fillEnds},
		{name: "unreadable run that its agent doesn't know", prepare: func(sim *simulation, h *modelHost) {
			h.executor.unreadable = map[messenger.RunRef]bool{}
			for _, ref := range h.executor.refs() {
				h.executor.unreadable[ref] = true
			}
			sim.restartAgent(h)
			sim.run(1500 * time.Millisecond)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim, host := newCutSimulation(t, 1)
			sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning))
			sim.submit(batchQueue, "short", tasks(8, 1000, 20*time.Second))
			sim.runUntil(time.Second, func() bool { return sim.running("watch") == 2 && sim.running("short") == 8 })
			if diff := cmp.Diff(host, sim.hostOf("watch"), cmp.Comparer(func(a, b *modelHost) bool { return a == b })); diff != "" {
				t.Fatalf("host of the long-running tasks (-want +got):\n%s", diff)
			}
			test.prepare(sim, host)
			host.executor.mute = true
			sim.runUntil(7*time.Second, func() bool {
				return sim.running("watch") == 2 && sim.running("short") == 8 && len(host.executor.runs) == 0
			})
		})
	}
}

// TestExecutorThatHidesRunsGetsNoTasks guards against an executor that runs more than its capacity: a run there
// can't be read and its agent has started again, so that neither knows what the run takes.
func TestExecutorThatHidesRunsGetsNoTasks(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	host := sim.hosts[0]
	sim.submit(batchQueue, "large", tasks(1, 12_000, time.Hour, on(host)))
	sim.runUntil(time.Second, func() bool { return sim.running("large") == 1 })
	host.executor.unreadable = map[messenger.RunRef]bool{host.executor.refs()[0]: true}
	sim.restartAgent(host)
	sim.replaceOwner(true)
	sim.run(time.Second)
	sim.submit(batchQueue, "new", tasks(20, 1000, time.Hour))
	sim.run(3 * time.Second)
	if diff := cmp.Diff(16, sim.running("new")); diff != "" {
		t.Errorf("new tasks that run (-want +got):\n%s", diff)
	}
}

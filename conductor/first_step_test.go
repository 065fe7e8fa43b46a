package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// runsElsewhere reports whether a task runs on another host than a given one.
func (sim *simulation) runsElsewhere(t messenger.TaskRef, lost *modelHost) bool {
	for _, h := range sim.hosts {
		for ref := range h.executor.runs {
			if h != lost && ref.Task == t {
				return true
			}
		}
	}
	return false
}

// TestRepeatOfLostRunKeepsNoOtherTaskWaiting guards against accepted best-effort work of which nothing but the
// repeat of a run runs that ended unheard: its other tasks are lost or have never run, and wait for room, as
// the owner takes the repeat for the one run that the workload gets beyond the bounds.
func TestRepeatOfLostRunKeepsNoOtherTaskWaiting(t *testing.T) {
	config := conductor.DefaultConfig()
	for _, test := range []struct {
		name string
		// tasks is the number of tasks of the step, of which those of lost run on the lost host.
		tasks, lost int
		replaced    bool
	}{
		{name: "other task lost, same owner", tasks: 2, lost: 2},
		{name: "other task lost, owner replaced", tasks: 2, lost: 2, replaced: true},
		{name: "other task never run, same owner", tasks: 2, lost: 1},
		{name: "other task never run, owner replaced", tasks: 2, lost: 1, replaced: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.season()
			sim.run(6 * time.Second)
			lost := sim.hosts[0]
			for _, h := range sim.hosts[1:] {
				sim.submit(batchQueue, fmt.Sprint("earlier-", h.name), tasks(16, 1000, time.Hour, bestEffort, on(h)))
			}
			sim.submit(batchQueue, "filler", tasks(16-test.lost, 1000, time.Hour, bestEffort, on(lost)))
			sim.run(time.Second)
			sim.submit(batchQueue, "w", tasks(test.tasks, 1000, time.Hour, bestEffort))
			sim.runUntil(time.Second, func() bool { return sim.running("w") == test.lost })
			for ref, r := range lost.executor.runs {
				if ref.Task.Workload == "w" && ref.Task.Index == 0 {
					r.remaining = 200 * time.Millisecond
				}
			}
			lost.disconnected = true
			sim.run(100 * time.Millisecond)
			if test.replaced {
				sim.replaceOwner(true)
			}
			other := messenger.TaskRef{Workload: "w", Index: 1}
			bound := config.Lease + config.Margin + config.MaxIdle + time.Second
			sim.runUntil(bound, func() bool { return sim.runsElsewhere(other, lost) })
		})
	}
}

// TestIdleWorkloadStartsWhileHostsAreLost guards against accepted best-effort work that gets no run as too much of the
// service seems in use, once the long-running tasks of a lost host have moved to the others: users count
// what is in use against the whole service.
func TestIdleWorkloadStartsWhileHostsAreLost(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(6 * time.Second)
	sim.submit(watchQueue, "lasting", tasks(31, 1000, time.Hour, longRunning))
	sim.run(time.Second)
	sim.submit(batchQueue, "earlier", tasks(64, 1000, time.Hour, bestEffort))
	sim.run(time.Second)
	sim.hosts[0].disconnected = true
	sim.run(6 * time.Second)
	sim.submit(batchQueue, "w", tasks(2, 1000, time.Hour, bestEffort))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") > 0 })
}

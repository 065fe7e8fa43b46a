package conductor_test

import (
	"testing"
	"time"

	"apricotwinch/messenger"
)

// TestTaskLeavesExecutorsThatRefuseIt guards against a task that goes back and forth between executors that
// refuse it while another one is free: the executors that refuse it all count, not the last alone.
func TestTaskLeavesExecutorsThatRefuseIt(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(2 * time.Second)
	// The executors with less free room are preferred.
	sim.submit(watchQueue, "watch", tasks(3, 2000, time.Hour, longRunning, func(s *messenger.StepSpec) { s.MaxPerExecutor = 1 }))
	sim.run(time.Second)
	for _, h := range sim.hosts {
		h.executor.refusing = sim.runsTasksOf(h, "watch")
	}
	sim.submit(urgentQueue, "w", tasks(1, 1000, time.Hour))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") > 0 })
}

// TestGangLeavesExecutorThatRefusesMember guards against a gang that never starts as a whole: the members that
// have started wait for the one that was refused, and the next one is sent to the same executor.
func TestGangLeavesExecutorThatRefusesMember(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	sim.hosts[0].executor.refusing = true
	sim.submit(urgentQueue, "w", tasks(4, 5000, time.Hour, func(s *messenger.StepSpec) { s.Gang = true }))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == 4 })
}

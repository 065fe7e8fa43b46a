package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"apricotwinch/messenger"
)

// TestWaitingStepsSurviveMoveOfHeldStart guards against tasks that never start, as the queue of waiting steps loses one when
// a pass over it stops a background run whose start is held while the store refuses appends.
func TestWaitingStepsSurviveMoveOfHeldStart(t *testing.T) {
	const laterWorkloads, tasksEach = 3, 2
	onFirstHost := func(s *messenger.StepSpec) { s.Label = "r1-host-0" }
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "earlier", tasks(32, 1000, time.Hour, bestEffort))
	sim.run(time.Second)
	sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour, bestEffort))
	for i := range laterWorkloads {
		sim.submit(batchQueue, fmt.Sprint("later", i), tasks(tasksEach, 1000, time.Hour, bestEffort, onFirstHost))
	}
	sim.run(time.Second)
	sim.storeOffline = true
	sim.run(time.Second)
	sim.hosts[1].executor.endRunsOf(sim, "earlier")
	sim.run(1200 * time.Millisecond)
	sim.storeOffline = false
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == 1 })
	sim.hosts[0].executor.endRunsOf(sim, "earlier")
	sim.runUntil(maxIdleTime, func() bool {
		running := 0
		for i := range laterWorkloads {
			running += sim.running(fmt.Sprint("later", i))
		}
		return running == laterWorkloads*tasksEach
	})
}

package conductor_test

import (
	"testing"
	"time"

	"apricotwinch/messenger"
)

// TestGangKeepsMaxPerExecutor guards against more tasks of a gang on one executor than its step allows.
func TestGangKeepsMaxPerExecutor(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	sim.submit(urgentQueue, "w", tasks(5, 500, time.Hour, func(s *messenger.StepSpec) { s.Gang, s.MaxPerExecutor = true, 2 }))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == 5 })
	for _, h := range sim.hosts {
		if n := len(h.executor.runs); n > 2 {
			t.Errorf("%d tasks run on %s, want at most 2", n, h.name)
		}
	}
}

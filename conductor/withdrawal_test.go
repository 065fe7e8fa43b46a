package conductor_test

import (
	"testing"
	"time"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// TestResubmittedWorkloadOutlivesCanceledOne guards against the loss of an accepted workload whose id had been
// submitted, canceled and withdrawn before, as the store rejected it.
func TestResubmittedWorkloadOutlivesCanceledOne(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	spec := messenger.WorkloadSpec{Payload: "w", Steps: []messenger.StepSpec{tasks(1, 500, time.Hour)}}
	if _, err := sim.owner.Submit(sim.now, messenger.WorkloadRequest{Queue: batchQueue, Id: "w", Spec: &spec}); err != nil {
		t.Fatal(err)
	}
	if _, err := sim.owner.Cancel(sim.now, "w"); err != nil {
		t.Fatal(err)
	}
	records, _ := sim.owner.TakeWrites()
	sim.owner.RevertAppend(sim.now, records)
	sim.submit(batchQueue, "w", tasks(1, 500, time.Hour))
	sim.run(conductor.DefaultConfig().EndedRetention + time.Second)
	if state := sim.state("w"); state != messenger.WorkloadRunning {
		t.Errorf("state %q, want %q", state, messenger.WorkloadRunning)
	}
}

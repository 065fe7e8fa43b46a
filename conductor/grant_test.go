package conductor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// followBound is the time in which a new owner frees what may run at an agent that gets no replies: the
// leases of the last owner end, and then those that this owner may have granted until it found that out.
const followBound = 9500 * time.Millisecond

// TestAgentWithoutRepliesFreesTasks guards against tasks that are held for good: the reports of an agent
// reach the new owner and extend the leases of executors that it never lists as the owner needs it, since
// no reply reaches the agent.
func TestAgentWithoutRepliesFreesTasks(t *testing.T) {
	for _, clean := range []bool{true, false} {
		name := "the last owner has stopped"
		if !clean {
			name = "the last owner may act"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, cut := newCutSimulation(t, 1)
			sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning))
			sim.submit(batchQueue, "short", tasks(60, 1000, 20*time.Second))
			sim.runUntil(2*time.Second, func() bool { return sim.running("watch") == 2 && sim.running("short") == 60 })
			cut.unheard = true
			sim.replaceOwner(clean)
			sim.runUntil(followBound, func() bool { return sim.running("watch") == 2 && sim.hostOf("watch") != cut })
			sim.runUntil(time.Second, func() bool { return sim.running("short") == 60 })
			if diff := cmp.Diff(0, len(cut.executor.runs)); diff != "" {
				t.Errorf("runs on the host that gets no replies (-want +got):\n%s", diff)
			}
			sim.run(5 * time.Second)
			cut.unheard = false
			sim.submit(watchQueue, "last", tasks(4, 1000, time.Hour, longRunning, on(cut)))
			sim.runUntil(2*time.Second, func() bool { return sim.running("last") == 4 })
		})
	}
}

// TestAgentOfEarlierOwnerKeepsTasks guards against tasks that run twice: the reports of an agent reach a new
// owner, and it gets the replies of the last one, which still acts.
func TestAgentOfEarlierOwnerKeepsTasks(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(4, 1000, time.Hour, longRunning))
	sim.submit(batchQueue, "w", tasks(24, 2000, 20*time.Second))
	sim.runUntil(time.Second, func() bool { return sim.running("w") == 24 && sim.running("watch") == 4 })
	h := sim.hostOf("watch")
	sim.isolateOwner(h)
	for end := sim.now.Add(20 * time.Second); sim.now.Before(end); {
		sim.run(50 * time.Millisecond)
		sim.owner.Report(sim.now, sim.now, h.agent.Report(sim.now, true))
	}
	if diff := cmp.Diff(4, sim.running("watch")); diff != "" {
		t.Errorf("runs while the reports get no replies (-want +got):\n%s", diff)
	}
	sim.clearFaults()
	sim.runUntil(30*time.Second, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
}

// TestFirstReplyGrantsLease guards against an agent that follows a new owner late and waits for a further
// reply until its leases are renewed.
func TestFirstReplyGrantsLease(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(2 * time.Second)
	h := sim.hosts[0]
	h.disconnected = true
	sim.run(6 * time.Second)
	sim.replaceOwner(true)
	for _, test := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {time.Second, true}, {time.Second, false}} {
		sim.run(test.after)
		if diff := cmp.Diff(test.want, sim.owner.Report(sim.now, sim.now, h.agent.Report(sim.now, true)).Lease); diff != "" {
			t.Errorf("lease %s later (-want +got):\n%s", test.after, diff)
		}
	}
	h.disconnected = false
	sim.submit(batchQueue, "w", tasks(1, 1000, time.Second))
	sim.runUntil(3*time.Second, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
}

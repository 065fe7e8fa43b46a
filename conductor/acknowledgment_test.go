package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// rebornWith replaces the executor of a host by a new incarnation that carries out, as its first call, the start of
// a task that is done soon, and whose answer is lost.
func (sim *simulation) rebornWith(h *modelHost, id string) {
	sim.t.Helper()
	sim.crash(h)
	h.executor.clockStart = time.Millisecond
	sim.lostShare = 1
	sim.submit(batchQueue, id, tasks(1, 1000, tickInterval))
	sim.owner.Schedule(sim.now)
	sim.deliver(sim.owner, sim.undelivered, false)
	sim.lostShare = 0
	if diff := cmp.Diff(1, len(h.executor.runs)); diff != "" {
		sim.t.Fatalf("runs of the new incarnation (-want +got):\n%s", diff)
	}
	sim.now = sim.now.Add(tickInterval)
	h.executor.advance(sim)
	if diff := cmp.Diff(1, len(h.executor.ends)); diff != "" {
		sim.t.Fatalf("ends of the new incarnation (-want +got):\n%s", diff)
	}
}

// nextAcknowledgment runs work on a host until its agent acknowledges the end of it, and returns that call, which
// isn't carried out.
func (sim *simulation) nextAcknowledgment(h *modelHost) custodian.HoldCall {
	sim.t.Helper()
	sim.submit(batchQueue, "before", tasks(1, 1000, time.Second))
	for range 300 {
		sim.step()
		call, ok := h.agent.NextHold(sim.now, "executor-"+h.name)
		if ok && call.AckedEnd > 0 {
			return call
		}
	}
	sim.t.Fatalf("the end of no run is acknowledged")
	return custodian.HoldCall{}
}

// TestAcknowledgmentForLastIncarnation guards against an end that is acknowledged and never heard: the next
// incarnation of an executor carries out a start and an acknowledgment that were meant for the last one.
func TestAcknowledgmentForLastIncarnation(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(*simulation, *modelHost)
	}{
		{name: "acknowledgment sent before the start", play: func(sim *simulation, h *modelHost) {
			acknowledgment := sim.nextAcknowledgment(h)
			sim.rebornWith(h, "work")
			_, _ = h.executor.hold(sim, acknowledgment)
		}},
		{name: "acknowledgment sent after the start", play: func(sim *simulation, h *modelHost) {
			sim.nextAcknowledgment(h)
			sim.rebornWith(h, "work")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(20 * time.Second)
			test.play(sim, sim.hosts[0])
			sim.run(20 * time.Second)
			for _, id := range []string{"before", "work"} {
				if diff := cmp.Diff(messenger.WorkloadCompleted, sim.state(id)); diff != "" {
					t.Errorf("state of %s (-want +got):\n%s", id, diff)
				}
			}
		})
	}
}

// TestRepeatedStartAfterEnd guards against a task that starts again after its end is acknowledged: a start without an
// answer is repeated, and the next incarnation of the executor carries the first call out.
func TestRepeatedStartAfterEnd(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(20 * time.Second)
			h := sim.hosts[0]
			sim.lateShare = 1
			sim.submit(batchQueue, "work", tasks(1, 1000, 300*time.Millisecond))
			sim.runUntil(time.Second, func() bool { return len(sim.lateCalls) > 0 })
			first := sim.lateCalls[0]
			sim.lateCalls, sim.lateShare = nil, 0
			sim.runUntil(2*time.Second, func() bool { return sim.state("work") == messenger.WorkloadCompleted })
			sim.run(after)
			sim.crash(h)
			h.executor.clockStart = time.Millisecond
			first.apply(h.executor)
			sim.run(20 * time.Second)
		})
	}
}

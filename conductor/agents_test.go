package conductor_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// ordersFor returns the orders that the owner would send to a host now, and clears them.
func ordersFor(sim *simulation, h *modelHost) []messenger.Orders {
	sim.t.Helper()
	for name, orders := range sim.owner.TakeOrders() {
		sim.undelivered[name] = append(sim.undelivered[name], orders)
	}
	var list []messenger.Orders
	for _, undelivered := range sim.undelivered[h.name] {
		if orders, _, ok := sim.owner.PrepareOrders(h.name, undelivered); ok {
			orders.Starts = slices.Clone(orders.Starts)
			list = append(list, orders)
		}
	}
	delete(sim.undelivered, h.name)
	return list
}

// handleOrders delivers orders to the agent of a host.
func handleOrders(sim *simulation, h *modelHost, list []messenger.Orders) {
	sim.t.Helper()
	for _, orders := range list {
		calls, err := h.agent.HandleOrders(sim.now, orders)
		if err != nil {
			sim.t.Fatalf("orders: %v", err)
		}
		sim.makeCalls(h, calls)
	}
}

// TestReturningHostGetsOrders guards against orders that an agent ignores: its host had no executors, was
// silent for so long that the owner forgot it, and numbers its orders anew at the same epoch.
func TestReturningHostGetsOrders(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	h := sim.hosts[1]
	for range 12 {
		sim.submit(batchQueue, "w"+sim.now.String(), tasks(1, 1000, 200*time.Millisecond, on(h)))
		sim.run(500 * time.Millisecond)
	}
	h.disconnected = true
	sim.run(70 * time.Second)
	h.disconnected = false
	sim.run(time.Second)
	sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning, on(h)))
	sim.run(5 * time.Second)
	want := []messenger.RunRef{{Run: 1, Task: messenger.TaskRef{Workload: "watch"}}}
	if diff := cmp.Diff(want, h.executor.refs()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// newUnconfirmedAgent returns a simulation of two hosts, the first of which has an agent that has reported to
// a new owner and has not got its reply, a report of the agent before it that is held up, and a
// function that orders a task to start there.
func newUnconfirmedAgent(t *testing.T) (sim *simulation, h *modelHost, late messenger.Report, order func() []messenger.Orders) {
	t.Helper()
	sim = newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	h = sim.hosts[0]
	late = h.agent.Report(sim.now, true)
	// No host is suspended while most are silent.
	h.disconnected, sim.hosts[1].disconnected = true, true
	sim.restartAgent(h)
	sim.run(1500 * time.Millisecond)
	sim.replaceOwner(true)
	sim.owner.Report(sim.now, sim.now, h.agent.Report(sim.now, true))
	return sim, h, late, func() []messenger.Orders {
		sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
		sim.owner.Schedule(sim.now)
		orders := ordersFor(sim, h)
		if len(orders) == 0 || len(orders[0].Starts) != 1 {
			t.Fatalf("orders: %v", orders)
		}
		return orders
	}
}

// TestLateReportOfEarlierAgentKeepsRuns guards against a task that runs twice: a report of an earlier process
// of an agent comes late, when the current one has got a start but has not been shown to follow the owner.
func TestLateReportOfEarlierAgentKeepsRuns(t *testing.T) {
	sim, h, late, order := newUnconfirmedAgent(t)
	handleOrders(sim, h, order())
	sim.owner.Report(sim.now, sim.now, late)
	sim.hosts[1].disconnected = false
	sim.run(2 * time.Second)
	h.disconnected = false
	sim.run(2 * time.Second)
	if diff := cmp.Diff([]int{1, 1}, []int{len(h.executor.runs), sim.running("watch")}); diff != "" {
		t.Errorf("runs there and everywhere (-want +got):\n%s", diff)
	}
}

// TestLateOrdersAfterReportOfEarlierAgent guards against a task that runs twice: a late report of an earlier
// process of an agent takes the place of the current one until that reports again, while a start for
// the current one is under way.
func TestLateOrdersAfterReportOfEarlierAgent(t *testing.T) {
	sim, h, late, order := newUnconfirmedAgent(t)
	first := h.agent.Report(sim.now, true)
	h.agent.HandleReportAnswer(sim.now, sim.now, sim.owner.Report(sim.now, sim.now, first))
	sim.owner.Report(sim.now, sim.now, late)
	sim.owner.Report(sim.now, sim.now, first)
	orders := order()
	sim.owner.Report(sim.now, sim.now, late)
	sim.hosts[1].disconnected = false
	h.agent.HandleReportAnswer(sim.now, sim.now, sim.owner.Report(sim.now, sim.now, h.agent.Report(sim.now, true)))
	sim.run(500 * time.Millisecond)
	handleOrders(sim, h, orders)
	sim.run(time.Second)
	h.disconnected = false
	sim.run(4 * time.Second)
	if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// TestStartForReplacedAgentIsPlacedElsewhere guards against a task that waits for good: its start was for an
// agent process that has ended without having followed the owner.
func TestStartForReplacedAgentIsPlacedElsewhere(t *testing.T) {
	for _, sent := range []bool{true, false} {
		sim, h, late, order := newUnconfirmedAgent(t)
		if sent {
			order()
		} else {
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.owner.Schedule(sim.now)
		}
		sim.owner.Report(sim.now, sim.now, late)
		sim.restartAgent(h)
		h.disconnected, sim.hosts[1].disconnected = false, false
		sim.runUntil(4*time.Second, func() bool { return sim.running("watch") == 1 })
	}
}

// TestLostStopIsRepeated guards against a task that stays on a stalled executor: the order to stop it there
// was for an agent that has been replaced.
func TestLostStopIsRepeated(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "w", tasks(1, 1000, 2*time.Second))
	sim.runUntil(time.Second, func() bool { return sim.running("w") == 1 })
	h := sim.hostOf("w")
	h.executor.slowdown = 1
	h.deaf = true
	sim.run(3 * time.Second)
	sim.restartAgent(h)
	h.deaf = false
	sim.runUntil(10*time.Second, func() bool { return sim.state("w") == messenger.WorkloadCompleted })
}

// TestRebornExecutorOfSuspendedHostKeepsEnd guards against a task that runs again after it was done: its start
// reached the next incarnation of an executor, whose first report comes when its host is being resumed.
func TestRebornExecutorOfSuspendedHostKeepsEnd(t *testing.T) {
	// The start must be the first call that reaches the next incarnation.
	for ticks := range 3 {
		sim := newSimulation(t, 1, 4)
		sim.run(2*time.Second + time.Duration(ticks)*tickInterval)
		h := sim.hosts[0]
		sim.crash(h)
		h.executor.clockStart = time.Millisecond // Behind the deadline of the start, which is by the last incarnation's clock.
		sim.submit(batchQueue, "short", tasks(1, 1000, 200*time.Millisecond))
		sim.runUntil(time.Second, func() bool { return len(h.executor.runs) == 1 })
		h.agentDown = true
		sim.run(1500 * time.Millisecond)
		sim.restartAgent(h)
		sim.runUntil(2*time.Second, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
		sim.run(2 * time.Second)
		if diff := cmp.Diff(1, sim.endCount()); diff != "" {
			t.Errorf("runs that have ended, crash at tick %d (-want +got):\n%s", ticks, diff)
		}
	}
}

// TestRebornExecutorWithUnreadableRunKeepsTask guards against a task that runs twice: its start reached the next
// incarnation of an executor, which lists the run in a row that can't be read.
func TestRebornExecutorWithUnreadableRunKeepsTask(t *testing.T) {
	// The start must be the first call that reaches the next incarnation.
	for ticks := range 3 {
		sim := newSimulation(t, 1, 4)
		sim.run(2*time.Second + time.Duration(ticks)*tickInterval)
		h := sim.hosts[0]
		sim.crash(h)
		h.executor.clockStart = time.Millisecond // Behind the deadline of the start, which is by the last incarnation's clock.
		sim.submit(batchQueue, "short", tasks(1, 1000, 3*time.Second))
		sim.runUntil(time.Second, func() bool { return len(h.executor.runs) == 1 })
		h.executor.hideRuns()
		sim.replaceOwnerEvery(2*time.Second, false, 20*time.Second, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
	}
}

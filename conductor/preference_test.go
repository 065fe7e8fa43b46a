package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"apricotwinch/messenger"
)

// lossBound is how long after a host falls silent its runs are given up.
const lossBound = 5 * time.Second

// oneOnEach lets an executor run one task of a step at a time.
func oneOnEach(s *messenger.StepSpec) { s.MaxPerExecutor = 1 }

// loseHostOf cuts off a host that runs a task of a workload, and advances the time until that runs elsewhere.
// It returns the host where it does.
func (sim *simulation) loseHostOf(id string, within time.Duration) *modelHost {
	sim.t.Helper()
	lost := sim.hostOf(id)
	lost.disconnected = true
	isElsewhere := func(h *modelHost) bool { return h != lost && sim.runsTasksOf(h, id) }
	var repeated *modelHost
	sim.runUntil(within, func() bool {
		for _, h := range sim.hosts {
			if isElsewhere(h) {
				repeated = h
			}
		}
		return repeated != nil
	})
	return repeated
}

// setTail sets the tail latency of the serving tasks on all hosts, in milliseconds, and waits until it counts.
func (sim *simulation) setTail(millis float64) {
	sim.t.Helper()
	for _, h := range sim.hosts {
		h.executor.tailMillis = millis
	}
	sim.run(2 * time.Second)
}

// newServingSimulation returns a simulation in which each host has a serving task with a target of 10 ms.
func newServingSimulation(t *testing.T, hosts int, interference float64) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, hosts)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(hosts, 1000, time.Hour, servingUsers(10)))
	sim.run(time.Second)
	sim.setInterference("render", interference)
	return sim
}

// wide is the processors, in thousandths, of a task that takes a whole executor.
const wide = 16_000

// TestRepeatGoesBeforeNewWork guards against a lost run that is repeated only after new work, as more work is left
// of its own workload.
func TestRepeatGoesBeforeNewWork(t *testing.T) {
	for _, test := range []struct {
		name  string
		after func(*simulation)
	}{
		{name: "one owner", after: func(*simulation) {}},
		{name: "after a takeover", after: func(sim *simulation) { sim.replaceOwner(true) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.season()
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "ahead", tasks(2, wide, 7*time.Second, bestEffort, oneOnEach))
			sim.submit(batchQueue, "held", tasks(2, wide, time.Minute, bestEffort, oneOnEach))
			sim.runUntil(time.Second, func() bool { return sim.running("ahead") == 2 && sim.running("held") == 2 })
			sim.submit(batchQueue, "new", tasks(8, wide, 3*time.Second, bestEffort))
			lost := sim.hostOf("held")
			lost.disconnected = true
			sim.run(500 * time.Millisecond)
			test.after(sim)
			sim.runUntil(8*time.Second, func() bool { return sim.running("ahead") == 0 })
			sim.runUntil(time.Second, func() bool { return sim.running("held") == 2 && !sim.runsTasksOf(lost, "held") })
		})
	}
}

// TestOftenLostTaskGoesInItsTurn guards against a task that ends its executors and goes before new work each time.
func TestOftenLostTaskGoesInItsTurn(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "held", tasks(2, wide, time.Minute, bestEffort, oneOnEach))
	sim.runUntil(time.Second, func() bool { return sim.running("held") == 2 })
	crashFirst := func() {
		for _, h := range sim.hosts {
			for ref := range h.executor.runs {
				if ref.Task.Workload == "held" && ref.Task.Index == 0 {
					sim.crash(h)
				}
			}
		}
	}
	for range 3 {
		crashFirst()
		sim.runUntil(10*time.Second, func() bool { return sim.running("held") == 2 })
		sim.run(2 * time.Second)
	}
	sim.submit(batchQueue, "new", tasks(8, wide, 3*time.Second, bestEffort))
	sim.runUntil(time.Second, func() bool { return sim.running("new") == 1 })
	crashFirst()
	sim.runUntil(2*time.Second, func() bool { return sim.running("new") == 2 })
	if n := sim.running("held"); n != 1 {
		t.Errorf("%d tasks of the workload whose executors end run, want 1", n)
	}
}

// TestRepeatGoesWhereItRunsFastest guards against a best-effort repeat beside serving tasks that are near their
// target, while another executor has headroom for it once others are throttled.
func TestRepeatGoesWhereItRunsFastest(t *testing.T) {
	sim := newServingSimulation(t, 3, 0.1)
	first, roomy, near := sim.hosts[0], sim.hosts[1], sim.hosts[2]
	sim.setTail(9)
	first.executor.tailMillis = 4
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "held", tasks(1, 500, time.Hour, bestEffort, image("render")))
	sim.runUntil(time.Second, func() bool { return sim.hostOf("held") == first })
	first.executor.tailMillis, roomy.executor.tailMillis = 9, 4
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "others", tasks(24, 500, time.Hour, bestEffort, image("render")))
	sim.run(5 * time.Second)
	if n := sim.running("others"); n < 16 || sim.runsTasksOf(first, "others") || sim.runsTasksOf(near, "others") {
		t.Fatalf("%d other tasks run, want 16 or more, all on %s", n, roomy.name)
	}
	near.executor.tailMillis = 7.35
	if h := sim.loseHostOf("held", lossBound); h != roomy {
		t.Errorf("the repeat runs on %s, want %s", h.name, roomy.name)
	}
}

// TestRepeatsSpread guards against several repeats on one executor that slow each other while others have as
// much headroom.
func TestRepeatsSpread(t *testing.T) {
	sim := newServingSimulation(t, 4, 0.6)
	sim.setTail(4)
	for _, h := range sim.hosts[1:] {
		h.executor.tailMillis = 9
	}
	sim.run(2 * time.Second)
	for i := range 3 {
		sim.submit(batchQueue, fmt.Sprint("held", i), tasks(1, 500, time.Hour, bestEffort, image("render")))
		sim.run(2 * time.Second)
	}
	sim.setTail(4)
	lost := sim.hosts[0]
	lost.disconnected = true
	sim.runUntil(lossBound, func() bool {
		return len(lost.executor.runs) == 0 && sim.running("held0")+sim.running("held1")+sim.running("held2") == 3
	})
	for _, h := range sim.hosts[1:] {
		if n := len(h.executor.runs); n != 2 {
			t.Errorf("%s runs %d tasks, want the serving one and one repeat", h.name, n)
		}
	}
}

// TestRepeatEndsInItsOwnTime guards against a repeat that shares what serving tasks leave with other best-effort
// work, though the rest of its workload waits for it.
func TestRepeatEndsInItsOwnTime(t *testing.T) {
	const own = time.Second
	for _, test := range []struct {
		name  string
		after func(*simulation)
	}{
		{name: "one owner", after: func(*simulation) {}},
		{name: "after a takeover", after: func(sim *simulation) { sim.replaceOwner(true) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newServingSimulation(t, 2, 0.6)
			first, other := sim.hosts[0], sim.hosts[1]
			sim.setTail(9)
			other.executor.tailMillis = 4
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "others", tasks(6, 1000, time.Hour, bestEffort, image("render")))
			sim.run(4 * time.Second)
			if n := sim.running("others"); n < 3 || sim.runsTasksOf(first, "others") {
				t.Fatalf("%d other tasks run, want 3 or more, all on %s", n, other.name)
			}
			other.executor.tailMillis, first.executor.tailMillis = 9, 4
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "held", tasks(1, 500, own, bestEffort, image("render")))
			sim.runUntil(time.Second, func() bool { return sim.hostOf("held") == first })
			first.disconnected = true
			other.executor.tailMillis = 4
			sim.run(500 * time.Millisecond)
			test.after(sim)
			sim.runUntil(2*lossBound, func() bool { return sim.runsTasksOf(other, "held") })
			sim.runUntil(own+repeatSlack, func() bool { return sim.state("held") == messenger.WorkloadCompleted })
		})
	}
}

// TestIdleWorkloadRepeatsAtOnce guards against a workload that waits for its lost run beyond the lease, and then at
// the least pace, as other best-effort tasks request all processors.
func TestIdleWorkloadRepeatsAtOnce(t *testing.T) {
	const own = time.Second
	sim := newSimulation(t, 1, 3)
	sim.season()
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "held", tasks(1, 1000, own, bestEffort))
	sim.runUntil(time.Second, func() bool { return sim.running("held") == 1 })
	lost := sim.hostOf("held")
	lost.disconnected = true
	sim.submit(batchQueue, "others", tasks(64, 1000, time.Hour, bestEffort))
	sim.runUntil(lossBound+own+repeatSlack, func() bool { return sim.state("held") == messenger.WorkloadCompleted })
}

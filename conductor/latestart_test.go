package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// lateTasks is the number of tasks of the workload "work" of newSeveredFleet.
const lateTasks = 12

// newSeveredFleet returns a simulation in which the executor of a host doesn't answer starts of the workload "work", and that
// host.
func newSeveredFleet(t *testing.T, queue string, duration time.Duration, change ...func(*messenger.StepSpec)) (*simulation, *modelHost) {
	t.Helper()
	sim := newSimulation(t, 1, 4)
	sim.season()
	sim.network = &modelNetwork{maxDelay: 20 * time.Millisecond}
	sim.run(30 * time.Second)
	h := sim.hosts[1]
	h.severed = true
	sim.submit(queue, "work", tasks(lateTasks, 2000, duration, change...))
	sim.runUntil(time.Second, func() bool { return len(h.lostStarts) > 0 && sim.running("work") > 0 })
	return sim, h
}

// carryOutStarts has the executor of a host carry out the starts that it left without an answer.
func (sim *simulation) carryOutStarts(h *modelHost) {
	sim.t.Helper()
	before := len(h.executor.runs)
	for _, apply := range h.lostStarts {
		apply(h.executor)
	}
	if len(h.executor.runs) == before {
		sim.t.Fatalf("%s has carried out none of %d starts", h.name, len(h.lostStarts))
	}
}

// lateStartChanges are what may happen while a start is under way to an executor that is silent.
func lateStartChanges() []struct {
	name string
	do   func(*simulation, *modelHost)
} {
	return []struct {
		name string
		do   func(*simulation, *modelHost)
	}{
		{"nothing else", func(*simulation, *modelHost) {}},
		{"owner replaced", func(sim *simulation, _ *modelHost) { sim.replaceOwner(false) }},
		{"owner stopped and replaced", func(sim *simulation, _ *modelHost) { sim.replaceOwner(true) }},
		{"agent restarted", func(sim *simulation, h *modelHost) { sim.restartAgent(h) }},
		{"owner replaced and agent restarted", func(sim *simulation, h *modelHost) {
			sim.replaceOwner(false)
			sim.restartAgent(h)
		}},
		{"agent restarted and owners replaced", func(sim *simulation, h *modelHost) {
			sim.restartAgent(h)
			sim.replaceOwner(true)
			sim.run(400 * time.Millisecond)
			sim.replaceOwner(false)
		}},
		{"host cut off", func(_ *simulation, h *modelHost) {
			h.disconnected = true
		}},
		{"host cut off and owner replaced", func(sim *simulation, h *modelHost) {
			h.disconnected = true
			sim.replaceOwner(false)
		}},
	}
}

// TestLateStartOnSilentExecutor guards against a task that runs twice: a start gets no answer, the executor starts again under its
// id behind a cut and carries the start out there, while the task starts elsewhere as the leases have expired.
func TestLateStartOnSilentExecutor(t *testing.T) {
	const restartAfter, changeAfter, cutFor = time.Second, 5 * time.Second, 12 * time.Second
	for _, late := range []time.Duration{2500 * time.Millisecond, 8 * time.Second, 11500 * time.Millisecond} {
		for _, change := range lateStartChanges() {
			if late < changeAfter && change.name != "nothing else" {
				continue
			}
			t.Run(fmt.Sprintf("late by %s, %s", late, change.name), func(t *testing.T) {
				t.Parallel()
				sim, h := newSeveredFleet(t, batchQueue, 30*time.Second)
				began := sim.now
				runFor := func(since time.Duration) { sim.run(began.Add(since).Sub(sim.now)) }
				runFor(restartAfter)
				sim.crash(h)
				// The deadline of the starts is ahead of the next incarnation's clock.
				h.executor.clockStart = time.Millisecond
				if late > changeAfter {
					runFor(changeAfter)
					change.do(sim, h)
				}
				runFor(late)
				sim.carryOutStarts(h)
				runFor(cutFor)
				h.severed, h.disconnected = false, false
				sim.runUntil(2*time.Minute, func() bool { return sim.state("work") == messenger.WorkloadCompleted })
			})
		}
	}
}

// TestWaitForLateStart guards against tasks that wait for a start that can't be carried out any more, or whose run has ended: long-running
// ones wait no longer than users accept, and others until a connection is refused after the last call, or for a lease more.
func TestWaitForLateStart(t *testing.T) {
	config := conductor.DefaultConfig()
	// Calls are repeated until the executor counts as silent, and may be carried out that late.
	called := 2500*time.Millisecond + maxCallDelay
	leased := called + config.StrayLease + 2*config.Margin
	for _, test := range []struct {
		name   string
		happen func(*simulation, *modelHost)
		bound  time.Duration
	}{
		{"executor never back, refuses connections", func(sim *simulation, h *modelHost) {
			h.severed = false
			sim.crashFor(h, time.Hour, false)
		}, called},
		{"executor never back, silent", func(sim *simulation, h *modelHost) { sim.crashFor(h, time.Hour, false) }, leased},
		{"host lost for good", func(sim *simulation, h *modelHost) {
			sim.run(1500 * time.Millisecond)
			sim.crashFor(h, time.Hour, false)
			h.disconnected, h.agentDown = true, true
		}, leased},
		{"host lost for good and owner replaced", func(sim *simulation, h *modelHost) {
			sim.run(1500 * time.Millisecond)
			sim.crashFor(h, time.Hour, false)
			h.disconnected, h.agentDown = true, true
			sim.run(time.Second)
			sim.replaceOwner(false)
		}, leased + time.Second},
		{"executor back", func(sim *simulation, h *modelHost) {
			sim.run(time.Second)
			sim.crash(h)
			sim.run(time.Second)
			h.severed = false
		}, 4 * time.Second},
		{"executor answers again", func(sim *simulation, h *modelHost) {
			sim.run(6 * time.Second)
			h.severed = false
		}, 8 * time.Second},
	} {
		for _, queue := range []string{batchQueue, watchQueue} {
			t.Run(test.name+", "+queue, func(t *testing.T) {
				t.Parallel()
				bound, change := test.bound, []func(*messenger.StepSpec){}
				if queue == watchQueue {
					bound = min(bound, restartBound)
					change = append(change, longRunning)
				}
				sim, h := newSeveredFleet(t, queue, time.Hour, change...)
				began := sim.now
				test.happen(sim, h)
				sim.runUntil(bound, func() bool { return sim.running("work") == lateTasks })
				took := sim.now.Sub(began)
				t.Logf("all tasks run %s after the cut", took)
				if took > bound {
					t.Errorf("all tasks run after %s, want at most %s", took, bound)
				}
			})
		}
	}
}

// TestSpeculativeTaskDoesNotWaitForOwner checks that the owner doesn't hold a task of which several runs may go on.
func TestSpeculativeTaskDoesNotWaitForOwner(t *testing.T) {
	config := conductor.DefaultConfig()
	sim, h := newSeveredFleet(t, batchQueue, time.Hour, func(s *messenger.StepSpec) { s.Speculative = true })
	sim.run(time.Second)
	h.disconnected = true
	sim.runUntil(config.Lease+config.Margin+200*time.Millisecond, func() bool { return sim.running("work") == lateTasks })
}

// TestLateStartsAreRecorded guards against a task that runs twice after a takeover, as the record of its host doesn't name a start
// without an answer, and against tasks that later owners hold for one that is settled.
func TestLateStartsAreRecorded(t *testing.T) {
	sim, h := newSeveredFleet(t, batchQueue, time.Hour)
	sim.run(1500 * time.Millisecond)
	starts := map[messenger.RunRef]bool{}
	for _, late := range sim.hostRecord(h).Executors[0].LateStarts {
		starts[late.Run] = true
	}
	if got, want := len(starts), lateTasks-sim.running("work"); got != want {
		t.Errorf("%d starts are recorded, want %d", got, want)
	}
	h.severed = false
	sim.run(15 * time.Second)
	var none []messenger.LateStart
	if diff := cmp.Diff(none, sim.hostRecord(h).Executors[0].LateStarts); diff != "" {
		t.Errorf("recorded starts after the executor has answered (-want +got):\n%s", diff)
	}
}

// TestLateStartOfEarlierAgent guards against a task that runs twice: an executor and its agent crash before the start of a run is
// answered, and the next agent takes the executor, which refuses connections, for gone.
func TestLateStartOfEarlierAgent(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %t", replace), func(t *testing.T) {
			sim, h := newSeveredFleet(t, batchQueue, 30*time.Second)
			if replace {
				sim.run(1500 * time.Millisecond)
				sim.replaceOwner(false)
			}
			sim.crashFor(h, 2*time.Second, false)
			h.executor.clockStart = time.Millisecond
			h.severed, h.agentDown = false, true
			sim.run(500 * time.Millisecond)
			sim.restartAgent(h)
			sim.run(1400 * time.Millisecond)
			h.severed = true
			sim.run(200 * time.Millisecond)
			sim.carryOutStarts(h)
			sim.run(time.Second)
			h.severed = false
			sim.runUntil(2*time.Minute, func() bool { return sim.state("work") == messenger.WorkloadCompleted })
		})
	}
}

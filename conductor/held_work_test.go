package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// firstStartBound is how long after a takeover, or after its turn has come, a task starts that never
// ran on a host that doesn't answer.
const firstStartBound = 2 * time.Second

// heldTasks is the number of tasks of the workloads of heldWork that must run.
const heldTasks = 6

// acceptedWork is work of one kind that accept submits. running is the number of its tasks that run already
// when the owner is replaced.
type acceptedWork struct {
	kind    string
	accept  func(*simulation)
	running int
}

// heldWork returns, by kind, work that is accepted shortly before an owner is replaced and that it doesn't
// start. Its turn comes by 500 ms after that; heldTasks tasks of the workload "held" must run then.
func heldWork() []acceptedWork {
	step := func(change ...func(*messenger.StepSpec)) messenger.StepSpec {
		return tasks(heldTasks, 1000, time.Hour, change...)
	}
	submit := func(steps ...messenger.StepSpec) func(*simulation) {
		return func(sim *simulation) { sim.accept(batchQueue, "held", steps...) }
	}
	gang := func(s *messenger.StepSpec) { s.Gang = true }
	return []acceptedWork{
		{kind: "batch", accept: submit(step())},
		{kind: "batch behind a backlog", accept: func(sim *simulation) {
			sim.submit(urgentQueue, "ahead", tasks(16*len(sim.hosts), 1000, 1500*time.Millisecond))
			sim.run(500 * time.Millisecond)
			sim.submit(batchQueue, "held", step())
			sim.run(800 * time.Millisecond)
		}},
		{kind: "gang", accept: submit(step(gang))},
		{kind: "gang of a rack", accept: submit(step(gang, func(s *messenger.StepSpec) { s.SameRack = true }))},
		{kind: "best effort", accept: submit(step(bestEffort))},
		{kind: "occurrence", accept: func(sim *simulation) {
			sim.submitScheduled(batchQueue, "held", 500*time.Millisecond, time.Hour, 2, step())
		}},
		{kind: "later step", running: 1, accept: func(sim *simulation) {
			sim.submit(batchQueue, "held", tasks(1, 1000, time.Second, on(sim.hosts[len(sim.hosts)-1])), step(after(0)))
			sim.run(600 * time.Millisecond)
		}},
	}
}

// oddHost is a host whose executor a new owner can't get listed: prepare comes before work is accepted there,
// and lose right before the owner is replaced. incomplete is whether the host's reports arrive and the owner
// renews its leases.
type oddHost struct {
	name          string
	prepare, lose func(*simulation, *modelHost)
}

func oddHosts() []oddHost {
	none := func(*simulation, *modelHost) {}
	return []oddHost{
		{name: "silent", prepare: none, lose: func(_ *simulation, h *modelHost) { h.agentDown = true }},
		{name: "mute executor, agent restarted", prepare: none, lose: func(sim *simulation, h *modelHost) {
			h.executor.mute = true
			sim.restartAgent(h)
		}},
		{name: "too many ends", prepare: fillEnds, lose: none},
		{name: "unreadable run, agent restarted", prepare: func(sim *simulation, h *modelHost) {
			id := "odd" + h.name
			sim.submit(watchQueue, id, tasks(1, 1000, time.Hour, longRunning, on(h)))
			sim.runUntil(time.Second, func() bool { return sim.running(id) == 1 })
		}, lose: func(sim *simulation, h *modelHost) {
			h.executor.unreadable = map[messenger.RunRef]bool{}
			for _, ref := range h.executor.refs() {
				h.executor.unreadable[ref] = ref.Task.Workload == "odd"+h.name
			}
			sim.restartAgent(h)
		}},
	}
}

// newHeldSimulation returns a simulation of four hosts with accepted work whose owner is about to be replaced.
// The first ones, odd in number, are odd, and the others have room.
func newHeldSimulation(t *testing.T, work acceptedWork, host oddHost, odd int) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 4)
	sim.network = &modelNetwork{maxDelay: 20 * time.Millisecond}
	sim.run(2 * time.Second)
	for _, h := range sim.hosts[:odd] {
		host.prepare(sim, h)
	}
	work.accept(sim)
	if diff := cmp.Diff(work.running, sim.running("held")); diff != "" {
		t.Fatalf("tasks that run before the takeover (-want +got):\n%s", diff)
	}
	for _, h := range sim.hosts[:odd] {
		host.lose(sim, h)
	}
	return sim
}

// TestAcceptedWorkStartsAfterTakeover guards against accepted work that no owner has started and that a new one
// holds until a host that it can't have run on is listed or its leases have expired.
func TestAcceptedWorkStartsAfterTakeover(t *testing.T) {
	for _, host := range oddHosts() {
		for _, work := range heldWork() {
			for _, clean := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, owner clean %t", host.name, work.kind, clean), func(t *testing.T) {
					t.Parallel()
					sim := newHeldSimulation(t, work, host, 1)
					sim.replaceOwner(clean)
					sim.run(500 * time.Millisecond)
					sim.runUntil(firstStartBound, func() bool { return sim.running("held") == heldTasks })
				})
			}
		}
	}
}

// TestAcceptedWorkStartsWhileOwnersChange guards against accepted work that is never started, as each owner
// waits anew, from its own start, for hosts that don't list everything.
func TestAcceptedWorkStartsWhileOwnersChange(t *testing.T) {
	for _, host := range oddHosts() {
		for _, odd := range []int{1, 3} {
			for _, work := range heldWork() {
				for _, clean := range []bool{true, false} {
					for _, period := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
						t.Run(fmt.Sprintf("%s, %d of 4, %s, owner clean %t, every %s", host.name, odd, work.kind, clean, period), func(t *testing.T) {
							t.Parallel()
							sim := newHeldSimulation(t, work, host, odd)
							sim.replaceOwner(clean)
							sim.replaceOwnerEvery(period, clean, restartBound, func() bool { return sim.running("held") == heldTasks })
						})
					}
				}
			}
		}
	}
}

// TestLateProofOfStopShortensWait guards against a task that waits twice as long as it must: its host, with an agent
// that doesn't honor the length of a lease, is lost with the owner, of which the successor learns only after
// its claim that it has stopped.
func TestLateProofOfStopShortensWait(t *testing.T) {
	const proofDelay = 500 * time.Millisecond
	for _, test := range []struct {
		name string
		// settled is whether the predecessor had recorded that none before it can act.
		settled bool
		want    time.Duration
	}{
		{name: "predecessor alone", settled: true, want: 4900 * time.Millisecond},
		{name: "owners before it may act", want: 8400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.season()
			sim.useOldAgents()
			sim.run(2 * time.Second)
			sim.replaceOwner(test.settled)
			sim.run(time.Second)
			sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour))
			sim.runUntil(time.Second, func() bool { return sim.running("w") == 1 })
			lost := sim.hostOf("w")
			sim.loseForGood(lost, true, false)
			sim.replaceOwner(false)
			replacedAt := sim.now
			sim.run(proofDelay)
			sim.owner.RecordPredecessorStopped(sim.now)
			sim.runUntil(9*time.Second, func() bool { return sim.running("w") == 1 && sim.hostOf("w") != lost })
			if diff := cmp.Diff(test.want, sim.now.Sub(replacedAt).Round(100*time.Millisecond)); diff != "" {
				t.Errorf("time until the task runs elsewhere (-want +got):\n%s", diff)
			}
		})
	}
}

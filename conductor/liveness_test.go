package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/messenger"
)

// restartBound is how long after its lease has lapsed a long-running task must run again.
const restartBound = 9 * time.Second

// calmRestartBound is the same while nothing but the owner changes, at most each 3 s: a lease, its margin, and an owner.
const calmRestartBound = 7500 * time.Millisecond

// LIVENESS_SEEDS sets how many seeds of the liveness tests run by hand; the first ones run in CI.
const (
	livenessSeedsInCI = 4
	livenessSeedsName = "LIVENESS_SEEDS"
)

// livenessSeeds returns how many seeds to run.
func livenessSeeds(t *testing.T) uint64 {
	t.Helper()
	return uint64(seedCount(t, livenessSeedsName, livenessSeedsInCI))
}

// LearnedAt returns when an epoch was claimed.
func (sim *simulation) LearnedAt(epoch int64) (at time.Time, ok bool) {
	if epoch < 1 || epoch > int64(len(sim.claims)) {
		return time.Time{}, false
	}
	return sim.claims[epoch-1], true
}

// replaceOwnerEvery replaces the owner periodically until a condition holds. It fails the test after d.
func (sim *simulation) replaceOwnerEvery(period time.Duration, clean bool, d time.Duration, condition func() bool) {
	sim.t.Helper()
	next := sim.now.Add(period)
	sim.runUntil(d, func() bool {
		if !sim.now.Before(next) {
			sim.replaceOwner(clean)
			next = sim.now.Add(period)
		}
		return condition()
	})
}

// TestLongRunningTaskRunsAgainWhileOwnersChange guards against a long-running task that stays down: its
// host is lost, and each owner waits anew, from its own start, until no run can be left there.
func TestLongRunningTaskRunsAgainWhileOwnersChange(t *testing.T) {
	faults := []struct {
		name string
		lose func(*simulation, *modelHost)
	}{
		{name: "host silent", lose: func(_ *simulation, h *modelHost) { h.agentDown = true }},
		{name: "executor gone behind a cut", lose: func(sim *simulation, h *modelHost) {
			h.disconnected = true
			sim.crash(h)
		}},
	}
	for _, fault := range faults {
		for _, clean := range []bool{true, false} {
			for _, period := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, owner clean %t, every %s", fault.name, clean, period), func(t *testing.T) {
					sim := newSimulation(t, 1, 4)
					sim.season()
					sim.run(2 * time.Second)
					sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
					sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
					sim.replaceOwner(clean)
					sim.run(time.Second)
					fault.lose(sim, sim.hostOf("watch"))
					sim.replaceOwnerEvery(period, clean, 5*time.Second, func() bool { return sim.running("watch") == 0 })
					sim.replaceOwnerEvery(period, clean, calmRestartBound, func() bool { return sim.running("watch") == 1 })
				})
			}
		}
	}
}

// TestOddHostDoesNotHoldTasksWhileOwnersChange guards against tasks that stay down: a host's reports arrive, but
// its agent gets no replies, or has started again and doesn't reach the executor, and each owner waits anew.
func TestOddHostDoesNotHoldTasksWhileOwnersChange(t *testing.T) {
	faults := []struct {
		name string
		lose func(*simulation, *modelHost)
	}{
		{name: "agent without replies", lose: func(_ *simulation, h *modelHost) { h.unheard = true }},
		{name: "agent restarted beside a mute executor", lose: func(sim *simulation, h *modelHost) {
			h.executor.mute = true
			sim.restartAgent(h)
		}},
	}
	for _, fault := range faults {
		for _, clean := range []bool{true, false} {
			for _, period := range []time.Duration{2 * time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, owner clean %t, every %s", fault.name, clean, period), func(t *testing.T) {
					t.Parallel()
					sim, odd := newCutSimulation(t, 1)
					sim.submit(watchQueue, "watch", tasks(2, 1000, time.Hour, longRunning))
					sim.submit(batchQueue, "short", tasks(100, 1000, time.Second))
					sim.runUntil(2*time.Second, func() bool { return sim.running("watch") == 2 })
					if diff := cmp.Diff(odd.name, sim.hostOf("watch").name); diff != "" {
						t.Fatalf("host of the long-running task (-want +got):\n%s", diff)
					}
					fault.lose(sim, odd)
					// The executor of a host that is unheard may get to keep its lease for a while.
					sim.replaceOwnerEvery(period, clean, 8*time.Second, func() bool { return sim.running("watch") == 0 })
					sim.replaceOwnerEvery(period, clean, calmRestartBound, func() bool { return sim.running("watch") == 2 })
					sim.replaceOwnerEvery(period, clean, time.Minute, func() bool { return sim.state("short") == messenger.WorkloadCompleted })
				})
			}
		}
	}
}

// TestStaggeredHostsDoNotHoldTask guards against a task that stays down: hosts are heard for the first time
// one after the other for as long as each owner lives, so that no silent one is suspended.
func TestStaggeredHostsDoNotHoldTask(t *testing.T) {
	const period = 2500 * time.Millisecond
	for _, gap := range []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 12)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
			sim.hostOf("watch").agentDown = true
			replacedAt := sim.now
			run := func(running int, d time.Duration) {
				sim.runUntil(d, func() bool {
					if sim.now.Sub(replacedAt) >= period {
						sim.replaceOwner(true)
						replacedAt = sim.now
					}
					for i, h := range sim.hosts {
						h.disconnected = sim.now.Sub(replacedAt) < time.Duration(i)*gap%period
					}
					return sim.running("watch") == running
				})
			}
			run(0, 8*time.Second)
			run(1, calmRestartBound)
		})
	}
}

// livenessFaults returns the faults of TestLongRunningTasksRunAgainAfterFaults. A host that is lost for
// good is one of the first half of the hosts.
func (sim *simulation) livenessFaults() []func() {
	r := sim.random
	anyLost := func() *modelHost { return sim.hosts[r.IntN(len(sim.hosts)/2)] }
	return []func(){
		func() { sim.replaceOwner(true) },
		func() { sim.replaceOwner(false) },
		func() {
			if sim.isolated == nil {
				sim.isolateOwner(sim.randomHost())
			}
		},
		func() { sim.loseForGood(anyLost(), true, false) },
		func() { sim.loseForGood(anyLost(), false, true) },
		func() { sim.loseForGood(anyLost(), true, true) },
		func() {
			h := sim.randomHost()
			h.disconnected = true
			sim.crashFor(h, time.Duration(r.IntN(2000))*time.Millisecond, r.IntN(2) == 0)
		},
		func() { sim.crash(sim.randomHost()) },
		func() { sim.restartAgent(sim.randomHost()) },
		func() { sim.randomHost().agentDown = true },
		func() { sim.randomHost().disconnected = true },
		func() { sim.randomHost().unheard = true },
		func() { sim.randomHost().executor.keepsEnds = true },
		func() {
			e := sim.randomHost().executor
			e.unreadable = map[messenger.RunRef]bool{}
			for _, ref := range e.refs() {
				e.unreadable[ref] = true
			}
		},
		func() { sim.randomHost().executor.mute = true },
		func() { sim.network.lateShare = 0.1 },
		func() { sim.lostShare = 0.3 },
		func() { sim.refusedShare = 0.3 },
		func() { sim.storeOffline = true },
		func() { sim.storeOffline = false },
		func() { sim.losePower(false) },
		func() { sim.losePower(true) },
	}
}

// loseForGood ends the agent of a host, its executor or both for the rest of the test.
func (sim *simulation) loseForGood(h *modelHost, agent, executor bool) {
	if agent {
		h.frozenUntil = sim.now.Add(time.Hour)
	}
	if executor {
		sim.crashFor(h, time.Hour, false)
	}
}

// losePower restarts all agents that aren't lost for good and replaces the owner, which has not
// stopped before. It restarts the executors, too, if these is set.
func (sim *simulation) losePower(executors bool) {
	for _, h := range sim.hosts {
		h.isolated = false
		if sim.isLost(h) {
			continue
		}
		if executors {
			sim.crashFor(h, time.Duration(sim.random.IntN(1000))*time.Millisecond, false)
		}
		sim.restartAgent(h)
	}
	sim.isolated = nil
	sim.replaceOwner(false)
}

// isLost reports whether the agent or the executor of a host is lost for good.
func (sim *simulation) isLost(h *modelHost) bool {
	soon := sim.now.Add(time.Minute)
	return h.frozenUntil.After(soon) || h.executor.isDown(soon)
}

// calm ends all faults but the hosts that are lost for good. Messages that are still late get lost: the
// report of a lost host would say that it lives.
func (sim *simulation) calm() {
	sim.clearFaults()
	sim.network.lateShare = 0
	for _, h := range sim.hosts {
		h.executor.keepsEnds = false
		h.executor.unreadable = nil
	}
}

// TestLongRunningTasksRunAgainAfterFaults injects random faults among long-running tasks. Once it is
// calm but for owners that may go on to change, each task must run again in time on the hosts that
// remain.
func TestLongRunningTasksRunAgainAfterFaults(t *testing.T) {
	const watches = 6
	for _, test := range []struct {
		name string
		// changing is whether owners change during the calm, and clean whether they have stopped then.
		changing, clean bool
	}{
		{name: "one owner"},
		{name: "clean changes of the owner", changing: true, clean: true},
		{name: "changes of the owner", changing: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range livenessSeeds(t) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					sim := newSimulation(t, seed, 4+2*int(seed%3))
					r := sim.random
					sim.network = &modelNetwork{maxDelay: time.Duration(1+r.IntN(40)) * time.Millisecond}
					sim.run(2 * time.Second)
					sim.submit(watchQueue, "watch", tasks(watches, 1000, time.Hour, longRunning, func(s *messenger.StepSpec) { s.MaxPerExecutor = watches / 2 }))
					sim.run(time.Second)
					faults := sim.livenessFaults()
					for range 4 + r.IntN(8) {
						faults[r.IntN(len(faults))]()
						if r.IntN(2) == 0 {
							sim.replaceOwner(r.IntN(2) == 0)
						}
						sim.run(time.Duration(r.IntN(3000)) * time.Millisecond)
						if r.IntN(4) == 0 {
							sim.calm()
						}
					}
					sim.calm()
					next := sim.now.Add(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
					run := func(d time.Duration, condition func() bool) {
						sim.runUntil(d, func() bool {
							if test.changing && !sim.now.Before(next) {
								sim.replaceOwner(test.clean)
								next = sim.now.Add(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
							}
							return condition()
						})
					}
					run(restartBound, func() bool { return sim.running("watch") == watches })
				})
			}
		})
	}
}

// TestLongRunningTaskRunsAgainAfterUnusedClaims guards against a long-running task that stays down because
// each owner is preceded by a claim that never came to act, after which nothing that earlier owners recorded
// of hosts and tasks counted.
func TestLongRunningTaskRunsAgainAfterUnusedClaims(t *testing.T) {
	for _, period := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
			sim.claim()
			sim.replaceOwner(false)
			sim.run(time.Second)
			sim.hostOf("watch").agentDown = true
			next := sim.now.Add(period)
			run := func(running int, d time.Duration) {
				sim.runUntil(d, func() bool {
					if !sim.now.Before(next) {
						sim.claim()
						sim.replaceOwner(false)
						next = sim.now.Add(period)
					}
					return sim.running("watch") == running
				})
			}
			run(0, 5*time.Second)
			run(1, calmRestartBound)
		})
	}
}

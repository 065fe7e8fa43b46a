package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// newCutFleet returns a simulation whose executors have been up for long, or one of them for 2 s after a hold for
// its last incarnation reached it, and the host of that one, which runs tasks of the workload "watch".
func newCutFleet(t *testing.T, reborn bool) (*simulation, *modelHost) {
	t.Helper()
	sim := newSimulation(t, 1, 4)
	sim.season()
	sim.network = &modelNetwork{maxDelay: 20 * time.Millisecond}
	sim.run(30 * time.Second)
	h := sim.hosts[1]
	if reborn {
		sim.rebirth(h)
	}
	sim.run(500 * time.Millisecond)
	sim.submit(watchQueue, "watch", tasks(12, 2000, time.Hour, longRunning))
	sim.run(1500 * time.Millisecond)
	if len(h.executor.runs) == 0 {
		t.Fatal("no task runs on the executor")
	}
	return sim, h
}

// repeated reports whether all tasks run on hosts other than h.
func (sim *simulation) repeated(h *modelHost) bool {
	return sim.running("watch")-len(h.executor.runs) == 12
}

// TestWaitForStrayLease guards against tasks that wait for leases that can't be: from the cut to the repeat, only the
// tasks of an executor that has just started under its id wait for more than the leases that owners renewed.
func TestWaitForStrayLease(t *testing.T) {
	const sinceRebirth = 1500 * time.Millisecond
	config := conductor.DefaultConfig()
	renewed := config.Lease + config.Margin + 100*time.Millisecond
	stray := config.StrayLease + config.Margin + 100*time.Millisecond
	for _, test := range []struct {
		name string
		cut  func(*simulation, *modelHost)
		// bound is for how long tasks of an executor may wait that has been up for long, and rebornBound the same for
		// the other one.
		bound, rebornBound time.Duration
	}{
		{name: "executor silent", cut: func(_ *simulation, h *modelHost) { h.executor.mute = true }, bound: 4500 * time.Millisecond, rebornBound: stray - sinceRebirth},
		{name: "host cut off", cut: func(_ *simulation, h *modelHost) { h.disconnected = true }, bound: renewed, rebornBound: stray - sinceRebirth},
		{name: "host cut off and owner replaced", cut: func(sim *simulation, h *modelHost) {
			h.disconnected = true
			sim.replaceOwner(false)
		}, bound: renewed, rebornBound: stray}, // The record doesn't say how old it is.
	} {
		for _, reborn := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reborn %t", test.name, reborn), func(t *testing.T) {
				t.Parallel()
				sim, h := newCutFleet(t, reborn)
				bound := test.bound
				if reborn {
					bound = test.rebornBound
				}
				test.cut(sim, h)
				took := sim.runUntil(bound, func() bool { return sim.repeated(h) })
				t.Logf("all tasks run again %s after the cut", took)
			})
		}
	}
}

// TestFewRestartsLeaveStrayLease guards against tasks that wait for a stray lease whenever their executor has just
// started under its id: one call was always under way that might have granted it.
func TestFewRestartsLeaveStrayLease(t *testing.T) {
	const (
		restarts = 100
		most     = restarts / 3
	)
	sim := newSimulation(t, 1, 2)
	sim.season()
	sim.network = &modelNetwork{maxDelay: 20 * time.Millisecond}
	sim.run(time.Second)
	h := sim.hosts[1]
	stray := 0
	for i := range restarts {
		sim.run(15*time.Second + time.Duration(i)*tickInterval)
		sim.crash(h)
		h.executor.clockStart = time.Millisecond
		sim.runUntil(2*time.Second, func() bool { return sim.hostRecord(h).Executors[0].Born == h.executor.incarnation })
		if sim.strayMillisRecorded(h) > 0 {
			stray++
		}
	}
	t.Logf("%d of %d restarts may leave a stray lease", stray, restarts)
	if stray > most {
		t.Errorf("restarts that may leave a stray lease: got %d of %d, want at most %d", stray, restarts, most)
	}
}

// strayMillisRecorded returns for how long a lease of the executor of a host may last that a call for an earlier
// incarnation granted, by the host's record.
func (sim *simulation) strayMillisRecorded(h *modelHost) int {
	sim.t.Helper()
	record := sim.hostRecord(h)
	if len(record.Executors) != 1 || !record.StrayLeases {
		sim.t.Fatalf("record %+v, want one that tells the stray leases of one executor", record)
	}
	return record.Executors[0].StrayLeaseMillis
}

// TestStrayLeaseIsRecordedWhileItLasts guards against tasks that run twice after a takeover, as the new owner doesn't
// hear the host, and against later takeovers that wait for a stray lease that has ended.
func TestStrayLeaseIsRecordedWhileItLasts(t *testing.T) {
	config := conductor.DefaultConfig()
	sim, h := newCutFleet(t, true)
	longest := int((config.StrayLease + config.Margin).Milliseconds())
	if got := sim.strayMillisRecorded(h); got < longest-500 || got > longest {
		t.Errorf("recorded stray lease = %d ms, want some less than %d", got, longest)
	}
	sim.run(config.StrayLease)
	if diff := cmp.Diff(0, sim.strayMillisRecorded(h)); diff != "" {
		t.Errorf("recorded stray lease after its end (-want +got):\n%s", diff)
	}
	h.disconnected = true
	sim.replaceOwner(false)
	sim.runUntil(config.Lease+config.Margin+100*time.Millisecond, func() bool { return sim.repeated(h) })
}

// TestOwnersInARowWaitOnceForStrayLease guards against tasks that stay down: each owner would wait anew, from its own
// claim, for a stray lease that the last record of a silent host names.
func TestOwnersInARowWaitOnceForStrayLease(t *testing.T) {
	config := conductor.DefaultConfig()
	for _, period := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			sim, h := newCutFleet(t, true)
			h.disconnected = true
			// The owner writes the record anew before it is replaced, and others do as they suspend the host.
			sim.replaceOwnerEvery(period, false, config.StrayLease+config.Margin+time.Second, func() bool { return sim.repeated(h) })
		})
	}
}

// TestStrayLeaseOfVersionBefore guards against tasks that run twice while a deployment is upgraded: an agent or an
// owner of the version before says nothing of stray leases.
func TestStrayLeaseOfVersionBefore(t *testing.T) {
	forget := func(sim *simulation) {
		for _, h := range sim.hosts {
			rewrite(sim, "h/"+h.name, func(r *messenger.HostRecord) {
				r.StrayLeases = false
				for i := range r.Executors {
					r.Executors[i].StrayLeaseMillis, r.Executors[i].StrayLeaseIn = 0, 0
				}
			})
		}
	}
	for _, test := range []struct {
		name           string
		untold, forget bool
		replace        bool
	}{
		{name: "agent", untold: true},
		{name: "agent, owner replaced", untold: true, replace: true},
		{name: "owner, replaced", forget: true, replace: true},
		{name: "agent and owner, replaced", untold: true, forget: true, replace: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.network = &modelNetwork{maxDelay: 20 * time.Millisecond}
			for _, h := range sim.hosts {
				h.untold = test.untold
			}
			sim.run(30 * time.Second)
			h := sim.hosts[1]
			sim.rebirth(h)
			sim.run(500 * time.Millisecond)
			sim.submit(watchQueue, "watch", tasks(12, 2000, time.Hour, longRunning))
			sim.run(1500 * time.Millisecond)
			h.disconnected = true
			if test.forget {
				forget(sim)
			}
			if test.replace {
				sim.replaceOwner(false)
			}
			sim.runUntil(12*time.Second, func() bool { return sim.repeated(h) })
			h.disconnected = false
			sim.run(12 * time.Second)
			// The owner has written that none lasts any more.
			if diff := cmp.Diff(0, sim.strayMillisRecorded(h)); diff != "" {
				t.Errorf("recorded stray lease (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStrayLeaseOfUnjoinedIncarnation guards against a task that runs twice: a start reaches the next incarnation, which
// can't join as its lists are incomplete, and the host is cut off.
func TestStrayLeaseOfUnjoinedIncarnation(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %t", replace), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.season()
			sim.run(30 * time.Second)
			sim.lateShare = 1
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.run(100 * time.Millisecond)
			sim.lateShare = 0
			if len(sim.lateCalls) == 0 {
				t.Fatal("no start is under way")
			}
			late, h := sim.lateCalls[0], sim.lateCalls[0].host
			sim.lateCalls = nil
			sim.crash(h)
			h.executor.clockStart = time.Millisecond // Behind the deadline of the start.
			h.executor.otherWriter = true
			late.apply(h.executor)
			if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
				t.Fatalf("tasks that run after the start arrived (-want +got):\n%s", diff)
			}
			sim.run(500 * time.Millisecond)
			h.disconnected = true
			if replace {
				sim.replaceOwner(false)
			}
			sim.run(20 * time.Second)
		})
	}
}

// TestStrayStartBeforeConfirmation guards against a task that runs twice: a start reaches the next incarnation, which falls
// silent before it is confirmed, and the host is cut off.
func TestStrayStartBeforeConfirmation(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced %t", replace), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.season()
			sim.run(30 * time.Second)
			sim.lateShare = 1
			sim.submit(batchQueue, "work", tasks(1, 1000, 15*time.Second))
			sim.run(100 * time.Millisecond)
			sim.lateShare = 0
			if len(sim.lateCalls) == 0 {
				t.Fatal("no start is under way")
			}
			late, h := sim.lateCalls[0], sim.lateCalls[0].host
			sim.crashFor(h, 500*time.Millisecond, false)
			h.executor.clockStart = time.Millisecond // Behind the deadline of the start.
			late.at = h.executor.startedAt
			sim.lateCalls = []lateCall{late}
			sim.run(490 * time.Millisecond)
			h.disconnected = true
			sim.run(10 * time.Millisecond)
			h.executor.mute = true
			h.agentDown = true
			if diff := cmp.Diff(1, sim.running("work")); diff != "" {
				t.Fatalf("tasks that run after the start arrived (-want +got):\n%s", diff)
			}
			if replace {
				sim.replaceOwner(false)
			}
			sim.run(20 * time.Second)
		})
	}
}

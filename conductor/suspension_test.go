package conductor_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

const (
	// silence is long enough for a host to be suspended that the owner has heard, and shorter than a lease.
	silence = 2600 * time.Millisecond
	// term is long enough for an owner to suspend a host that it has not heard.
	term = 1200 * time.Millisecond
)

// newSuspension returns a simulation whose owner, the second one, has acted for a while and
// runs one long-running task, and the host of the task.
func newSuspension(t *testing.T) (*simulation, *modelHost) {
	t.Helper()
	sim := newSimulation(t, 1, 4)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
	sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
	sim.replaceOwner(true)
	sim.run(2 * apricotwinch.OwnerAuthority)
	return sim, sim.hostOf("watch")
}

// suspendedIn returns the epoch in which a host was suspended according to the store; 0 for none.
func (sim *simulation) suspendedIn(h *modelHost) int {
	sim.t.Helper()
	var record messenger.HostRecord
	if err := json.Unmarshal(sim.store["h/"+h.name], &record); err != nil {
		sim.t.Fatalf("record of %s: %v", h.name, err)
	}
	return record.SuspendedIn
}

// TestSuspensionIsRecorded checks that a silent host is suspended, and that it is resumed and keeps its
// runs when it is heard again.
func TestSuspensionIsRecorded(t *testing.T) {
	sim, h := newSuspension(t)
	var got []int
	record := func() { got = append(got, sim.suspendedIn(h), sim.running("watch")) }
	record()
	h.disconnected = true
	sim.run(silence)
	record()
	sim.replaceOwner(true)
	sim.run(200 * time.Millisecond)
	record()
	h.disconnected = false
	sim.run(6 * time.Second)
	record()
	// The epoch in which the host is suspended, and the runs of the task.
	if diff := cmp.Diff([]int{0, 1, 2, 1, 2, 1, 0, 1}, got); diff != "" {
		t.Errorf("suspensions and runs (-want +got):\n%s", diff)
	}
}

// TestMostHostsAreNotSuspended guards against an owner that stops renewing leases because it is itself
// cut off or late, or because the agents don't know it yet.
func TestMostHostsAreNotSuspended(t *testing.T) {
	sim, h := newSuspension(t)
	for _, h := range sim.hosts[:3] {
		h.disconnected = true
	}
	sim.run(silence)
	if diff := cmp.Diff(0, sim.suspendedIn(h)); diff != "" {
		t.Errorf("epoch of the suspension (-want +got):\n%s", diff)
	}
}

// TestUnsentSuspensionEndsWithoutStore guards against runs that end because their host was silent for a
// moment while the store is away: a mark that was never passed to the store binds nobody.
func TestUnsentSuspensionEndsWithoutStore(t *testing.T) {
	sim, h := newSuspension(t)
	sim.storeOffline = true
	h.disconnected = true
	sim.run(silence)
	h.disconnected = false
	sim.run(2 * apricotwinch.ExecutorLease)
	if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
		t.Errorf("running (-want +got):\n%s", diff)
	}
}

// TestIsolatedOwnerDoesNotRenewSuspendedHost guards against a task that runs twice: an owner hears a host
// again that it has suspended, after it was cut off from the store, and its successor reads that no
// owner renews the host's leases.
func TestIsolatedOwnerDoesNotRenewSuspendedHost(t *testing.T) {
	sim, h := newSuspension(t)
	h.disconnected = true
	sim.run(silence)
	sim.isolateOwner(h)
	h.disconnected = false
	sim.run(12 * time.Second)
	if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
		t.Errorf("running (-want +got):\n%s", diff)
	}
}

// TestOwnerBeforeSuspensionRenewsHost guards against a task that runs twice: the owner before the one that
// suspended a host still acts, and renews the host's leases.
func TestOwnerBeforeSuspensionRenewsHost(t *testing.T) {
	for _, owners := range []int{1, 2} {
		sim, h := newSuspension(t)
		sim.isolateOwner(h)
		for range owners {
			sim.run(term)
			sim.replaceOwner(true)
		}
		if diff := cmp.Diff(3, sim.suspendedIn(h)); diff != "" {
			t.Errorf("epoch of the suspension (-want +got):\n%s", diff)
		}
		sim.run(12 * time.Second)
		if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
			t.Errorf("running (-want +got):\n%s", diff)
		}
	}
}

// TestOwnerOfVersionBeforeRenewsSuspendedHost guards against a task that runs twice while a deployment is
// upgraded: an owner that doesn't honor a suspension renews the host's leases between two that do.
func TestOwnerOfVersionBeforeRenewsSuspendedHost(t *testing.T) {
	tests := []struct {
		name string
		last messenger.PlacementsRecord
		// unused is the number of claims after it that never came to act.
		unused int
	}{
		{name: "it wrote its record", last: messenger.PlacementsRecord{Epoch: 3}},
		{name: "it wrote nothing", last: messenger.PlacementsRecord{Epoch: 2, Suspends: true}},
		{name: "it wrote its record, and an unused claim follows", last: messenger.PlacementsRecord{Epoch: 3}, unused: 1},
		{name: "it wrote nothing, and an unused claim follows", last: messenger.PlacementsRecord{Epoch: 2, Suspends: true}, unused: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim, h := newSuspension(t)
			h.disconnected = true
			sim.run(silence)
			written := slices.Clone(sim.store["h/"+h.name])
			h.disconnected = false
			sim.replaceOwner(true)
			sim.run(6 * time.Second)
			h.disconnected = true
			last, err := json.Marshal(test.last)
			if err != nil {
				t.Fatal(err)
			}
			sim.store["h/"+h.name], sim.store["placements"] = written, last
			delete(sim.store, "claim/3") // The version before doesn't write it.
			for range test.unused {
				sim.claim()
			}
			if diff := cmp.Diff(2, sim.suspendedIn(h)); diff != "" {
				t.Errorf("epoch of the suspension (-want +got):\n%s", diff)
			}
			sim.replaceOwner(true)
			sim.run(100 * time.Millisecond)
			if diff := cmp.Diff(0, sim.suspendedIn(h)); diff != "" {
				t.Errorf("epoch of the suspension after the takeover (-want +got):\n%s", diff)
			}
			sim.run(12 * time.Second)
			if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
				t.Errorf("running (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSuspensionCountsFromClaims checks from when a successor waits for a host that is suspended, however
// late it takes over itself.
func TestSuspensionCountsFromClaims(t *testing.T) {
	config := conductor.DefaultConfig()
	tests := []struct {
		name string
		// clean is whether that owner knows that all before it have stopped.
		clean bool
		// heard is for how long the owner that suspends the host hears it, and want the time from its claim
		// until the task runs again.
		heard, want time.Duration
		// oldAgents is whether the agents don't honor the length of a lease.
		oldAgents bool
	}{
		{name: "all earlier owners had stopped", clean: true, want: term + config.Lease + config.Margin},
		{name: "earlier owners may act later", want: term + config.Lease + config.Margin},
		{name: "earlier owners may act later, agents of the version before", oldAgents: true, want: config.Authority + config.Lease + config.Margin},
		{name: "it may have renewed leases later", heard: 5 * time.Second, want: 5*time.Second + silence + config.Lease + config.Margin},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim, h := newSuspension(t)
			if test.oldAgents {
				sim.useOldAgents()
			}
			sim.run(time.Second)
			sim.replaceOwner(test.clean)
			claimed := sim.now
			sim.run(test.heard)
			h.agentDown = true
			if test.heard > 0 {
				sim.run(silence)
			} else {
				sim.run(term)
			}
			for range 3 {
				sim.replaceOwner(false)
				sim.run(term)
			}
			sim.runUntil(restartBound, func() bool { return sim.hostOf("watch") != h && sim.running("watch") == 1 })
			if diff := cmp.Diff(test.want, sim.now.Sub(claimed).Truncate(100*time.Millisecond)); diff != "" {
				t.Errorf("time from the claim of the owner that suspended the host (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMarkWithLostAnswerIsHonored guards against a second run: the store writes a mark and its answer is lost,
// the host is heard again, and the owner, cut off from the store from then on, must not renew its
// leases, since its successor reads the mark.
func TestMarkWithLostAnswerIsHonored(t *testing.T) {
	sim, h := newSuspension(t)
	sim.storeOffline = true
	h.disconnected = true
	sim.runUntil(2*silence, func() bool {
		if pending, _ := sim.owner.PendingWrites(); pending {
			records, _ := sim.owner.TakeWrites()
			for _, r := range records {
				sim.store[r.Key()] = r.Value()
			}
		}
		return sim.suspendedIn(h) > 0
	})
	sim.provenAt = sim.now
	h.disconnected = false
	sim.storeOffline = false
	sim.isolateOwner(h)
	sim.run(12 * time.Second)
	if diff := cmp.Diff(1, sim.running("watch")); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// newRunningFleet returns a simulation of many hosts, each with a long-running task.
func newRunningFleet(t *testing.T) *simulation {
	t.Helper()
	const hosts = 24
	sim := newSimulation(t, 1, hosts)
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(hosts, 1000, time.Hour, longRunning, func(s *messenger.StepSpec) { s.MaxPerExecutor = 1 }))
	sim.runUntil(2*time.Second, func() bool { return sim.running("watch") == hosts })
	sim.run(5 * time.Second)
	return sim
}

// suspendedHosts returns the names of the hosts that are suspended according to the store.
func (sim *simulation) suspendedHosts() []string {
	sim.t.Helper()
	var names []string
	for _, h := range sim.hosts {
		if sim.suspendedIn(h) > 0 {
			names = append(names, h.name)
		}
	}
	return names
}

// TestLateOwnerSuspendsNoHost guards against healthy hosts that are suspended, and whose runs end if the store is
// away then: the owner was late itself, and its tick comes before the reports that wait for it.
func TestLateOwnerSuspendsNoHost(t *testing.T) {
	for _, late := range []time.Duration{500, 800, 950, 1000, 1050, 1200, 2000} {
		late *= time.Millisecond
		t.Run(late.String(), func(t *testing.T) {
			sim := newRunningFleet(t)
			owner := sim.owner
			sim.owner = conductor.New(conductor.DefaultConfig(), sim.epoch, true, sim.logger, metrics.NewRegistry())
			for _, h := range sim.hosts {
				h.disconnected = true
			}
			sim.run(late)
			sim.owner = owner
			sim.step()
			for _, h := range sim.hosts {
				h.disconnected = false
			}
			for range 200 {
				sim.step()
				if diff := cmp.Diff([]string(nil), sim.suspendedHosts()); diff != "" {
					t.Fatalf("suspended %s after the late tick (-want +got):\n%s", late, diff)
				}
			}
		})
	}
}

// TestOwnerBackFromCutSuspendsNoHost guards against healthy hosts that are suspended since they report again one
// after the other, and not most of them are silent any more.
func TestOwnerBackFromCutSuspendsNoHost(t *testing.T) {
	for _, cut := range []time.Duration{1500, 2000, 2500} {
		cut *= time.Millisecond
		t.Run(cut.String(), func(t *testing.T) {
			sim := newRunningFleet(t)
			for start := sim.now; sim.now.Sub(start) < cut+3*time.Second; sim.step() {
				for i, h := range sim.hosts {
					// An agent asks again up to 0.6 s after the end of the cut.
					h.disconnected = sim.now.Sub(start) < cut+time.Duration(i)*25*time.Millisecond
				}
				if diff := cmp.Diff([]string(nil), sim.suspendedHosts()); diff != "" {
					t.Fatalf("suspended (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(len(sim.hosts), sim.running("watch")); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

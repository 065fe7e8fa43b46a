package conductor_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// hostRecord returns the record of a host in the store.
func (sim *simulation) hostRecord(h *modelHost) (record messenger.HostRecord) {
	sim.t.Helper()
	rewrite(sim, "h/"+h.name, func(r *messenger.HostRecord) { record = *r })
	return record
}

// recordUnboundedOwner rewrites the store as if the owner were of a version that doesn't bound leases.
func (sim *simulation) recordUnboundedOwner() {
	sim.t.Helper()
	rewrite(sim, "placements", func(r *messenger.PlacementsRecord) { r.BoundedSince = 0 })
	for key := range sim.store {
		if len(key) > len("claim/") && key[:len("claim/")] == "claim/" {
			rewrite(sim, key, func(r *messenger.OwnerClaimRecord) { r.BoundsLeases = false })
		}
	}
}

// TestLeaseIsBoundedByProof guards against a task that runs twice: an owner with a successor grants a lease that
// outlasts the successor's wait, which counts from when its claim was known.
func TestLeaseIsBoundedByProof(t *testing.T) {
	tests := []struct {
		name string
		// proven is the age of the proof; noProof is whether there is none.
		proven   time.Duration
		noProof  bool
		oldAgent bool
		want     []int
	}{
		{name: "proof of now", want: []int{1, 4000}},
		{name: "older proof", proven: 1500 * time.Millisecond, want: []int{1, 2500}},
		{name: "proof of a lease ago", proven: apricotwinch.ExecutorLease, want: []int{0, 0}},
		{name: "proof of almost a lease ago", proven: apricotwinch.ExecutorLease - time.Microsecond, want: []int{0, 0}},
		{name: "no proof", noProof: true, want: []int{0, 0}},
		{name: "proof by a clock that is ahead", proven: -time.Second, want: []int{1, 4000}},
		{name: "agent of the version before", proven: 1500 * time.Millisecond, oldAgent: true, want: []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.hosts[0].oldAgent = test.oldAgent
			sim.run(2 * time.Second)
			proven := sim.now.Add(-test.proven)
			if test.noProof {
				proven = time.Time{}
			}
			sim.hosts[0].agent.RequireWholeReport()
			reply := sim.owner.Report(sim.now, proven, sim.nextReport(sim.hosts[0]))
			granted := 0
			if reply.Lease {
				granted = 1
			}
			// Whether there is a lease, and its length in milliseconds.
			if diff := cmp.Diff(test.want, []int{granted, reply.LeaseMillis}); diff != "" {
				t.Errorf("lease (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOrdersExpireWithLease guards against a task that runs twice: an agent accepts a late start after the lease
// ended by which the owner gave it up.
func TestOrdersExpireWithLease(t *testing.T) {
	const age = 1500 * time.Millisecond
	for _, test := range []struct {
		name string
		// ends is whether a report of ends alone follows, with a newer proof.
		ends bool
	}{{name: "whole report"}, {name: "report of ends", ends: true}} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.run(2 * time.Second)
			h := sim.hosts[0]
			h.disconnected = true
			h.agent.RequireWholeReport()
			report := sim.nextReport(h)
			sim.owner.Report(sim.now, sim.now.Add(-age), report)
			want := report.TicketMillis - int(age.Milliseconds())
			if test.ends {
				sim.now = sim.now.Add(100 * time.Millisecond)
				report = sim.nextReport(h)
				if diff := cmp.Diff(true, report.EndsOnly); diff != "" {
					t.Fatalf("report of ends alone (-want +got):\n%s", diff)
				}
				sim.owner.Report(sim.now, sim.now, report)
			}
			sim.submit(batchQueue, "w", tasks(1, 1000, time.Second))
			sim.owner.Schedule(sim.now)
			var got []int
			for name, o := range sim.owner.TakeOrders() {
				if orders, _, ok := sim.owner.PrepareOrders(name, o); ok {
					got = append(got, orders.TicketMillis)
				}
			}
			if diff := cmp.Diff([]int{want}, got); diff != "" {
				t.Errorf("tickets of the orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestWaitForLeasesOfEarlierOwners checks how long after its claim an owner starts a task again whose host is cut
// off with an earlier owner, which renews its leases until its authority ends.
func TestWaitForLeasesOfEarlierOwners(t *testing.T) {
	config := conductor.DefaultConfig()
	bounded := config.Lease + config.Margin
	const ownedFor = 1500 * time.Millisecond
	tests := []struct {
		name string
		// oldOwner and oldAgent are whether the owner and the agent behind the cut are of the version before, and
		// oldRecord whether the host's record is.
		oldOwner, oldAgent, oldRecord bool
		// owners is the number of owners after that one, each but the last for ownedFor.
		owners int
		want   time.Duration
	}{
		{name: "one version", owners: 1, want: bounded},
		{name: "one version, two owners", owners: 2, want: ownedFor + bounded},
		{name: "owner of the version before", oldOwner: true, owners: 1, want: config.Authority + bounded},
		{name: "owner of the version before, two owners", oldOwner: true, owners: 2, want: config.Authority + bounded},
		{name: "agent of the version before", oldAgent: true, owners: 1, want: config.Authority + bounded},
		{name: "agent of the version before, two owners", oldAgent: true, owners: 2, want: config.Authority + bounded},
		{name: "agent of this version not recorded", oldRecord: true, owners: 1, want: config.Authority + bounded},
		{name: "owner and agent of the version before", oldOwner: true, oldAgent: true, owners: 1, want: config.Authority + bounded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.season()
			if test.oldAgent {
				sim.useOldAgents()
			}
			sim.run(5 * time.Second)
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
			sim.run(time.Second)
			h := sim.hostOf("watch")
			if test.oldOwner {
				sim.recordUnboundedOwner()
			}
			if test.oldRecord {
				rewrite(sim, "h/"+h.name, func(r *messenger.HostRecord) { r.LeaseLengths = false })
			}
			sim.isolateOwner(h)
			claimedAt := sim.now
			sim.isolated.unbounded = test.oldOwner
			for range test.owners - 1 {
				sim.run(ownedFor)
				sim.replaceOwner(false)
			}
			sim.runUntil(20*time.Second, func() bool { return sim.running("watch") == 1 && sim.hostOf("watch") != h })
			if diff := cmp.Diff(test.want, sim.now.Sub(claimedAt).Truncate(100*time.Millisecond)); diff != "" {
				t.Errorf("time from the first claim until the task runs elsewhere (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnboundedOwnerBetweenIsWaitedFor guards against a task that runs twice while a deployment is upgraded and
// back: an owner of the version before acts after one that bounds leases, and the host's record says that its agent
// honors lengths.
func TestUnboundedOwnerBetweenIsWaitedFor(t *testing.T) {
	config := conductor.DefaultConfig()
	for _, test := range []struct {
		name string
		// last is the last record of placements.
		last messenger.PlacementsRecord
	}{
		{name: "it wrote its record", last: messenger.PlacementsRecord{Epoch: 2, Suspends: true, Complete: true}},
		{name: "it wrote nothing", last: messenger.PlacementsRecord{Epoch: 1, Suspends: true, Complete: true, BoundedSince: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.run(2 * time.Second)
			sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
			sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
			sim.replaceOwner(true)
			sim.run(6 * time.Second)
			rewrite(sim, "claim/2", func(r *messenger.OwnerClaimRecord) { r.BoundsLeases = false })
			rewrite(sim, "placements", func(r *messenger.PlacementsRecord) { *r = test.last })
			h := sim.hostOf("watch")
			if diff := cmp.Diff(true, sim.hostRecord(h).LeaseLengths); diff != "" {
				t.Fatalf("the host's record says that its agent honors lengths (-want +got):\n%s", diff)
			}
			sim.isolateOwner(h)
			sim.isolated.unbounded = true
			claimedAt := sim.now
			sim.runUntil(20*time.Second, func() bool { return sim.running("watch") == 1 && sim.hostOf("watch") != h })
			if diff := cmp.Diff(config.Authority+config.Lease+config.Margin, sim.now.Sub(claimedAt).Truncate(100*time.Millisecond)); diff != "" {
				t.Errorf("time from the claim until the task runs elsewhere (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOldAgentGetsNoLeaseBeforeRecord guards against a task that runs twice: an agent of the version before comes to
// a host whose record says that its agent honors lengths, and the next owner relies on that.
func TestOldAgentGetsNoLeaseBeforeRecord(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2 * time.Second)
	h := sim.hosts[0]
	lease := func() bool {
		sim.run(500 * time.Millisecond)
		h.agent.RequireWholeReport()
		return sim.applyReport(h, sim.owner, sim.nextReport(h)).Lease
	}
	got := []bool{sim.hostRecord(h).LeaseLengths, lease()}
	sim.storeOffline = true
	h.oldAgent = true
	sim.restartAgent(h)
	got = append(got, sim.hostRecord(h).LeaseLengths, lease())
	sim.storeOffline = false
	got = append(got, lease(), sim.hostRecord(h).LeaseLengths)
	h.oldAgent = false
	sim.restartAgent(h)
	got = append(got, lease(), sim.hostRecord(h).LeaseLengths)
	// In turn: the record and a lease, an old agent without the store, with it, and an agent of this version.
	if diff := cmp.Diff([]bool{true, true, true, false, true, false, true, true}, got); diff != "" {
		t.Errorf("leases and records (-want +got):\n%s", diff)
	}
}

// TestWaitCountsFromClaim guards against accepted work that is held for as long as a new owner took to read the
// journal: all leases count from its claim.
func TestWaitCountsFromClaim(t *testing.T) {
	const read = 1500 * time.Millisecond
	config := conductor.DefaultConfig()
	sim := newSimulation(t, 1, 4)
	sim.season()
	sim.run(2 * time.Second)
	sim.submit(watchQueue, "watch", tasks(1, 1000, time.Hour, longRunning))
	sim.runUntil(time.Second, func() bool { return sim.running("watch") == 1 })
	h := sim.hostOf("watch")
	h.disconnected = true
	sim.claim()
	claimedAt := sim.now
	sim.storeOffline = true
	sim.run(read)
	sim.storeOffline = false
	sim.startOwner(false)
	sim.runUntil(20*time.Second, func() bool { return sim.running("watch") == 1 && sim.hostOf("watch") != h })
	if diff := cmp.Diff(config.Lease+config.Margin, sim.now.Sub(claimedAt).Truncate(100*time.Millisecond)); diff != "" {
		t.Errorf("time from the claim until the task runs elsewhere (-want +got):\n%s", diff)
	}
}

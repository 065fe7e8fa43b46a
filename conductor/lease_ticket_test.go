package conductor_test

import (
	"testing"
	"time"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// resumeWithoutLease returns a simulation in which the first host, which was suspended, has been resumed since by a
// whole report that renewed no lease, at a time after the owner's claim, and a function that passes a report of that
// host to the owner. Nothing else reaches the owner meanwhile.
func resumeWithoutLease(t *testing.T, after time.Duration) (sim *simulation, h *modelHost, report func(whole bool) messenger.ReportReply) {
	t.Helper()
	sim = newSimulation(t, 1, 4)
	sim.season()
	sim.run(2 * time.Second)
	h = sim.hosts[0]
	h.disconnected = true
	sim.replaceOwner(false)
	sim.run(after)
	if sim.suspendedIn(h) != int(sim.epoch) {
		t.Fatal("the silent host isn't suspended")
	}
	report = func(whole bool) messenger.ReportReply {
		t.Helper()
		if whole {
			h.agent.RequireWholeReport()
		}
		r := sim.nextReport(h)
		if r.Whole != whole {
			t.Fatalf("whole report: got %t, want %t", r.Whole, whole)
		}
		reply := sim.applyReport(h, sim.owner, r)
		h.agent.HandleReportAnswer(sim.now, sim.now, reply)
		return reply
	}
	report(true) // Its reply tells the agent of the epoch.
	if reply := report(true); reply.Lease {
		t.Fatal("the report that resumes the host renews its leases")
	}
	sim.flush()
	return sim, h, report
}

// takeStart returns the orders for a host that start a run, as they are sent now, and whether there are any.
func takeStart(sim *simulation, h *modelHost) (messenger.Orders, bool) {
	sim.flush()
	sim.owner.Schedule(sim.now)
	for name, o := range sim.owner.TakeOrders() {
		if orders, _, ok := sim.owner.PrepareOrders(name, o); ok && name == h.name && len(orders.Starts) > 0 {
			return orders, true
		}
	}
	return messenger.Orders{}, false
}

// TestStartsWaitForRenewal guards against a task that runs twice: a host whose last whole report renewed no lease gets a
// start, and its agent accepts it after the time at which the owner gives up what runs there.
func TestStartsWaitForRenewal(t *testing.T) {
	config := conductor.DefaultConfig()
	for _, test := range []struct {
		name string
		// ends is whether a report of ends alone follows the whole report.
		ends bool
	}{{name: "whole report"}, {name: "report of ends", ends: true}} {
		t.Run(test.name, func(t *testing.T) {
			const after = 3 * time.Second
			sim, h, report := resumeWithoutLease(t, after)
			claimedAt := sim.now.Add(-after)
			if test.ends {
				sim.now = sim.now.Add(50 * time.Millisecond)
				report(false)
			}
			sim.submit(batchQueue, "w", tasks(4, 4000, time.Hour))
			orders, ok := takeStart(sim, h)
			if !ok {
				return
			}
			t.Logf("start ordered %s after the claim: ticket %d, that of the report %d", sim.now.Sub(claimedAt), orders.TicketMillis, h.agent.Report(sim.now, false).TicketMillis)
			givenUp := claimedAt.Add(config.Lease + config.Margin + time.Millisecond)
			for _, at := range []time.Time{givenUp, givenUp.Add(24 * time.Hour)} {
				if _, err := h.agent.HandleOrders(at, orders); err == nil {
					t.Errorf("the start is accepted %s after the claim, when the run was given up", at.Sub(claimedAt))
				}
			}
		})
	}
}

// TestDelayedStartAfterResume guards against a task that runs twice: a start for a resumed host whose leases weren't
// renewed yet is delayed until the owner has given it up, and arrives with the first new lease.
func TestDelayedStartAfterResume(t *testing.T) {
	const after = 3 * time.Second
	sim, h, report := resumeWithoutLease(t, after)
	claimedAt := sim.now.Add(-after)
	sim.now = sim.now.Add(50 * time.Millisecond)
	report(false)
	sim.submit(batchQueue, "w", tasks(4, 4000, time.Hour))
	orders, ok := takeStart(sim, h)
	h.disconnected = true
	sim.runUntil(10*time.Second, func() bool { return sim.running("w") == 4 })
	t.Logf("all tasks run %s after the claim", sim.now.Sub(claimedAt))
	sim.run(time.Second)
	if reply := report(true); !reply.Lease {
		t.Fatal("the host that returns gets no lease")
	}
	if ok {
		if calls, err := h.agent.HandleOrders(sim.now, orders); err == nil {
			sim.makeCalls(h, calls)
		}
	}
	sim.run(100 * time.Millisecond) // Fails the test when two runs of a task are there.
	if got := sim.running("w"); got != 4 {
		t.Errorf("runs of 4 tasks %s after the claim: %d", sim.now.Sub(claimedAt), got)
	}
}

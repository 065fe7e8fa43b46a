package conductor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"apricotwinch/messenger"
)

// rackPrefix is the prefix of the label that names an executor's rack; that label also contains
// a hyphen.
const rackPrefix = "r"

// host is one host and its agent.
type host struct {
	name        string
	address     string
	incarnation string
	// followsEpoch is whether the current incarnation of the agent has accepted this owner's epoch.
	followsEpoch bool
	// replaced holds the earlier incarnations of the agent, and contacts, in the order in which
	// they first reported, those that have not shown yet that they are the latest one.
	replaced     map[string]bool
	contacts     []string
	reported     bool
	lastReportAt time.Time
	// wholeReportAt is when a whole report last showed that the host runs; zero if none did to this owner.
	wholeReportAt time.Time
	suspension    suspension
	lengths       leaseLengths
	// strayRecordedEnd is when the last stray lease has ended that the last record of the host names; zero for none.
	// strayRecordedAt is when this owner made that record; zero if it made none.
	strayRecordedEnd, strayRecordedAt time.Time
	// lateStartsRecorded holds the runs that may start late, as the last record of the host names them.
	lateStartsRecorded []messenger.RunRef
	// agentStartedAt is when the current agent had started at the latest; zero if none has reported to this owner.
	agentStartedAt time.Time
	// listedAt is when the agent last listed its executors, and processedOrders the number of the last
	// orders of this owner that it has reported as processed.
	listedAt        time.Time
	processedOrders int
	// reportTicket is the ticket of the last report, and refusalsThrough the number of the last refusal
	// that was applied. Orders carry startTicket or, without starts, stopTicket, which are earlier by as much as
	// the leases are shorter.
	reportTicket int
	startTicket  int
	stopTicket   int
	// renewed is whether the last whole report renewed leases, and grantedFrom the time from which these count.
	renewed         bool
	grantedFrom     time.Time
	refusalsThrough int
	sentOrders      sentOrders
	// lastStart is the number of the last orders that start a run on the host.
	lastStart int
	// withheld is whether reports of the agent extend no leases, and firstTicket the ticket of its first
	// report.
	withheld    bool
	firstTicket int
	executors   map[string]*executor
	// sorted caches the executors in order of their ids; nil after a change.
	sorted []*executor
	// lost holds the executors, by id, that this owner has given up as their leases expired. The host may be cut
	// off, and they are part of the service until it reports again or is dropped.
	lost map[string]*executor
}

func newHost(now time.Time, name, address string) *host {
	return &host{name: name, address: address, lastReportAt: now, executors: map[string]*executor{}, replaced: map[string]bool{}, lost: map[string]*executor{}}
}

// executorsByID returns the executors of the host in order of their ids. The caller must not
// change the list.
func (h *host) executorsByID() []*executor {
	if h.sorted == nil {
		h.sorted = slices.SortedFunc(maps.Values(h.executors), compareExecutors)
	}
	return h.sorted
}

// makeCurrent makes a run the current one of its task and adds it to its executor.
func (c *Conductor) makeCurrent(now time.Time, r *run) {
	t := r.task
	t.current, t.loss, t.preempted = r, nil, false
	c.endWait(now, r)
	t.step.waiting--
	t.highestRun = max(t.highestRun, r.ref.Run)
	c.track(r)
}

// track adds a run, current or orphaned, to its executor and allocates its resources there.
func (c *Conductor) track(r *run) {
	r.key = fmt.Sprint(r.ref)
	c.runs[r.ref] = r
	r.executor.runs[r.ref] = r
	r.executor.sortedRuns = nil
	r.executor.allocate(r.task.step, 1)
	c.countRun(r, 1)
	w := r.task.step.occurrence.workload
	w.runs++
	if r.background {
		c.background[r] = true
		r.setIdle(r.task.step.need.ProcessorMillis())
	}
}

// release removes a run that has ended; its task waits again if that was its current run and it
// is not done. reason is why the run has ended, for the log.
func (c *Conductor) release(now time.Time, r *run, reason string) {
	if c.runs[r.ref] != r {
		return
	}
	c.settleLateStart(now, r, reason)
	delete(c.runs, r.ref)
	delete(r.executor.runs, r.ref)
	r.executor.sortedRuns = nil
	c.heldReleased = c.heldReleased || r.ordersNumber == heldOrders
	delete(c.background, r)
	r.setIdle(0)
	r.executor.allocate(r.task.step, -1)
	c.countRun(r, -1)
	w := r.task.step.occurrence.workload
	w.recordReleased(now, r, reason)
	w.trim()
	c.changedExecutors[r.executor] = true
	if r.task.originalRun == r {
		r.task.originalRun = nil
	}
	if r.task.current != r {
		return
	}
	r.task.current = nil
	if r.ordersNumber == heldOrders {
		c.setLoss(r.task, r.repeats)
	}
	if !r.task.done {
		r.task.step.waiting++
		c.queueStep(r.task.step)
		c.logFreed(now, r, reason)
	}
}

// Tick does periodic work: it removes executors whose leases have expired, queues occurrences
// that are due, records interference, moves and rescues runs, and deletes workloads that ended long
// ago. wall is the time of day. provenAt is the latest time at which this owner provably had no
// successor.
func (c *Conductor) Tick(now, wall, provenAt time.Time) {
	c.awaitsProof = false
	c.strayRecords = 0
	c.suspendSilentHosts(now)
	for name, h := range c.hosts {
		c.tickHost(now, provenAt, name, h)
	}
	c.logReconciliation(now)
	c.checkWaits(now)
	c.checkConfirmations(now)
	c.recordSettled(now)
	c.queueDueOccurrences(now, wall)
	c.recordInterference(now)
	c.recordDurations(now)
	c.moveThrottledRun(now)
	c.rescue(now)
	c.preempt(now)
	if len(c.admission.active) > 0 {
		c.refreshAdmission(now)
	}
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > c.config.EndedRetention {
		w := c.ended[0]
		c.ended = c.ended[1:]
		if c.workloads[w.id] != w {
			continue // It was withdrawn, and may have been submitted again.
		}
		delete(c.workloads, w.id)
		c.deleteRecord(prefixWork + w.id)
		c.deleteRecord(prefixProgress + w.id)
	}
}

// leasesExpired is the reason for the loss of runs whose executor no report has listed for a lease.
const leasesExpired = "its leases have expired"

func (c *Conductor) tickHost(now, provenAt time.Time, name string, h *host) {
	c.refreshStrayRecord(now, h)
	for _, e := range h.executorsByID() {
		switch {
		case !now.After(e.leaseEnd):
		case provenAt.After(e.leaseEnd):
			if c.awaitLateStarts(now, e, leasesExpired) {
				continue
			}
			c.removeExecutor(now, e, leasesExpired)
			h.lost[e.id] = e
		default:
			// A successor may have renewed the leases before they expired.
			e.reachable = false
			c.awaitsProof = true
		}
	}
	if len(h.lateStartsRecorded) > 0 {
		c.recordLateStarts(now, h)
	}
	if len(h.executors) == 0 && now.Sub(h.lastReportAt) > c.config.HostRetention {
		delete(c.hosts, name)
		c.deleteRecord(prefixHost + name)
	}
}

// AwaitsProof reports whether executors can be removed once it is proven that this owner had no
// successor when their leases expired.
func (c *Conductor) AwaitsProof() bool { return c.awaitsProof }

// PrepareOrders returns undelivered orders as they may be sent now, and the address of the host's
// agent. They carry a ticket of the host's last report. Starts of runs that were given up or
// ordered to stop since the orders were made are removed from undelivered: their tasks may run
// elsewhere by now, be done or be canceled. So are those that have stayed undelivered for too long. ok is
// false for a host that has not reported to this owner, and for orders to another incarnation of its agent.
func (c *Conductor) PrepareOrders(name string, undelivered *messenger.Orders) (orders messenger.Orders, address string, ok bool) {
	h := c.hosts[name]
	if h == nil || !h.reported || undelivered.Incarnation != h.incarnation {
		c.withdrawStarts(undelivered)
		return messenger.Orders{}, "", false
	}
	undelivered.Starts = slices.DeleteFunc(undelivered.Starts, func(start messenger.StartOrder) bool {
		run := c.runs[start.Run]
		withdrawn := run == nil || run.executor.host != h || run.ordersNumber != undelivered.Number || run.stopping || run.delivery.withdrawn
		if !withdrawn {
			run.delivery.record(h.reportTicket)
		} else {
			c.count("orders.starts_withdrawn")
			c.logger.Info("start withdrawn", "run", start.Run, "host", name, "order", undelivered.Number)
		}
		return withdrawn
	})
	h.sentOrders.record(undelivered.Number, h.reportTicket)
	orders = *undelivered
	orders.TicketMillis = h.stopTicket
	if len(orders.Starts) > 0 {
		orders.TicketMillis = h.startTicket
	}
	return orders, h.address, true
}

package conductor

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
)

// executor is one incarnation of an executor.
type executor struct {
	host        *host
	record      messenger.ExecutorRecord
	id          string
	incarnation int
	service     string
	dc          string
	rack        string
	// durable is whether the record of the executor is durable; no task starts on it before.
	durable bool
	// listed is whether an agent that has accepted this owner's epoch has listed the executor with
	// all its runs and ends in a report, or no earlier owner used it. runsListed is the same for its
	// runs alone.
	listed     bool
	runsListed bool
	// incomplete is whether the last report that listed the executor didn't list all its runs and
	// ends.
	incomplete bool
	// hidesRuns is whether not all runs were known to the agent of that report, so that the room is unknown.
	hidesRuns bool
	// reportedAt is when a report last listed the executor, and reportGap the time between that and the one before.
	reportedAt time.Time
	reportGap  time.Duration
	// unansweredSince is when the first of the starts was ordered that no list has confirmed yet; zero if there is none.
	unansweredSince time.Time
	// leaseEnd is when the runs of the executor have provably ended if no further report lists
	// it. strayLeaseEnd is when leases have ended that calls for an earlier incarnation granted; no
	// fact about owners ends these sooner.
	leaseEnd      time.Time
	strayLeaseEnd time.Time
	// inheritedStray is what an earlier owner recorded of stray leases, if strayLeaseEnd follows from that.
	inheritedStray recordedTime
	// unjoined is the last incarnation after this one that a report listed and that couldn't join; 0 for none.
	unjoined  int
	labels    map[string]bool
	capacity  apricotwinch.Resources
	draining  bool
	reachable bool
	// runsUnknown is whether the executor holds a run of a task that this owner doesn't know, so
	// that its resources are unknown.
	runsUnknown bool
	runs        map[messenger.RunRef]*run
	// sortedRuns caches the runs in order of their keys; nil after a change.
	sortedRuns []*run
	allocated  apricotwinch.Resources
	// bestEffort is the processors, in thousandths, of the best-effort runs; longRunning, those
	// of the other long-running runs, which are also part of allocated.
	bestEffort int64
	// bestEffortIdle is the part of bestEffort, in thousandths of a processor, that throttled
	// runs leave to other best-effort tasks.
	bestEffortIdle int64
	// meanSpeed is the mean speed, 0 to 1, expected of best-effort images, and slowness the smoothed share
	// of full speed, 0 to 1, that best-effort runs lack.
	meanSpeed float64
	slowness  float64
	// slownessAt is when slowness was updated, speedSeenAt when best-effort runs were last seen, and bestEffortBytes
	// their memory.
	slownessAt, speedSeenAt time.Time
	bestEffortBytes         int64
	longRunning             int64
	// longRunningMemory is the memory of these long-running runs, in bytes.
	longRunningMemory int64
	// urgent is the part of allocated that short urgent runs hold.
	urgent apricotwinch.Resources
	// reservation is the room that is kept for a step; nil for none.
	reservation *reservation
	// held is room that others gave up for a step.
	held heldRoom

	// sentInterference holds the interference that was last sent to the agent.
	sentInterference map[appraiser.Pair]float64

	lastEnd         int
	acknowledgedEnd int
	pendingEnds     []pendingEnd
	failureStreak   int
	streakWorkload  string
	failedAt        time.Time
}

func compareExecutors(a, b *executor) int { return cmp.Compare(a.id, b.id) }

func newExecutor(h *host, record messenger.ExecutorRecord) *executor {
	e := &executor{
		host:             h,
		record:           record,
		id:               record.Id,
		incarnation:      record.Born,
		service:          record.Service,
		dc:               record.DataCentre,
		labels:           map[string]bool{},
		capacity:         record.Capacity.Value(),
		runs:             map[messenger.RunRef]*run{},
		sentInterference: map[appraiser.Pair]float64{},
	}
	for _, label := range record.Labels {
		e.labels[label] = true
		if strings.HasPrefix(label, rackPrefix) && strings.Contains(label, "-") {
			e.rack = label
		}
	}
	return e
}

// removeExecutor removes an incarnation of an executor that is gone and releases its runs.
func (c *Conductor) removeExecutor(now time.Time, e *executor, reason string) {
	c.logger.Info("executor gone", "executor", e.id, "born", e.incarnation, "host", e.host.name, "runs", len(e.runs), "reason", reason)
	for _, run := range e.runs {
		c.releaseLost(now, run, reason)
	}
	delete(c.changedExecutors, e)
	c.appraiser.Forget(e.id)
	c.monitor.Forget(e.id)
	delete(e.host.executors, e.id)
	e.host.sorted = nil
	c.sortedExecutors = nil
	c.inheritedLossesKnown = false
	c.recordHost(now, e.host)
}

// releaseLost releases a run that is lost with its executor.
func (c *Conductor) releaseLost(now time.Time, r *run, reason string) {
	if r.task.current == r {
		c.recordLoss(r.task, r.executor)
	}
	w := r.task.step.occurrence.workload
	idleSince := w.idleSince
	c.release(now, r, reason)
	if !r.confirmedAt.IsZero() {
		// The run may have ended right after the last list of it.
		w.idleSince = later(idleSince, r.executor.reportedAt)
	}
	c.count("runs.lost")
}

// allocate adds the resources of one task of a step for sign 1 and subtracts them for sign -1.
// The processors of best-effort tasks count in bestEffort rather than in allocated.
func (e *executor) allocate(s *step, sign int64) {
	cpu := s.need.ProcessorMillis()
	if s.spec.Fills {
		e.bestEffort += sign * cpu
		cpu = 0
	}
	if s.spec.Lasting && !s.spec.Fills {
		e.longRunning += sign * cpu
		e.longRunningMemory += sign * s.need.MemoryBytes()
	}
	change := apricotwinch.NewResources(sign*cpu, sign*s.need.MemoryBytes(), sign*s.need.Accelerators())
	e.allocated = e.allocated.Add(change)
	if s.short() {
		e.urgent = e.urgent.Add(change)
	}
}

// allExecutors returns the executors of all hosts in order of their ids.
func (c *Conductor) allExecutors() []*executor {
	if c.sortedExecutors == nil {
		c.sortedExecutors = []*executor{}
		for _, h := range c.hosts {
			for _, e := range h.executors {
				c.sortedExecutors = append(c.sortedExecutors, e)
			}
		}
		slices.SortFunc(c.sortedExecutors, compareExecutors)
	}
	return c.sortedExecutors
}

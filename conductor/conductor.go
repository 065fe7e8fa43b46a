// Package conductor makes the scheduling decisions of the owner of all workloads: which
// workloads are accepted, which task starts on which executor and when, which runs are stopped,
// and which change must be durable before it is reported.
//
// The inputs of a Conductor are requests, reports of agents and the time. Its outputs are
// records to append to the journal and orders to send to hosts. It does no I/O, starts no
// goroutine and makes the same decisions for the same inputs. It is not safe for concurrent use.
package conductor

import (
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/appraiser"
	"apricotwinch/cataloger"
	"apricotwinch/estimator"
	"apricotwinch/messenger"
	"apricotwinch/monitor"
)

// Keys of the records in the journal of workloads.
const (
	// KeyOwner is the key of the OwnerRecord.
	KeyOwner        = "owner"
	keySettled      = "settled"
	keyPlacements   = "placements"
	prefixHost      = "h/"
	prefixWork      = "w/"
	prefixProgress  = "p/"
	prefixClaim     = "claim/"
	keyInterference = "presses"
)

// runsPerEpoch is the number of runs of a task that one owner may start: the runs of each epoch have
// numbers of their own, as earlier owners may have started runs that the journal doesn't list. No
// owner starts a task as often as that.
const runsPerEpoch = 1000

// Conductor holds the state of all workloads, hosts and runs that the owner knows, and the
// records and orders that are still to be sent.
type Conductor struct {
	config   Config
	logger   hclog.Logger
	registry metrics.Registry

	epoch int64
	// clean is whether every earlier owner is known to have stopped. settled is whether it is
	// recorded that no earlier owner can act any more, and startedAt when this owner began.
	clean bool
	// onlyPredecessor is whether no owner but the last one may still act.
	onlyPredecessor bool
	settled         bool
	startedAt       time.Time
	// claimedAt is when this entry first knew that its claim was committed. boundedSince is the epoch since
	// which all owners have bounded leases by their proofs, and unboundedEnded is whether those before it
	// couldn't act any more when this owner claimed.
	claimedAt      time.Time
	boundedSince   int64
	unboundedEnded bool
	// epochLog is since when this entry has known of epochs; nil if it doesn't know.
	epochLog EpochLog
	// hostFirstHeardAt is when a host was last heard for the first time, tickedAt when the last tick
	// began, and unsettledAt when this owner was last late itself or most hosts were silent.
	hostFirstHeardAt, tickedAt, unsettledAt time.Time
	// awaitsProof is whether leases have expired that a successor may have renewed.
	awaitsProof bool
	// strayRecords is the number of records of hosts that the last tick wrote anew.
	strayRecords int
	catalog      *cataloger.Catalog
	outOfService map[string]bool
	workloads    map[string]*workload
	scheduled    []*workload
	ended        []*workload
	hosts        map[string]*host
	// sortedExecutors caches the executors in order of their ids; nil after a change.
	sortedExecutors []*executor
	// changedExecutors holds the executors that reported or lost a run since the last pass over the
	// waiting steps.
	changedExecutors map[*executor]bool
	// placementsComplete is whether a task without a placement can't have been started by an earlier
	// owner.
	placementsComplete bool
	// reconciled is whether every executor that the last owner used is listed or provably idle, and
	// runsReconciled is the same for the lists of their runs alone.
	reconciled     bool
	runsReconciled bool
	reconciliation reconciliation
	confirmations  confirmations
	runs           map[messenger.RunRef]*run
	steps          []*step
	// lost holds the tasks whose runs were lost, and may hold others. inheritedLossesKnown is whether it holds
	// those of earlier owners.
	lost                 []*task
	inheritedLossesKnown bool
	// background holds the background runs, and backgroundTriedAt is when all of them were last tried.
	background        map[*run]bool
	backgroundTriedAt time.Time
	// waits holds the waits of long-running tasks, and those that have ended since waitsCheckedAt, when
	// they were last looked at.
	waits          []*wait
	waitsCheckedAt time.Time
	// withoutRunLoggedAt is when workloads without a run were last logged.
	withoutRunLoggedAt time.Time
	appraiser          *appraiser.Appraiser
	monitor            *monitor.Monitor
	durations          durations
	// progress is a buffer for the progress of the runs of one executor.
	progress               []monitor.Progress
	interferenceRecordedAt time.Time
	loggedInterference     map[appraiser.Pair]float64
	rankedAt               time.Time
	ordering               ordering
	movedAt                time.Time
	rescuedAt              time.Time

	reserve    reserve
	backfill   backfill
	preemption preemption

	pendingRequest *AdviceRequest
	requestSent    bool
	adviceFailures int
	nextAdviceAt   time.Time

	// sequence is the number of the last append that was taken, durable that of the last one that
	// is durable.
	sequence int64
	durable  int64
	// openTasks is the number of tasks of the workloads that have not ended, and unsentBytes the length of the
	// records of those whose acceptance the next append makes durable.
	openTasks, unsentBytes int
	// heldBytes is the length of the records of the workloads that have not ended.
	heldBytes int
	// urgent is whether the pending records must be written at once.
	urgent  bool
	dirty   []*workload
	records []appender.KeyedRecord
	orders  map[string]*messenger.Orders
	// lastOrders is the number of the last orders. The numbers rise across all hosts, so that they do
	// for an agent whatever its host's past.
	lastOrders int
	// heldStarts holds the starts that wait for the placements of their tasks.
	heldStarts []heldStart
	// heldCheckedThrough is the number of the last durable append when the held starts were last looked at,
	// and heldReleased is whether a run of one was released since.
	heldCheckedThrough int64
	heldReleased       bool
	admission          admission
}

// New returns a conductor for the owner with the given epoch. clean is whether the last owner is
// known to have stopped; Restore finds out whether those before it have, too.
func New(config Config, epoch int64, clean bool, logger hclog.Logger, registry metrics.Registry) *Conductor {
	return &Conductor{
		config:       config,
		logger:       logger,
		registry:     registry,
		epoch:        epoch,
		clean:        clean,
		outOfService: map[string]bool{},
		workloads:    map[string]*workload{},
		hosts:        map[string]*host{},
		runs:         map[messenger.RunRef]*run{},
		orders:       map[string]*messenger.Orders{},
		background:   map[*run]bool{},

		reserve:            newReserve(),
		backfill:           newBackfill(),
		preemption:         preemption{urgentShortAt: map[string]time.Time{}},
		changedExecutors:   map[*executor]bool{},
		appraiser:          appraiser.New(appraiser.DefaultConfig()),
		monitor:            monitor.New(monitor.DefaultConfig()),
		ordering:           newOrdering(),
		durations:          durations{estimates: estimator.NewDurations(estimator.DefaultDurationsConfig())},
		loggedInterference: map[appraiser.Pair]float64{},
		admission:          newAdmission(),
	}
}

// Epoch returns the owner's epoch.
func (c *Conductor) Epoch() int64 { return c.epoch }

func newWorkload(queue, id string, spec messenger.WorkloadSpec, epoch int64, at time.Time) *workload {
	w := &workload{id: id, queue: queue, spec: spec, epoch: epoch, acceptedAt: at, state: messenger.WorkloadQueued, unstarted: true}
	if w.spec.Repeats <= 0 {
		w.addOccurrence().due = true
		w.dueCount = 1
	}
	return w
}

// insert adds a workload to the tables and queues its steps that are ready. Those of a scheduled
// workload are queued as its occurrences are due.
func (c *Conductor) insert(now time.Time, w *workload) {
	c.workloads[w.id] = w
	w.priority, w.callers = c.priorityOf(w), callersOf(w)
	if w.terminal() {
		return
	}
	c.heldBytes += w.recordBytes
	c.holdNew(now, w)
	w.taskCount = countTasks(&w.spec)
	c.openTasks += w.taskCount
	if w.spec.Repeats > 0 {
		c.scheduled = append(c.scheduled, w)
	}
	c.trackLoad(w)
	for _, o := range w.occurrences {
		c.enqueue(now, o)
	}
}

// SetCatalog sets the configuration of the queues. A version that is not later than the current
// one is ignored.
func (c *Conductor) SetCatalog(catalog *cataloger.Catalog) {
	if c.catalog != nil && catalog.Version() <= c.catalog.Version() {
		return
	}
	c.catalog = catalog
	for _, w := range c.workloads {
		w.priority = c.priorityOf(w)
	}
	c.resetLoads()
	slices.SortStableFunc(c.steps, compareSteps)
	c.unblockSteps()
}

// SetOutOfService sets the data centres that are out of service; no task starts there.
func (c *Conductor) SetOutOfService(out map[string]bool) {
	c.outOfService = out
	c.unblockSteps()
}

// Submit accepts a workload. It returns the number of the append that must be durable before the
// acceptance is reported to the caller; for an id that is known already, that of its latest
// change. The error is Invalid, and names the field, when the request has no spec or a bad one, TooLarge for
// one that the store wouldn't take, and Overloaded when a workload that isn't known can't end in time to help
// its caller, or there is no room for it in the journal's next append or in memory.
func (c *Conductor) Submit(now time.Time, request messenger.WorkloadRequest) (int64, error) {
	if w, ok := c.workloads[request.Id]; ok {
		return w.durableAt, nil
	}
	if request.Spec == nil {
		return 0, apricotwinch.Errorf(apricotwinch.Invalid, "spec: is missing")
	}
	if err := checkSpec(request.Spec); err != nil {
		return 0, err
	}
	size, err := c.checkSize(now, request)
	if err != nil {
		return 0, err
	}
	w := newWorkload(request.Queue, request.Id, *request.Spec, c.epoch, now)
	w.dataCentre = request.DataCentre
	if err := c.admit(now, w); err != nil {
		return 0, err
	}
	w.dirtySpec, w.recordBytes = true, size.recordBytes
	c.unsentBytes += size.recordBytes
	c.insert(now, w)
	c.markDirty(w, true)
	c.count("workloads.accepted")
	c.logger.Info("workload accepted", "workload", w.id, "queue", w.queue, "steps", len(w.spec.Steps), "tasks", w.taskCount, "processorMillis", w.processors(),
		"lasting", w.lasts(), "write", w.durableAt)
	return w.durableAt, nil
}

// Cancel cancels a workload. It returns the number of the append that must be durable before the
// cancellation is reported to the caller. The error is NotFound for an unknown workload.
func (c *Conductor) Cancel(now time.Time, id string) (int64, error) {
	w, ok := c.workloads[id]
	if !ok {
		return 0, apricotwinch.Errorf(apricotwinch.NotFound, "workload: %s is not known", id)
	}
	if !w.terminal() {
		c.logger.Info("workload canceled", "workload", id, "state", w.state)
		c.endWorkload(now, w, messenger.WorkloadCanceled)
	}
	return w.durableAt, nil
}

// WorkloadState returns the durable state of a workload. The error is NotFound when the workload is
// unknown or not durable yet.
func (c *Conductor) WorkloadState(id string) (string, error) {
	w, ok := c.workloads[id]
	if !ok || w.durableState == "" {
		return "", apricotwinch.Errorf(apricotwinch.NotFound, "workload: %s is not known", id)
	}
	if w.durableState == messenger.WorkloadQueued && !w.unstarted {
		return messenger.WorkloadRunning, nil
	}
	return w.durableState, nil
}

// CountWaiting returns the number of accepted workloads of a queue that have started no task.
func (c *Conductor) CountWaiting(queue string) int {
	n := 0
	for _, w := range c.workloads {
		if w.queue == queue && w.unstarted && !w.terminal() {
			n++
		}
	}
	return n
}

// endWorkload sets a terminal state and stops the runs of the workload.
func (c *Conductor) endWorkload(now time.Time, w *workload, state string) {
	c.openTasks -= w.taskCount
	w.taskCount = 0
	c.heldBytes -= w.recordBytes
	w.recordBytes = 0
	w.state = state
	w.endedAt = now
	w.dirtyEnd = true
	c.ended = append(c.ended, w)
	for _, o := range w.occurrences {
		for _, t := range o.tasks() {
			c.stopRuns(now, t)
		}
	}
	c.markDirty(w, true)
	c.count("workloads." + state)
}

// IsKnown reports whether a workload is known, durable or not.
func (c *Conductor) IsKnown(id string) bool { return c.workloads[id] != nil }

// IsDurable reports whether the acceptance of a workload is durable.
func (c *Conductor) IsDurable(id string) bool {
	w := c.workloads[id]
	return w != nil && w.durableState != ""
}

// TakeOrders returns the pending orders by the name of the host and clears them.
func (c *Conductor) TakeOrders() map[string]*messenger.Orders {
	orders := c.orders
	c.orders = map[string]*messenger.Orders{}
	return orders
}

func (c *Conductor) count(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

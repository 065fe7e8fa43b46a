// Package conductor decides for the owner of all workloads: what is accepted,
// which task starts where and when, what is stopped, and what must be durable
// before anyone is told.
//
// A Conductor is fed requests, the reports of agents and the time. It returns
// records to append and orders to send. It does no I/O, starts no goroutine and
// gives the same decisions for the same events. It is not safe for concurrent use.
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
	"apricotwinch/messenger"
	"apricotwinch/monitor"
)

// Keys of the journal of work.
const (
	// KeyOwner holds an OwnerRecord.
	KeyOwner       = "owner"
	prefixHost     = "h/"
	prefixWork     = "w/"
	prefixProgress = "p/"
	keyPresses     = "presses"
)

// inheritedRuns is the distance between the highest run that an owner knows of
// a task that an earlier one may have started, and the run that it starts. No
// task is started so often under one owner.
const inheritedRuns = 1000

// Conductor is the state of all workloads at their owner.
type Conductor struct {
	config   Config
	logger   hclog.Logger
	registry metrics.Registry

	epoch     int64
	clean     bool
	catalog   *cataloger.Catalog
	out       map[string]bool
	jobs      map[string]*workload
	scheduled []*workload
	ended     []*workload
	hosts     map[string]*host
	// sorted holds the executors in order of their ids; nil after a change.
	sorted    []*executor
	isSettled bool
	runs      map[messenger.RunRef]*run
	steps     []*step
	appraiser *appraiser.Appraiser
	monitor   *monitor.Monitor
	pressedAt time.Time
	logged    map[appraiser.Pair]float64
	rankedAt  time.Time
	movedAt   time.Time
	rescuedAt time.Time

	question      *Question
	questionTaken bool
	askFailures   int
	askAgainAt    time.Time

	sequence int64
	durable  int64
	urgent   bool
	dirty    []*workload
	records  []appender.KeyedRecord
	orders   map[string]*messenger.Orders
}

// New returns the conductor of an owner. A clean start is one whose last owner is
// known to have stopped.
func New(config Config, epoch int64, clean bool, logger hclog.Logger, registry metrics.Registry) *Conductor {
	return &Conductor{
		config:   config,
		logger:   logger,
		registry: registry,
		epoch:    epoch,
		clean:    clean,
		out:      map[string]bool{},
		jobs:     map[string]*workload{},
		hosts:    map[string]*host{},
		runs:     map[messenger.RunRef]*run{},
		orders:   map[string]*messenger.Orders{},

		appraiser: appraiser.New(appraiser.DefaultConfig()),
		monitor:   monitor.New(monitor.DefaultConfig()),
		logged:    map[appraiser.Pair]float64{},
	}
}

// Epoch returns the owner's epoch.
func (c *Conductor) Epoch() int64 { return c.epoch }

func newWorkload(queue, id string, spec messenger.WorkloadSpec, epoch int64, at time.Time) *workload {
	w := &workload{id: id, queue: queue, spec: spec, epoch: epoch, acceptedAt: at, state: messenger.WorkloadQueued, unstarted: true}
	if w.spec.Repeats <= 0 {
		w.grow()
	}
	return w
}

// insert takes a workload into the tables and queues what is due of it.
func (c *Conductor) insert(now time.Time, w *workload) {
	c.jobs[w.id] = w
	w.priority = c.priorityOf(w)
	if w.terminal() {
		return
	}
	if w.spec.Repeats > 0 {
		c.scheduled = append(c.scheduled, w)
	}
	for _, o := range w.occurrences {
		c.enqueue(now, o)
	}
}

// SetCatalog takes a version of the configuration.
func (c *Conductor) SetCatalog(catalog *cataloger.Catalog) {
	if c.catalog != nil && catalog.Version() <= c.catalog.Version() {
		return
	}
	c.catalog = catalog
	for _, w := range c.jobs {
		w.priority = c.priorityOf(w)
	}
	slices.SortStableFunc(c.steps, compareSteps)
}

// SetOut takes the data centres that are out of service.
func (c *Conductor) SetOut(out map[string]bool) { c.out = out }

// Submit hands in a workload. It returns the write that must be durable before
// the caller is told that the workload was accepted.
func (c *Conductor) Submit(now time.Time, request messenger.WorkloadRequest) (int64, error) {
	if w, ok := c.jobs[request.Id]; ok {
		return w.durableAt, nil
	}
	if request.Spec == nil {
		return 0, apricotwinch.Errorf(apricotwinch.Invalid, "spec: is missing")
	}
	w := newWorkload(request.Queue, request.Id, *request.Spec, c.epoch, now)
	w.dirtySpec = true
	c.insert(now, w)
	c.touch(w, true)
	c.count("workloads.accepted")
	c.logger.Info("workload accepted", "workload", w.id, "queue", w.queue, "steps", len(w.spec.Steps), "write", w.durableAt)
	return w.durableAt, nil
}

// Cancel cancels a workload. It returns the write that must be durable before
// the caller is told.
func (c *Conductor) Cancel(now time.Time, id string) (int64, error) {
	w, ok := c.jobs[id]
	if !ok {
		return 0, apricotwinch.Errorf(apricotwinch.NotFound, "workload: %s is not known", id)
	}
	if !w.terminal() {
		c.logger.Info("workload canceled", "workload", id, "state", w.state)
		c.end(now, w, messenger.WorkloadCanceled)
	}
	return w.durableAt, nil
}

// Show returns the state of a workload that is durable.
func (c *Conductor) Show(id string) (string, error) {
	w, ok := c.jobs[id]
	if !ok || w.shown == "" {
		return "", apricotwinch.Errorf(apricotwinch.NotFound, "workload: %s is not known", id)
	}
	if w.shown == messenger.WorkloadQueued && !w.unstarted {
		return messenger.WorkloadRunning, nil
	}
	return w.shown, nil
}

// Waiting returns how many accepted workloads of a queue have started no task.
func (c *Conductor) Waiting(queue string) int {
	n := 0
	for _, w := range c.jobs {
		if w.queue == queue && w.unstarted && !w.terminal() {
			n++
		}
	}
	return n
}

// end puts a workload into a terminal state and stops what runs of it.
func (c *Conductor) end(now time.Time, w *workload, state string) {
	w.state = state
	w.endedAt = now
	w.dirtyEnd = true
	c.ended = append(c.ended, w)
	for _, o := range w.occurrences {
		for _, t := range o.tasks() {
			c.stopRuns(t)
		}
	}
	c.touch(w, true)
	c.count("workloads." + state)
}

// Known reports whether a workload is known, durable or not.
func (c *Conductor) Known(id string) bool { return c.jobs[id] != nil }

// TakeOrders returns the orders that wait for hosts, by the name of the host.
func (c *Conductor) TakeOrders() map[string]*messenger.Orders {
	orders := c.orders
	c.orders = map[string]*messenger.Orders{}
	return orders
}

func (c *Conductor) count(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

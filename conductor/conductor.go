// Package conductor decides for the owner of all workloads: what is accepted,
// which task starts where and when, what is stopped, and what must be durable
// before anyone is told.
//
// A Conductor is fed requests, the reports of agents and the time. It returns
// records to append and orders to send. It does no I/O, starts no goroutine and
// gives the same decisions for the same events. It is not safe for concurrent use.
package conductor

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/appraiser"
	"apricotwinch/cataloger"
	"apricotwinch/messenger"
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
	startAt   time.Time
	clean     bool
	catalog   *cataloger.Catalog
	out       map[string]bool
	jobs      map[string]*workload
	scheduled []*workload
	ended     []*workload
	hosts     map[string]*host
	runs      map[messenger.RunRef]*run
	steps     []*step
	appraiser *appraiser.Appraiser
	pressedAt time.Time
	logged    map[appraiser.Pair]float64
	rankedAt  time.Time
	movedAt   time.Time

	sequence int64
	durable  int64
	urgent   bool
	dirty    []*workload
	records  []appender.KeyedRecord
	orders   map[string]*messenger.Orders
}

// New returns the conductor of an owner whose epoch began at now. A clean start
// is one whose last owner is known to have stopped.
func New(now time.Time, config Config, epoch int64, clean bool, logger hclog.Logger, registry metrics.Registry) *Conductor {
	return &Conductor{
		config:   config,
		logger:   logger,
		registry: registry,
		epoch:    epoch,
		startAt:  now,
		clean:    clean,
		out:      map[string]bool{},
		jobs:     map[string]*workload{},
		hosts:    map[string]*host{},
		runs:     map[messenger.RunRef]*run{},
		orders:   map[string]*messenger.Orders{},

		appraiser: appraiser.New(appraiser.DefaultConfig()),
		logged:    map[appraiser.Pair]float64{},
	}
}

// Epoch returns the owner's epoch.
func (c *Conductor) Epoch() int64 { return c.epoch }

// Restore takes the newest records of the journal, once, before anything else.
func (c *Conductor) Restore(now time.Time, records []appender.KeyedRecord) error {
	progress := map[string]messenger.ProgressRecord{}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key(), prefixProgress); ok {
			var p messenger.ProgressRecord
			if err := json.Unmarshal(r.Value(), &p); err != nil {
				return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
			}
			progress[id] = p
		}
	}
	for _, r := range records {
		if err := c.restore(now, r, progress); err != nil {
			return err
		}
	}
	slices.SortFunc(c.steps, compareSteps)
	return nil
}

func (c *Conductor) restore(now time.Time, r appender.KeyedRecord, progress map[string]messenger.ProgressRecord) error {
	if name, ok := strings.CutPrefix(r.Key(), prefixHost); ok {
		var record messenger.HostRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
		}
		h := newHost(now, name, record.Address)
		for _, r := range record.Executors {
			e := newExecutor(h, r)
			e.durable = true
			e.leasedTo = c.inheritedUntil(now)
			h.executors[e.id] = e
		}
		c.hosts[name] = h
		return nil
	}
	if r.Key() == keyPresses {
		return c.restorePresses(r)
	}
	if !strings.HasPrefix(r.Key(), prefixWork) {
		return nil
	}
	return c.restoreWork(now, r, progress)
}

func (c *Conductor) restoreWork(now time.Time, r appender.KeyedRecord, progress map[string]messenger.ProgressRecord) error {
	var record messenger.WorkloadRecord
	if err := json.Unmarshal(r.Value(), &record); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
	}
	w := newWorkload(record.Queue, record.Id, record.Spec, int64(record.Epoch), time.UnixMilli(int64(record.AcceptedMillis)))
	if p, ok := progress[record.Id]; ok {
		if err := w.restore(p); err != nil {
			return err
		}
	}
	w.shown = w.state
	w.unstarted = w.state == messenger.WorkloadQueued
	c.insert(now, w)
	if w.terminal() {
		c.ended = append(c.ended, w)
		return nil
	}
	for _, o := range w.occurrences {
		for _, t := range o.tasks() {
			t.inherited = true
		}
	}
	return nil
}

// inheritedUntil returns when the runs of a host that the last owner used have
// provably ended, if the host stays silent.
func (c *Conductor) inheritedUntil(now time.Time) time.Time {
	until := now.Add(c.config.Lease + c.config.Margin)
	if !c.clean {
		until = until.Add(c.config.Authority)
	}
	return until
}

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
	for _, s := range c.steps {
		s.occurrence.work.rank(c)
	}
	slices.SortFunc(c.steps, compareSteps)
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
	if c.catalog != nil {
		if q, ok := c.catalog.Queue(request.Queue); ok && q.Advised {
			return 0, apricotwinch.Errorf(apricotwinch.NoTarget, "queue: %s needs tickets of an advice service, which is not supported", q.Name)
		}
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
	c.ended = append(c.ended, w)
	for _, o := range w.occurrences {
		for _, t := range o.tasks() {
			if t.current != nil {
				c.stop(t.current)
			}
		}
	}
	c.touch(w, true)
	c.count("workloads." + state)
}

// touch notes that a workload's progress must be written; urgent means at once.
func (c *Conductor) touch(w *workload, urgent bool) {
	if !w.dirty {
		w.dirty = true
		c.dirty = append(c.dirty, w)
	}
	w.durableAt = c.sequence + 1
	c.urgent = c.urgent || urgent
}

// Wants reports whether there is something to write, and whether it is urgent.
func (c *Conductor) Wants() (any, urgent bool) {
	return len(c.dirty) > 0 || len(c.records) > 0, c.urgent
}

// TakeWrites returns the records of the next append and its number.
func (c *Conductor) TakeWrites() ([]appender.KeyedRecord, int64) {
	c.sequence++
	records := c.records
	for _, w := range c.dirty {
		if w.dirtySpec {
			records = append(records, encode(prefixWork+w.id, messenger.WorkloadRecord{
				Queue: w.queue, Id: w.id, Epoch: int(w.epoch), Spec: w.spec, AcceptedMillis: int(w.acceptedAt.UnixMilli()),
			}))
			w.dirtySpec = false
		}
		records = append(records, encode(prefixProgress+w.id, w.progress()))
		w.dirty = false
	}
	c.dirty = nil
	c.records = nil
	c.urgent = false
	return records, c.sequence
}

// Withdraw takes back what was handed in and not sent to the store yet; none of
// it has run or ever will. It returns how many workloads that were.
func (c *Conductor) Withdraw() int {
	kept := c.dirty[:0]
	withdrawn := 0
	for _, w := range c.dirty {
		if !w.dirtySpec {
			kept = append(kept, w)
			continue
		}
		c.logger.Info("workload withdrawn", "workload", w.id, "queue", w.queue)
		c.count("workloads.withdrawn")
		w.state = messenger.WorkloadCanceled
		delete(c.jobs, w.id)
		withdrawn++
	}
	c.dirty = kept
	return withdrawn
}

// Undo takes back an append that the store provably did not carry out: what it
// held is written again, but for workloads that were in it for the first time.
func (c *Conductor) Undo(records []appender.KeyedRecord) {
	for _, r := range records {
		if strings.HasPrefix(r.Key(), prefixWork) && len(r.Value()) > 0 {
			if w := c.jobs[strings.TrimPrefix(r.Key(), prefixWork)]; w != nil {
				w.dirtySpec = true
				c.touch(w, true)
			}
			continue
		}
		id, ok := strings.CutPrefix(r.Key(), prefixProgress)
		if !ok || len(r.Value()) == 0 {
			c.records = append(c.records, r)
			continue
		}
		if w := c.jobs[id]; w != nil {
			c.touch(w, true)
		}
	}
	c.Withdraw()
}

// Known reports whether a workload is known, durable or not.
func (c *Conductor) Known(id string) bool { return c.jobs[id] != nil }

// encode returns a record; the types of records always encode.
func encode(key string, value any) appender.KeyedRecord {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return appender.NewKeyedRecord(key, data)
}

// Written takes that the append with a number, and all before it, are durable.
func (c *Conductor) Written(number int64, records []appender.KeyedRecord) {
	c.durable = number
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key(), prefixHost); ok {
			c.hostWritten(name, r.Value())
		}
		id, ok := strings.CutPrefix(r.Key(), prefixProgress)
		if !ok {
			continue
		}
		if w := c.jobs[id]; w != nil && w.durableAt <= number {
			w.shown = w.state
		} else if w != nil && w.shown == "" {
			w.shown = messenger.WorkloadQueued
		}
	}
	for _, h := range c.hosts {
		for _, e := range h.executors {
			c.acknowledge(h, e)
		}
	}
}

// hostWritten takes that a host's record is durable, with the executors in it.
func (c *Conductor) hostWritten(name string, value []byte) {
	h := c.hosts[name]
	var record messenger.HostRecord
	if h == nil || json.Unmarshal(value, &record) != nil {
		return
	}
	for _, r := range record.Executors {
		if e := h.executors[r.Id]; e != nil && e.born == r.Born {
			e.durable = true
		}
	}
}

// Durable returns the number of the last append that is durable.
func (c *Conductor) Durable() int64 { return c.durable }

// TakeOrders returns the orders that wait for hosts, by the address of the agent.
func (c *Conductor) TakeOrders() map[string]*messenger.Orders {
	orders := c.orders
	c.orders = map[string]*messenger.Orders{}
	return orders
}

func (c *Conductor) count(name string) {
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

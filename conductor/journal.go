package conductor

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/messenger"
)

// Restore loads the latest records of the journal. It must be called at most once, before any
// other method. It returns an error of the kind Invalid for each record that can't be decoded
// or applied, and skips these records: one odd record may not keep every entry from owning the
// workloads.
func (c *Conductor) Restore(now time.Time, records []appender.KeyedRecord) []error {
	var errs []error
	c.startedAt = now
	if c.claimedAt.IsZero() || c.claimedAt.After(now) {
		c.claimedAt = now
	}
	settled, err := settledEpoch(records)
	if err != nil {
		errs = append(errs, err)
	}
	c.onlyPredecessor = c.epoch == 1 || settled == c.epoch-1
	c.clean = c.clean && c.onlyPredecessor
	progress := map[string]messenger.ProgressRecord{}
	unreadable := map[string]bool{}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key(), prefixProgress); ok {
			var p messenger.ProgressRecord
			if err := json.Unmarshal(r.Value(), &p); err != nil {
				errs = append(errs, apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err))
				unreadable[prefixWork+id] = true
				continue
			}
			progress[id] = p
		}
	}
	var late []inheritedLateStart
	for _, r := range records {
		if unreadable[r.Key()] {
			continue // Without its progress, its tasks would run again.
		}
		if err := c.restore(now, r, progress, &late); err != nil {
			errs = append(errs, err)
		}
	}
	last, err := lastPlacementsRecord(records)
	if err != nil {
		errs = append(errs, err)
	}
	last, allHeld, err := c.restoreClaims(records, last)
	if err != nil {
		errs = append(errs, err)
	}
	c.restoreBounds(last, settled)
	c.restorePlacements(last, allHeld)
	c.restoreLateStarts(now, late)
	c.restoreLeases()
	c.restoreSuspensions(last)
	slices.SortFunc(c.steps, compareSteps)
	return errs
}

// restore loads one record. It adds to late what the record of a host says of runs that may start late.
func (c *Conductor) restore(now time.Time, r appender.KeyedRecord, progress map[string]messenger.ProgressRecord, late *[]inheritedLateStart) error {
	if name, ok := strings.CutPrefix(r.Key(), prefixHost); ok {
		var record messenger.HostRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
		}
		h := newHost(now, name, record.Address)
		h.suspension.epoch, h.suspension.alone = int64(record.SuspendedIn), record.SuspendedAlone
		h.lengths.recorded = record.LeaseLengths
		for _, r := range record.Executors {
			stray := recordedTime{millis: r.StrayLeaseMillis, epoch: r.StrayLeaseIn}
			starts := r.LateStarts
			r.StrayLeaseMillis, r.StrayLeaseIn, r.LateStarts = 0, 0, nil
			e := newExecutor(h, r)
			for _, start := range starts {
				*late = append(*late, inheritedLateStart{executor: e, record: start})
				h.lateStartsRecorded = append(h.lateStartsRecorded, start.Run)
			}
			e.durable = true
			c.inheritStrayLease(e, stray, record.StrayLeases)
			h.executors[e.id] = e
			c.reconciliation.inherited++
		}
		c.hosts[name] = h
		return nil
	}
	if r.Key() == keyInterference {
		return c.restoreInterference(r)
	}
	if r.Key() == keyDurations {
		return c.restoreDurations(now, r)
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
	// The record of a workload that has ended has no spec.
	if p := progress[record.Id]; p.EndedMillis == 0 {
		if err := checkSpec(&record.Spec); err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
		}
	}
	w := newWorkload(record.Queue, record.Id, record.Spec, int64(record.Epoch), time.UnixMilli(int64(record.AcceptedMillis)))
	w.dataCentre = record.DataCentre
	w.recordBytes = len(r.Key()) + len(r.Value())
	w.inherited = true
	if p, ok := progress[record.Id]; ok {
		if err := w.restore(p); err != nil {
			return err
		}
	}
	w.durableState = w.state
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

// RecordPredecessorStopped records that the last owner is known to have stopped by now, so that what it
// granted ends by its length from now. That shortens only leases that weren't bounded.
func (c *Conductor) RecordPredecessorStopped(now time.Time) {
	if c.clean || !c.onlyPredecessor {
		return
	}
	c.clean = true
	end := now.Add(c.config.Lease + c.config.Margin)
	shortened := 0
	for _, e := range c.allExecutors() {
		if e.shortenLease(end) {
			shortened++
		}
	}
	c.logger.Info("predecessor stopped", "epoch", c.epoch, "elapsedMillis", now.Sub(c.startedAt).Milliseconds(), "executors", shortened)
}

// settledEpoch returns the epoch of the last owner that recorded that no earlier owner could act
// any more; 0 if there is none. The error is Invalid for a record that can't be decoded.
func settledEpoch(records []appender.KeyedRecord) (int64, error) {
	for _, r := range records {
		if r.Key() != keySettled {
			continue
		}
		var record messenger.SettledRecord
		if err := json.Unmarshal(r.Value(), &record); err != nil {
			return 0, apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
		}
		return int64(record.Epoch), nil
	}
	return 0, nil
}

// recordSettled queues, once, a write of the record that no earlier owner can act any more. The
// next owner may otherwise find this one stopped while one before it still acts.
func (c *Conductor) recordSettled(now time.Time) {
	if c.settled || !c.clean && now.Sub(c.claimedAt) < c.config.Authority {
		return
	}
	c.settled = true
	c.records = append(c.records, encode(keySettled, messenger.SettledRecord{Epoch: int(c.epoch)}))
}

// RecordOwner queues an urgent write of the owner's record.
func (c *Conductor) RecordOwner(member messenger.Member) {
	c.records = append(c.records, encode(KeyOwner, messenger.OwnerRecord{Member: member, Epoch: int(c.epoch)}))
	c.urgent = true
}

// markDirty marks the progress of a workload as to be written; urgent requests that it is
// written at once.
func (c *Conductor) markDirty(w *workload, urgent bool) {
	if !w.dirty {
		w.dirty = true
		c.dirty = append(c.dirty, w)
	}
	w.durableAt = c.sequence + 1
	c.urgent = c.urgent || urgent
}

// PendingWrites reports whether there are records to write, and whether they are urgent.
func (c *Conductor) PendingWrites() (pending, urgent bool) {
	return len(c.dirty) > 0 || len(c.records) > 0, c.urgent
}

// TakeWrites returns the records of the next append and its number, and clears them.
func (c *Conductor) TakeWrites() ([]appender.KeyedRecord, int64) {
	c.sequence++
	records := c.records
	for _, w := range c.dirty {
		if w.dirtySpec || w.dirtyEnd {
			records = append(records, encode(prefixWork+w.id, w.workloadRecord()))
		}
		w.dirtySpec, w.dirtyEnd = false, false
		records = append(records, encode(prefixProgress+w.id, w.progressRecord()))
		w.dirty = false
	}
	c.dirty = nil
	c.records = nil
	c.unsentBytes = 0
	c.urgent = false
	return records, c.sequence
}

// workloadRecord returns the durable record of the workload as it was submitted. It omits the
// spec of a workload that has ended, to keep the journal short for the next owner.
func (w *workload) workloadRecord() messenger.WorkloadRecord {
	record := messenger.WorkloadRecord{Queue: w.queue, Id: w.id, Epoch: int(w.epoch), AcceptedMillis: int(w.acceptedAt.UnixMilli()), DataCentre: w.dataCentre}
	if !w.terminal() {
		record.Spec = w.spec
	}
	return record
}

// WithdrawUnsent removes the workloads that were submitted but not sent to the store yet; none of
// them has run or will run, as their starts are held. It returns their number.
func (c *Conductor) WithdrawUnsent(now time.Time) int {
	return c.withdraw(now, func(*workload) bool { return true })
}

// WithdrawIfUnsent is WithdrawUnsent for one workload, and reports whether it was withdrawn.
func (c *Conductor) WithdrawIfUnsent(now time.Time, id string) bool {
	return c.withdraw(now, func(w *workload) bool { return w.id == id }) > 0
}

// withdraw removes the workloads that were not sent to the store yet and match, and returns their number.
func (c *Conductor) withdraw(now time.Time, match func(*workload) bool) int {
	kept := c.dirty[:0]
	withdrawn := 0
	for _, w := range c.dirty {
		if !w.dirtySpec || !match(w) {
			kept = append(kept, w)
			continue
		}
		c.logger.Info("workload withdrawn", "workload", w.id, "queue", w.queue)
		c.count("workloads.withdrawn")
		if w.terminal() {
			// Its id may be submitted again.
			c.ended = slices.DeleteFunc(c.ended, func(ended *workload) bool { return ended == w })
		}
		c.openTasks -= w.taskCount
		w.taskCount = 0
		c.unsentBytes = max(0, c.unsentBytes-w.recordBytes)
		c.heldBytes -= w.recordBytes
		w.state = messenger.WorkloadCanceled
		for _, o := range w.occurrences {
			for _, t := range o.tasks() {
				c.stopRuns(now, t)
			}
		}
		delete(c.workloads, w.id)
		withdrawn++
	}
	c.dirty = kept
	return withdrawn
}

// RevertAppend reverts an append that the store provably did not carry out: its changes are written
// again, except for workloads that were new in it. These are withdrawn, as are those that were
// submitted since.
func (c *Conductor) RevertAppend(now time.Time, records []appender.KeyedRecord) {
	var reverted []appender.KeyedRecord
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key(), prefixWork); ok && len(r.Value()) > 0 {
			if w := c.workloads[id]; w != nil {
				w.dirtySpec = w.durableState == ""
				w.dirtyEnd = w.terminal()
				c.markDirty(w, true)
			}
			continue
		}
		id, ok := strings.CutPrefix(r.Key(), prefixProgress)
		if !ok || len(r.Value()) == 0 {
			reverted = append(reverted, r)
			continue
		}
		if w := c.workloads[id]; w != nil {
			c.markDirty(w, true)
		}
	}
	// The last record of a key counts: those queued since the append must stay behind it.
	c.records = append(reverted, c.records...)
	c.WithdrawUnsent(now)
}

// encode returns a record with the value in JSON. It panics on an error, as the types of records
// can always be encoded.
func encode(key string, value any) appender.KeyedRecord {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return appender.NewKeyedRecord(key, data)
}

// AppendCommitted records that the append with the given number, and all before it, are durable.
func (c *Conductor) AppendCommitted(number int64, records []appender.KeyedRecord) {
	c.durable = number
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key(), prefixHost); ok {
			c.hostWritten(name, r.Value())
		}
		id, ok := strings.CutPrefix(r.Key(), prefixProgress)
		if !ok {
			continue
		}
		if w := c.workloads[id]; w != nil && w.durableAt <= number {
			w.durableState = w.state
			w.trim()
		} else if w != nil && w.durableState == "" {
			w.durableState = messenger.WorkloadQueued
		}
	}
	for _, h := range c.hosts {
		for _, e := range h.executors {
			c.acknowledge(h, e)
		}
	}
}

// hostWritten marks the executors in a host's record as durable.
func (c *Conductor) hostWritten(name string, value []byte) {
	h := c.hosts[name]
	var record messenger.HostRecord
	if h == nil || json.Unmarshal(value, &record) != nil {
		return
	}
	for _, r := range record.Executors {
		if e := h.executors[r.Id]; e != nil && e.incarnation == r.Born {
			e.durable = true
			c.changedExecutors[e] = true
		}
	}
}

// Durable returns the number of the last durable append.
func (c *Conductor) Durable() int64 { return c.durable }

// LastAppend returns the number of the append that makes all changes so far durable.
func (c *Conductor) LastAppend() int64 {
	if pending, _ := c.PendingWrites(); pending {
		return c.sequence + 1
	}
	return c.sequence
}

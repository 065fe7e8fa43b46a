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
		if w.dirtySpec || w.dirtyEnd {
			records = append(records, encode(prefixWork+w.id, w.record()))
		}
		w.dirtySpec, w.dirtyEnd = false, false
		records = append(records, encode(prefixProgress+w.id, w.progress()))
		w.dirty = false
	}
	c.dirty = nil
	c.records = nil
	c.urgent = false
	return records, c.sequence
}

// record returns what must last of the workload as it was handed in; of one that has
// ended only that it was, which keeps the journal short for the next owner.
func (w *workload) record() messenger.WorkloadRecord {
	record := messenger.WorkloadRecord{Queue: w.queue, Id: w.id, Epoch: int(w.epoch), AcceptedMillis: int(w.acceptedAt.UnixMilli())}
	if !w.terminal() {
		record.Spec = w.spec
	}
	return record
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
		if id, ok := strings.CutPrefix(r.Key(), prefixWork); ok && len(r.Value()) > 0 {
			if w := c.jobs[id]; w != nil {
				w.dirtySpec = w.shown == ""
				w.dirtyEnd = w.terminal()
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

// LastWrite returns the number of the append that holds all that has changed so far.
func (c *Conductor) LastWrite() int64 {
	if any, _ := c.Wants(); any {
		return c.sequence + 1
	}
	return c.sequence
}

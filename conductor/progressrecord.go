package conductor

import (
	"encoding/base64"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// progressRecord returns the durable record of the workload's progress.
func (w *workload) progressRecord() messenger.ProgressRecord {
	record := messenger.ProgressRecord{State: w.state}
	if !w.endedAt.IsZero() {
		record.EndedMillis = int(w.endedAt.UnixMilli())
	}
	if w.terminal() {
		return record
	}
	for n, o := range w.occurrences {
		all := o.tasks()
		bits := make([]byte, (len(all)+7)/8)
		p := messenger.OccurrenceProgress{Occurrence: n, Placements: placementsOf(all)}
		hasProgress := len(p.Placements) > 0
		for i, t := range all {
			switch {
			case t.done:
				bits[i/8] |= 1 << (i % 8)
				hasProgress = true
			case len(t.failed) > 0 || t.checkpoint != "":
				p.Tasks = append(p.Tasks, t.progress(i))
			}
		}
		if hasProgress || len(p.Tasks) > 0 {
			p.Done = base64.StdEncoding.EncodeToString(bits)
			record.Occurrences = append(record.Occurrences, p)
		}
	}
	return record
}

// progress returns the durable progress of a task that has the given number in its occurrence.
func (t *task) progress(number int) messenger.TaskProgress {
	return messenger.TaskProgress{Task: number, FailedRuns: t.failed, Run: t.highestRun, Checkpoint: t.checkpoint}
}

// placementsOf returns the durable placements of the tasks of an occurrence that are not done. Tasks with
// the same executors share one, as most tasks of a step run on few executors.
func placementsOf(tasks []*task) []messenger.Placement {
	var placements []messenger.Placement
	var found map[string]int
	for i, t := range tasks {
		if t.done || t.placement == nil {
			continue
		}
		key := strings.Join(t.placement.executors, "\x00")
		at, ok := found[key]
		if !ok {
			if found == nil {
				found = map[string]int{}
			}
			at = len(placements)
			found[key] = at
			placements = append(placements, messenger.Placement{Executors: t.placement.executors})
		}
		placements[at].Tasks = append(placements[at].Tasks, i)
	}
	return placements
}

// restore applies a progress record to the workload.
func (w *workload) restore(record messenger.ProgressRecord) error {
	w.state = record.State
	if record.EndedMillis > 0 {
		w.endedAt = time.UnixMilli(int64(record.EndedMillis))
	}
	for _, p := range record.Occurrences {
		o := w.occurrence(p.Occurrence)
		if o == nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "occurrences: workload %s has no occurrence %d", w.id, p.Occurrence)
		}
		bits, err := base64.StdEncoding.DecodeString(p.Done)
		if err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "done: of workload %s: %w", w.id, err)
		}
		o.restore(bits, p.Tasks, p.Placements)
	}
	return nil
}

func (o *occurrence) restore(bits []byte, progress []messenger.TaskProgress, placements []messenger.Placement) {
	all := o.tasks()
	for i, t := range all {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			t.markDone()
		}
	}
	for _, p := range progress {
		if p.Task < 0 || p.Task >= len(all) {
			continue
		}
		t := all[p.Task]
		t.failed, t.highestRun, t.checkpoint = p.FailedRuns, p.Run, p.Checkpoint
		if len(p.Executors) > 0 {
			t.placement = &placement{executors: p.Executors, early: true}
		}
	}
	for _, p := range placements {
		for _, n := range p.Tasks {
			if n >= 0 && n < len(all) && len(p.Executors) > 0 {
				all[n].placement = &placement{executors: p.Executors}
			}
		}
	}
}

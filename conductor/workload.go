package conductor

import (
	"encoding/base64"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// workload is one accepted workload.
type workload struct {
	id         string
	queue      string
	spec       messenger.WorkloadSpec
	epoch      int64
	acceptedAt time.Time
	state      string
	shown      string
	endedAt    time.Time

	occurrences []*occurrence
	unstarted   bool
	outlook     outlook
	priority    int
	dirtySpec   bool
	// dirtyEnd is whether the record must be written without what was to be run.
	dirtyEnd bool
	dirty    bool
	// durableAt is the number of the write that holds the latest change.
	durableAt int64
}

// occurrence is one pass over the steps of a workload.
type occurrence struct {
	work  *workload
	steps []*step
	left  int
}

// step is the state of one step of an occurrence.
type step struct {
	occurrence *occurrence
	number     int
	spec       *messenger.StepSpec
	need       apricotwinch.Resources
	tasks      []*task
	left       int
	waiting    int
	queued     bool
	// readyAt is when the steps before were done.
	readyAt time.Time
	advice  advice
}

// task is one task.
type task struct {
	step    *step
	ref     messenger.TaskRef
	done    bool
	highest int
	// failed holds the runs that were counted as failed: an end that was not
	// durable at the last owner is reported again, and ends of several executors
	// arrive in any order.
	failed     []int
	streak     int
	checkpoint string
	notBefore  time.Time
	avoid      *executor
	current    *run
	// copied is an earlier run that goes on beside the current one.
	copied *run
	// rescues counts how often it was started anew since its executor did not work.
	rescues int
	// inherited tasks may run at a host that has not reported yet.
	inherited bool
}

// run is one run of a task that has not ended.
type run struct {
	ref messenger.RunRef
	// name tells runs apart where a text is needed.
	name     string
	task     *task
	executor *executor
	// order is the number of the orders that started it; 0 for one that was found
	// in a report.
	order    int
	phase    string
	stopping bool
	// stray runs are not the task's current one: they are stopped, and hold room
	// until they are gone.
	stray  bool
	figure float64
	since  time.Time
	// percent is how much is done, resumed whether it began from a checkpoint.
	percent int
	resumed bool
	// pace is the share of its speed that its agent allows it, in percent; slowSince
	// is since when that is little.
	pace      int
	slowSince time.Time
	// idle is the part of its need, in thousandths of a processor, that it leaves
	// unused while it is held back.
	idle int64
	// alone is the headroom that a serving run would have without filling work.
	alone float64
}

// terminal reports whether nothing of the workload will start any more.
func (w *workload) terminal() bool {
	switch w.state {
	case messenger.WorkloadCompleted, messenger.WorkloadFailed, messenger.WorkloadCanceled:
		return true
	}
	return false
}

// count returns the number of occurrences, at least 1.
func (w *workload) count() int { return max(1, w.spec.Repeats) }

// due returns when an occurrence begins; the zero time for at once.
func (w *workload) due(number int) time.Time {
	if w.spec.Repeats <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(w.spec.StartAtMillis) + int64(number)*int64(w.spec.IntervalMillis))
}

// grow adds the next occurrence.
func (w *workload) grow() *occurrence {
	o := &occurrence{work: w}
	for n := range w.spec.Steps {
		spec := &w.spec.Steps[n]
		s := &step{occurrence: o, number: n, spec: spec, need: spec.Resources.Value(), left: spec.Tasks, waiting: spec.Tasks}
		for i := range spec.Tasks {
			ref := messenger.TaskRef{Workload: w.id, Occurrence: len(w.occurrences), Step: n, Index: i}
			s.tasks = append(s.tasks, &task{step: s, ref: ref})
		}
		o.steps = append(o.steps, s)
	}
	o.left = len(o.steps)
	w.occurrences = append(w.occurrences, o)
	return o
}

// task returns the task that ref names, or nil.
func (w *workload) task(ref messenger.TaskRef) *task {
	if ref.Occurrence < 0 || ref.Occurrence >= len(w.occurrences) {
		return nil
	}
	o := w.occurrences[ref.Occurrence]
	if ref.Step < 0 || ref.Step >= len(o.steps) || ref.Index < 0 || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return o.steps[ref.Step].tasks[ref.Index]
}

// ready reports whether every step before s is done.
func (s *step) ready() bool {
	for _, n := range s.spec.After {
		if n >= 0 && n < len(s.occurrence.steps) && s.occurrence.steps[n].left > 0 {
			return false
		}
	}
	return true
}

// tasks returns the tasks of an occurrence in the order of its progress record.
func (o *occurrence) tasks() []*task {
	var all []*task
	for _, s := range o.steps {
		all = append(all, s.tasks...)
	}
	return all
}

// progress returns what must last of the workload.
func (w *workload) progress() messenger.ProgressRecord {
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
		p := messenger.OccurrenceProgress{Occurrence: n}
		any := false
		for i, t := range all {
			switch {
			case t.done:
				bits[i/8] |= 1 << (i % 8)
				any = true
			case len(t.failed) > 0 || t.checkpoint != "":
				p.Tasks = append(p.Tasks, messenger.TaskProgress{Task: i, FailedRuns: t.failed, Run: t.highest, Checkpoint: t.checkpoint})
			}
		}
		if any || len(p.Tasks) > 0 {
			p.Done = base64.StdEncoding.EncodeToString(bits)
			record.Occurrences = append(record.Occurrences, p)
		}
	}
	return record
}

// restore takes a progress record.
func (w *workload) restore(record messenger.ProgressRecord) error {
	w.state = record.State
	if record.EndedMillis > 0 {
		w.endedAt = time.UnixMilli(int64(record.EndedMillis))
	}
	for _, p := range record.Occurrences {
		for len(w.occurrences) <= p.Occurrence && len(w.occurrences) < w.count() {
			w.grow()
		}
		if p.Occurrence >= len(w.occurrences) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "occurrences: workload %s has no occurrence %d", w.id, p.Occurrence)
		}
		bits, err := base64.StdEncoding.DecodeString(p.Done)
		if err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "done: of workload %s: %w", w.id, err)
		}
		w.occurrences[p.Occurrence].restore(bits, p.Tasks)
	}
	return nil
}

func (o *occurrence) restore(bits []byte, tried []messenger.TaskProgress) {
	all := o.tasks()
	for i, t := range all {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			t.finish()
		}
	}
	for _, p := range tried {
		if p.Task < 0 || p.Task >= len(all) {
			continue
		}
		t := all[p.Task]
		t.failed, t.highest, t.checkpoint = p.FailedRuns, p.Run, p.Checkpoint
	}
}

// finish marks a task that waits, or whose run has ended, as done.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	if t.current == nil {
		t.step.waiting--
	}
	t.step.left--
	if t.step.left == 0 {
		t.step.occurrence.left--
	}
}

// maxFailed bounds the failed runs of a task that are remembered; a lasting task
// may fail for ever.
const maxFailed = 64

// fail counts a run as failed.
func (t *task) fail(run int) {
	t.failed = append(t.failed, run)
	if len(t.failed) > maxFailed {
		t.failed = t.failed[1:]
	}
}

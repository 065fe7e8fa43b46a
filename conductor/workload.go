package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// workload is the state of one accepted workload.
type workload struct {
	id    string
	queue string
	// dataCentre is that of the entry that got the submission; empty for unknown.
	dataCentre   string
	spec         messenger.WorkloadSpec
	epoch        int64
	acceptedAt   time.Time
	state        string
	durableState string
	endedAt      time.Time

	// inherited is whether an earlier owner accepted the workload, and may have started tasks of
	// occurrences that the journal doesn't show.
	inherited   bool
	occurrences []*occurrence
	// dueCount is the number of occurrences that are due.
	dueCount  int
	unstarted bool
	// taskCount is the number of tasks over all occurrences while the workload has not ended, and recordBytes the length
	// of the record of its submission.
	taskCount, recordBytes int
	// runs is the number of the workload's runs, confirmed that of those among them that an executor has shown and
	// that repeat no lost one, and lastStartAt when the last one was placed or ordered.
	runs, confirmed int
	lastStartAt     time.Time
	// idleSince is when the last run that an executor had shown ended, unless it failed, or was last listed.
	idleSince       time.Time
	rank            bestEffortRank
	serviceLevelLog serviceLevelLog
	workloadOrder
	priority int
	// load is what the workload adds to the backlog; nil if it isn't forecast or not known yet.
	load      *workloadLoad
	dirtySpec bool
	// dirtyEnd is whether the record must be written again without the spec, as the workload has
	// ended.
	dirtyEnd bool
	dirty    bool
	// durableAt is the number of the append that makes the latest change durable.
	durableAt int64
}

// occurrence is one execution of the steps of a workload; left is the number of steps that are
// not done. No task of it starts before it is due.
type occurrence struct {
	workload *workload
	steps    []*step
	left     int
	due      bool
}

// step is the state of one step of an occurrence; left is the number of tasks that are not done,
// waiting that of tasks without a current run.
type step struct {
	occurrence *occurrence
	number     int
	spec       *messenger.StepSpec
	need       apricotwinch.Resources
	tasks      []*task
	left       int
	waiting    int
	queued     bool
	// readyAt is when the steps that this one depends on were done.
	readyAt time.Time
	// blockedAt is when a task of the step last fitted on none of all executors; zero if one did.
	blockedAt time.Time
	// startsInBackground is whether its tasks start in the background now.
	startsInBackground bool
	// wait is since when and why a step that is not long-running has started none of its waiting tasks.
	wait   *stepWait
	advice advice
	// reservation is the room that is kept for a task of the step; nil for none. lapses is how many reservations
	// have lapsed since the last one that was used, as their time had passed.
	reservation *reservation
	lapses      int
	// searchAfter is when room to reserve may be looked for again, after none was found.
	searchAfter time.Time
	typical     typicalDuration
	// heldOn is the executor on which others last gave up room for the step; nil for none. roomySince is since when there
	// has been room for two of its tasks but for moments, roomyAt when a look last found it, and roomy whether the last
	// look did.
	heldOn              *executor
	roomySince, roomyAt time.Time
	roomy               bool
}

// task is the state of one task of a step.
type task struct {
	step       *step
	ref        messenger.TaskRef
	done       bool
	highestRun int
	// failed holds the numbers of the runs that were counted as failed. An end that the last
	// owner did not acknowledge is reported again, and ends of several executors arrive in any
	// order.
	failed         []int
	failureStreak  int
	checkpoint     string
	notBefore      time.Time
	avoid          *executor
	failedAttempts []failedAttempt
	current        *run
	// originalRun is an earlier run that continues while the current one is its speculative
	// copy.
	originalRun *run
	// rescues counts how often the task was rescued from a stalled or slow executor.
	rescues int
	// slowBefore is whether the task was rescued from an executor that counted as slow.
	slowBefore bool
	// inherited is whether an earlier owner may have started the task, and this one has not. Such a
	// task waits for the lists of executors; see awaitsExecutors.
	inherited bool
	// wait is since when and why a long-running task has no run; nil for any other task.
	wait *wait
	// loss is the loss of the task's last run; nil if that ended otherwise or the task has another run.
	// losses counts the runs that were lost with executors that this owner knew.
	loss   *loss
	losses int
	// preempted is whether its last run was stopped for other work.
	preempted bool
	// placement is where the task may run. Without one it was never started, unless the journal's
	// placements are not complete.
	placement *placement
}

// run is one run of a task that has not ended.
type run struct {
	ref messenger.RunRef
	// key is the text form of ref; it identifies the run for the appraiser and the monitor.
	key      string
	task     *task
	executor *executor
	// ordersNumber is the number of the orders that started the run; 0 for a run that was found
	// in a report, heldOrders for one whose start is held. agent is the incarnation of the agent that they
	// were for, and stopNumber the number of the last orders that stop the run.
	ordersNumber int
	agent        string
	stopNumber   int
	delivery     delivery
	phase        string
	stopping     bool
	// orphaned is whether the run was found in a report and its task doesn't need it. It is
	// stopped and keeps its resources until it has ended.
	orphaned bool
	// measurement is the reported tail latency of a serving run, in milliseconds; for any other
	// run, the processors that it uses, in thousandths.
	measurement float64
	startedAt   time.Time
	// listedAt is when the agent last listed the run, and confirmedAt when it last listed it as one that
	// the executor has shown; zero if it hasn't.
	listedAt, confirmedAt time.Time
	// runningAt is when the agent first listed the run as running; zero if it hasn't.
	runningAt time.Time
	// work is what was seen of the run's work, for its duration.
	work runWork
	// percent is the reported progress, 0 to 100; resumed is whether the run started from a
	// checkpoint.
	percent int
	resumed bool
	// pace is the share of its full speed that the agent allows the run, in percent;
	// throttledSince is since when that is below throttledPace, zero if it is not.
	pace           int
	throttledSince time.Time
	// tailPreferred is whether the run was preferred as one of the last of its step.
	tailPreferred bool
	// background is whether the run works at the least pace until it is promoted, and promotionNumber the number of the
	// last orders that resume it.
	background      bool
	promotionNumber int
	lateStart       lateStart
	// repeats is the loss of the run that this one repeats; nil if it repeats none.
	repeats *loss
	// idle is the part of its processors, in thousandths, that the run leaves unused while it is
	// throttled or in the background.
	idle int64
	// undisturbed is the smoothed headroom that a serving run would have without best-effort
	// tasks; 0 if unknown.
	undisturbed float64
}

// terminal reports whether the workload has ended, so that no task of it starts any more.
func (w *workload) terminal() bool {
	switch w.state {
	case messenger.WorkloadCompleted, messenger.WorkloadFailed, messenger.WorkloadCanceled:
		return true
	}
	return false
}

// occurrenceCount returns the number of occurrences of the workload, at least 1.
func (w *workload) occurrenceCount() int { return max(1, w.spec.Repeats) }

// dueAt returns when an occurrence starts; the zero time if at once.
func (w *workload) dueAt(number int) time.Time {
	if w.spec.Repeats <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(w.spec.StartAtMillis) + int64(number)*int64(w.spec.IntervalMillis))
}

// addOccurrence adds the next occurrence.
func (w *workload) addOccurrence() *occurrence {
	o := &occurrence{workload: w}
	for n := range w.spec.Steps {
		spec := &w.spec.Steps[n]
		s := &step{occurrence: o, number: n, spec: spec, need: spec.Resources.Value(), left: spec.Tasks, waiting: spec.Tasks}
		for i := range spec.Tasks {
			ref := messenger.TaskRef{Workload: w.id, Occurrence: len(w.occurrences), Step: n, Index: i}
			s.tasks = append(s.tasks, &task{step: s, ref: ref, inherited: w.inherited})
		}
		o.steps = append(o.steps, s)
	}
	o.left = len(o.steps)
	w.occurrences = append(w.occurrences, o)
	return o
}

// occurrence returns the occurrence with the given number, or nil if the workload has none. It adds
// those that are missing.
func (w *workload) occurrence(number int) *occurrence {
	if number < 0 || number >= w.occurrenceCount() {
		return nil
	}
	for len(w.occurrences) <= number {
		w.addOccurrence()
	}
	return w.occurrences[number]
}

// task returns the task that ref identifies, or nil. It adds the task's occurrence if that is
// missing: an earlier owner may have started it.
func (w *workload) task(ref messenger.TaskRef) *task {
	o := w.occurrence(ref.Occurrence)
	if o == nil {
		return nil
	}
	if ref.Step < 0 || ref.Step >= len(o.steps) || ref.Index < 0 || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return o.steps[ref.Step].tasks[ref.Index]
}

// ready reports whether every step that s depends on is done.
func (s *step) ready() bool {
	for _, n := range s.spec.After {
		if n >= 0 && n < len(s.occurrence.steps) && s.occurrence.steps[n].left > 0 {
			return false
		}
	}
	return true
}

// tasks returns the tasks of an occurrence in the order that its progress record uses.
func (o *occurrence) tasks() []*task {
	var all []*task
	for _, s := range o.steps {
		all = append(all, s.tasks...)
	}
	return all
}

// markDone marks a task as done. A task without a current run no longer waits.
func (t *task) markDone() {
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

// maxFailedRuns bounds the failed runs of a task that are remembered, as a long-running task may
// fail without limit.
const maxFailedRuns = 64

// addFailedRun records that a run has failed.
func (t *task) addFailedRun(run int) {
	t.failed = append(t.failed, run)
	if len(t.failed) > maxFailedRuns {
		t.failed = t.failed[1:]
	}
}

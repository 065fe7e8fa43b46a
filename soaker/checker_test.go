package soaker_test

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"apricotwinch/standin/performer"
)

// task identifies a task by its workload, its step and its index. In its wire name, the
// occurrence follows the workload.
type task struct {
	id          string
	step, index int
}

// parseTask parses the wire name of a task and reports whether it is valid.
func parseTask(name string) (task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return task{}, false
	}
	step, err := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return task{id: parts[0], step: step, index: index}, err == nil && indexErr == nil
}

// checker checks the events of the executors against what the callers know.
type checker struct {
	workloads  map[string]*workload
	violations []string

	running map[string]map[string]performer.Event // By executor incarnation, then by run.
	tasks   map[task]*taskHistory
}

// taskHistory summarizes the past events of a task.
type taskHistory struct {
	running         int // Number of its runs that are running.
	done            bool
	endAcknowledged bool         // Whether its completion was acknowledged to the executor.
	restartedAs     int          // Number of the last run that started after the task was done.
	failed          map[int]bool // Run numbers with an acknowledged failure.
	failures        int          // Number of its runs that failed.
}

func newChecker(workloads []*workload) *checker {
	c := &checker{workloads: map[string]*workload{}, running: map[string]map[string]performer.Event{}, tasks: map[task]*taskHistory{}}
	for _, w := range workloads {
		c.workloads[w.id] = w
	}
	return c
}

func (c *checker) addViolation(e performer.Event, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s %s run %d on %s: %s", e.At.Format("05.000"), e.Task, e.Run, e.Executor, fmt.Sprintf(format, args...)))
}

// checkEvents checks all events in the order of their times.
func (c *checker) checkEvents(events []performer.Event) {
	slices.SortStableFunc(events, func(a, b performer.Event) int { return a.At.Compare(b.At) })
	for _, e := range events {
		t, ok := parseTask(e.Task)
		w := c.workloads[t.id]
		if !ok || w == nil {
			c.addViolation(e, "UNASKED: no caller submitted its workload")
			continue
		}
		h := c.tasks[t]
		if h == nil {
			h = &taskHistory{failed: map[int]bool{}}
			c.tasks[t] = h
		}
		switch {
		case e.Acknowledged:
			c.recordAcknowledgment(e, h)
		case e.Outcome == "":
			c.checkStart(e, t, h, w)
		default:
			c.recordEnd(e, h)
		}
	}
}

// recordAcknowledgment records that the end of a run was acknowledged to its executor.
func (c *checker) recordAcknowledgment(e performer.Event, h *taskHistory) {
	switch e.Outcome {
	case performer.Done:
		if h.restartedAs > e.Run {
			c.addViolation(e, "TWICE: its completion is acknowledged after it started again as run %d", h.restartedAs)
		}
		h.endAcknowledged = true
	case performer.Failed:
		h.failed[e.Run] = true
	}
}

// incarnation returns a key for the incarnation of an event's executor.
func incarnation(e performer.Event) string { return fmt.Sprint(e.Executor, "/", e.StartedMillis) }

// runKey returns a key for the run of an event.
func runKey(e performer.Event) string { return fmt.Sprint(e.Task, "#", e.Run) }

// checkStart checks the start of a run and records it.
func (c *checker) checkStart(e performer.Event, t task, h *taskHistory, w *workload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.step >= len(w.steps) || t.index >= w.steps[t.step].Count {
		c.addViolation(e, "UNASKED: the workload has no such task")
		return
	}
	switch {
	case e.Spec != w.spec:
		c.addViolation(e, "UNASKED: its spec differs from the submitted one")
	case w.refused:
		c.addViolation(e, "REFUSED: every try to submit its workload was rejected")
	case h.running > 0:
		c.addViolation(e, "TWICE: it is already running")
	case h.endAcknowledged:
		c.addViolation(e, "TWICE: its completion was already acknowledged")
	case len(h.failed) >= maxAttempts && !w.longRunning:
		c.addViolation(e, "BUDGET: it has already failed %d times", len(h.failed))
	}
	for _, before := range w.steps[t.step].After {
		for i := range w.steps[before].Count {
			if earlier := c.tasks[task{id: t.id, step: before, index: i}]; earlier == nil || !earlier.done {
				c.addViolation(e, "ORDER: it started although task %d of step %d is not done", i, before)
			}
		}
	}
	if h.done {
		h.restartedAs = max(h.restartedAs, e.Run)
	}
	h.running++
	runs := c.running[incarnation(e)]
	if runs == nil {
		runs = map[string]performer.Event{}
		c.running[incarnation(e)] = runs
	}
	runs[runKey(e)] = e
	if cpu, mem := c.demand(runs); cpu > capacityCPU || mem > capacityMB {
		c.addViolation(e, "LIMIT: runs need %d of %d millicores and %d of %d MB", cpu, capacityCPU, mem, capacityMB)
	}
}

// demand returns the processors, in thousandths, and the memory, in megabytes, that runs on
// an executor need. Best-effort work counts with its memory only.
func (c *checker) demand(runs map[string]performer.Event) (cpu, mem int64) {
	for _, e := range runs {
		t, _ := parseTask(e.Task)
		s := c.workloads[t.id].steps[t.step]
		mem += s.Mem
		if !s.BestEffort {
			cpu += s.CPU
		}
	}
	return cpu, mem
}

func (c *checker) recordEnd(e performer.Event, h *taskHistory) {
	h.running--
	h.done = h.done || e.Outcome == performer.Done
	if e.Outcome == performer.Failed {
		h.failures++
	}
	delete(c.running[incarnation(e)], runKey(e))
}

// checkSettled checks the final states of the workloads, some time after the last fault.
func (c *checker) checkSettled(at time.Time) {
	ids := make([]string, 0, len(c.workloads))
	for id := range c.workloads {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	for _, id := range ids {
		w := c.workloads[id]
		w.mu.Lock()
		if violation := c.checkWorkload(w, at); violation != "" {
			c.violations = append(c.violations, fmt.Sprintf("%s %s (accepted %s, states %v): %s", at.Format("05.000"), id, w.accepted.Format("05.000"), w.stateHistory, violation))
		}
		w.mu.Unlock()
	}
}

// checkWorkload returns the violation that a workload shows, or "". The caller must hold
// w.mu.
func (c *checker) checkWorkload(w *workload, at time.Time) string {
	running, undone := 0, 0
	for n, s := range w.steps {
		for i := range s.Count {
			h := c.tasks[task{id: w.id, step: n, index: i}]
			if h != nil {
				running += h.running
			}
			if h == nil || !h.done {
				undone++
			}
		}
	}
	switch {
	case w.accepted.IsZero():
		return ""
	case !w.cancelSent.IsZero():
		if !w.canceled.IsZero() && running > 0 && at.Sub(w.canceled) > cancelTimeout {
			return fmt.Sprintf("UNASKED: %d tasks of a canceled workload are still running", running)
		}
		return ""
	case w.state == "gone":
		return "LOST: an accepted workload is unknown to the entries"
	case w.state == "completed" && undone > 0:
		return fmt.Sprintf("MIXED: reported as completed with %d tasks not done", undone)
	case w.longRunning && running < w.steps[0].Count:
		return fmt.Sprintf("LOST: %d of %d long-running tasks are running", running, w.steps[0].Count)
	case w.longRunning:
		return ""
	case w.alwaysFails && w.state != "failed":
		return "LOST: not reported as failed although every run of its tasks fails"
	case w.state == "failed" && c.exhausted(w):
		return ""
	case !w.alwaysFails && w.state != "completed":
		return fmt.Sprintf("LOST: not completed, %d tasks not done, %d running", undone, running)
	}
	return ""
}

// exhausted reports whether a task of a workload has failed as often as it may.
func (c *checker) exhausted(w *workload) bool {
	for t, h := range c.tasks {
		if t.id == w.id && h.failures >= maxAttempts {
			return true
		}
	}
	return false
}

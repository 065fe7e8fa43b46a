package soaker_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotwinch/standin/performer"
)

// Limits of the stall detector.
const (
	// maxStall is how long an accepted workload may have no run although one of its tasks could run.
	maxStall = 3 * time.Second
	// longRunningRestart is how long a task of a long-running workload may take to restart before its stall begins.
	longRunningRestart = 6 * time.Second
	// stallSettle is how long after the faults stalls count: as long as callers wait before they look.
	stallSettle  = 14 * time.Second
	samplePeriod = 100 * time.Millisecond
	// maxSampleGap is the longest time between two samples over which a stall is taken to last.
	maxSampleGap = 5 * samplePeriod
)

// stallDetector looks for accepted workloads that have no run on any executor although a task of theirs could
// run: its turn has come, there is room for it twice over, and under half of the capacity is in use. Of a
// long-running workload it looks at each task.
type stallDetector struct {
	recorded int
	running  map[string]map[string]performer.Event // By executor, then by run.
	tasks    map[task]*taskRuns
	// lastRun is when a workload last had a run, by its id.
	lastRun   map[string]time.Time
	sampledAt time.Time
	// current holds the stalls that last, by workload or task.
	current map[string]*stall
	found   []*stall
	// samples, freeSamples and longest describe what was looked at: the samples, those with under half of the
	// capacity in use, and the longest stall, found or not.
	samples, freeSamples int
	longest              time.Duration
}

// taskRuns summarizes the runs of a task.
type taskRuns struct {
	running, failed int
	done            bool
	lastRun         time.Time
}

// stall is a time in which a workload, or a task of a long-running workload, has no run although the task could
// run.
type stall struct {
	workload, task string
	since, until   time.Time
	found          bool // Whether it is longer than maxStall.
}

func newStallDetector() *stallDetector {
	return &stallDetector{running: map[string]map[string]performer.Event{}, tasks: map[task]*taskRuns{}, lastRun: map[string]time.Time{}, current: map[string]*stall{}}
}

// record records the events of the executors that it hasn't seen yet.
func (d *stallDetector) record(events []performer.Event) {
	for _, e := range events[d.recorded:] {
		t, ok := parseTask(e.Task)
		if !ok || e.Acknowledged {
			continue
		}
		h := d.runsOf(t)
		if e.Outcome == "" {
			if d.running[e.Executor] == nil {
				d.running[e.Executor] = map[string]performer.Event{}
			}
			d.running[e.Executor][runKey(e)] = e
			h.running++
		} else {
			delete(d.running[e.Executor], runKey(e))
			h.running--
		}
		h.done = h.done || e.Outcome == performer.Done
		if e.Outcome == performer.Failed {
			h.failed++
		}
		h.lastRun, d.lastRun[t.id] = e.At, e.At
	}
	d.recorded = len(events)
}

func (d *stallDetector) runsOf(t task) *taskRuns {
	if d.tasks[t] == nil {
		d.tasks[t] = &taskRuns{}
	}
	return d.tasks[t]
}

// sample looks at the workloads, given the events so far and the ids of the executors that are healthy. It
// returns the number of stalls that last, however long they are.
func (d *stallDetector) sample(now time.Time, events []performer.Event, workloads []*workload, healthy []string) int {
	d.record(events)
	if now.Sub(d.sampledAt) > maxSampleGap {
		clear(d.current)
	}
	d.sampledAt = now
	specs := map[string]*workload{}
	for _, w := range workloads {
		specs[w.id] = w
	}
	rooms, mostFree := d.rooms(specs, healthy)
	d.samples++
	if mostFree {
		d.freeSamples++
	}
	for _, w := range workloads {
		w.mu.Lock()
		owed := mostFree && !w.accepted.IsZero() && w.cancelSent.IsZero() && !d.hopeless(w)
		w.mu.Unlock()
		if w.longRunning {
			for i := range w.steps[0].Count {
				t := task{id: w.id, index: i}
				h := d.runsOf(t)
				d.update(now, t, t.String(), owed && h.running == 0 && hasRoomTwice(rooms, w.steps[0]), h.lastRun.Add(longRunningRestart))
			}
			continue
		}
		t, could := d.runnable(w, rooms)
		d.update(now, t, w.id, owed && could, d.lastRun[w.id])
	}
	return len(d.current)
}

// String returns the wire name of a task without its occurrence.
func (t task) String() string { return fmt.Sprintf("%s.%d.%d", t.id, t.step, t.index) }

// update begins, continues or ends a stall, which began no earlier than earliest.
func (d *stallDetector) update(now time.Time, t task, key string, stalled bool, earliest time.Time) {
	if !stalled {
		delete(d.current, key)
		return
	}
	s := d.current[key]
	if s == nil || earliest.After(s.since) {
		s = &stall{workload: t.id, since: now}
		if earliest.After(now) {
			s.since = earliest
		}
		d.current[key] = s
	}
	s.task, s.until = t.String(), now
	d.longest = max(d.longest, now.Sub(s.since))
	if !s.found && now.Sub(s.since) >= maxStall {
		s.found = true
		d.found = append(d.found, s)
	}
}

// hopeless reports whether a task of a workload has failed as often as it may.
func (d *stallDetector) hopeless(w *workload) bool {
	for n, s := range w.steps {
		for i := range s.Count {
			if !w.longRunning && d.runsOf(task{id: w.id, step: n, index: i}).failed >= maxAttempts {
				return true
			}
		}
	}
	return false
}

// runnable returns a task that could run of a workload that has no run, and whether there is one.
func (d *stallDetector) runnable(w *workload, rooms []room) (task, bool) {
	var first task
	could := false
	for n, s := range w.steps {
		ready := true
		for _, before := range s.After {
			ready = ready && d.stepDone(w, before)
		}
		for i := range s.Count {
			t := task{id: w.id, step: n, index: i}
			h := d.runsOf(t)
			if h.running > 0 {
				return task{}, false
			}
			if ready && !h.done && !could && hasRoomTwice(rooms, s) {
				first, could = t, true
			}
		}
	}
	return first, could
}

func (d *stallDetector) stepDone(w *workload, n int) bool {
	for i := range w.steps[n].Count {
		if !d.runsOf(task{id: w.id, step: n, index: i}).done {
			return false
		}
	}
	return true
}

// room is what the runs on an executor leave. Best-effort work needs only memory, and takes no processors from what
// others may have.
type room struct{ cpu, mem int64 }

// rooms returns the rooms of executors and whether under half of their capacity is in use.
func (d *stallDetector) rooms(workloads map[string]*workload, executors []string) ([]room, bool) {
	var rooms []room
	var free room
	for _, id := range executors {
		r := room{cpu: capacityCPU, mem: capacityMB}
		for _, e := range d.running[id] {
			t, _ := parseTask(e.Task)
			s := workloads[t.id].steps[t.step]
			r.mem -= s.Mem
			if !s.BestEffort {
				r.cpu -= s.CPU
			}
		}
		rooms = append(rooms, r)
		free.cpu += r.cpu
		free.mem += r.mem
	}
	n := int64(len(executors))
	return rooms, 2*free.cpu > n*capacityCPU && 2*free.mem > n*capacityMB
}

// hasRoomTwice reports whether two tasks of a step fit into the rooms.
func hasRoomTwice(rooms []room, s step) bool {
	var n int64
	for _, r := range rooms {
		fit := r.mem / s.Mem
		if !s.BestEffort {
			fit = min(fit, r.cpu/s.CPU)
		}
		n += max(0, fit)
	}
	return n >= 2
}

// violations describes the stalls that were found.
func (d *stallDetector) violations() []string {
	var lines []string
	for _, s := range d.found {
		lines = append(lines, fmt.Sprintf("%s %s: LOST: nothing of it runs until %s although task %s could run", s.since.Format("05.000"), s.workload, s.until.Format("05.000"), s.task))
	}
	return lines
}

// stallWatch samples a fleet in the background.
type stallWatch struct {
	detector *stallDetector
	pending  atomic.Int64
	stop     chan struct{}
	running  sync.WaitGroup
}

// watchStalls starts to look for stalls, which count from the given time on. The executors of the failing hosts
// have no room.
func (f *fleet) watchStalls(c *callers, from time.Time, failing []*host) *stallWatch {
	w := &stallWatch{detector: newStallDetector(), stop: make(chan struct{})}
	w.running.Go(func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(samplePeriod):
			}
			now := time.Now()
			if now.Before(from) {
				continue
			}
			var healthy []string
			for _, h := range f.hosts {
				if !slices.Contains(failing, h) {
					healthy = append(healthy, h.executor.ID())
				}
			}
			events := f.recordedEvents()
			c.mu.Lock()
			workloads := c.workloads
			c.mu.Unlock()
			w.pending.Store(int64(w.detector.sample(now, events, workloads, healthy)))
		}
	})
	return w
}

// finish ends the watch and returns the violations.
func (w *stallWatch) finish() []string {
	close(w.stop)
	w.running.Wait()
	return w.detector.violations()
}

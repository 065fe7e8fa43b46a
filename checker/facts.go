package checker

import (
	"sort"
	"time"

	"apricotwinch"
	"apricotwinch/standin/journaler"
)

// taskID names one task of a job.
type taskID struct {
	job  string
	task int
}

// run is one attempt as the journals show it.
type run struct {
	start    journaler.Entry
	end      time.Time
	phase    string
	progress int
}

// phaseCutShort is the phase of an attempt that its journal doesn't end.
const phaseCutShort = "cut short"

// facts is the evidence in the form that the rules need.
type facts struct {
	Evidence
	runs   map[taskID][]run
	tasks  []taskID
	starts map[string][]journaler.Entry
}

func newFacts(evidence Evidence) *facts {
	journal := append([]journaler.Entry(nil), evidence.Journal...)
	sort.SliceStable(journal, func(i, j int) bool { return journal[i].At.Before(journal[j].At) })
	f := &facts{
		Evidence: evidence,
		runs:     make(map[taskID][]run),
		starts:   make(map[string][]journaler.Entry),
	}
	f.Journal = journal
	for i, entry := range journal {
		switch entry.Event {
		case journaler.TaskStarted:
			f.addRun(entry, journal[i+1:])
		case journaler.RequestStarted:
			f.starts[entry.BodyHash] = append(f.starts[entry.BodyHash], entry)
		}
	}
	return f
}

func (f *facts) addRun(start journaler.Entry, later []journaler.Entry) {
	id := taskID{job: start.Job, task: start.Task}
	if _, ok := f.runs[id]; !ok {
		f.tasks = append(f.tasks, id)
	}
	f.runs[id] = append(f.runs[id], f.newRun(start, later))
}

// newRun returns the attempt that start begins; it ends with its end, with the
// death of its host or with the run.
func (f *facts) newRun(start journaler.Entry, later []journaler.Entry) run {
	for _, entry := range later {
		if entry.Host != start.Host {
			continue
		}
		if entry.Event == journaler.Killed {
			return run{start: start, end: entry.At, phase: phaseCutShort}
		}
		if entry.Event == journaler.TaskEnded && entry.AttemptID() == start.AttemptID() {
			return run{start: start, end: entry.At, phase: entry.Phase, progress: entry.ProgressMillis}
		}
	}
	return run{start: start, end: f.Until, phase: phaseCutShort}
}

// cutOff reports whether host could not be reached at a moment between from and
// to.
func (f *facts) cutOff(host string, from, to time.Time) bool {
	for _, window := range f.CutOffs {
		if window.Place == host && window.meets(from, to) {
			return true
		}
	}
	for _, entry := range f.Journal {
		if entry.Event == journaler.Killed && entry.Host == host && !entry.At.Before(from) && !entry.At.After(to) {
			return true
		}
	}
	return false
}

// resources returns what the attempt may use.
func (r run) resources() apricotwinch.Resources {
	return apricotwinch.NewResources(int64(r.start.ProcessorMillis), int64(r.start.MemoryBytes), int64(r.start.Accelerators))
}

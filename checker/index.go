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

// attempt is one attempt of a task as the journals show it.
type attempt struct {
	start          journaler.Entry
	end            time.Time
	phase          string
	progressMillis int
}

// phaseCutShort is the phase of an attempt whose end is missing from its journal.
const phaseCutShort = "cut short"

// evidenceIndex is the evidence, sorted and grouped for the rules.
type evidenceIndex struct {
	Evidence
	attempts      map[taskID][]attempt
	tasks         []taskID
	requestStarts map[string][]journaler.Entry
}

func newEvidenceIndex(evidence Evidence) *evidenceIndex {
	journal := append([]journaler.Entry(nil), evidence.Journal...)
	sort.SliceStable(journal, func(i, j int) bool { return journal[i].At.Before(journal[j].At) })
	index := &evidenceIndex{
		Evidence:      evidence,
		attempts:      make(map[taskID][]attempt),
		requestStarts: make(map[string][]journaler.Entry),
	}
	index.Journal = journal
	for i, entry := range journal {
		switch entry.Event {
		case journaler.TaskStarted:
			index.addAttempt(entry, journal[i+1:])
		case journaler.RequestStarted:
			index.requestStarts[entry.BodyHash] = append(index.requestStarts[entry.BodyHash], entry)
		}
	}
	return index
}

func (index *evidenceIndex) addAttempt(start journaler.Entry, later []journaler.Entry) {
	id := taskID{job: start.Job, task: start.Task}
	if _, ok := index.attempts[id]; !ok {
		index.tasks = append(index.tasks, id)
	}
	index.attempts[id] = append(index.attempts[id], index.newAttempt(start, later))
}

// newAttempt returns the attempt that start begins. It ends with its own end in the
// journal, when its host was killed, or at the end of the run.
func (index *evidenceIndex) newAttempt(start journaler.Entry, later []journaler.Entry) attempt {
	for _, entry := range later {
		if entry.Host != start.Host {
			continue
		}
		if entry.Event == journaler.Killed {
			return attempt{start: start, end: entry.At, phase: phaseCutShort}
		}
		if entry.Event == journaler.TaskEnded && entry.AttemptID() == start.AttemptID() {
			return attempt{start: start, end: entry.At, phase: entry.Phase, progressMillis: entry.ProgressMillis}
		}
	}
	return attempt{start: start, end: index.RunEnd, phase: phaseCutShort}
}

// wasUnreachable reports whether host could not be reached, or was killed, at a moment
// between from and to.
func (index *evidenceIndex) wasUnreachable(host string, from, to time.Time) bool {
	for _, window := range index.Unreachable {
		if window.Subject == host && window.overlaps(from, to) {
			return true
		}
	}
	for _, entry := range index.Journal {
		if entry.Event == journaler.Killed && entry.Host == host && !entry.At.Before(from) && !entry.At.After(to) {
			return true
		}
	}
	return false
}

// resources returns the resources that the attempt may use.
func (a attempt) resources() apricotwinch.Resources {
	return apricotwinch.NewResources(int64(a.start.ProcessorMillis), int64(a.start.MemoryBytes), int64(a.start.Accelerators))
}

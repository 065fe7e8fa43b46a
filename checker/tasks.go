package checker

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"apricotwinch"
	"apricotwinch/standin/journaler"
	"apricotwinch/standin/runner"
)

// checkOverlapping finds attempts of one task that ran at the same time.
func checkOverlapping(f *facts) []string {
	var found []string
	for _, id := range f.tasks {
		runs := f.runs[id]
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if second.start.At.Before(first.end) {
					found = append(found, fmt.Sprintf("%s on %s (%s) and %s on %s (%s)",
						first.start.AttemptID(), first.start.Host, span(first.start.At, first.end),
						second.start.AttemptID(), second.start.Host, span(second.start.At, second.end)))
				}
			}
		}
	}
	return found
}

// checkDoubled finds tasks that completed and were run again though the host
// that completed them could be reached.
func checkDoubled(f *facts) []string {
	var found []string
	for _, id := range f.tasks {
		runs := f.runs[id]
		for i, first := range runs {
			if first.phase != runner.PhaseCompleted || i+1 == len(runs) {
				continue
			}
			second := runs[i+1]
			if !f.cutOff(first.start.Host, first.end, second.start.At) {
				found = append(found, fmt.Sprintf("%s completed on %s at %s, %s started on %s at %s",
					first.start.AttemptID(), first.start.Host, stamp(first.end),
					second.start.AttemptID(), second.start.Host, stamp(second.start.At)))
			}
		}
	}
	return found
}

// checkLost finds accepted tasks that did not complete, watch tasks that don't
// run at the end, and tasks that were told to be done without a completion.
func checkLost(f *facts) []string {
	var found []string
	for _, job := range f.Jobs {
		if job.Outcome != Answered || job.Canceled || job.MayFail {
			continue
		}
		for task := range job.Tasks {
			runs := f.runs[taskID{job: job.ID, task: task}]
			if text := lostTask(job, task, runs, f.Until); text != "" {
				found = append(found, text)
			}
		}
	}
	return found
}

func lostTask(job Job, task int, runs []run, until time.Time) string {
	name := fmt.Sprintf("%s/%d", job.ID, task)
	if job.Watch {
		if slices.ContainsFunc(runs, func(r run) bool { return r.phase == phaseCutShort && r.end.Equal(until) }) {
			return ""
		}
		return name + " does not run at the end"
	}
	completed := slices.ContainsFunc(runs, func(r run) bool { return r.phase == runner.PhaseCompleted })
	if !completed && slices.Contains(job.Completed, task) {
		return name + " was told to be done and never completed"
	}
	if !completed {
		return name + " never completed"
	}
	if !slices.Contains(job.Completed, task) {
		return name + " completed and its caller was not told"
	}
	return ""
}

// checkResumed finds attempts that were stopped with a checkpoint and whose next
// attempt began with less than their work.
func checkResumed(f *facts) []string {
	var found []string
	for _, id := range f.tasks {
		runs := f.runs[id]
		for i, first := range runs {
			if first.phase != runner.PhaseStopped || i+1 == len(runs) {
				continue
			}
			second := runs[i+1]
			if second.start.ProgressMillis < first.progress && !f.cutOff(first.start.Host, first.end, second.start.At) {
				found = append(found, fmt.Sprintf("%s stopped on %s after %d ms of work, %s resumed on %s with %d ms",
					first.start.AttemptID(), first.start.Host, first.progress,
					second.start.AttemptID(), second.start.Host, second.start.ProgressMillis))
			}
		}
	}
	return found
}

// change is a change of what the tasks of a host hold together.
type change struct {
	at    time.Time
	delta apricotwinch.Resources
	cause string
}

// checkOvercommitted finds hosts whose tasks held more than their capacity.
func checkOvercommitted(f *facts) []string {
	changes := make(map[string][]change)
	for _, id := range f.tasks {
		for _, r := range f.runs[id] {
			host, cause := r.start.Host, r.start.AttemptID().String()
			changes[host] = append(changes[host],
				change{at: r.start.At, delta: r.resources(), cause: cause},
				change{at: r.end, delta: apricotwinch.Resources{}.Sub(r.resources()), cause: cause})
		}
	}
	var found []string
	for host, capacity := range f.Capacities {
		found = append(found, overcommits(host, capacity, changes[host])...)
	}
	return found
}

func overcommits(host string, capacity apricotwinch.Resources, changes []change) []string {
	sort.SliceStable(changes, func(i, j int) bool {
		if changes[i].at.Equal(changes[j].at) {
			return changes[i].delta.Negative() && !changes[j].delta.Negative()
		}
		return changes[i].at.Before(changes[j].at)
	})
	var found []string
	var held apricotwinch.Resources
	for _, c := range changes {
		held = held.Add(c.delta)
		if !held.Fits(capacity) && !c.delta.Negative() {
			found = append(found, fmt.Sprintf("%s holds %s of %s from %s on, with %s", host, held, capacity, stamp(c.at), c.cause))
		}
	}
	return found
}

// checkStartedOut finds attempts that started in a data centre that was out.
func checkStartedOut(f *facts) []string {
	var found []string
	for _, entry := range f.Journal {
		if entry.Event != journaler.TaskStarted {
			continue
		}
		for _, out := range f.Outs {
			closed := Window{From: out.From.Add(OutBound), To: out.To}
			if out.Place == entry.DataCentre && closed.meets(entry.At, entry.At) {
				found = append(found, fmt.Sprintf("%s started on %s at %s; %s was out from %s",
					entry.AttemptID(), entry.Host, stamp(entry.At), out.Place, stamp(out.From)))
			}
		}
	}
	return found
}

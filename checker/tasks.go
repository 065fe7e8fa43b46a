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
func checkOverlapping(index *evidenceIndex) []string {
	var found []string
	for _, id := range index.tasks {
		attempts := index.attempts[id]
		for i, first := range attempts {
			for _, second := range attempts[i+1:] {
				if second.start.At.Before(first.end) {
					found = append(found, fmt.Sprintf("%s on %s (%s) and %s on %s (%s)",
						first.start.AttemptID(), first.start.Host, formatSpan(first.start.At, first.end),
						second.start.AttemptID(), second.start.Host, formatSpan(second.start.At, second.end)))
				}
			}
		}
	}
	return found
}

// checkRerun finds tasks that completed and were run again although the host that completed
// them could be reached.
func checkRerun(index *evidenceIndex) []string {
	var found []string
	for _, id := range index.tasks {
		attempts := index.attempts[id]
		for i, first := range attempts {
			if first.phase != runner.PhaseCompleted || i+1 == len(attempts) {
				continue
			}
			second := attempts[i+1]
			if !index.wasUnreachable(first.start.Host, first.end, second.start.At) {
				found = append(found, fmt.Sprintf("%s completed on %s at %s, %s started on %s at %s",
					first.start.AttemptID(), first.start.Host, formatTime(first.end),
					second.start.AttemptID(), second.start.Host, formatTime(second.start.At)))
			}
		}
	}
	return found
}

// checkLost finds accepted tasks that did not complete, watch tasks that are not running at
// the end of the run, and tasks that were reported completed without a completion, or
// completed without a report.
func checkLost(index *evidenceIndex) []string {
	var found []string
	for _, job := range index.Jobs {
		if job.Outcome != Answered || job.Canceled || job.MayFail {
			continue
		}
		for task := range job.Tasks {
			attempts := index.attempts[taskID{job: job.ID, task: task}]
			if text := describeLostTask(job, task, attempts, index.RunEnd); text != "" {
				found = append(found, text)
			}
		}
	}
	return found
}

func describeLostTask(job Job, task int, attempts []attempt, until time.Time) string {
	name := fmt.Sprintf("%s/%d", job.ID, task)
	if job.Watch {
		if slices.ContainsFunc(attempts, func(a attempt) bool { return a.phase == phaseCutShort && a.end.Equal(until) }) {
			return ""
		}
		return name + " is not running at the end of the run"
	}
	completed := slices.ContainsFunc(attempts, func(a attempt) bool { return a.phase == runner.PhaseCompleted })
	if !completed && slices.Contains(job.Completed, task) {
		return name + " was reported completed but never completed"
	}
	if !completed {
		return name + " never completed"
	}
	if !slices.Contains(job.Completed, task) {
		return name + " completed, but its caller was not notified"
	}
	return ""
}

// checkResumedProgress finds attempts that were stopped with a checkpoint and whose next
// attempt started with less progress than they had made.
func checkResumedProgress(index *evidenceIndex) []string {
	var found []string
	for _, id := range index.tasks {
		attempts := index.attempts[id]
		for i, first := range attempts {
			if first.phase != runner.PhaseStopped || i+1 == len(attempts) {
				continue
			}
			second := attempts[i+1]
			if second.start.ProgressMillis < first.progressMillis && !index.wasUnreachable(first.start.Host, first.end, second.start.At) {
				found = append(found, fmt.Sprintf("%s stopped on %s after %d ms of work, %s resumed on %s with %d ms",
					first.start.AttemptID(), first.start.Host, first.progressMillis,
					second.start.AttemptID(), second.start.Host, second.start.ProgressMillis))
			}
		}
	}
	return found
}

// usageChange is a change of the resources that the tasks of a host use together.
type usageChange struct {
	at        time.Time
	delta     apricotwinch.Resources
	attemptID string
}

// checkOvercommitted finds hosts whose tasks together used more than the capacity.
func checkOvercommitted(index *evidenceIndex) []string {
	changes := make(map[string][]usageChange)
	for _, id := range index.tasks {
		for _, a := range index.attempts[id] {
			host, attemptID := a.start.Host, a.start.AttemptID().String()
			changes[host] = append(changes[host],
				usageChange{at: a.start.At, delta: a.resources(), attemptID: attemptID},
				usageChange{at: a.end, delta: apricotwinch.Resources{}.Sub(a.resources()), attemptID: attemptID})
		}
	}
	var found []string
	for host, capacity := range index.Capacities {
		found = append(found, findOvercommits(host, capacity, changes[host])...)
	}
	return found
}

func findOvercommits(host string, capacity apricotwinch.Resources, changes []usageChange) []string {
	sort.SliceStable(changes, func(i, j int) bool {
		if changes[i].at.Equal(changes[j].at) {
			return changes[i].delta.Negative() && !changes[j].delta.Negative()
		}
		return changes[i].at.Before(changes[j].at)
	})
	var found []string
	var used apricotwinch.Resources
	for _, u := range changes {
		used = used.Add(u.delta)
		if !used.Fits(capacity) && !u.delta.Negative() {
			found = append(found, fmt.Sprintf("%s uses %s of %s from %s on, including %s", host, used, capacity, formatTime(u.at), u.attemptID))
		}
	}
	return found
}

// checkStartedOutOfService finds attempts that started in a data centre more than
// MaxStartAfterOut after it was taken out of service.
func checkStartedOutOfService(index *evidenceIndex) []string {
	var found []string
	for _, entry := range index.Journal {
		if entry.Event != journaler.TaskStarted {
			continue
		}
		for _, out := range index.OutOfService {
			forbidden := Window{From: out.From.Add(MaxStartAfterOut), To: out.To}
			if out.Subject == entry.DataCentre && forbidden.overlaps(entry.At, entry.At) {
				found = append(found, fmt.Sprintf("%s started on %s at %s; %s was out of service from %s",
					entry.AttemptID(), entry.Host, formatTime(entry.At), out.Subject, formatTime(out.From)))
			}
		}
	}
	return found
}

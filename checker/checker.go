// Package checker decides from evidence whether a run kept the guarantees of the scheduler.
// Evidence is what workers and targets wrote to their journals and what callers received.
// What the scheduler reports about itself counts only as an answer that must agree with the
// journals.
package checker

import (
	"fmt"
	"sort"
	"time"

	"apricotwinch"
	"apricotwinch/standin/journaler"
)

// Time limits that the guarantees set.
const (
	// MaxStartAfterOut is how long after a data centre was taken out of service a task may
	// still start there.
	MaxStartAfterOut = 5 * time.Second
	// MaxRequestAfterLeave is how long after a target announced that it is leaving it may
	// still receive a request.
	MaxRequestAfterLeave = 3 * time.Second
	// MaxSettingDelay is how long after its acceptance a setting may still be missing at a
	// process.
	MaxSettingDelay = 5 * time.Second
)

// Evidence holds what workers, targets and callers recorded during one run.
type Evidence struct {
	// Journal holds the entries of every worker and target, in any order.
	Journal []journaler.Entry
	// RunEnd is the end of the run. An attempt without an end in the journal counts as
	// running until then.
	RunEnd time.Time
	// Requests holds what callers received for requests.
	Requests []Request
	// Jobs holds what callers received for jobs.
	Jobs []Job
	// OutOfService holds the windows in which data centres were out of service.
	OutOfService []Window
	// Unreachable holds the windows in which hosts could not be reached. Work that ended on
	// a host in such a window may be run again.
	Unreachable []Window
	// Shutdowns holds the windows of graceful shutdowns, by process.
	Shutdowns []Window
	// Capacities holds the resources that the tasks of each host may use together.
	Capacities map[string]apricotwinch.Resources
	// AcceptedSettings holds the settings that the scheduler accepted.
	AcceptedSettings []Setting
	// ObservedSettings holds the settings that processes showed as in force.
	ObservedSettings []Setting
}

// Window is a span of time in which a condition held for a subject, both ends included. A
// zero To means the end of the run.
type Window struct {
	// Subject is the name of a data centre, a host or a process.
	Subject string
	// From is the start of the span.
	From time.Time
	// To is the end of the span.
	To time.Time
}

// overlaps reports whether the window and the span from from to to share a moment.
func (w Window) overlaps(from, to time.Time) bool {
	return !w.From.After(to) && (w.To.IsZero() || !w.To.Before(from))
}

// Outcome is what a caller received.
type Outcome string

const (
	// Answered is a complete successful answer.
	Answered Outcome = "answered"
	// NotRun is an error answer that states that the work was not run.
	NotRun Outcome = "not_run"
	// Unknown is an outcome that leaves open whether the work ran.
	Unknown Outcome = "unknown"
	// Broken is a connection that broke after the request was sent.
	Broken Outcome = "broken"
	// NotConnected is a refused connection; nothing was sent.
	NotConnected Outcome = "not_connected"
)

// Request is what a caller received for one request. Each request has a unique body, except
// that requests with the same key share one.
type Request struct {
	// Caller names the caller.
	Caller string
	// Service is the name of the service.
	Service string
	// Key is the idempotency key; empty for a request without one.
	Key string
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// BodyHash is the hash of the body that was sent.
	BodyHash string
	// SentAt is the time before the request was sent.
	SentAt time.Time
	// ReceivedAt is the time after the outcome was received.
	ReceivedAt time.Time
	// Outcome is what the caller received.
	Outcome Outcome
	// Answer is the body of an answer.
	Answer []byte
}

// Job is what a caller received for one job. Each submission has a unique payload.
type Job struct {
	// ID is the id of an accepted job.
	ID string
	// Team is the team that owns the job.
	Team string
	// BodyHash is the hash of the payload.
	BodyHash string
	// Tasks is the number of tasks.
	Tasks int
	// Watch reports whether the tasks run until the job is canceled.
	Watch bool
	// Outcome is Answered for an accepted job.
	Outcome Outcome
	// Canceled reports whether the caller canceled the job.
	Canceled bool
	// MayFail reports whether the tasks may fail permanently.
	MayFail bool
	// Completed holds the numbers of the tasks that were reported to the caller as
	// completed.
	Completed []int
}

// Setting is one subtree of the settings at a revision.
type Setting struct {
	// Process is the process that showed the setting; empty for an accepted setting.
	Process string
	// Path is the path of the subtree.
	Path string
	// Revision is the revision of the subtree.
	Revision int
	// Value is the value of the subtree in its encoded form.
	Value string
	// At is when the acceptance was received, or when the process was asked for the
	// setting.
	At time.Time
	// SeenAt is when the answer with the observed setting was received.
	SeenAt time.Time
}

// Violation is one broken guarantee.
type Violation struct {
	// Rule is the name of the rule.
	Rule string
	// Detail describes the evidence of the violation.
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// rule is one guarantee and its check, which returns a line for each violation.
type rule struct {
	name  string
	check func(*evidenceIndex) []string
}

// rules lists the guarantees in the order in which they are checked.
var rules = []rule{
	{"overlapping", checkOverlapping},
	{"doubled", checkRerun},
	{"lost", checkLost},
	{"resumed", checkResumedProgress},
	{"overcommitted", checkOvercommitted},
	{"started_out", checkStartedOutOfService},
	{"ran_after_not_run", checkRanAfterNotRun},
	{"ran_twice", checkRanTwice},
	{"wrong_answer", checkWrongAnswer},
	{"leaving_served", checkServedAfterLeaving},
	{"cut_off", checkBrokenByShutdown},
	{"reverted", checkRevertedSettings},
	{"late", checkLateSettings},
}

// Rules returns the names of the rules in the order in which they are checked.
func Rules() []string {
	names := make([]string, len(rules))
	for i, r := range rules {
		names[i] = r.name
	}
	return names
}

// Check returns the violations that the evidence shows, ordered by rule and then by their
// text.
func Check(evidence Evidence) []Violation {
	index := newEvidenceIndex(evidence)
	var violations []Violation
	for _, r := range rules {
		details := r.check(index)
		sort.Strings(details)
		for _, detail := range details {
			violations = append(violations, Violation{Rule: r.name, Detail: detail})
		}
	}
	return violations
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func formatSpan(from, to time.Time) string {
	return fmt.Sprintf("%s-%s", formatTime(from), formatTime(to))
}

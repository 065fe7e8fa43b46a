// Package checker decides from evidence whether a run kept the promises of the
// scheduler. Evidence is what workers and targets wrote into their journals and
// what callers received; what the scheduler says of itself counts only as an
// answer that must agree with the journals.
package checker

import (
	"fmt"
	"sort"
	"time"

	"apricotwinch"
	"apricotwinch/standin/journaler"
)

// Bounds that the promises set.
const (
	// OutBound is how long after a data centre was taken out a task may still start
	// there.
	OutBound = 5 * time.Second
	// LeaveBound is how long after a target announced its leave it may still get a
	// request.
	LeaveBound = 3 * time.Second
	// SettingsBound is how long after its acceptance a setting may be missing.
	SettingsBound = 5 * time.Second
)

// Evidence is what is known of one run.
type Evidence struct {
	// Journal holds the entries of every worker and target, in any order.
	Journal []journaler.Entry
	// Until is the end of the run; what had not ended by then still ran.
	Until time.Time
	// Requests holds what callers received for requests.
	Requests []Request
	// Jobs holds what callers received for jobs.
	Jobs []Job
	// Outs holds the times in which data centres were out of service.
	Outs []Window
	// CutOffs holds the times in which hosts could not be reached; work that ended
	// there meanwhile may be done again.
	CutOffs []Window
	// Shutdowns holds the times of graceful shutdowns, by process.
	Shutdowns []Window
	// Capacities holds what the tasks of each host may hold together.
	Capacities map[string]apricotwinch.Resources
	// Accepted holds the settings that were accepted.
	Accepted []Setting
	// Observed holds the settings that were seen in force.
	Observed []Setting
}

// Window is a span of time in which something held for a place; a zero To is
// the end of the run.
type Window struct {
	// Place is a data centre, a host or a process.
	Place string
	// From is the start of the span.
	From time.Time
	// To is the end of the span.
	To time.Time
}

// meets reports whether the window and the span from from to to share a moment.
func (w Window) meets(from, to time.Time) bool {
	return !w.From.After(to) && (w.To.IsZero() || !w.To.Before(from))
}

// Outcome is what a caller received.
type Outcome string

const (
	// Answered is a whole answer.
	Answered Outcome = "answered"
	// NotRun is a refusal that says that the work was not run.
	NotRun Outcome = "not_run"
	// Unknown is an answer that leaves open whether the work ran.
	Unknown Outcome = "unknown"
	// Broken is a connection that broke after the request was sent.
	Broken Outcome = "broken"
	// NotConnected is a connection that was refused, with nothing sent.
	NotConnected Outcome = "not_connected"
)

// Request is what a caller received for one request. Each call has a body of its
// own, but for calls with the same key.
type Request struct {
	// Caller names the caller.
	Caller string
	// Service is the name of the service.
	Service string
	// Key is the idempotency key; empty for a request without one.
	Key string
	// Idempotent tells whether the request may run more than once.
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

// Job is what a caller received for one job. Each submission has a payload of
// its own.
type Job struct {
	// ID is the id of an accepted job.
	ID string
	// Team is the team that owns the job.
	Team string
	// BodyHash is the hash of the payload.
	BodyHash string
	// Tasks is the number of tasks.
	Tasks int
	// Watch tells whether the tasks run until the job is canceled.
	Watch bool
	// Outcome is Answered for an accepted job.
	Outcome Outcome
	// Canceled tells whether the caller canceled the job.
	Canceled bool
	// MayFail tells whether the tasks may fail for good.
	MayFail bool
	// Completed holds the numbers of the tasks that the caller was told are done.
	Completed []int
}

// Setting is one subtree of the settings at a revision.
type Setting struct {
	// Place is the process that showed the setting; empty for an acceptance.
	Place string
	// Path is the path of the subtree.
	Path string
	// Revision is the revision of the subtree.
	Revision int
	// Value is the value of the subtree in its encoded form.
	Value string
	// At is when the acceptance was received, or when the observation was asked for.
	At time.Time
	// SeenAt is when the observation was received.
	SeenAt time.Time
}

// Violation is one promise that was broken.
type Violation struct {
	// Rule is the name of the rule.
	Rule string
	// Detail says what was seen.
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// rule is one promise and the check of it.
type rule struct {
	name  string
	check func(*facts) []string
}

// rules is the table of promises in a fixed order.
var rules = []rule{
	{"overlapping", checkOverlapping},
	{"doubled", checkDoubled},
	{"lost", checkLost},
	{"resumed", checkResumed},
	{"overcommitted", checkOvercommitted},
	{"started_out", checkStartedOut},
	{"ran_after_not_run", checkRanAfterNotRun},
	{"ran_twice", checkRanTwice},
	{"wrong_answer", checkWrongAnswer},
	{"leaving_served", checkLeavingServed},
	{"cut_off", checkCutOff},
	{"reverted", checkReverted},
	{"late", checkLate},
}

// Rules returns the names of the rules in the order in which they are checked.
func Rules() []string {
	names := make([]string, len(rules))
	for i, r := range rules {
		names[i] = r.name
	}
	return names
}

// Check returns the promises that the evidence shows to be broken, by rule and
// then in order of their text.
func Check(evidence Evidence) []Violation {
	known := newFacts(evidence)
	var violations []Violation
	for _, r := range rules {
		details := r.check(known)
		sort.Strings(details)
		for _, detail := range details {
			violations = append(violations, Violation{Rule: r.name, Detail: detail})
		}
	}
	return violations
}

func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }

func span(from, to time.Time) string { return fmt.Sprintf("%s-%s", stamp(from), stamp(to)) }

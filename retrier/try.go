package retrier

import (
	"time"

	"apricotwinch"
)

// Try is one ended try of a request.
type Try struct {
	team       string
	target     string
	number     int
	idempotent bool
	deadline   time.Time
	kind       apricotwinch.Kind
}

// NewTry returns a try of a request of team. Tries are numbered from 1, target is the
// name of the host that it was sent to, and kind is the kind of its error, empty for
// an answer. An idempotent request may run more than once.
func NewTry(team, target string, number int, idempotent bool, deadline time.Time, kind apricotwinch.Kind) Try {
	return Try{team: team, target: target, number: number, idempotent: idempotent, deadline: deadline, kind: kind}
}

// maySucceedElsewhere holds the error kinds after which another target may still answer the
// request successfully.
var maySucceedElsewhere = map[apricotwinch.Kind]bool{
	apricotwinch.NoCapacity:       true,
	apricotwinch.Overloaded:       true,
	apricotwinch.Draining:         true,
	apricotwinch.DataCentreOut:    true,
	apricotwinch.StaleIncarnation: true,
	apricotwinch.Unreachable:      true,
	apricotwinch.Revoked:          true,
	apricotwinch.Unknown:          true,
	apricotwinch.TargetFailed:     true,
	apricotwinch.Internal:         true,
}

// Reason is the reason why a request is not tried again. It is empty for a retry.
type Reason string

const (
	// Answered is a request that got an answer and needs no other try.
	Answered Reason = "answered"
	// Final is an error of a kind that another target would return as well.
	Final Reason = "final"
	// MayHaveRun is a request that may have run and must not run twice.
	MayHaveRun Reason = "may_have_run"
	// Tries is a request that used up its allowed number of tries.
	Tries Reason = "tries"
	// Deadline is a request with too little time left until its deadline.
	Deadline Reason = "deadline"
	// TargetBudget is a target whose retry budget is used up.
	TargetBudget Reason = "target_budget"
	// TeamBudget is a team whose retry budget is used up.
	TeamBudget Reason = "team_budget"
)

// Decision is whether and when a request is tried again.
type Decision struct {
	reason Reason
	kind   apricotwinch.Kind
	at     time.Time
}

// Retry reports whether the request is tried again.
func (d Decision) Retry() bool { return d.reason == "" }

// At returns the time when the next try starts.
func (d Decision) At() time.Time { return d.at }

// Reason returns why there is no other try. It is empty if there is one.
func (d Decision) Reason() Reason { return d.reason }

// Counter returns the name of the counter that counts decisions like d: a retry
// by the kind that caused it, a refusal by its reason.
func (d Decision) Counter() string {
	if d.Retry() {
		return "retrier.retried." + string(d.kind)
	}
	if d.reason == Answered {
		return "retrier.answered"
	}
	return "retrier.refused." + string(d.reason)
}

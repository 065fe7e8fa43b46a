package retrier

import (
	"time"

	"apricotwinch"
)

// Try is one try at a request that ended.
type Try struct {
	team       string
	target     string
	number     int
	idempotent bool
	deadline   time.Time
	kind       apricotwinch.Kind
}

// NewTry returns try number, from 1, at a request of team, sent to target (the
// name of its host) and ended with kind, empty for an answer. An idempotent
// request may run more than once.
func NewTry(team, target string, number int, idempotent bool, deadline time.Time, kind apricotwinch.Kind) Try {
	return Try{team: team, target: target, number: number, idempotent: idempotent, deadline: deadline, kind: kind}
}

// elsewhere lists the kinds that another target may not answer with.
var elsewhere = map[apricotwinch.Kind]bool{
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

// Reason is why a request is not tried again; the empty Reason is a retry.
type Reason string

const (
	// Answered is a request that needs no other try.
	Answered Reason = "answered"
	// Final is a kind of error that another target would answer too.
	Final Reason = "final"
	// MayHaveRun is a request that may have run and must not run twice.
	MayHaveRun Reason = "may_have_run"
	// Tries is a request that was tried as often as allowed.
	Tries Reason = "tries"
	// Deadline is a request with too little time left.
	Deadline Reason = "deadline"
	// TargetBudget is a target that failed more requests than its budget has
	// retries for.
	TargetBudget Reason = "target_budget"
	// TeamBudget is a team whose requests used up its retries.
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

// At returns when the next try starts.
func (d Decision) At() time.Time { return d.at }

// Reason returns why there is no other try, empty when there is one.
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

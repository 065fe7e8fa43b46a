package custodian

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Announcement is the state that an executor announces.
type Announcement struct {
	ID string
	// StartedMillis is the Unix time of the executor's start, in milliseconds; it identifies the
	// incarnation.
	StartedMillis int
	// Sequence rises with each announcement of an incarnation.
	Sequence   int
	Service    string
	Address    string
	DataCentre string
	Capacity   apricotwinch.Resources
	Labels     []string
	Draining   bool
	// Remaining is the least time until a draining executor shuts down.
	Remaining time.Duration
	// Clock is the time on the executor's own clock.
	Clock time.Duration
}

// Answer is an executor's answer to a call.
type Answer struct {
	// Clock is the time on the executor's own clock; 0 for unknown.
	Clock time.Duration
	// StartedMillis is the Unix time of the executor's start, in milliseconds; 0 for unknown.
	StartedMillis int
}

// HoldAnswer is an executor's answer to a hold: all runs that it has and the ends of runs that
// are not acknowledged.
type HoldAnswer struct {
	Answer
	Runs []messenger.RunState
	// Ends holds the ends in the order in which they were listed, the zero value for a row that can't
	// be read.
	Ends []messenger.RunEnd
	// RunsIncomplete and EndsIncomplete are set when there may be more runs than Runs, or more ends
	// than Ends, holds.
	RunsIncomplete bool
	EndsIncomplete bool
}

// HoldCall renews the leases of an executor and asks for its runs and ends.
type HoldCall struct {
	Executor string
	// Born identifies the incarnation that the call is for; see Announcement.StartedMillis.
	Born    int
	Address string
	Token   int64
	// AckedEnd is the number of the last durable end, to acknowledge it once; 0 when there is none
	// to acknowledge.
	AckedEnd int
	// Deadline is the end of the leases on the executor's own clock; 0 for no lease.
	Deadline time.Duration
	// Wait is how long the executor waits for a run to end before it answers.
	Wait time.Duration
}

// StartCall starts a run.
type StartCall struct {
	Executor string
	// Born identifies the incarnation that the call is for.
	Born    int
	Address string
	Token   int64
	// Deadline is the end of the run's lease on the executor's own clock.
	Deadline time.Duration
	Order    messenger.StartOrder
}

// RunCall stops a run, or limits it to a percentage of its full speed.
type RunCall struct {
	Executor string
	// Born identifies the incarnation that the call is for.
	Born    int
	Address string
	Token   int64
	Run     messenger.RunRef
	Percent int
}

// executor is one incarnation of an executor.
type executor struct {
	Announcement
	token int64
	// tokenIncrement is added to the next token when a hold was rejected for a low token, and
	// grows with each such rejection. Calls for an earlier incarnation may have left a greater
	// token at the executor.
	tokenIncrement int64
	// confirmed is set when the executor has answered a hold with this token. Calls of an earlier agent, and
	// those for an earlier incarnation, can no longer take effect then.
	confirmed     bool
	clock         time.Duration
	clockAt       time.Time
	lastContactAt time.Time
	// runsListedAt is when the executor last listed its runs, and so their progress, in the answer to a hold.
	runsListedAt time.Time
	// unansweredSince is when the first hold since the last answer was sent that failed; zero if none
	// has.
	unansweredSince time.Time
	announcedAt     time.Time
	// reportedAt is when a report first listed the executor since it was confirmed. The owner's answers to
	// this and later reports renew its leases until leaseUntil. The last lease that the executor may have
	// received from this agent ends at grantedUntil.
	reportedAt    time.Time
	leaseUntil    time.Time
	grantedUntil  time.Time
	drainDeadline time.Time
	// listed is whether a report has listed the executor.
	listed bool
	runs   map[messenger.RunRef]*run
	// sorted caches the runs in the order of compareRuns; nil after a change.
	sorted []*run
	ends   []messenger.RunEnd
	// lastEnd is the number of the last end that was received, durableEnd that of the last one that
	// the owner has made durable.
	lastEnd    int
	durableEnd int
	// runsIncomplete and endsIncomplete are set when the last lists may have lacked runs or ends.
	runsIncomplete bool
	endsIncomplete bool
	// runsKnown is set when the runs were once listed completely. As only this agent starts runs at
	// the executor from then on, runs holds all that may still run.
	runsKnown bool
	doubt     doubt
	// strayLeaseEnd is when all leases have ended that the executor may have received before it was
	// confirmed; zero if it hasn't been.
	strayLeaseEnd time.Time
	leaseCalls    leaseCalls
	// outranked is set once the executor has rejected the token with which it was confirmed, and rejected until it is
	// confirmed again.
	outranked, rejected bool
	// ackedEnd is the number of the last end whose acknowledgment reached the executor, and durable holds the
	// durable ends after it.
	ackedEnd int
	durable  []durableEnds
	// answeredHoldAt is when the last hold was sent that the executor has answered.
	answeredHoldAt time.Time
	reserved       apricotwinch.Resources
}

// run is a run at an executor.
type run struct {
	order messenger.StartOrder
	// known is whether order is the owner's; the order of a run that was found at the executor
	// names only the run and the executor until the owner sends the whole.
	known bool
	// found is whether the run was found at the executor: another agent may have started it.
	found bool
	phase string
	// confirmedAt is the time as of which the executor last confirmed the run; zero if it never did.
	confirmedAt time.Time
	// maybeStarted is set when a call that starts the run got no answer: the executor may carry it
	// out later. refusal is why it refused a call after that; empty if it has not.
	maybeStarted bool
	refusal      apricotwinch.Kind
	// fenced is set when the executor's token was raised while the run was in doubt. Once the
	// executor has answered a call with that token, a run that it doesn't list can't start.
	fenced   bool
	inFlight bool
	retryAt  time.Time
	// startCalls tells the calls that start the run and may yet be carried out.
	startCalls startCalls
	// lateSince is since when the run waits for a late start; zero if it doesn't.
	lateSince time.Time
	state     messenger.RunState
	// pace is the allowed percentage of full speed, loggedPace the pace that was logged last.
	pace       int
	loggedPace int
	// preferredUntil is until when other best-effort runs are throttled before this one.
	preferredUntil time.Time
	// undisturbed is the headroom that a serving task would have without best-effort work.
	undisturbed float64
	smoothedAt  time.Time
	// onTargetAt is when its tail latency was last under its target.
	onTargetAt time.Time
}

// updateClock records the executor's clock as of an answer that was received at now.
func (e *executor) updateClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		e.clock = clock
		e.clockAt = now
	}
}

// maxClockDeviation bounds how far the clock in an answer may seem to be from where the executor's clock is: no answer takes
// longer.
const maxClockDeviation = 1500 * time.Millisecond

// isFromAnother reports whether an answer was given by another incarnation. Only lists name the incarnation; of other
// answers the clock tells, as each incarnation's starts anew.
func (e *executor) isFromAnother(now time.Time, answer Answer) bool {
	switch {
	case answer.StartedMillis != 0:
		return answer.StartedMillis != e.StartedMillis
	case answer.Clock == 0 || e.clock == 0:
		return false
	}
	elapsed, ahead := now.Sub(e.clockAt), answer.Clock-e.clock
	return ahead > elapsed+maxClockDeviation || ahead < time.Duration(float64(elapsed)*minClockRate)-maxClockDeviation
}

// minClockRate is the least rate of an executor's clock compared with the agent's.
const minClockRate = 0.98

// deadline converts until to the executor's clock. That clock reaches the result no later than
// until, even if it runs slow.
func (e *executor) deadline(until time.Time) time.Duration {
	return e.clock + time.Duration(float64(until.Sub(e.clockAt))*minClockRate)
}

// reservation returns the resources that are reserved for a run. Best-effort work reserves no
// processors.
func (r *run) reservation() apricotwinch.Resources {
	requested := r.order.Resources.Value()
	if r.order.Fills {
		return requested.WithoutProcessors()
	}
	return requested
}

// inDoubt reports whether a call that starts the run was made and the executor has not shown
// what came of it: it may still carry the call out.
func (r *run) inDoubt() bool { return r.confirmedAt.IsZero() && !r.fenced }

func (e *executor) hasRunInDoubt() bool { return e.countInDoubt() > 0 }

// countInDoubt returns the number of runs in doubt.
func (e *executor) countInDoubt() int {
	n := 0
	for _, r := range e.runs {
		if r.inDoubt() {
			n++
		}
	}
	return n
}

// listsIncomplete reports whether the executor is reported and may have runs or ends that it has not
// listed.
func (e *executor) listsIncomplete() bool { return e.confirmed && (e.endsIncomplete || !e.runsKnown) }

// unconfirm records that the executor isn't reported until it has answered a hold with the present token. The answers
// to reports that don't list it renew no leases: the owner takes them for no later than it was listed.
func (e *executor) unconfirm() {
	e.confirmed = false
	e.reportedAt = time.Time{}
}

func (e *executor) add(r *run) {
	e.runs[r.order.Run] = r
	e.sorted = nil
	e.reserved = e.reserved.Add(r.reservation())
}

func (e *executor) remove(ref messenger.RunRef) {
	if r := e.runs[ref]; r != nil {
		e.reserved = e.reserved.Sub(r.reservation())
		delete(e.runs, ref)
		e.sorted = nil
	}
}

package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Config holds the timing and the limits of a scheduler.
type Config struct {
	// Lease is the length of a granted lease, counted from the agent's ticket, the agent's
	// own clock reading.
	Lease time.Duration
	// Margin is added to the end of a lease before the owner treats it as ended.
	Margin time.Duration
	// OutageAllowance is how long an owner that can't renew its claim may go on granting
	// leases.
	OutageAllowance time.Duration
	// Resend is the interval after which an unanswered command is sent again.
	Resend time.Duration
	// MaxTicketAge is the greatest age of the ticket that an assignment may carry.
	MaxTicketAge time.Duration
	// StartsPerTick is the maximum number of waiting tasks that one tick tries to assign.
	StartsPerTick int
	// StopsPerTick is the maximum number of stop commands that one tick sends; throttle
	// commands have a separate limit of the same size.
	StopsPerTick int
	// PlaceRetry is the delay before a task whose start failed, for example because no host
	// had room, is tried again.
	PlaceRetry time.Duration
}

// DefaultConfig returns the default settings, which an operator may override.
func DefaultConfig() Config {
	return Config{
		Lease:           10 * time.Second,
		Margin:          2 * time.Second,
		OutageAllowance: 10 * time.Minute,
		Resend:          time.Second,
		MaxTicketAge:    3 * time.Second,
		StartsPerTick:   200,
		StopsPerTick:    50,
		PlaceRetry:      500 * time.Millisecond,
	}
}

// Host describes a host on which a scheduler starts a task.
type Host struct {
	Name         string
	Address      string
	Incarnation  string
	DataCentre   string
	TicketMillis int
	TicketAt     time.Time
}

// Request is a task that needs a host.
type Request struct {
	Attempt     apricotwinch.AttemptID
	Team        string
	Name        string
	Urgency     apricotwinch.Urgency
	Need        apricotwinch.Resources
	FailedHosts []string
}

// Dependencies holds the functions through which a scheduler reads other state and delegates
// decisions.
type Dependencies struct {
	// Quota returns the resources that the tasks of a team may hold at the same time, and
	// the team's weight; false means that the team has no quota.
	Quota func(team string) (apricotwinch.Resources, float64, bool)
	// Total returns the capacity of all hosts together.
	Total func() apricotwinch.Resources
	// CorrectSize returns the corrected size of a task of the jobs called name, given the
	// declared size.
	CorrectSize func(now time.Time, team, name string, declared apricotwinch.Resources) apricotwinch.Resources
	// Place chooses a host and reserves the request's need there. It fails with kind
	// NoCapacity, Unschedulable or NoTarget.
	Place func(now time.Time, request Request) (string, error)
	// OnAccepted reports that the agent accepted an attempt.
	OnAccepted func(now time.Time, attempt apricotwinch.AttemptID)
	// OnAdopted reports an attempt that an earlier owner placed on a host. It returns the
	// share of its processors that the attempt should keep, in thousandths.
	OnAdopted func(host string, request Request) int
	// ReleasePlacement releases the reservation of an attempt that was not started.
	ReleasePlacement func(host string, attempt apricotwinch.AttemptID)
	// Lookup returns a live host by name.
	Lookup func(host string) (Host, bool)
	// DataCentreOut reports whether a data centre is out of service.
	DataCentreOut func(dataCentre string) bool
	// OnEnded reports how an attempt ended and returns what happens to its task next.
	OnEnded func(now time.Time, end AttemptEnd) NextStep
}

// NextStep is what happens next to the task of an attempt that ended.
type NextStep struct {
	// NotBefore is the earliest time of the next attempt.
	NotBefore time.Time
	// Park is why the job must be parked; empty means that it is not.
	Park string
}

// AttemptEnd describes how one attempt ended.
type AttemptEnd struct {
	Attempt     apricotwinch.AttemptID
	Host        string
	DataCentre  string
	MaxAttempts int
	// Type is the type of the record that ended the attempt.
	Type string
	// Reason is the error kind or the text of the cause.
	Reason string
}

// Action is one action that the caller carries out for a scheduler: exactly one of Append,
// Assign, Stop and Throttle is set.
type Action struct {
	// Append is a record to append to the partition's stream. The caller reports the
	// outcome with Apply, once the record is applied to the state, or with AppendFailed.
	Append *messenger.LedgerRecord
	// Assign is a command to send to Address; the caller reports the answer with
	// AssignAnswered.
	Assign *messenger.Assign
	// Stop is a command to send to Address; it needs no answer.
	Stop *messenger.Stop
	// Throttle is a command to send to Address; the caller reports the answer with
	// ThrottleAnswered.
	Throttle *messenger.Throttle
	// Address is the address to which the command is sent.
	Address string
}

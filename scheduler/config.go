package scheduler

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Config is the timing and the caps of a scheduler.
type Config struct {
	// Lease is the length of a granted lease, counted from the agent's ticket.
	Lease time.Duration
	// Margin is added to a lease before it counts as over.
	Margin time.Duration
	// OutageAllowance is how long an owner without a fresh claim may go on
	// granting leases.
	OutageAllowance time.Duration
	// Resend is the period after which an unanswered command is sent again.
	Resend time.Duration
	// MaxTicketAge is the greatest age of a ticket that a start may carry.
	MaxTicketAge time.Duration
	// StartsPerTick caps the assignments of one tick.
	StartsPerTick int
	// StopsPerTick caps the stop commands of one tick, and the throttle commands.
	StopsPerTick int
	// PlaceRetry is the delay before a task that found no host is tried again.
	PlaceRetry time.Duration
}

// DefaultConfig returns the settings in force unless an operator changes them.
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

// Host is what a scheduler needs to know of the host that it starts a task on.
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

// Seams are the decisions and views that a scheduler is given.
type Seams struct {
	// Quota returns what the tasks of a team may hold at once and the team's weight;
	// false means that the team has no quota.
	Quota func(team string) (apricotwinch.Resources, float64, bool)
	// Total returns the capacity of the fleet.
	Total func() apricotwinch.Resources
	// Size corrects the declared size of a task of the jobs called name.
	Size func(now time.Time, team, name string, declared apricotwinch.Resources) apricotwinch.Resources
	// Place chooses a host and reserves room on it, or fails with kind NoCapacity,
	// Unschedulable or NoTarget.
	Place func(now time.Time, request Request) (string, error)
	// Accepted tells that the agent of its host accepted an attempt.
	Accepted func(now time.Time, attempt apricotwinch.AttemptID)
	// Adopted tells of an attempt that an earlier owner placed on a host.
	Adopted func(host string, request Request)
	// Unplace gives back the room of a placement that came to nothing.
	Unplace func(host string, attempt apricotwinch.AttemptID)
	// Lookup returns a live host by name.
	Lookup func(host string) (Host, bool)
	// DataCentreOut reports whether a data centre is out of service.
	DataCentreOut func(dataCentre string) bool
	// Ended tells how an attempt ended and returns what follows for its task.
	Ended func(now time.Time, end End) Verdict
}

// Verdict is what follows for the task of an attempt that ended.
type Verdict struct {
	// NotBefore is the earliest time of the next attempt.
	NotBefore time.Time
	// Park is why the job must be parked, or "".
	Park string
}

// End is how one attempt ended.
type End struct {
	Attempt     apricotwinch.AttemptID
	Host        string
	DataCentre  string
	MaxAttempts int
	// Type is the type of the record that ended the attempt.
	Type string
	// Reason is the error kind or text of the cause.
	Reason string
}

// Action is what the driver does for a scheduler: exactly one field is set.
type Action struct {
	// Append is a record to append to the partition's stream; its fate comes back
	// by Applied when it is folded, or by AppendFailed.
	Append *messenger.LedgerRecord
	// Assign is a command to send to Address; its answer comes back by AssignAnswered.
	Assign *messenger.Assign
	// Stop is a command to send to Address; it needs no answer.
	Stop *messenger.Stop
	// Throttle is a command to send to Address; its answer comes back by
	// ThrottleAnswered.
	Throttle *messenger.Throttle
	// Address is where the command goes.
	Address string
}

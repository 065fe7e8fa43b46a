package judge

import (
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// Attempt is an attempt with the host that it was given.
type Attempt struct {
	id         apricotwinch.AttemptID
	host       string
	dataCentre string
}

// NewAttempt returns attempt id on a host of a data centre.
func NewAttempt(id apricotwinch.AttemptID, host, dataCentre string) Attempt {
	return Attempt{id: id, host: host, dataCentre: dataCentre}
}

// ID returns the id of the attempt.
func (a Attempt) ID() apricotwinch.AttemptID { return a.id }

// Host returns the name of the host.
func (a Attempt) Host() string { return a.host }

// DataCentre returns the data centre of the host.
func (a Attempt) DataCentre() string { return a.dataCentre }

// Reason names why a verdict was given; it is the name of a counter.
type Reason string

const (
	// RetryFailed is a retry after a failure that counts against the job.
	RetryFailed Reason = "retry.failed"
	// RetryBadHost is a retry after a failure on a host in quarantine.
	RetryBadHost Reason = "retry.bad_host"
	// RetryLost is a retry after a lease that ended without an outcome.
	RetryLost Reason = "retry.lost"
	// ParkTask is a job parked for one task that failed on too many hosts.
	ParkTask Reason = "park.task"
	// ParkJob is a job parked because all of its tasks fail everywhere.
	ParkJob Reason = "park.job"
	// ParkLimit is a job parked for one task that failed too often.
	ParkLimit Reason = "park.limit"
	// HostQuarantined is a host that failed everything.
	HostQuarantined Reason = "host.quarantined"
	// HostSpared is a host that failed everything while too many are in quarantine.
	HostSpared Reason = "host.spared"
	// HostTrial is a host that gets one task.
	HostTrial Reason = "host.trial"
	// HostTrialFailed is a host whose trial failed.
	HostTrialFailed Reason = "host.trial_failed"
	// HostTrialLost is a host whose trial ended without an outcome.
	HostTrialLost Reason = "host.trial_lost"
	// HostReleased is a host that left quarantine.
	HostReleased Reason = "host.released"
)

// Verdict says what happens to the work of an attempt that ended.
type Verdict struct {
	park      bool
	notBefore time.Time
	avoid     []string
	reason    Reason
}

// Park reports whether the job is parked; otherwise the task is tried again.
func (v Verdict) Park() bool { return v.park }

// NotBefore returns the earliest time of the next attempt.
func (v Verdict) NotBefore() time.Time { return v.notBefore }

// Avoid returns the hosts that the next attempt avoids.
func (v Verdict) Avoid() []string { return v.avoid }

// Reason returns why the verdict was given.
func (v Verdict) Reason() Reason { return v.reason }

// Change is a host with a new standing.
type Change struct {
	host     string
	standing placer.Standing
	reason   Reason
}

// Host returns the name of the host.
func (c Change) Host() string { return c.host }

// Standing returns the new standing.
func (c Change) Standing() placer.Standing { return c.standing }

// Reason returns why the standing changed.
func (c Change) Reason() Reason { return c.reason }

package diagnoser

import (
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

// Attempt is an attempt with the host on which it was placed.
type Attempt struct {
	id         apricotwinch.AttemptID
	host       string
	dataCentre string
}

// NewAttempt returns attempt id on a host in a data centre.
func NewAttempt(id apricotwinch.AttemptID, host, dataCentre string) Attempt {
	return Attempt{id: id, host: host, dataCentre: dataCentre}
}

// ID returns the id of the attempt.
func (a Attempt) ID() apricotwinch.AttemptID { return a.id }

// Host returns the name of the host.
func (a Attempt) Host() string { return a.host }

// DataCentre returns the data centre of the host.
func (a Attempt) DataCentre() string { return a.dataCentre }

// Reason says why a verdict was given or an eligibility changed. It is also the name of the
// counter that counts the cases.
type Reason string

const (
	// RetryFailed is a retry after a failure that counts against the job.
	RetryFailed Reason = "retry.failed"
	// RetryBadHost is a retry after a failure on a host in quarantine.
	RetryBadHost Reason = "retry.bad_host"
	// RetryLost is a retry after a lease that ended without an outcome.
	RetryLost Reason = "retry.lost"
	// ParkTask parks a job because one task failed on too many hosts.
	ParkTask Reason = "park.task"
	// ParkJob parks a job because none of its tasks completed and they fail on every host.
	ParkJob Reason = "park.job"
	// ParkLimit parks a job because one task failed too often.
	ParkLimit Reason = "park.limit"
	// HostQuarantined is a host that is put into quarantine for its failures.
	HostQuarantined Reason = "host.quarantined"
	// HostQuarantineCapped is a host that stays open despite its failures, because too many
	// hosts are in quarantine.
	HostQuarantineCapped Reason = "host.spared"
	// HostTrial is a host in quarantine that may get one task.
	HostTrial Reason = "host.trial"
	// HostTrialFailed is a host whose trial failed.
	HostTrialFailed Reason = "host.trial_failed"
	// HostTrialLost is a host whose trial ended without an outcome.
	HostTrialLost Reason = "host.trial_lost"
	// HostReleased is a host that left quarantine.
	HostReleased Reason = "host.released"
)

// Verdict is the decision about the task of an attempt that ended.
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

// HostsToAvoid returns the hosts that the next attempt avoids.
func (v Verdict) HostsToAvoid() []string { return v.avoid }

// Reason returns why the verdict was given.
func (v Verdict) Reason() Reason { return v.reason }

// Change is a host whose eligibility was reviewed, with its eligibility now and the reason.
type Change struct {
	host        string
	eligibility placer.Eligibility
	reason      Reason
}

// Host returns the name of the host.
func (c Change) Host() string { return c.host }

// Eligibility returns the host's eligibility after the change.
func (c Change) Eligibility() placer.Eligibility { return c.eligibility }

// Reason returns why the eligibility changed, or why it did not for HostQuarantineCapped.
func (c Change) Reason() Reason { return c.reason }

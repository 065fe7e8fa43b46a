package observer

import (
	"time"

	"apricotwinch"
)

// Resident is a task or service instance on a host.
type Resident struct {
	id      apricotwinch.AttemptID
	class   string
	urgency apricotwinch.Urgency
}

// NewResident returns the work of attempt id. Work of the same class is assumed to
// interfere in the same way. Only batch work is throttled or evicted.
func NewResident(id apricotwinch.AttemptID, class string, urgency apricotwinch.Urgency) Resident {
	return Resident{id: id, class: class, urgency: urgency}
}

// ID returns the id of the attempt.
func (r Resident) ID() apricotwinch.AttemptID { return r.id }

// Class returns the class of the work.
func (r Resident) Class() string { return r.class }

// Urgency returns the urgency of the work.
func (r Resident) Urgency() apricotwinch.Urgency { return r.urgency }

// Report is a measurement of how much slower work ran than it does undisturbed.
type Report struct {
	host      string
	id        apricotwinch.AttemptID
	slowdown  float64
	sampledAt time.Time
}

// NewReport returns a report of the slowdown, as a ratio of at least 1, of a resident
// of a host. It was measured at sampledAt, which may be long past.
func NewReport(host string, id apricotwinch.AttemptID, slowdown float64, sampledAt time.Time) Report {
	return Report{host: host, id: id, slowdown: slowdown, sampledAt: sampledAt}
}

// Host returns the name of the host.
func (r Report) Host() string { return r.host }

// ID returns the resident that was measured.
func (r Report) ID() apricotwinch.AttemptID { return r.id }

// Slowdown returns the slowdown as a ratio to an undisturbed run.
func (r Report) Slowdown() float64 { return r.slowdown }

// SampledAt returns the time of the measurement.
func (r Report) SampledAt() time.Time { return r.sampledAt }

// Step is a reaction to work that harms its neighbors.
type Step string

const (
	// Throttle slows the work down.
	Throttle Step = "throttle"
	// Restore ends a throttle.
	Restore Step = "restore"
	// Evict checkpoints the work, stops it and requeues it.
	Evict Step = "evict"
)

// Action is a step to execute on one resident.
type Action struct {
	host string
	id   apricotwinch.AttemptID
	step Step
}

// Host returns the name of the host.
func (a Action) Host() string { return a.host }

// ID returns the id of the attempt.
func (a Action) ID() apricotwinch.AttemptID { return a.id }

// Step returns the step.
func (a Action) Step() Step { return a.step }

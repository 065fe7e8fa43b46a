package estimator

import (
	"time"

	"apricotwinch"
)

// Class identifies tasks that are assumed to have similar use: those of a team's jobs
// with the same name.
type Class struct {
	team string
	name string
}

// NewClass returns the class of a team's jobs called name.
func NewClass(team, name string) Class { return Class{team: team, name: name} }

// Team returns the team.
func (c Class) Team() string { return c.team }

// Name returns the name of the jobs.
func (c Class) Name() string { return c.name }

// String returns the class as team/name.
func (c Class) String() string { return c.team + "/" + c.name }

// Sample is one report of the resource use of a task.
type Sample struct {
	class     Class
	used      apricotwinch.Resources
	granted   apricotwinch.Resources
	sampledAt time.Time
}

// NewSample returns a report of the resources that a task of a class was using, and
// was granted, at sampledAt, which may be long past.
func NewSample(class Class, used, granted apricotwinch.Resources, sampledAt time.Time) Sample {
	return Sample{class: class, used: used, granted: granted, sampledAt: sampledAt}
}

// Class returns the class of the task.
func (s Sample) Class() Class { return s.class }

// Used returns the resources that the task used.
func (s Sample) Used() apricotwinch.Resources { return s.used }

// Granted returns the resources that the task was granted.
func (s Sample) Granted() apricotwinch.Resources { return s.granted }

// SampledAt returns the time of the measurement.
func (s Sample) SampledAt() time.Time { return s.sampledAt }

package estimator

import (
	"time"

	"apricotwinch"
)

// Class names the tasks that are taken to be alike: those of one job name of a
// team.
type Class struct {
	team string
	name string
}

// NewClass returns the class of the jobs called name of a team.
func NewClass(team, name string) Class { return Class{team: team, name: name} }

// Team returns the team.
func (c Class) Team() string { return c.team }

// Name returns the name of the jobs.
func (c Class) Name() string { return c.name }

// String returns the class as team/name.
func (c Class) String() string { return c.team + "/" + c.name }

// Sample is one report of the use of a task.
type Sample struct {
	class     Class
	used      apricotwinch.Resources
	granted   apricotwinch.Resources
	sampledAt time.Time
}

// NewSample returns a report of what a task of a class, granted some resources,
// used at sampledAt, which may be long past.
func NewSample(class Class, used, granted apricotwinch.Resources, sampledAt time.Time) Sample {
	return Sample{class: class, used: used, granted: granted, sampledAt: sampledAt}
}

// Class returns the class of the task.
func (s Sample) Class() Class { return s.class }

// Used returns what the task used.
func (s Sample) Used() apricotwinch.Resources { return s.used }

// Granted returns what the task was granted.
func (s Sample) Granted() apricotwinch.Resources { return s.granted }

// SampledAt returns the time of the measurement.
func (s Sample) SampledAt() time.Time { return s.sampledAt }

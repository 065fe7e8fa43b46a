package apricotwinch

import "fmt"

// Locality is the location of a machine: its region, data centre and rack.
type Locality struct {
	region     string
	dataCentre string
	rack       string
}

// NewLocality returns the locality of a machine.
func NewLocality(region, dataCentre, rack string) Locality {
	return Locality{region: region, dataCentre: dataCentre, rack: rack}
}

// Region returns the region.
func (l Locality) Region() string { return l.region }

// DataCentre returns the data centre.
func (l Locality) DataCentre() string { return l.dataCentre }

// Rack returns the rack.
func (l Locality) Rack() string { return l.rack }

// AttemptID identifies one attempt at a task of a job.
type AttemptID struct {
	job     string
	task    int
	attempt int
}

// NewAttemptID returns the ID of an attempt at a task of job. Tasks are numbered from 0, attempts
// from 1.
func NewAttemptID(job string, task, attempt int) AttemptID {
	return AttemptID{job: job, task: task, attempt: attempt}
}

// Job returns the id of the job.
func (a AttemptID) Job() string { return a.job }

// Task returns the number of the task within its job, from 0.
func (a AttemptID) Task() int { return a.task }

// Attempt returns the number of the attempt, from 1.
func (a AttemptID) Attempt() int { return a.attempt }

// String returns the id as job/task/attempt.
func (a AttemptID) String() string { return fmt.Sprintf("%s/%d/%d", a.job, a.task, a.attempt) }

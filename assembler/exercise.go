package assembler

import (
	"context"
	"fmt"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/generator"
	"apricotwinch/messenger"
	"apricotwinch/requester"
)

const (
	maxInFlight      = 1000
	bodyBytes        = 64
	jobsPollInterval = 250 * time.Millisecond
	// jobsTimeout bounds the wait for the jobs after the last request.
	jobsTimeout = time.Minute
)

// Report holds the results of an exercise.
type Report struct {
	requests generator.Summary
	jobs     []messenger.JobState
}

// Requests returns the summary of the requests.
func (r Report) Requests() generator.Summary { return r.requests }

// Jobs returns the states of the team's batch jobs and watch services.
func (r Report) Jobs() []messenger.JobState { return r.jobs }

// Exercise submits the deployment's jobs, sends its requests for duration and then waits
// until the batch jobs have completed and the watch services run, ctx ends or jobsTimeout
// has passed.
func (a *Assembly) Exercise(ctx context.Context, duration time.Duration) (Report, error) {
	team := a.Team(len(a.entries) - 1)
	for i, spec := range a.deployment.Jobs {
		key := fmt.Sprintf("exercise-%d", i)
		err := a.retry(ctx, func() error {
			_, err := team.Submit(ctx, "", key, spec)
			return err
		})
		if err != nil {
			return Report{}, fmt.Errorf("job %s: %w", spec.Name, err)
		}
	}
	summary := generator.NewForService(a.requestPlan(duration), a.clock, team).Run(ctx)
	jobs, err := a.awaitJobs(ctx, team)
	return Report{requests: summary, jobs: jobs}, err
}

func (a *Assembly) requestPlan(duration time.Duration) generator.Plan {
	return generator.Plan{
		Service:     a.deployment.Service.Name,
		PerSecond:   a.deployment.Requests.PerSecond,
		Duration:    duration,
		MaxInFlight: maxInFlight,
		Body: func(n int) []byte {
			return fmt.Appendf(make([]byte, 0, bodyBytes), "%s %d", a.deployment.Requests.Label, n)
		},
		Options: func(n int) requester.Options {
			if a.deployment.Requests.Keyed {
				return requester.Options{Key: fmt.Sprintf("request-%d", n)}
			}
			return requester.Options{Idempotent: true}
		},
	}
}

// awaitJobs waits until every batch task has completed and every watch task is assigned.
// It returns the last states, with an error when ctx or jobsTimeout ends first.
func (a *Assembly) awaitJobs(ctx context.Context, team *requester.Requester) ([]messenger.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	for {
		jobs, err := team.Jobs(ctx, "")
		if err == nil && len(jobs) == len(a.deployment.Jobs)+len(a.deployment.Watches) && !slices.ContainsFunc(jobs, notInFinalPhase) {
			return jobs, nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "jobs did not reach their final phase in time: %+v", jobs)
			}
			return jobs, err
		case <-a.clock.After(jobsPollInterval):
		}
	}
}

// notInFinalPhase reports whether a task of job is not yet in the phase that Exercise waits
// for: completed for a batch job, assigned for a watch service.
func notInFinalPhase(job messenger.JobState) bool {
	finalPhase := messenger.TaskCompleted
	if job.Spec.Kind == messenger.JobWatch {
		finalPhase = messenger.TaskAssigned
	}
	return slices.ContainsFunc(job.Tasks, func(t messenger.TaskState) bool { return t.Phase != finalPhase })
}

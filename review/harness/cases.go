package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func kindA(int) string { return "a" }

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"late":      {play: playLateStart, hosts: 4, label: kindA},
	"ends":      {play: playManyEnds, hosts: 4, label: kindA},
	"timed":     {play: playTimedJob, hosts: 4, label: kindA},
	"record":    {play: playLargeJob, hosts: 4, label: kindA},
	"longtimed": {play: playLongTimedJob, hosts: 4, label: kindA},
	"budget":    {play: playRemovedRoute, hosts: 4, label: kindA},
	"silent":    {play: playSilentExecutor, hosts: 8, label: kindA},
	"fills":     {play: playWideFill, hosts: 4, label: kindA},
	"kind":      {play: playChangedKind, hosts: 4, label: kindAThenB},
}

// kindAThenB is the kind a for the executor of the first host, and b for the others.
func kindAThenB(host int) string {
	if host == 0 {
		return "a"
	}
	return "b"
}

// errNotAccepted means that a job that the case needs was not accepted.
var errNotAccepted = errors.New("a job was not accepted")

// playManyEnds takes the store down for 4.5 s while many short tasks run, so that executors list
// more ends than fit in one response.
func playManyEnds(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	const jobs, downTime = 110, 4500 * time.Millisecond
	steps := []map[string]any{{"count": 36, "cpu": 240, "mem_mb": 480, "estimate_ms": 250}}
	var accepted atomic.Int64
	var submits sync.WaitGroup
	for range jobs {
		submits.Go(func() {
			if f.submit(ctx, newID(), jobBody(taskSpec{Millis: 250}, steps, nil)) {
				accepted.Add(1)
			}
		})
	}
	submits.Wait()
	f.record.printf("accepted %d jobs", accepted.Load())
	if accepted.Load() == 0 {
		return nil, errNotAccepted
	}
	if trouble {
		f.setStoreDown(true)
		if err := sleep(ctx, downTime); err != nil {
			return nil, err
		}
		f.setStoreDown(false)
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	return f.record.findRunsTwice(), nil
}

// playTimedJob kills the owner while occurrences of a timed job run of which no task has ended yet.
func playTimedJob(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	steps := []map[string]any{{"count": 6, "cpu": 1000, "mem_mb": 256, "estimate_ms": 7000}}
	timing := map[string]any{"repeats": 4, "start_at_ms": time.Now().UnixMilli() + 500, "interval_ms": 1000}
	if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: 7000}, steps, timing)) {
		return nil, errNotAccepted
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		owner, err := f.owner()
		if err != nil {
			return nil, err
		}
		f.record.printf("SIGKILL %s", owner.name)
		owner.kill()
		if err := sleep(ctx, 3500*time.Millisecond); err != nil {
			return nil, err
		}
		f.record.printf("start %s", owner.name)
		if err := owner.start(); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 15*time.Second); err != nil {
		return nil, err
	}
	return f.record.findRunsTwice(), nil
}

// playLateStart loses the response to one start in twenty. The executor carries it out 3 s later,
// and is unhealthy for 1.5 s, in which it refuses all starts.
func playLateStart(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	const every, late, unhealthyTime = 20, 3 * time.Second, 1500 * time.Millisecond
	var starts atomic.Int64
	for _, x := range f.executors {
		var unhealthyUntil time.Time // Guarded by x.mu.
		x.setFault(func() startFault {
			now := time.Now()
			switch {
			case !trouble:
			case now.Before(unhealthyUntil):
				return startFault{unhealthy: true}
			case starts.Add(1)%every == 0:
				unhealthyUntil = now.Add(unhealthyTime)
				return startFault{late: late}
			}
			return startFault{}
		})
	}
	steps := []map[string]any{{"count": 6, "cpu": 240, "mem_mb": 480, "estimate_ms": 640}}
	for range 40 {
		if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: 640}, steps, nil)) {
			return nil, errNotAccepted
		}
		if err := sleep(ctx, 150*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	return f.record.findRunsTwice(), nil
}

// playChangedKind crashes the only executor of kind a. It comes back under its id 0.6 s later with
// kind b. Ten seconds later a job that requires kind a is handed in.
func playChangedKind(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if trouble {
		x := f.executors[0]
		x.crash(600*time.Millisecond, []string{"b", x.labels[1]})
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	steps := []map[string]any{{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 500, "requires": "a"}}
	if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: 500, Requires: "a"}, steps, nil)) {
		return nil, errNotAccepted
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	var violations []string
	for _, e := range f.record.snapshot() {
		if e.kind == eventStart && e.requires != "" && !slices.Contains(e.labels, e.requires) {
			violations = append(violations, fmt.Sprintf("ROUTE at %.3f s: %s run %d requires %q and starts on %s, whose labels are %v",
				f.record.seconds(e.at), e.task, e.run, e.requires, e.executor, e.labels))
		}
	}
	return violations, nil
}

// playLargeJob hands in a job with many steps, whose body is within the limit of the manifest,
// and then cancels jobs that were accepted before.
func playLargeJob(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	ids, err := f.submitLongJobs(ctx)
	if err != nil {
		return nil, err
	}
	count := 100
	if trouble {
		count = 3000
	}
	var steps []map[string]any
	for n := range count {
		step := map[string]any{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 100}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	f.submit(ctx, newID(), jobBody(taskSpec{Millis: 100}, steps, nil))
	if err := sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	return f.cancelAll(ctx, ids), nil
}

// playLongTimedJob runs a timed job with many occurrences, and then cancels jobs that were
// accepted before.
func playLongTimedJob(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	ids, err := f.submitLongJobs(ctx)
	if err != nil {
		return nil, err
	}
	count := 100
	if trouble {
		count = 9000
	}
	steps := []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 30}}
	timing := map[string]any{"repeats": count, "start_at_ms": time.Now().UnixMilli(), "interval_ms": 6}
	f.submit(ctx, newID(), jobBody(taskSpec{Millis: 30}, steps, timing))
	if err := sleep(ctx, 65*time.Second); err != nil {
		return nil, err
	}
	return f.cancelAll(ctx, ids), nil
}

// submitLongJobs hands in jobs that outlast the scenario and returns their ids.
func (f *fleet) submitLongJobs(ctx context.Context) ([]string, error) {
	const count, runTime = 10, 90 * time.Second
	steps := []map[string]any{{"count": 6, "cpu": 240, "mem_mb": 480, "estimate_ms": runTime.Milliseconds()}}
	var ids []string
	for range count {
		id := newID()
		if !f.submit(ctx, id, jobBody(taskSpec{Millis: int(runTime.Milliseconds())}, steps, nil)) {
			return nil, errNotAccepted
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// cancelAll cancels jobs at once. It returns a violation for each cancel without confirmation if
// these are more than a tenth of them.
func (f *fleet) cancelAll(ctx context.Context, ids []string) []string {
	const ackTime = 4 * time.Second
	answers := make(chan string, len(ids))
	for _, id := range ids {
		go func() { answers <- f.cancelWithin(ctx, id, ackTime) }()
	}
	var violations []string
	for range ids {
		if v := <-answers; v != "" {
			violations = append(violations, v)
		}
	}
	if len(violations) <= len(ids)/10 {
		return nil
	}
	return violations
}

// cancelWithin cancels a job, with retries at other entries. It returns a violation if no 2xx or
// 410 arrives within limit.
func (f *fleet) cancelWithin(ctx context.Context, id string, limit time.Duration) string {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for try := 0; ctx.Err() == nil; try++ {
		status := f.send(ctx, try, http.MethodDelete, id, "")
		if status/100 == 2 || status == http.StatusGone {
			return ""
		}
		_ = sleep(ctx, 200*time.Millisecond)
	}
	return fmt.Sprintf("Acks: the cancel of %s sent at %.3f s has no 2xx or 410 after %s", id, f.record.seconds(began), limit)
}

// playRemovedRoute removes a queue from the manifest while the last allowed run of a task fails,
// and adds the queue again.
func playRemovedRoute(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	const runTime = 4 * time.Second
	steps := []map[string]any{{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": runTime.Milliseconds()}}
	if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: int(runTime.Milliseconds()), Fails: true}, steps, nil)) {
		return nil, errNotAccepted
	}
	if err := sleep(ctx, runTime+runTime/2); err != nil {
		return nil, err
	}
	if trouble {
		f.publishConfig(false)
		if err := sleep(ctx, 5*time.Second); err != nil {
			return nil, err
		}
		f.publishConfig(true)
	}
	if err := sleep(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	failed := map[string]int{}
	var violations []string
	for _, e := range f.record.snapshot() {
		switch {
		case e.kind == eventSeen && e.how == "failed":
			failed[e.task]++
		case e.kind == eventStart && failed[e.task] >= maxAttempts:
			violations = append(violations, fmt.Sprintf("BUDGET at %.3f s: %s run %d starts on %s after %d runs ended as failed",
				f.record.seconds(e.at), e.task, e.run, e.executor, failed[e.task]))
		}
	}
	return violations, nil
}

// playSilentExecutor lets one of eight executors fall silent for good while it runs tasks.
func playSilentExecutor(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	const runTime, quietTime = 3 * time.Second, 10 * time.Second
	steps := []map[string]any{{"count": 8, "cpu": 1000, "mem_mb": 256, "estimate_ms": runTime.Milliseconds()}}
	for range 12 {
		if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: int(runTime.Milliseconds())}, steps, nil)) {
			return nil, errNotAccepted
		}
	}
	if err := sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	if trouble {
		go f.record.busiest(f.executors).crash(caseDuration, nil)
	}
	if err := sleep(ctx, 30*time.Second); err != nil {
		return nil, err
	}
	return f.record.findAbandonedJobs(time.Now().Add(-quietTime)), nil
}

// busiest returns the executor with the most starts.
func (r *record) busiest(executors []*executor) *executor {
	starts := map[string]int{}
	for _, e := range r.snapshot() {
		if e.kind == eventStart {
			starts[e.executor]++
		}
	}
	return slices.MaxFunc(executors, func(a, b *executor) int { return cmp.Compare(starts[a.name], starts[b.name]) })
}

// findAbandonedJobs returns the violations of the rule LOST: jobs with a task that was started and
// has not ended as done, of which nothing runs on an executor that is up or has run there since the
// given time.
func (r *record) findAbandonedJobs(since time.Time) []string {
	executors, done, last := map[string]string{}, map[string]bool{}, map[string]time.Time{}
	for _, e := range r.snapshot() {
		job, _, _ := strings.Cut(e.task, ".")
		switch e.kind {
		case eventStart:
			executors[e.task] = e.executor
			last[job] = e.at
		case eventEnd:
			executors[e.task] = ""
			done[e.task] = done[e.task] || e.how == "done"
			last[job] = e.at
		case eventCrash:
			for task, executor := range executors {
				if executor == e.executor {
					executors[task] = ""
				}
			}
		}
	}
	unfinished, running := map[string]int{}, map[string]int{}
	for task, executor := range executors {
		job, _, _ := strings.Cut(task, ".")
		if executor != "" {
			running[job]++
		}
		if !done[task] {
			unfinished[job]++
		}
	}
	var violations []string
	for job, tasks := range unfinished {
		if running[job] == 0 && last[job].Before(since) {
			violations = append(violations, fmt.Sprintf("LOST: %d tasks of job %s have not ended as done, and nothing of it has run since %.3f s", tasks, job, r.seconds(last[job])))
		}
	}
	return violations
}

// playWideFill hands in a best-effort task that requests all cores of an executor, while each
// executor runs a small task that lasts.
func playWideFill(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	const runTime, waitTime = 3 * time.Second, 40 * time.Second
	lasting := []map[string]any{{"count": 4, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 500, "perpetual": true, "anti_affinity": 1}}
	if !f.submit(ctx, newID(), jobBody(taskSpec{Millis: int(time.Hour.Milliseconds())}, lasting, nil)) {
		return nil, errNotAccepted
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	cores := 8000
	if trouble {
		cores = capacityCPU
	}
	id := newID()
	fill := []map[string]any{{"count": 1, "cpu": cores, "mem_mb": 1024, "estimate_ms": runTime.Milliseconds(), "fills": true, "image": "batch"}}
	if !f.submit(ctx, id, jobBody(taskSpec{Millis: int(runTime.Milliseconds())}, fill, nil)) {
		return nil, errNotAccepted
	}
	if err := sleep(ctx, waitTime); err != nil {
		return nil, err
	}
	f.send(ctx, 0, http.MethodGet, id, "")
	started := slices.ContainsFunc(f.record.snapshot(), func(e event) bool { return e.kind == eventStart && strings.HasPrefix(e.task, id) })
	if started {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted and has not run for %s", id, waitTime)}, nil
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"apricotwinch/standin/performer"
)

// Sizes of the case largeorders.
const (
	orderHosts = 2
	orderTasks = 6000
	orderSplit = 100
	// orderCPU leaves room for twice the job.
	orderCPU = 2
	// specBytes is the length of the text of a task, the longest that the pages allow.
	specBytes = 4000
	orderTime = 30 * time.Second
)

// playLargeOrders has a job of many tasks with a long text come, or the same tasks in many jobs.
func playLargeOrders(ctx context.Context, f *fleet, trouble bool) error {
	if err := f.configure(3); err != nil {
		return err
	}
	if err := f.start(ctx, orderHosts); err != nil {
		return err
	}
	spec := `{"millis":1000,"client":"` + strings.Repeat("x", specBytes-30) + `"}`
	jobs, tasks := orderTasks/orderSplit, orderSplit
	if trouble {
		jobs, tasks = 1, orderTasks
	}
	var ids []string
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xe000+n)
		ids = append(ids, id)
		if !f.submit(ctx, id, job{TaskSpec: spec, Steps: []step{{Count: tasks, CPU: orderCPU, MemoryMB: 5, EstimateMS: 1000}}}) {
			return errors.New("a job was not accepted")
		}
	}
	submitted := time.Now()
	time.Sleep(orderTime)
	done, running := 0, 0
	last := submitted
	for _, id := range ids {
		for _, e := range f.eventsOf(id) {
			if e.At.After(last) {
				last = e.At
			}
		}
		done += countEnds(f.eventsOf(id), performer.Done)
	}
	for _, h := range f.hosts {
		running += h.executor.Running()
	}
	status, answer := f.call(ctx, 0, http.MethodGet, ids[0], nil)
	f.printf("GET %s: %d %s", ids[0], status, answer)
	f.printf("%d of %d tasks done, %d running; the last start or end was %.1f s ago", done, orderTasks, running, time.Since(last).Seconds())
	if done < orderTasks && running == 0 && time.Since(last) > watchTime {
		return fmt.Errorf("%w: LOST: the job has nothing running for more than %s while tasks wait, with all executors free", errBroken, watchTime)
	}
	return nil
}

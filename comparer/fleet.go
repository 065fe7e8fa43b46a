package comparer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"apricotwinch"
)

const (
	hostsPerRack = 3
	// failureDelay is how long an attempt takes to fail, exhaustionDelay to use up
	// its memory.
	failureDelay    = 2 * time.Second
	exhaustionDelay = 5 * time.Second
	// checkpointLoss is the progress in seconds that an eviction loses.
	checkpointLoss = 1.0
)

var (
	hostCapacity = apricotwinch.NewResources(16_000, 62*1024*mib, 0)
	serviceSize  = apricotwinch.NewResources(4000, 8*1024*mib, 0)
)

// host is a machine with one service instance and batch tasks.
type host struct {
	index     int
	name      string
	locality  apricotwinch.Locality
	committed apricotwinch.Resources
	tasks     []*task
	factor    float64
	failing   bool
	up        bool
	instance
}

// task is one batch task, over all of its attempts.
type task struct {
	job       string
	number    int
	attempt   int
	since     time.Time
	kind      *kind
	work      float64
	granted   apricotwinch.Resources
	host      *host
	throttled bool
	rate      float64
	updated   time.Duration
	version   int
	over      bool
}

func (t *task) id() apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(t.job, t.number, t.attempt)
}

func (r *run) buildFleet() {
	for i := range serviceKinds {
		r.services = append(r.services, &service{index: i})
	}
	for i := range r.scenario.hosts {
		place := i % r.scenario.dataCentres
		rack := i / r.scenario.dataCentres / hostsPerRack
		s := r.services[i/r.scenario.dataCentres%serviceKinds]
		h := &host{
			index:     i,
			name:      fmt.Sprintf("host-%d", i),
			locality:  apricotwinch.NewLocality("region", fmt.Sprintf("dc-%d", place), fmt.Sprintf("rack-%d-%d", place, rack)),
			committed: serviceSize,
			factor:    1,
			up:        true,
			instance:  instance{service: s},
		}
		r.hosts = append(r.hosts, h)
		s.hosts = append(s.hosts, h)
	}
}

// nextJob submits jobs of a few tasks at the rate of the scenario's load.
func (r *run) nextJob() {
	const tasks = 4
	processors := 0.0
	for _, k := range r.kinds[:batchKinds] {
		processors += float64(k.size.ProcessorMillis()) / batchKinds
	}
	capacity := float64(r.scenario.hosts) * float64(hostCapacity.Sub(serviceSize).ProcessorMillis())
	rate := r.scenario.load * capacity / (processors * meanWork * tasks)
	delay := time.Duration(r.arrivals.ExpFloat64() / rate * float64(time.Second))
	r.after(delay, func() {
		r.submitJob(r.kinds[r.arrivals.IntN(batchKinds)], tasks)
		r.nextJob()
	})
}

// submitJob submits a job of a kind and returns its tasks.
func (r *run) submitJob(k *kind, tasks int) []*task {
	r.jobs++
	job := fmt.Sprintf("job-%d", r.jobs)
	submitted := make([]*task, tasks)
	for n := range tasks {
		submitted[n] = &task{job: job, number: n, kind: k, work: meanWork * (0.5 + r.arrivals.Float64())}
		r.result.submitted++
		r.policy.submit(r.now(), submitted[n])
	}
	return submitted
}

// begin is the agent's decision on an attempt: it refuses what the host can't
// hold, and work in a data centre that is out.
func (r *run) begin(t *task, h *host, granted apricotwinch.Resources) bool {
	if !h.up || r.out[h.locality.DataCentre()] || !h.committed.Add(granted).Fits(hostCapacity) {
		r.result.refused++
		return false
	}
	t.host, t.granted, t.throttled = h, granted, false
	t.updated = r.elapsed
	h.committed = h.committed.Add(granted)
	h.tasks = append(h.tasks, t)
	r.result.started(h)
	version := t.version
	switch {
	case h.failing:
		r.after(failureDelay, func() { r.endVersion(t, version, failed) })
	case t.kind.size.MemoryBytes() > granted.MemoryBytes():
		r.after(exhaustionDelay, func() { r.endVersion(t, version, exhausted) })
	}
	r.settle(h)
	return true
}

func (r *run) endVersion(t *task, version int, how outcome) {
	if t.version == version && t.host != nil {
		r.end(t, how)
	}
}

// end takes a task off its host and tells the policy.
func (r *run) end(t *task, how outcome) {
	h := t.host
	r.advance(t)
	t.version++
	t.host = nil
	h.committed = h.committed.Sub(t.granted)
	h.tasks = slices.DeleteFunc(h.tasks, func(other *task) bool { return other == t })
	switch how {
	case completed:
		t.over = true
		r.result.complete(r, t)
	case evicted:
		t.work += checkpointLoss
	}
	r.settle(h)
	r.policy.ended(r.now(), t, h, how)
}

// evict checkpoints and stops a task by decision of the policy.
func (r *run) evict(t *task) {
	if t.host != nil {
		r.result.evictions++
		r.end(t, evicted)
	}
}

func (r *run) throttle(t *task, on bool) {
	if t.host == nil || t.throttled == on {
		return
	}
	t.throttled = on
	r.result.throttles++
	r.settle(t.host)
}

// advance counts the progress of a task at the rate it had.
func (r *run) advance(t *task) {
	t.work = max(0, t.work-t.rate*(r.elapsed-t.updated).Seconds())
	t.updated = r.elapsed
}

// settle counts the progress on a host and sets the rates that follow from who
// runs there now.
func (r *run) settle(h *host) {
	for _, t := range h.tasks {
		r.advance(t)
		t.rate = t.speed(r)
		t.version++
		if h.failing || t.kind.size.MemoryBytes() > t.granted.MemoryBytes() {
			t.version--
			t.rate = 0
			continue
		}
		version := t.version
		left := time.Duration(math.Ceil(t.work / t.rate * float64(time.Second)))
		r.after(left, func() { r.endVersion(t, version, completed) })
	}
}

// speed returns the progress of a task for each second.
func (t *task) speed(r *run) float64 {
	speed := min(1, float64(t.granted.ProcessorMillis())/float64(t.kind.size.ProcessorMillis())) / t.slowdown(r)
	if t.throttled {
		speed *= throttledRate
	}
	return speed
}

// slowdown returns the true slowdown of a task by its neighbors and host.
func (t *task) slowdown(r *run) float64 {
	return t.host.factor * (1 + t.host.sum(r.excess[t.kind.index], t))
}

// serviceSlowdown returns the true slowdown of the service on a host.
func (h *host) serviceSlowdown(r *run) float64 {
	return h.factor * (1 + h.sum(r.excess[batchKinds+1+h.service.index], nil))
}

func (h *host) sum(excess []float64, except *task) float64 {
	sum := 0.0
	for _, t := range h.tasks {
		if t == except {
			continue
		}
		part := excess[t.kind.index]
		if t.throttled {
			part *= throttledRate
		}
		sum += part
	}
	return sum
}

// used returns what a task uses, with an error of measurement.
func (t *task) used(factor float64) apricotwinch.Resources {
	processors := min(float64(t.granted.ProcessorMillis()), factor*float64(t.kind.size.ProcessorMillis()))
	return apricotwinch.NewResources(int64(processors), min(t.granted.MemoryBytes(), t.kind.size.MemoryBytes()), 0)
}

// setHost marks a host as slower by a factor, or as failing all batch work.
func (r *run) setHost(index int, factor float64, failing bool) {
	h := r.hosts[index]
	h.factor, h.failing = factor, failing
	r.settle(h)
}

// restart takes a host down for a while; its tasks are lost.
func (r *run) restart(h *host, pause time.Duration) {
	h.up = false
	for len(h.tasks) > 0 {
		r.end(h.tasks[0], lost)
	}
	r.policy.left(r.now(), h)
	r.after(pause, func() {
		h.up = true
		r.policy.joined(r.now(), h)
		r.serve(h)
	})
}

func (r *run) setOut(dataCentre string, out bool) {
	r.out[dataCentre] = out
	r.policy.outage(r.now(), dataCentre, out)
}

// drain evicts tasks from the data centres that are out, a few in a tick.
func (r *run) drain() {
	left := drainCap
	for _, h := range r.hosts {
		for left > 0 && r.out[h.locality.DataCentre()] && len(h.tasks) > 0 {
			left--
			r.result.moved++
			r.end(h.tasks[0], evicted)
		}
	}
}

// checkCommitted counts hosts that hold more than their capacity.
func (r *run) checkCommitted() {
	for _, h := range r.hosts {
		if !h.committed.Fits(hostCapacity) {
			r.result.overcommits++
		}
	}
}

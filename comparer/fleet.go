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
	// failureDelay is how long an attempt on a failing host runs before it fails.
	// exhaustionDelay is how long an attempt runs before it exhausts its memory.
	failureDelay    = 2 * time.Second
	exhaustionDelay = 5 * time.Second
	// checkpointLoss is the progress that an eviction loses, in seconds of run time
	// without slowdown.
	checkpointLoss = 1.0
)

var (
	hostCapacity = apricotwinch.NewResources(16_000, 62*1024*mib, 0)
	serviceSize  = apricotwinch.NewResources(4000, 8*1024*mib, 0)
)

// host is a machine that runs one service instance and batch tasks.
type host struct {
	index          int
	name           string
	locality       apricotwinch.Locality
	committed      apricotwinch.Resources
	tasks          []*task
	slowdownFactor float64
	failing        bool
	up             bool
	instance
}

// task is a batch task with the state of its current attempt.
type task struct {
	job               string
	number            int
	attempt           int
	eligibleAt        time.Time // Earliest start of the current attempt.
	kind              *kind
	remainingWork     float64 // In seconds of run time without slowdown.
	granted           apricotwinch.Resources
	host              *host
	throttled         bool
	rate              float64
	progressUpdatedAt time.Duration
	generation        int // Changes when an end that was scheduled earlier becomes invalid.
	finished          bool
}

func (t *task) id() apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(t.job, t.number, t.attempt)
}

func (r *run) buildFleet() {
	for i := range serviceKinds {
		r.services = append(r.services, &service{index: i})
	}
	for i := range r.scenario.hosts {
		dataCentre := i % r.scenario.dataCentres
		rack := i / r.scenario.dataCentres / hostsPerRack
		s := r.services[i/r.scenario.dataCentres%serviceKinds]
		h := &host{
			index:          i,
			name:           fmt.Sprintf("host-%d", i),
			locality:       apricotwinch.NewLocality("region", fmt.Sprintf("dc-%d", dataCentre), fmt.Sprintf("rack-%d-%d", dataCentre, rack)),
			committed:      serviceSize,
			slowdownFactor: 1,
			up:             true,
			instance:       instance{service: s},
		}
		r.hosts = append(r.hosts, h)
		s.hosts = append(s.hosts, h)
	}
}

// nextJob schedules the submission of the next job. The mean rate of jobs gives the
// load of the scenario.
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
	r.jobCount++
	job := fmt.Sprintf("job-%d", r.jobCount)
	submitted := make([]*task, tasks)
	for n := range tasks {
		submitted[n] = &task{job: job, number: n, kind: k, remainingWork: meanWork * (0.5 + r.arrivals.Float64())}
		r.result.submitted++
		r.policy.submit(r.now(), submitted[n])
	}
	return submitted
}

// startAttempt starts an attempt and reports whether the host's agent accepted it. The
// agent refuses an attempt while its host is down, while its data centre is out of
// service, or when the host lacks capacity for it.
func (r *run) startAttempt(t *task, h *host, granted apricotwinch.Resources) bool {
	if !h.up || r.dataCentresOut[h.locality.DataCentre()] || !h.committed.Add(granted).Fits(hostCapacity) {
		r.result.refused++
		return false
	}
	t.host, t.granted, t.throttled = h, granted, false
	t.progressUpdatedAt = r.elapsed
	h.committed = h.committed.Add(granted)
	h.tasks = append(h.tasks, t)
	r.result.recordStart(h)
	generation := t.generation
	switch {
	case h.failing:
		r.after(failureDelay, func() { r.endIfCurrent(t, generation, failed) })
	case t.kind.size.MemoryBytes() > granted.MemoryBytes():
		r.after(exhaustionDelay, func() { r.endIfCurrent(t, generation, exhausted) })
	}
	r.updateRates(h)
	return true
}

// endIfCurrent ends the attempt of a task unless its generation changed, which means
// that the caller was scheduled for an earlier attempt or progress rate.
func (r *run) endIfCurrent(t *task, generation int, o outcome) {
	if t.generation == generation && t.host != nil {
		r.endAttempt(t, o)
	}
}

// endAttempt removes a task from its host and notifies the policy.
func (r *run) endAttempt(t *task, o outcome) {
	h := t.host
	r.advance(t)
	t.generation++
	t.host = nil
	h.committed = h.committed.Sub(t.granted)
	h.tasks = slices.DeleteFunc(h.tasks, func(other *task) bool { return other == t })
	switch o {
	case completed:
		t.finished = true
		r.result.recordCompletion(r, t)
	case evicted:
		t.remainingWork += checkpointLoss
	}
	r.updateRates(h)
	r.policy.attemptEnded(r.now(), t, h, o)
}

// evict checkpoints and stops a task at the policy's request.
func (r *run) evict(t *task) {
	if t.host != nil {
		r.result.evictions++
		r.endAttempt(t, evicted)
	}
}

func (r *run) throttle(t *task, on bool) {
	if t.host == nil || t.throttled == on {
		return
	}
	t.throttled = on
	r.result.throttles++
	r.updateRates(t.host)
}

// advance subtracts the progress since the last update from the remaining work of a
// task.
func (r *run) advance(t *task) {
	t.remainingWork = max(0, t.remainingWork-t.rate*(r.elapsed-t.progressUpdatedAt).Seconds())
	t.progressUpdatedAt = r.elapsed
}

// updateRates advances the tasks on a host, sets their progress rates for the tasks that
// now share the host, and schedules their completions. A task that will fail or exhaust
// its memory makes no progress and keeps its generation, so that its scheduled end stays
// valid.
func (r *run) updateRates(h *host) {
	for _, t := range h.tasks {
		r.advance(t)
		t.rate = t.speed(r)
		t.generation++
		if h.failing || t.kind.size.MemoryBytes() > t.granted.MemoryBytes() {
			t.generation--
			t.rate = 0
			continue
		}
		generation := t.generation
		remaining := time.Duration(math.Ceil(t.remainingWork / t.rate * float64(time.Second)))
		r.after(remaining, func() { r.endIfCurrent(t, generation, completed) })
	}
}

// speed returns the progress rate of a task; 1 is the rate of a task without slowdown.
func (t *task) speed(r *run) float64 {
	speed := min(1, float64(t.granted.ProcessorMillis())/float64(t.kind.size.ProcessorMillis())) / t.slowdown(r)
	if t.throttled {
		speed *= throttledFraction
	}
	return speed
}

// slowdown returns the actual slowdown factor of a task, caused by its host and the other
// tasks there.
func (t *task) slowdown(r *run) float64 {
	return t.host.slowdownFactor * (1 + t.host.totalInterference(r.interference[t.kind.index], t))
}

// serviceSlowdown returns the actual slowdown factor of the service on a host.
func (h *host) serviceSlowdown(r *run) float64 {
	return h.slowdownFactor * (1 + h.totalInterference(r.interference[batchKinds+1+h.service.index], nil))
}

// totalInterference returns the sum of the interference from the tasks on a host except
// one. A throttled task contributes throttledFraction of its interference.
func (h *host) totalInterference(interference []float64, except *task) float64 {
	sum := 0.0
	for _, t := range h.tasks {
		if t == except {
			continue
		}
		part := interference[t.kind.index]
		if t.throttled {
			part *= throttledFraction
		}
		sum += part
	}
	return sum
}

// usage returns the resources that a task uses, with its processors multiplied by a
// measurement error.
func (t *task) usage(errorFactor float64) apricotwinch.Resources {
	processors := min(float64(t.granted.ProcessorMillis()), errorFactor*float64(t.kind.size.ProcessorMillis()))
	return apricotwinch.NewResources(int64(processors), min(t.granted.MemoryBytes(), t.kind.size.MemoryBytes()), 0)
}

// setHost sets the slowdown factor of a host and whether it fails all batch work.
func (r *run) setHost(index int, slowdownFactor float64, failing bool) {
	h := r.hosts[index]
	h.slowdownFactor, h.failing = slowdownFactor, failing
	r.updateRates(h)
}

// restart takes a host down for the downtime. Its tasks are lost.
func (r *run) restart(h *host, downtime time.Duration) {
	h.up = false
	for len(h.tasks) > 0 {
		r.endAttempt(h.tasks[0], lost)
	}
	r.policy.hostLeft(r.now(), h)
	r.after(downtime, func() {
		h.up = true
		r.policy.hostJoined(r.now(), h)
		r.serve(h)
	})
}

func (r *run) setDataCentreOut(dataCentre string, out bool) {
	r.dataCentresOut[dataCentre] = out
	r.policy.setDataCentreOut(r.now(), dataCentre, out)
}

// drain evicts up to maxDrainsPerTick tasks from data centres that are out of service.
func (r *run) drain() {
	remaining := maxDrainsPerTick
	for _, h := range r.hosts {
		for remaining > 0 && r.dataCentresOut[h.locality.DataCentre()] && len(h.tasks) > 0 {
			remaining--
			r.result.moved++
			r.endAttempt(h.tasks[0], evicted)
		}
	}
}

// countOvercommits counts the hosts with more committed resources than capacity.
func (r *run) countOvercommits() {
	for _, h := range r.hosts {
		if !h.committed.Fits(hostCapacity) {
			r.result.overcommits++
		}
	}
}

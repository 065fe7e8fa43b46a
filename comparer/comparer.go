// Package comparer simulates the scheduling decisions and a naive baseline on the
// same work, in virtual time, and measures both.
//
// It is a simplified model for measurements, not a cluster: it has hosts with an
// actual capacity, services with open-loop requests, and batch tasks with an actual
// size, a declared size, and an actual slowdown for each pair of work classes. The
// scenario, the policy and the seed determine all results of a run except the real
// time that its ticks take.
package comparer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"apricotwinch"
)

const (
	// tickPeriod is the time between two calls of the policy's tick.
	tickPeriod = 100 * time.Millisecond
	// summaryPeriod is the time between two summaries of a host, and summaryLag the
	// age of a summary when the policy receives it.
	summaryPeriod = time.Second
	summaryLag    = time.Second
	// reportPeriod is the time between two reports of a host's resource usage and
	// slowdowns.
	reportPeriod = 5 * time.Second
	// maxDrainsPerTick is the maximum number of tasks evicted in a tick from data
	// centres that are out of service.
	maxDrainsPerTick = 5
	// measurementError is the relative standard deviation of reported processor usage
	// and slowdowns.
	measurementError = 0.05
)

// startTime is the instant at which virtual time begins.
var startTime = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// event is a callback that is due at a virtual time, given as the time elapsed
// since startTime. Events due at the same time run in the order of their sequence.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// run is the state of a simulation of one scenario under one policy.
type run struct {
	scenario Scenario
	elapsed  time.Duration
	events   eventHeap
	sequence uint64
	arrivals *rand.Rand
	requests *rand.Rand
	noise    *rand.Rand
	kinds    []*kind
	// interference holds the slowdown above 1 that a task of each batch kind (column)
	// adds to work of each kind, batch kinds first and then services (row).
	interference   [][]float64
	hosts          []*host
	services       []*service
	dataCentresOut map[string]bool
	jobCount       int
	running        map[*task]bool
	policy         policy
	result         Result
}

// Policy names an implementation of the scheduling decisions.
type Policy string

const (
	// Planned is the implementation under test. It consists of the placer, diagnoser,
	// sharer, estimator and observer packages.
	Planned Policy = "planned"
	// Naive is the baseline. It places each task on the first host that fits its
	// declared size, without quarantine of hosts or detection of interference.
	Naive Policy = "naive"
)

var policies = map[Policy]func(*run) policy{Planned: newPlanned, Naive: newNaive}

// Run simulates a scenario under a policy. The work that arrives depends only on the
// scenario and the seed. Run fails with kind Invalid for an unknown policy.
func Run(scenario Scenario, name Policy, seed uint64) (Result, error) {
	newPolicy := policies[name]
	if newPolicy == nil {
		return Result{}, apricotwinch.Errorf(apricotwinch.Invalid, "policy: %q is not one of %s, %s", name, Planned, Naive)
	}
	r := &run{
		scenario:       scenario,
		arrivals:       rand.New(rand.NewPCG(seed, 1)),
		requests:       rand.New(rand.NewPCG(seed, 2)),
		noise:          rand.New(rand.NewPCG(seed, 3)),
		dataCentresOut: map[string]bool{},
		running:        map[*task]bool{},
		result:         newResult(scenario.name, name),
	}
	r.buildKinds(rand.New(rand.NewPCG(seed, 4)))
	r.buildFleet()
	r.policy = newPolicy(r)
	r.schedule()
	r.loop()
	return r.result, nil
}

// schedule queues the recurring events and the incidents of the scenario.
func (r *run) schedule() {
	r.every(tickPeriod, r.tick)
	r.every(summaryPeriod, r.sendSummaries)
	r.every(reportPeriod, r.sendReports)
	r.nextJob()
	for _, s := range r.services {
		r.nextRequest(s)
	}
	for _, incident := range r.scenario.incidents {
		r.after(incident.at, func() { incident.do(r) })
	}
}

func (r *run) loop() {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > r.scenario.length {
			break
		}
		r.elapsed = e.at
		e.do()
	}
	r.result.recordWaiting(r)
}

// now returns the virtual time.
func (r *run) now() time.Time { return startTime.Add(r.elapsed) }

func (r *run) after(delay time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.elapsed + delay, sequence: r.sequence, do: do})
}

func (r *run) every(period time.Duration, do func()) {
	r.after(period, func() {
		do()
		r.every(period, do)
	})
}

// tick drains the data centres that are out of service and then calls the policy.
func (r *run) tick() {
	r.result.beginTick()
	r.drain()
	r.policy.tick(r.now())
	r.result.endTick()
	r.countOvercommits()
}

// sendSummaries delivers the committed resources of each host to the policy, delayed
// by summaryLag.
func (r *run) sendSummaries() {
	sampledAt := r.now()
	for _, h := range r.hosts {
		committed := h.committed
		r.after(summaryLag, func() { r.policy.hostSummary(r.now(), h, committed, sampledAt) })
	}
}

// sendReports delivers the resource usage and slowdown of all running work to the
// policy, delayed by the report lag of the scenario.
func (r *run) sendReports() {
	sampledAt := r.now()
	for _, h := range r.hosts {
		if !h.up {
			continue
		}
		lag := r.scenario.reportLag
		slowdown := r.withMeasurementError(h.serviceSlowdown(r))
		r.after(lag, func() { r.policy.serviceReport(r.now(), h, slowdown, sampledAt) })
		for _, t := range h.tasks {
			used := t.usage(1 + measurementError*r.noise.NormFloat64())
			granted, slowdown := t.granted, r.withMeasurementError(t.slowdown(r))
			r.after(lag, func() { r.policy.taskReport(r.now(), t, h, used, granted, slowdown, sampledAt) })
		}
	}
}

// withMeasurementError returns a slowdown with a random measurement error, at least 1.
func (r *run) withMeasurementError(slowdown float64) float64 {
	return max(1, slowdown*(1+measurementError*r.noise.NormFloat64()))
}

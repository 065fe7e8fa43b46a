// Package comparer runs the placement decisions and a naive version over the
// same work, in virtual time, and measures both.
//
// It is a bounded model for measurements, not a cluster: hosts with a true
// capacity, services with open-loop requests, and batch tasks with a true size,
// a declared size and a true slowdown for each pair of classes. A run is fixed
// by its scenario and seed.
package comparer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"apricotwinch"
)

const (
	// tickPeriod is the time between two rounds of decisions.
	tickPeriod = 100 * time.Millisecond
	// summaryPeriod and summaryLag are the period and age of the hosts' summaries.
	summaryPeriod = time.Second
	summaryLag    = time.Second
	// reportPeriod is the time between two reports of use and slowdown of a host.
	reportPeriod = 5 * time.Second
	// drainCap is the number of tasks evicted in a tick from data centres that are
	// out.
	drainCap = 5
	// measureError is the relative error, one sigma, of what is reported.
	measureError = 0.05
)

// start is the begin of virtual time.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time.
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

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	elapsed  time.Duration
	events   eventHeap
	sequence uint64
	arrivals *rand.Rand
	requests *rand.Rand
	noise    *rand.Rand
	kinds    []*kind
	excess   [][]float64
	hosts    []*host
	services []*service
	out      map[string]bool
	jobs     int
	running  map[*task]bool
	policy   policy
	result   Result
}

// Policy names a version of the decisions.
type Policy string

const (
	// Planned is the version under test: placer, judge, sharer, estimator and
	// observer.
	Planned Policy = "planned"
	// Naive is first fit on declared sizes, without quarantine or observer.
	Naive Policy = "naive"
)

var policies = map[Policy]func(*run) policy{Planned: newPlanned, Naive: newNaive}

// Run runs a scenario under a policy. The work that arrives depends on the
// scenario and seed alone. It fails with kind Invalid for an unknown policy.
func Run(scenario Scenario, name Policy, seed uint64) (Result, error) {
	construct := policies[name]
	if construct == nil {
		return Result{}, apricotwinch.Errorf(apricotwinch.Invalid, "policy: %q is not one of %s, %s", name, Planned, Naive)
	}
	r := &run{
		scenario: scenario,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		requests: rand.New(rand.NewPCG(seed, 2)),
		noise:    rand.New(rand.NewPCG(seed, 3)),
		out:      map[string]bool{},
		running:  map[*task]bool{},
		result:   newResult(scenario.name, name),
	}
	r.buildKinds(rand.New(rand.NewPCG(seed, 4)))
	r.buildFleet()
	r.policy = construct(r)
	r.schedule()
	r.loop()
	return r.result, nil
}

// schedule puts the recurring events and those of the scenario in the queue.
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
	r.result.finish(r)
}

// now returns the virtual time.
func (r *run) now() time.Time { return start.Add(r.elapsed) }

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

// tick lets the policy decide, and drains the data centres that are out.
func (r *run) tick() {
	r.result.beginTick()
	r.drain()
	r.policy.tick(r.now())
	r.result.endTick()
	r.checkCommitted()
}

// sendSummaries delivers what each host has committed, late.
func (r *run) sendSummaries() {
	sampledAt := r.now()
	for _, h := range r.hosts {
		committed := h.committed
		r.after(summaryLag, func() { r.policy.summary(r.now(), h, committed, sampledAt) })
	}
}

// sendReports delivers use and slowdown of all that runs, late.
func (r *run) sendReports() {
	sampledAt := r.now()
	for _, h := range r.hosts {
		if !h.up {
			continue
		}
		lag := r.scenario.reportLag
		slowdown := r.noisy(h.serviceSlowdown(r))
		r.after(lag, func() { r.policy.serviceReport(r.now(), h, slowdown, sampledAt) })
		for _, t := range h.tasks {
			used := t.used(1 + measureError*r.noise.NormFloat64())
			granted, slowdown := t.granted, r.noisy(t.slowdown(r))
			r.after(lag, func() { r.policy.taskReport(r.now(), t, h, used, granted, slowdown, sampledAt) })
		}
	}
}

// noisy returns a slowdown measured with an error.
func (r *run) noisy(slowdown float64) float64 {
	return max(1, slowdown*(1+measureError*r.noise.NormFloat64()))
}

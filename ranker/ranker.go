// Package ranker decides in which order waiting workloads get room, which of them can still end in
// time behind those ordered before them, and which best-effort ones may begin now.
//
// Urgent workloads go by least slack, those that can still be in time first. Best-effort workloads
// go so that the greatest value ends in time: the order is by deadline, without those that are worth
// least for the room that they take and would make others late. It does no I/O and takes the time as
// an argument. A Ranker is not safe for concurrent use.
package ranker

import (
	"cmp"
	"slices"
	"time"
)

// Class says whether a workload takes processors of its own or those that others leave.
type Class int

// The classes, the one that comes first in order first.
const (
	Urgent Class = iota
	BestEffort
)

// Feasibility is whether a workload can still end within its objective.
type Feasibility int

// The feasibilities. NotRanked is that of a workload that has not been ranked yet; Late that of one
// that can still end within its late bound.
const (
	NotRanked Feasibility = iota
	OnTime
	Late
	Infeasible
)

// Work is an amount of work: processors and memory times duration.
type Work struct {
	ProcessorSeconds float64
	ByteSeconds      float64
}

// Candidate is a workload that has tasks of a class which wait or run.
type Candidate struct {
	ID    string
	Class Class
	// Priority is that of the queue; a lower one comes first.
	Priority int
	Queue    string
	// AcceptedAt is when the objective begins to count.
	AcceptedAt time.Time
	// Objective is the time within which the workload should end; 0 for none. A result is worth
	// little until LateBound, and nothing later.
	Objective, LateBound time.Duration
	// Chain is the time of the longest chain of steps that are left. Lasting is set for a
	// workload that is served for as long as it runs, so that it is never too late.
	Chain   time.Duration
	Lasting bool
	// Total is the work of the whole workload, and Left that of the tasks that are not done.
	Total, Left Work
	// Demand is the processors that its ready tasks can use now, and Claim those of them that
	// run or are not known to fit nowhere.
	Demand, Claim float64
	// Group is that of its callers, which shares with others of the same class and priority; empty
	// for none. Share is its weighted dominant share in the work of the last seconds, and Waits is
	// whether a task of the workload waits for room.
	Group string
	Share float64
	Waits bool
	// Begun is whether a task has worked.
	Begun bool
	// Previous is what the last ranking returned for it; zero for a new workload.
	Previous Ranked
}

// Ranked is the place of a candidate in the order.
type Ranked struct {
	// Index is that of the candidate in the list that was ranked.
	Index int
	// Position is the place in the order of the class, from 1.
	Position    int
	Feasibility Feasibility
	// Held is set for a best-effort workload that has not begun and may not begin now.
	Held bool
	// OverShare is set for a workload whose group has had more than its share while others wait.
	OverShare bool
	// ExpectedEnd is when the workload is expected to end behind those before it; for an urgent
	// one, if it starts now.
	ExpectedEnd time.Time
	// left is the work that was left, in processor seconds.
	left float64
	// latestStart is when an urgent workload must start at the latest to be in time.
	latestStart time.Time
}

// Room is what is available to best-effort work.
type Room struct {
	// Processors is the rate at which best-effort work is served while there is enough of it, in
	// processor seconds per second; 0 for unknown.
	Processors float64
	// Bytes is the memory that tasks may take; 0 for unknown.
	Bytes float64
}

// Ranker orders workloads. It remembers the sizes of the workloads of each queue, and how many of
// the large ones were served.
type Ranker struct {
	config  Config
	queues  map[string]*queue
	service service
	// entries, urgent, bestEffort and ranked are the memory of the last ranking, which the next one uses.
	entries            []entry
	urgent, bestEffort []*entry
	ranked             []Ranked
}

// New returns a Ranker for workloads that share one room.
func New(config Config) *Ranker {
	return &Ranker{config: config, queues: map[string]*queue{}, service: service{factor: 1}}
}

// entry is a candidate while it is ranked. Times are in seconds from now.
type entry struct {
	candidate *Candidate
	index     int
	ranked    Ranked
	// acceptance is the place of a best-effort workload in the order of acceptance.
	acceptance int
	// deadline is when the tier that is being filled ends for it, allowed the time from its acceptance
	// to then, and chain its longest chain.
	deadline, allowed, chain float64
	// service is the time that its remaining work takes at the rate of the room.
	service float64
	// worth is what its end in time is worth to the order, weight the same with that of its place in the
	// tier that is being filled, and density the weight for each second of service.
	worth, weight, density float64
	// slack is by how many seconds it may delay those that were in its tier before.
	slack float64
	// out is whether it is left out of the tier that is being filled.
	out bool
}

// Order returns the candidates in order, the urgent ones first. The next call overwrites what it returns.
func (r *Ranker) Order(now time.Time, candidates []Candidate, room Room) []Ranked {
	r.entries = slices.Grow(r.entries[:0], len(candidates))[:len(candidates)]
	clear(r.entries)
	urgent, bestEffort := r.urgent[:0], r.bestEffort[:0]
	for i := range candidates {
		e := &r.entries[i]
		e.candidate, e.index = &candidates[i], i
		if candidates[i].Class == Urgent {
			urgent = append(urgent, e)
		} else {
			bestEffort = append(bestEffort, e)
		}
	}
	r.urgent, r.bestEffort = urgent, bestEffort
	slices.SortFunc(bestEffort, compareAcceptance)
	for at, e := range bestEffort {
		e.acceptance = at
	}
	r.observeArrivals(now, bestEffort)
	r.markOverShare(r.entries)
	r.orderUrgent(now, urgent)
	r.service.observe(now, bestEffort, room, r.config)
	bestEffort = r.orderBestEffort(now, bestEffort, room)
	ranked := r.ranked[:0]
	for _, list := range [][]*entry{urgent, bestEffort} {
		for at, e := range list {
			e.ranked.Index, e.ranked.Position = e.index, at+1
			ranked = append(ranked, e.ranked)
		}
	}
	r.ranked = ranked
	r.observeHopeless(now, bestEffort)
	return ranked
}

// compareAcceptance orders by acceptance, that is first come first served.
func compareAcceptance(a, b *entry) int {
	return cmp.Or(a.candidate.AcceptedAt.Compare(b.candidate.AcceptedAt), cmp.Compare(a.candidate.ID, b.candidate.ID))
}

// after returns the time a number of seconds after another, at most a year later.
func after(now time.Time, seconds float64) time.Time {
	const year = 365 * 24 * 3600
	return now.Add(time.Duration(min(seconds, year) * float64(time.Second)))
}

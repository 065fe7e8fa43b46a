package ranker

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// orderBestEffort returns best-effort workloads, which are in the order of acceptance, in the order
// in which they get room, each priority behind the ones before it.
func (r *Ranker) orderBestEffort(now time.Time, entries []*entry, room Room) []*entry {
	demand := 0.0
	for _, e := range entries {
		r.prepare(now, e, room)
		demand += e.candidate.Demand
	}
	r.service.contended = room.Processors > 0 && demand > room.Processors
	if !r.service.contended {
		return orderUncontended(now, entries)
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.candidate.Priority, b.candidate.Priority), cmp.Compare(a.acceptance, b.acceptance))
	})
	p := &plan{now: now, room: room, config: r.config}
	ordered := make([]*entry, 0, len(entries))
	for len(entries) > 0 {
		n := 1
		for n < len(entries) && entries[n].candidate.Priority == entries[0].candidate.Priority {
			n++
		}
		ordered = append(ordered, p.order(entries[:n])...)
		entries = entries[n:]
	}
	hold(ordered, room, r.config.HoldMargin)
	return ordered
}

// prepare computes what the order of a best-effort workload follows from.
func (r *Ranker) prepare(now time.Time, e *entry, room Room) {
	c := e.candidate
	e.chain = c.Chain.Seconds()
	e.ranked.left = c.Left.ProcessorSeconds
	if room.Processors > 0 {
		e.service = c.Left.ProcessorSeconds / (room.Processors * r.service.factor)
	}
	if room.Bytes > 0 {
		e.service = max(e.service, c.Left.ByteSeconds/room.Bytes)
	}
	q := r.queueOf(c.Queue)
	size := c.Total.ProcessorSeconds
	e.worth = q.value(size, r.config)
	if e.ranked.OverShare {
		e.worth /= r.config.ShareBonus
	}
	if c.Begun {
		e.worth *= r.config.BegunBonus
	}
	if size > q.large && q.starvesLarge(r.config) {
		e.worth *= r.config.LargeBonus
	}
	e.setDeadline(now, c.Objective)
}

// setDeadline sets the deadline to a time after acceptance.
func (e *entry) setDeadline(now time.Time, bound time.Duration) {
	e.allowed = bound.Seconds()
	e.deadline = e.candidate.AcceptedAt.Add(bound).Sub(now).Seconds()
	if e.candidate.Objective <= 0 {
		e.deadline = math.Inf(1)
	}
}

// orderUncontended sorts workloads for which there is room at once: by feasibility alone, and then
// the smallest first.
func orderUncontended(now time.Time, entries []*entry) []*entry {
	for _, e := range entries {
		c := e.candidate
		e.ranked.ExpectedEnd = now.Add(c.Chain)
		switch {
		case e.chain <= e.deadline:
			e.ranked.Feasibility = OnTime
		case !e.ranked.ExpectedEnd.After(c.AcceptedAt.Add(c.LateBound)):
			e.ranked.Feasibility = Late
		default:
			e.ranked.Feasibility = Infeasible
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.candidate.Priority, b.candidate.Priority),
			cmp.Compare(a.ranked.Feasibility, b.ranked.Feasibility),
			cmp.Compare(a.candidate.Left.ProcessorSeconds, b.candidate.Left.ProcessorSeconds),
			cmp.Compare(a.acceptance, b.acceptance),
		)
	})
	return entries
}

// hold holds back the workloads that have not begun while those before them in order keep the room
// busy, so that these end sooner and as many as possible in time.
func hold(ordered []*entry, room Room, margin float64) {
	claimed := 0.0
	for _, e := range ordered {
		c := e.candidate
		if !c.Begun && c.Objective > 0 && claimed >= margin*room.Processors {
			e.ranked.Held = true
			continue
		}
		if c.Previous.Held {
			claimed += c.Demand // It was not tried, so that its claim isn't known.
			continue
		}
		claimed += c.Claim
	}
}

// plan is the room that workloads of one class take, each behind those before it.
type plan struct {
	now    time.Time
	room   Room
	config Config
	// ahead is the time that the work so far takes, in seconds, and demand the processors that its
	// ready tasks can use.
	ahead, demand float64
	// added is by how much, in seconds, the choice for a tier so far delays those that were in it before.
	added float64
}

// order returns the workloads of one priority in order: those that can end in time, then those that
// can end within their late bound behind these, then the rest, first come first served.
func (p *plan) order(entries []*entry) []*entry {
	inTime, rest := p.fill(entries, OnTime)
	for _, e := range rest {
		e.setDeadline(p.now, e.candidate.LateBound)
	}
	late, rest := p.fill(rest, Late)
	slices.SortFunc(rest, func(a, b *entry) int {
		return cmp.Or(compareBegun(a, b), cmp.Compare(a.acceptance, b.acceptance))
	})
	for _, e := range rest {
		e.ranked.Feasibility = Infeasible
		e.ranked.ExpectedEnd = after(p.now, p.end(e))
		p.add(e)
	}
	return slices.Concat(inTime, late, rest)
}

func compareBegun(a, b *entry) int {
	switch {
	case a.candidate.Begun == b.candidate.Begun:
		return 0
	case a.candidate.Begun:
		return -1
	}
	return 1
}

// end returns when a workload is expected to end behind those so far. One that has not begun starts
// once these leave it room.
func (p *plan) end(e *entry) float64 {
	if e.candidate.Begun || p.demand+e.candidate.Demand <= p.room.Processors {
		return max(p.ahead+e.service, e.chain)
	}
	return p.ahead + max(e.service, e.chain)
}

func (p *plan) add(e *entry) {
	p.ahead += e.service
	p.demand += e.candidate.Demand
}

// bound returns when a workload must end to count for a tier.
func (p *plan) bound(e *entry, tier Feasibility) float64 {
	if e.candidate.Previous.Feasibility == tier {
		return e.deadline
	}
	return e.deadline - p.config.Tolerance*e.allowed
}

// fill chooses the workloads of a tier, so that all of them end by their deadlines, and returns them
// in order and the others. It chooses twice, with and without swaps that lose weight now, and takes
// the choice of greater weight: neither rule is the better one on all loads.
func (p *plan) fill(entries []*entry, tier Feasibility) (chosen, rest []*entry) {
	slices.SortFunc(entries, compareDeadlines)
	for _, e := range entries {
		weight := e.worth
		if e.candidate.Previous.Feasibility == tier {
			weight *= p.config.KeptBonus
		}
		e.weight, e.density = weight, weight/max(e.service, math.SmallestNonzeroFloat32)
	}
	p.setSlacks(entries, tier)
	chosen, rest, weight := p.choose(entries, tier, false)
	if len(rest) > 0 {
		if c, r, w := p.choose(entries, tier, true); w > weight {
			chosen, rest = c, r
		}
	}
	chosen = p.moveBegun(chosen, tier)
	for _, e := range chosen {
		e.ranked.Feasibility = tier
		e.ranked.ExpectedEnd = after(p.now, p.end(e))
		p.add(e)
	}
	return chosen, rest
}

// compareDeadlines orders by deadline; those without one go last, the smallest first.
func compareDeadlines(a, b *entry) int {
	if math.IsInf(a.deadline, 1) && math.IsInf(b.deadline, 1) {
		return cmp.Or(cmp.Compare(a.candidate.Left.ProcessorSeconds, b.candidate.Left.ProcessorSeconds), cmp.Compare(a.acceptance, b.acceptance))
	}
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.acceptance, b.acceptance))
}

// choose goes through workloads by deadline. Where one would be late, it leaves out the chosen ones of least
// weight for the room that they take, or that one itself (the rule of Moore and Hodgson, with weights).
// keepsWeight is whether those left out for one must weigh less than it together. It also returns
// the sum of the weights of the chosen.
func (p *plan) choose(entries []*entry, tier Feasibility, keepsWeight bool) (chosen, rest []*entry, sum float64) {
	trial := *p
	trial.added = 0
	byDensity := &densityHeap{}
	for _, e := range entries {
		e.out = e.chain > p.bound(e, tier) || !trial.fits(e, tier) && !trial.makeRoom(e, tier, byDensity, keepsWeight)
		if !e.out {
			trial.choice(e, tier, 1)
			heap.Push(byDensity, e)
		}
	}
	for _, e := range entries {
		if e.out {
			rest = append(rest, e)
			continue
		}
		chosen = append(chosen, e)
		sum += e.weight
	}
	return chosen, rest, sum
}

// setSlacks sets by how much work each workload may delay those of later deadlines that were in the
// tier before. They keep Config.Tolerance, so that they don't leave it by a small error soon.
func (p *plan) setSlacks(entries []*entry, tier Feasibility) {
	trial := *p
	for _, e := range entries {
		e.slack = math.Inf(1)
		if e.candidate.Previous.Feasibility == tier && e.chain <= p.bound(e, tier) {
			e.slack = e.deadline - p.config.Tolerance*e.allowed - trial.end(e)
			trial.add(e)
		}
	}
	least := math.Inf(1)
	for _, e := range slices.Backward(entries) {
		least = min(least, e.slack)
		e.slack = least
	}
}

// fits reports whether a workload ends by its deadline behind those chosen so far, and, if it is new in the
// tier, lets those that were in it remain.
func (p *plan) fits(e *entry, tier Feasibility) bool {
	if p.end(e) > p.bound(e, tier) {
		return false
	}
	return e.candidate.Previous.Feasibility == tier || p.added+e.service <= max(0, e.slack)
}

// choice adds a workload to those chosen for a tier for sign 1, and removes it for sign -1.
func (p *plan) choice(e *entry, tier Feasibility, sign float64) {
	p.ahead += sign * e.service
	p.demand += sign * e.candidate.Demand
	if e.candidate.Previous.Feasibility != tier {
		p.added += sign * e.service
	} else if sign < 0 {
		p.added -= e.service // Those behind it get its room.
	}
}

// makeRoom leaves out chosen workloads until another one fits, and reports whether it did; if it
// can't, or that isn't worth it, it leaves out none.
func (p *plan) makeRoom(e *entry, tier Feasibility, chosen *densityHeap, keepsWeight bool) bool {
	before := *p
	var dropped []*entry
	weight := 0.0
	for !p.fits(e, tier) {
		if chosen.Len() == 0 || chosen.entries[0].density >= e.density ||
			(keepsWeight || len(dropped) > 0) && weight+chosen.entries[0].weight >= e.weight {
			*p = before
			for _, d := range dropped {
				heap.Push(chosen, d)
				d.out = false
			}
			return false
		}
		d := heap.Pop(chosen).(*entry)
		p.choice(d, tier, -1)
		weight += d.weight
		dropped = append(dropped, d)
		d.out = true
	}
	return true
}

// moveBegun moves those that have a deadline and have begun before those that have not, where these still end
// by theirs.
func (p *plan) moveBegun(chosen []*entry, tier Feasibility) []*entry {
	trial := *p
	// slack is the least slack of those so far that have not begun.
	slack := math.Inf(1)
	var first, others []*entry
	for _, e := range chosen {
		if e.candidate.Begun && !math.IsInf(e.deadline, 1) && e.service <= slack {
			slack -= e.service
			first = append(first, e)
		} else {
			if !e.candidate.Begun {
				slack = min(slack, p.bound(e, tier)-trial.end(e))
			}
			others = append(others, e)
		}
		trial.add(e)
	}
	return append(first, others...)
}

// densityHeap is a heap of entries, of which the one of least density comes first; of equal ones
// the latest.
type densityHeap struct{ entries []*entry }

func (h *densityHeap) Len() int { return len(h.entries) }

func (h *densityHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	return cmp.Or(cmp.Compare(a.density, b.density), cmp.Compare(b.acceptance, a.acceptance)) < 0
}

func (h *densityHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

func (h *densityHeap) Push(x any) { h.entries = append(h.entries, x.(*entry)) }

func (h *densityHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries = h.entries[:last]
	return e
}

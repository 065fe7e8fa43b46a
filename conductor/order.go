package conductor

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/ranker"
	"apricotwinch/sharer"
)

// bestEffortClass is the class of best-effort steps; see class.
const bestEffortClass = 1

// Parameters of the rate at which best-effort work is served.
const (
	// speedMemory is the time in which an observed speed of best-effort work loses most of its weight. The load
	// of serving tasks varies over 10 s, and reports arrive every 400 ms.
	speedMemory = 5 * time.Second
	// minServedSpeed is the least speed, 0 to 1, that is assumed of best-effort work, so that some
	// may always begin.
	minServedSpeed = 0.1
)

// ordering is the state of the order of the waiting workloads.
type ordering struct {
	// active is whether workloads are ordered by a ranker, as FeatureOrdering is enabled and a queue has
	// an objective.
	active bool
	// rooms holds the room of best-effort work by service.
	rooms map[string]*bestEffortRoom
	lines lineBudget
	// rankings counts the rankings so far.
	rankings int64
	// running holds the workloads with best-effort runs, and held, by service and group of callers, what the runs hold
	// that count in its share.
	running map[*workload]bool
	held    map[string]map[string]apricotwinch.Resources
}

// bestEffortRoom is the room of best-effort work in a service, and how it is shared.
type bestEffortRoom struct {
	ranker *ranker.Ranker
	// shares are those of the groups of callers in the work of the last seconds.
	shares *sharer.Recent
	// unused is the processors that other tasks are expected to leave, and observedAt when the speed of best-effort
	// tasks was last observed; zero if it never was.
	unused     float64
	observedAt time.Time
	// room is that of the last ranking, and full whether the workloads of that ranking which may begin keep it busy.
	room ranker.Room
	full bool
	// workloads and candidates are those of the last ranking, whose memory the next one uses.
	workloads  []orderedWorkload
	candidates []ranker.Candidate
}

// speed returns the share of full speed, 0 to 1, at which best-effort work is expected to be served.
func (r *bestEffortRoom) speed() float64 { return r.room.Processors / max(r.unused, 0.001) }

// workloadOrder is the part of a workload that its order needs.
type workloadOrder struct {
	// callers is the group of its callers.
	callers string
	// places holds its last places by class; its rank counts while no ordering is active. rankings holds, by class,
	// the number of its last ranking.
	places   [classes]ranker.Ranked
	rankings [classes]int64
	// begun is whether a best-effort task of it has worked, other than in the background, or has ended.
	begun bool
	hold  hold
	// bestEffortRuns is the number of its best-effort runs.
	bestEffortRuns int
}

// hold is a time in which a workload is held back.
type hold struct {
	since  time.Time
	logged bool
}

func newOrdering() ordering {
	return ordering{
		rooms:   map[string]*bestEffortRoom{},
		running: map[*workload]bool{},
		held:    map[string]map[string]apricotwinch.Resources{},
	}
}

func newBestEffortRoom() *bestEffortRoom {
	return &bestEffortRoom{ranker: ranker.New(ranker.DefaultConfig()), shares: sharer.NewRecent(shareMemory)}
}

// setOrdering finds out how workloads are ordered now. Places and ranks of the other order don't count.
func (c *Conductor) setOrdering() {
	active := c.config.Features.Enabled(apricotwinch.FeatureOrdering) && c.catalog != nil && c.catalog.HasObjective()
	if active == c.ordering.active {
		return
	}
	c.ordering.active = active
	for _, w := range c.workloads {
		w.places, w.rank = [classes]ranker.Ranked{}, bestEffortRank{}
	}
	for _, room := range c.ordering.rooms {
		room.full = false
	}
	c.unblockSteps()
}

// comparePlaces compares places in the order of a class. Workloads that have none yet go last of
// the urgent ones, first come first served, and first of the best-effort ones, unless they are held back.
func comparePlaces(class int, a, b ranker.Ranked) int {
	if class == bestEffortClass {
		return cmp.Compare(a.Position, b.Position)
	}
	return cmp.Compare(uint(a.Position-1), uint(b.Position-1))
}

// heldBack reports whether the best-effort tasks of a step may not begin to work, as those of other
// workloads keep the room busy.
func (s *step) heldBack() bool {
	w := s.occurrence.workload
	return s.spec.Fills && !w.begun && w.places[bestEffortClass].Held
}

// holdNew holds back a new workload until it is ranked, if the room is busy.
func (c *Conductor) holdNew(now time.Time, w *workload) {
	q, ok := c.queue(w)
	if !ok || q.Objective <= 0 {
		return
	}
	if r := c.ordering.rooms[q.Service]; r != nil && r.full {
		w.places[bestEffortClass].Held = true
		w.hold.since = now
	}
}

// orderedWorkload identifies a candidate of a ranking.
type orderedWorkload struct {
	workload *workload
	class    int
}

// orderWorkloads ranks the workloads that have waiting steps, and best-effort ones that have runs.
func (c *Conductor) orderWorkloads(now time.Time) {
	c.measureRooms()
	backgroundRuns := map[*step]int{}
	for r := range c.background {
		backgroundRuns[r.task.step]++
	}
	for _, t := range c.lost {
		t.step.occurrence.workload.begun = true // A repeat of a lost run is not new work.
	}
	c.ordering.rankings++
	for _, room := range c.ordering.rooms {
		room.workloads, room.candidates = room.workloads[:0], room.candidates[:0]
	}
	c.observeShares(now)
	add := func(o orderedWorkload) {
		if o.workload.rankings[o.class] == c.ordering.rankings || o.workload.terminal() {
			return
		}
		o.workload.rankings[o.class] = c.ordering.rankings
		q, ok := c.queue(o.workload)
		if !ok || c.ordering.rooms[q.Service] == nil {
			return
		}
		room := c.ordering.rooms[q.Service]
		room.workloads = append(room.workloads, o)
		candidate := c.candidateOf(o, backgroundRuns)
		candidate.Group = o.workload.callers
		candidate.Share = room.shares.Share(candidate.Group, callersWeight)
		room.candidates = append(room.candidates, candidate)
	}
	for _, s := range c.steps {
		add(orderedWorkload{workload: s.occurrence.workload, class: class(s)})
	}
	for w := range c.ordering.running {
		add(orderedWorkload{workload: w, class: bestEffortClass})
	}
	var counts placeCounts
	for _, service := range c.services() {
		room := c.ordering.rooms[service]
		claimed := 0.0
		for _, r := range room.ranker.Order(now, room.candidates, room.room) {
			o, candidate := room.workloads[r.Index], &room.candidates[r.Index]
			if o.class == bestEffortClass && !r.Held {
				claimed += candidate.Claim
			}
			counts.add(r)
			c.setPlace(now, o, r, candidate, room)
		}
		room.full = room.room.Processors > 0 && claimed >= room.room.Processors
	}
	c.setOrderGauges(counts)
}

// services returns the services that have executors or had some, in order.
func (c *Conductor) services() []string { return slices.Sorted(maps.Keys(c.ordering.rooms)) }

// candidateOf returns what a ranking has to know of a workload. backgroundRuns holds the number of background runs by
// step.
func (c *Conductor) candidateOf(o orderedWorkload, backgroundRuns map[*step]int) ranker.Candidate {
	w := o.workload
	q, _ := c.queue(w)
	candidate := ranker.Candidate{
		ID: w.id, Class: ranker.Class(o.class), Priority: w.priority, Queue: w.queue, AcceptedAt: w.acceptedAt, Previous: w.places[o.class],
	}
	var longest time.Duration
	found := false
	for n, occurrence := range w.occurrences {
		if !occurrence.due {
			continue
		}
		estimated := c.estimateChain(occurrence)
		longest, candidate.Chain = max(longest, estimated.chain), max(candidate.Chain, estimated.remaining)
		candidate.Total = addedWork(candidate.Total, estimated.total[o.class])
		candidate.Left = addedWork(candidate.Left, estimated.left[o.class])
		if occurrence.left > 0 && !found {
			found = true
			candidate.AcceptedAt = later(w.acceptedAt, w.dueAt(n))
		}
		for _, s := range occurrence.steps {
			if class(s) == o.class {
				w.addDemand(s, backgroundRuns[s], &candidate)
			}
		}
	}
	if candidate.Lasting {
		// The objective of long-running tasks is that they run.
		longest, candidate.Chain = 0, 0
	}
	candidate.Objective = objectiveOf(q, longest)
	if q.Objective <= 0 {
		candidate.Objective = 0
	}
	candidate.LateBound = lateFactor * candidate.Objective
	candidate.Begun = w.begun
	return candidate
}

// addDemand adds the processors that the tasks of a step use or can use now, and finds out whether the
// workload has begun.
func (w *workload) addDemand(s *step, backgroundRuns int, candidate *ranker.Candidate) {
	candidate.Lasting = candidate.Lasting || s.spec.Lasting && s.waiting > 0
	candidate.Waits = candidate.Waits || s.waiting > 0 && s.ready()
	running := s.left - s.waiting - backgroundRuns
	if s.spec.Fills && (s.left < len(s.tasks) || running > 0) {
		w.begun = true
	}
	if s.left == 0 || !s.ready() {
		return
	}
	processors := float64(s.need.ProcessorMillis()) / millisPerProcessor
	candidate.Demand += processors * float64(s.left)
	claiming := max(0, running)
	if s.blockedAt.IsZero() {
		claiming = s.left
	}
	candidate.Claim += processors * float64(claiming)
}

func addedWork(a, b ranker.Work) ranker.Work {
	return ranker.Work{ProcessorSeconds: a.ProcessorSeconds + b.ProcessorSeconds, ByteSeconds: a.ByteSeconds + b.ByteSeconds}
}

// setPlace records the place of a workload. One that is no longer held back is tried on all executors.
func (c *Conductor) setPlace(now time.Time, o orderedWorkload, r ranker.Ranked, candidate *ranker.Candidate, room *bestEffortRoom) {
	w := o.workload
	before := w.places[o.class]
	w.places[o.class] = r
	switch {
	case r.Held && w.hold.since.IsZero():
		w.hold = hold{since: now}
	case !r.Held && o.class == bestEffortClass:
		w.hold = hold{}
	}
	if before.Held && !r.Held {
		for _, occurrence := range w.occurrences {
			for _, s := range occurrence.steps {
				s.blockedAt = time.Time{}
			}
		}
	}
	c.reportPlace(now, o, before, candidate, room)
}

// countOrderedEnd has the ranker know of a best-effort workload that is completed.
func (c *Conductor) countOrderedEnd(now time.Time, w *workload) {
	last := w.places[bestEffortClass]
	q, ok := c.queue(w)
	if last.Position == 0 || !ok || c.ordering.rooms[q.Service] == nil {
		return
	}
	candidate := c.candidateOf(orderedWorkload{workload: w, class: bestEffortClass}, nil)
	inTime := candidate.Objective <= 0 || now.Sub(candidate.AcceptedAt) <= candidate.Objective
	c.ordering.rooms[q.Service].ranker.CountEnd(now, w.queue, candidate.Total, last, inTime)
}

// measureRooms measures the rooms of best-effort work: on each executor the processors that other tasks are
// expected to leave unused, at the share of full speed that its best-effort tasks are seen to have. That share is measured,
// as it follows from the throttling beside serving tasks. The rate at which work ends would show the demand instead of
// the room while there is little work, and a mean over executors would hold work back from those that are free.
func (c *Conductor) measureRooms() {
	for _, room := range c.ordering.rooms {
		room.room, room.unused = ranker.Room{}, 0
	}
	for _, e := range c.allExecutors() {
		room := c.ordering.rooms[e.service]
		if room == nil {
			room = newBestEffortRoom()
			c.ordering.rooms[e.service] = room
		}
		room.observedAt = later(room.observedAt, e.speedSeenAt)
		if !c.usable(e) {
			continue
		}
		unused := max(0, c.config.BestEffortRatio*c.expectedUnused(e)) / millisPerProcessor
		room.unused += unused
		room.room.Processors += unused * (1 - e.slowness)
		room.room.Bytes += float64(max(0, e.capacity.MemoryBytes()-e.allocated.MemoryBytes()) + e.bestEffortBytes)
	}
}

// observeSlowness updates, by the latest report, the share of full speed that the best-effort runs of an executor lack, which
// is 0 if there are none, and the memory that they take.
func (e *executor) observeSlowness(now time.Time) {
	var used, requested int64
	e.bestEffortBytes = 0
	for _, r := range e.runs {
		s := r.task.step
		if !s.spec.Fills {
			continue
		}
		e.bestEffortBytes += s.need.MemoryBytes()
		need := s.need.ProcessorMillis()
		if need <= 0 || r.background || r.stopping || r.phase != messenger.RunRunning || now.Sub(r.startedAt) < measurementDelay {
			continue
		}
		requested += need
		used += int64(r.servedShare() * float64(need))
	}
	slowness := 0.0
	if requested > 0 {
		slowness = 1 - max(minServedSpeed, float64(used)/float64(requested))
		e.speedSeenAt = now
	}
	weight := 1 - math.Exp(-now.Sub(e.slownessAt).Seconds()/speedMemory.Seconds())
	e.slowness += weight * (slowness - e.slowness)
	e.slownessAt = now
}

// servedShare returns the share of full speed, 0 to 1, that a best-effort run has: the processors that it uses,
// or what its agent allows while these are not reported.
func (r *run) servedShare() float64 {
	if r.measurement > 0 {
		return min(1, r.measurement/float64(r.task.step.need.ProcessorMillis()))
	}
	return float64(r.pace) / fullPace
}

package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/forecaster"
)

// admissionPeriod is the time between two counts of the backlog and the room. What is accepted in between
// is added at once, while what ends stays part of it.
const admissionPeriod = 200 * time.Millisecond

// serviceLoad is the backlog and the room of one service.
type serviceLoad struct {
	backlog forecaster.Backlog
	room    forecaster.Room
	drain   forecaster.Drain
	// measured is whether the rate of best-effort work is measured, and noExecutorSince since when no
	// executor has been known; zero if one is.
	measured        bool
	noExecutorSince time.Time
}

// service returns the load of a service, and adds it if it is missing.
func (a *admission) service(name string) *serviceLoad {
	s := a.services[name]
	if s == nil {
		s = &serviceLoad{}
		a.services[name] = s
	}
	return s
}

// addLoad adds what is left of a workload to the load of its group and class. The loads are in the order of
// their groups and classes.
func addLoad(loads []forecaster.Load, now time.Time, w *workload) []forecaster.Load {
	d := &w.load.demand
	work, memory, chain := w.loadLeft()
	at, found := slices.BinarySearchFunc(loads, d, func(l forecaster.Load, d *forecaster.Demand) int {
		return cmp.Or(cmp.Compare(l.Class, d.Class), cmp.Compare(l.Group.Queue, d.Group.Queue), cmp.Compare(l.Group.DataCentre, d.Group.DataCentre))
	})
	if !found {
		loads = slices.Insert(loads, at, forecaster.Load{Group: d.Group, Class: d.Class})
	}
	l := &loads[at]
	l.Priority = d.Priority
	l.Count++
	l.Work += work
	l.Memory += memory
	l.Chain = max(l.Chain, chain)
	if !now.Add(chain).After(w.acceptedAt.Add(d.Objective)) {
		l.OnTimeCount++
		l.OnTimeWork += work
	}
	return loads
}

// loadLeft returns what is left of a workload: its work, in processor seconds and byte seconds, and its longest
// chain.
func (w *workload) loadLeft() (work, memory float64, chain time.Duration) {
	var buffer [8]time.Duration
	ends := buffer[:0]
	for n, s := range w.occurrences[0].steps {
		work += float64(s.left) * w.load.work[n]
		memory += float64(s.left) * w.load.memory[n]
		end := time.Duration(0)
		for _, before := range s.spec.After {
			end = max(end, ends[before])
		}
		if s.left > 0 {
			end += w.load.durations[n]
		}
		ends = append(ends, end)
		chain = max(chain, end)
	}
	return work, memory, chain
}

// countsAsAhead reports whether a workload is ahead of later ones: it hasn't ended, and still helps its
// caller. The others are served after those.
func (w *workload) countsAsAhead(now time.Time) bool {
	return !w.terminal() && now.Before(w.load.until)
}

// loadsBefore returns the loads of the accepted workloads of a service that stand before one that was first
// attempted at a time.
func (a *admission) loadsBefore(now time.Time, service string, first time.Time) []forecaster.Load {
	var loads []forecaster.Load
	for _, w := range a.active {
		if w.countsAsAhead(now) && w.load.service == service && !w.acceptedAt.After(first) {
			loads = addLoad(loads, now, w)
		}
	}
	return loads
}

// refreshAdmission counts the backlog and the room anew, at most each admissionPeriod.
func (c *Conductor) refreshAdmission(now time.Time) {
	a := &c.admission
	if now.Sub(a.refreshedAt) < admissionPeriod {
		return
	}
	a.refreshedAt = now
	for _, s := range a.services {
		s.backlog = forecaster.Backlog{Loads: s.backlog.Loads[:0]}
		s.room = forecaster.Room{}
	}
	a.active = slices.DeleteFunc(a.active, func(w *workload) bool {
		if w.load == nil && !w.terminal() {
			w.load = c.loadOf(w)
		}
		return w.load == nil || w.terminal()
	})
	for _, w := range a.active {
		if w.countsAsAhead(now) {
			s := a.service(w.load.service)
			s.backlog.Loads = addLoad(s.backlog.Loads, now, w)
		}
	}
	c.countWaitingProcessors()
	for _, e := range c.allExecutors() {
		c.addRoom(a.service(e.service), e)
	}
	for _, s := range a.services {
		s.finishRoom(now)
	}
	c.setAdmissionGauges()
}

// countWaitingProcessors counts the processors of tasks that are ready and have no run.
func (c *Conductor) countWaitingProcessors() {
	for _, s := range c.steps {
		w := s.occurrence.workload
		if w.terminal() || s.spec.Lasting || w.load == nil {
			continue
		}
		c.admission.service(w.load.service).backlog.Waiting[w.load.demand.Class] += float64(s.waiting) * processors(s.need.ProcessorMillis())
	}
}

// addRoom adds the room of an executor. One that the last owner used counts with its recorded capacity until
// its host has reported, so that a new owner neither refuses all nor admits all.
func (c *Conductor) addRoom(s *serviceLoad, e *executor) {
	exclusion := c.exclusion(e)
	if exclusion != "" && exclusion != hostUnreported && exclusion != executorNotDurable {
		return
	}
	capacity := processors(e.capacity.ProcessorMillis())
	unused := max(0, c.expectedUnused(e)/millisPerProcessor)
	urgent := &s.room.Rates[forecaster.Urgent]
	urgent.Upper += max(0, capacity-processors(e.longRunning))
	urgent.Lower = urgent.Upper
	s.room.Rates[forecaster.BestEffort].Upper += c.config.BestEffortRatio * unused
	s.room.Memory += float64(max(0, e.capacity.MemoryBytes()-e.longRunningMemory))
	if exclusion == "" {
		s.room.Free[forecaster.Urgent] += max(0, processors(e.capacity.ProcessorMillis()-e.allocated.ProcessorMillis()))
		s.room.Free[forecaster.BestEffort] += max(0, c.config.BestEffortRatio*unused-processors(e.bestEffort-e.bestEffortIdle))
	}
}

// finishRoom completes the room of a service once all executors are added.
func (s *serviceLoad) finishRoom(now time.Time) {
	s.drain.Advance(now, s.backlog.Waiting[forecaster.BestEffort] > 0)
	rate, measured := s.drain.Rate()
	s.measured = measured
	if measured {
		s.room.Rates[forecaster.BestEffort] = rate
	}
	switch {
	case s.room.Rates[forecaster.Urgent].Upper > 0:
		s.noExecutorSince = time.Time{}
	case s.noExecutorSince.IsZero():
		s.noExecutorSince = now
		s.room.NoExecutorsFor = 1
	default:
		s.room.NoExecutorsFor = now.Sub(s.noExecutorSince)
	}
}

// processors converts thousandths of a processor to processors.
func processors(millis int64) float64 { return float64(millis) / millisPerProcessor }

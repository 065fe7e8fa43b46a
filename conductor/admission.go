package conductor

import (
	"maps"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/forecaster"
)

// Names of what the admission counts.
const (
	counterAdmissionRefused = "admission.refused."
	counterReturned         = "admission.returned"
	gaugeAdmissionDelay     = "admission.delay_millis."
	gaugeRemembered         = "admission.remembered"
	gaugeHeldPlaces         = "admission.held_places"
)

const (
	// optimisticQuantile and pessimisticQuantile are the quantiles of durations between which a workload
	// is expected to end.
	optimisticQuantile  = 0.1
	pessimisticQuantile = 0.9
	// maxRefusalLines bounds the lines about refused workloads in a linePeriod.
	maxRefusalLines = 10
)

// admission is the state of the decisions which workloads are accepted.
type admission struct {
	forecaster *forecaster.Forecaster
	// active holds the workloads that may be part of the backlog.
	active []*workload
	// services holds the backlog and the room by service, as of refreshedAt plus what was accepted since.
	services    map[string]*serviceLoad
	refreshedAt time.Time
	lines       lineBudget
}

func newAdmission() admission {
	return admission{forecaster: forecaster.New(forecaster.DefaultConfig()), services: map[string]*serviceLoad{}}
}

// workloadLoad is what a workload adds to the backlog.
type workloadLoad struct {
	service string
	demand  forecaster.Demand
	// until is when the workload can't help its caller any more.
	until time.Time
	// work and memory are those of one task of each step, in processor seconds and byte seconds, and
	// durations its least expected durations.
	work, memory []float64
	durations    []time.Duration
}

// admit decides whether a workload that isn't known is accepted, and as of when: a caller that was refused
// keeps its place. The error is Overloaded and says when to return.
func (c *Conductor) admit(now time.Time, w *workload) error {
	if !c.config.Features.Enabled(apricotwinch.FeatureAdmission) {
		return nil
	}
	w.load = c.loadOf(w)
	if w.load == nil {
		return nil
	}
	c.refreshAdmission(now)
	a, d := &c.admission, w.load.demand
	service := a.service(w.load.service)
	backlog := service.backlog
	first, returned := a.forecaster.FirstAttempt(now, d.ID)
	if returned {
		c.count(counterReturned)
		backlog.Loads = a.loadsBefore(now, w.load.service, first)
	}
	decision := a.forecaster.Decide(now, d, backlog, service.room)
	if !decision.Admit {
		c.count(counterAdmissionRefused + string(decision.Reason))
		c.logRefusal(now, w, service, decision)
		return apricotwinch.WithRetryAfter(apricotwinch.Errorf(apricotwinch.Overloaded,
			"workload %s can't end in time: %s, return in %s", w.id, decision.Reason, decision.RetryAfter), decision.RetryAfter)
	}
	w.acceptedAt = decision.CountsFrom
	w.load.until = w.load.usefulUntil(w.acceptedAt)
	service.backlog.Loads = addLoad(service.backlog.Loads, now, w)
	service.backlog.Waiting[d.Class] += d.Processors
	return nil
}

// loadOf returns what a workload adds to the backlog; nil for one that isn't forecast, as it is
// long-running or scheduled or its queue has no objective.
func (c *Conductor) loadOf(w *workload) *workloadLoad {
	q, ok := c.queue(w)
	if !ok || q.Objective <= 0 && q.Stretch <= 0 || w.spec.Repeats > 0 {
		return nil
	}
	o := w.occurrences[0]
	load := &workloadLoad{service: q.Service, demand: forecaster.Demand{
		ID: w.id, Group: forecaster.Group{Queue: w.queue, DataCentre: w.dataCentre}, Class: forecaster.Urgent, Priority: q.Priority,
		Objective: q.Objective + time.Duration(q.Stretch*float64(c.chainAt(o, typicalQuantile))),
		ChainLow:  c.chainAt(o, optimisticQuantile), ChainHigh: c.chainAt(o, pessimisticQuantile),
	}}
	d := &load.demand
	for _, s := range o.steps {
		if s.spec.Lasting {
			return nil
		}
		if s.spec.Fills {
			d.Class = forecaster.BestEffort
		}
		duration := c.taskDuration(s, typicalQuantile).Seconds()
		work, memory := duration*processors(s.need.ProcessorMillis()), duration*float64(s.need.MemoryBytes())
		load.work, load.memory = append(load.work, work), append(load.memory, memory)
		load.durations = append(load.durations, c.taskDuration(s, optimisticQuantile))
		d.Work += work * float64(s.left)
		d.Memory += memory * float64(s.left)
		if s.ready() {
			d.Processors += float64(s.waiting) * processors(s.need.ProcessorMillis())
		}
	}
	load.until = load.usefulUntil(w.acceptedAt)
	return load
}

// usefulUntil returns when a workload that counts from a time can't help its caller any more.
func (l *workloadLoad) usefulUntil(from time.Time) time.Time {
	return from.Add(forecaster.LateFactor * l.demand.Objective)
}

// chainAt returns the longest chain of dependent steps of an occurrence, with durations at a quantile.
func (c *Conductor) chainAt(o *occurrence, quantile float64) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for n, s := range o.steps {
		for _, before := range s.spec.After {
			ends[n] = max(ends[n], ends[before])
		}
		ends[n] += c.taskDuration(s, quantile)
		longest = max(longest, ends[n])
	}
	return longest
}

// trackLoad adds a workload that hasn't ended to those that may be part of the backlog.
func (c *Conductor) trackLoad(w *workload) {
	if c.config.Features.Enabled(apricotwinch.FeatureAdmission) && w.spec.Repeats <= 0 {
		c.admission.active = append(c.admission.active, w)
	}
}

// resetLoads has the loads of all workloads computed anew, as the configuration of their queues has changed.
func (c *Conductor) resetLoads() {
	c.admission.active = nil
	for _, id := range slices.Sorted(maps.Keys(c.workloads)) {
		if w := c.workloads[id]; !w.terminal() {
			w.load = nil
			c.trackLoad(w)
		}
	}
}

// recordDrained records the end of a best-effort task as done.
func (c *Conductor) recordDrained(t *task) {
	load := t.step.occurrence.workload.load
	if load == nil || !t.step.spec.Fills {
		return
	}
	c.admission.service(load.service).drain.Record(load.work[t.step.number])
}

// logRefusal logs a refusal with what it was decided on, unless there were many lately.
func (c *Conductor) logRefusal(now time.Time, w *workload, s *serviceLoad, d forecaster.Decision) {
	a := &c.admission
	omitted, ok := a.lines.take(now, maxRefusalLines)
	if !ok {
		return
	}
	class := w.load.demand.Class
	rate := s.room.Rates[class]
	c.logger.Info("workload not admitted", "workload", w.id, "queue", w.queue, "class", class.String(), "reason", string(d.Reason),
		"retryAfterMillis", d.RetryAfter.Milliseconds(), "refusals", d.Refusals, "firstAttemptAgeMillis", now.Sub(d.FirstAttempt).Milliseconds(),
		"objectiveMillis", w.load.demand.Objective.Milliseconds(), "earliestEndMillis", d.EarliestEnd.Sub(now).Milliseconds(),
		"ahead", d.Ahead, "rateLower", rate.Lower, "rateUpper", rate.Upper, "measured", s.measured, "free", s.room.Free[class],
		"waiting", s.backlog.Waiting[class], "inputAgeMillis", now.Sub(a.refreshedAt).Milliseconds(), "omitted", omitted)
}

// setAdmissionGauges sets the gauges of the forecast delays and the remembered refusals.
func (c *Conductor) setAdmissionGauges() {
	var delays [forecaster.Classes]time.Duration
	for _, s := range c.admission.services {
		for class := range forecaster.Classes {
			delays[class] = max(delays[class], forecaster.Delay(class, s.backlog, s.room))
		}
	}
	for class, delay := range delays {
		c.setGauge(gaugeAdmissionDelay+forecaster.Class(class).String(), delay.Milliseconds())
	}
	refused, held := c.admission.forecaster.Remembered()
	c.setGauge(gaugeRemembered, int64(refused))
	c.setGauge(gaugeHeldPlaces, int64(held))
}

// clearAdmissionGauges sets the gauges of the admission to 0.
func (c *Conductor) clearAdmissionGauges() {
	for class := range forecaster.Classes {
		c.setGauge(gaugeAdmissionDelay+class.String(), 0)
	}
	c.setGauge(gaugeRemembered, 0)
	c.setGauge(gaugeHeldPlaces, 0)
}

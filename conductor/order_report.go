package conductor

import (
	"time"

	"apricotwinch/ranker"
)

// Names of the gauges of the workloads that were last ranked, and of the room of best-effort work.
const (
	gaugeOnTime     = "ordering.on_time"
	gaugeLate       = "ordering.late"
	gaugeInfeasible = "ordering.infeasible"
	gaugeHeldBack   = "ordering.held_back"
	gaugeOverShare  = "ordering.over_share"
	gaugeRoom       = "ordering.room_millis"
	gaugeSpeed      = "ordering.speed_percent"
)

// maxOrderLines bounds the lines about the order in a linePeriod.
const maxOrderLines = 8

// placeCounts counts places by their feasibility, those held back, and those of groups of callers over their share.
type placeCounts struct {
	feasible  [ranker.Infeasible + 1]int64
	held      int64
	overShare int64
}

func (p *placeCounts) add(r ranker.Ranked) {
	p.feasible[r.Feasibility]++
	if r.Held {
		p.held++
	}
	if r.OverShare {
		p.overShare++
	}
}

// setOrderGauges sets the gauges of the order.
func (c *Conductor) setOrderGauges(counts placeCounts) {
	c.setGauge(gaugeOnTime, counts.feasible[ranker.OnTime])
	c.setGauge(gaugeLate, counts.feasible[ranker.Late])
	c.setGauge(gaugeInfeasible, counts.feasible[ranker.Infeasible])
	c.setGauge(gaugeHeldBack, counts.held)
	c.setGauge(gaugeOverShare, counts.overShare)
	processors, speed := 0.0, 1.0
	for _, service := range c.services() {
		r := c.ordering.rooms[service]
		processors += r.room.Processors
		if r.unused > 0 {
			speed = min(speed, r.speed())
		}
	}
	c.setGauge(gaugeRoom, int64(processors*millisPerProcessor))
	c.setGauge(gaugeSpeed, int64(speed*fullPace))
}

// reportPlace counts and logs that a workload became infeasible, or has been held back for long.
func (c *Conductor) reportPlace(now time.Time, o orderedWorkload, before ranker.Ranked, candidate *ranker.Candidate, room *bestEffortRoom) {
	w, r := o.workload, o.workload.places[o.class]
	age := now.Sub(candidate.AcceptedAt).Milliseconds()
	if r.Feasibility == ranker.Infeasible && before.Feasibility != ranker.Infeasible && candidate.Objective > 0 {
		c.count("workloads.infeasible")
		if _, ok := c.ordering.lines.take(now, maxOrderLines); ok {
			c.logger.Info("workload infeasible", "workload", w.id, "queue", w.queue, "position", r.Position, "ageMillis", age,
				"objectiveMillis", candidate.Objective.Milliseconds(), "chainMillis", candidate.Chain.Milliseconds(), "workSeconds", candidate.Left.ProcessorSeconds,
				"expectedMillis", r.ExpectedEnd.Sub(now).Milliseconds(), "begun", candidate.Begun,
				"room", room.room.Processors, "speed", room.speed(), "speedAgeMillis", room.ageMillis(now))
		}
	}
	if r.Held && !w.hold.logged && now.Sub(w.hold.since) >= longWait {
		w.hold.logged = true
		c.count("workloads.held_back")
		if _, ok := c.ordering.lines.take(now, maxOrderLines); ok {
			c.logger.Info("workload held back", "workload", w.id, "queue", w.queue, "position", r.Position, "ageMillis", age,
				"heldMillis", now.Sub(w.hold.since).Milliseconds(), "objectiveMillis", candidate.Objective.Milliseconds(),
				"expectedMillis", r.ExpectedEnd.Sub(now).Milliseconds(),
				"room", room.room.Processors, "speed", room.speed(), "speedAgeMillis", room.ageMillis(now))
		}
	}
}

// ageMillis returns how long ago the speed was last observed; -1 if it never was.
func (r *bestEffortRoom) ageMillis(now time.Time) int64 {
	if r.observedAt.IsZero() {
		return -1
	}
	return now.Sub(r.observedAt).Milliseconds()
}

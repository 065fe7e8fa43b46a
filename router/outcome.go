package router

import (
	"time"

	"apricotwinch"
)

// Event is what an answer changed in the choice of targets; the empty Event is
// nothing.
type Event string

const (
	// Ejected is a target that failed too often and is left out for a time.
	Ejected Event = "ejected"
	// EjectionCapped is a target that failed too often while as many targets as
	// allowed are ejected.
	EjectionCapped Event = "ejection_capped"
	// Restored is a target that succeeded after its ejection.
	Restored Event = "restored"
	// Withdrawn is a target that said that it takes nothing new.
	Withdrawn Event = "withdrawn"
	// Saturated is a target that said that it has no room.
	Saturated Event = "saturated"
)

// Counter returns the name of the counter that counts events like e.
func (e Event) Counter() string { return "router." + string(e) }

// outcomes tells what the kind of an answer says of the target. A kind that is
// not listed says nothing of it: the request was at fault.
var outcomes = map[apricotwinch.Kind]func(r *Router, now time.Time, s *state) Event{
	apricotwinch.TargetFailed:     (*Router).failed,
	apricotwinch.Unknown:          (*Router).failed,
	apricotwinch.Unreachable:      (*Router).failed,
	apricotwinch.Internal:         (*Router).failed,
	apricotwinch.NoCapacity:       (*Router).saturated,
	apricotwinch.Overloaded:       (*Router).saturated,
	apricotwinch.Draining:         (*Router).withdrawn,
	apricotwinch.DataCentreOut:    (*Router).withdrawn,
	apricotwinch.StaleIncarnation: (*Router).withdrawn,
}

// Sent counts a request that was sent to target.
func (r *Router) Sent(now time.Time, target Target) {
	target.state.inFlight++
	r.refresh(now, target.state)
}

// Answered takes the end of a request that was sent to target: its latency and
// the kind of its error, empty for an answer. The time that it was expected to
// wait for a slot doesn't count against the target, whose load tells it already.
func (r *Router) Answered(now time.Time, target Target, latency time.Duration, kind apricotwinch.Kind) Event {
	r.advance(now)
	s := target.state
	s.inFlight = max(0, s.inFlight-1)
	event := r.judge(now, s, time.Duration(float64(latency)/target.wait), kind)
	r.refresh(now, s)
	return event
}

func (r *Router) judge(now time.Time, s *state, latency time.Duration, kind apricotwinch.Kind) Event {
	if kind == "" {
		s.health.succeed(now, latency)
		s.pool.baseline.observe(s.health.latency)
		return r.restore(now, s)
	}
	if outcome, ok := outcomes[kind]; ok {
		return outcome(r, now, s)
	}
	return ""
}

// Loaded takes the load that target told in an answer, in requests.
func (r *Router) Loaded(now time.Time, target Target, busy, queued int) {
	target.state.setLoad(now, busy, queued)
	r.refresh(now, target.state)
}

// saturated counts the target as full until it tells its load or ends a request.
func (r *Router) saturated(_ time.Time, s *state) Event {
	s.others = max(s.others, s.connections-s.inFlight)
	return Saturated
}

// withdrawn leaves the target out until its host announces itself again.
func (r *Router) withdrawn(now time.Time, s *state) Event {
	s.withdrawn = true
	s.withdrawnUntil = now.Add(r.config.withdrawal)
	return Withdrawn
}

package router

import (
	"time"

	"apricotwinch"
)

// Event is the effect of an answer on the availability of its target. It is empty
// if there was none.
type Event string

const (
	// Ejected is a target that failed too often and gets no requests for a time.
	Ejected Event = "ejected"
	// EjectionCapped is a target that failed too often but isn't ejected, because as
	// many targets as allowed already are.
	EjectionCapped Event = "ejection_capped"
	// Restored is a target that succeeded after its ejection.
	Restored Event = "restored"
	// Withdrawn is a target that refused a request because it accepts no new ones.
	Withdrawn Event = "withdrawn"
	// Saturated is a target that refused a request because it is full.
	Saturated Event = "saturated"
)

// Counter returns the name of the counter that counts events like e.
func (e Event) Counter() string { return "router." + string(e) }

// outcomes maps the error kind of an answer to its effect on the target. Kinds that
// are not listed have none, because they are caused by the request itself.
var outcomes = map[apricotwinch.Kind]func(r *Router, now time.Time, s *targetState) Event{
	apricotwinch.TargetFailed:     (*Router).recordFailure,
	apricotwinch.Unknown:          (*Router).recordFailure,
	apricotwinch.Unreachable:      (*Router).recordFailure,
	apricotwinch.Internal:         (*Router).recordFailure,
	apricotwinch.NoCapacity:       (*Router).markSaturated,
	apricotwinch.Overloaded:       (*Router).markSaturated,
	apricotwinch.Draining:         (*Router).markWithdrawn,
	apricotwinch.DataCentreOut:    (*Router).markWithdrawn,
	apricotwinch.StaleIncarnation: (*Router).markWithdrawn,
}

// RecordSent counts a request that was sent to target.
func (r *Router) RecordSent(now time.Time, target Target) {
	target.state.inFlight++
	r.refresh(now, target.state)
}

// RecordAnswer records the end of a request that was sent to target, with its latency
// and the kind of its error, which is empty for a success. The latency is divided by
// the load factor that the target had when it was chosen, so that expected waiting
// for a slot doesn't count against it: its load already includes that.
func (r *Router) RecordAnswer(now time.Time, target Target, latency time.Duration, kind apricotwinch.Kind) Event {
	r.endEjections(now)
	s := target.state
	s.inFlight = max(0, s.inFlight-1)
	event := r.applyOutcome(now, s, time.Duration(float64(latency)/target.loadFactor), kind)
	r.refresh(now, s)
	return event
}

func (r *Router) applyOutcome(now time.Time, s *targetState, latency time.Duration, kind apricotwinch.Kind) Event {
	if kind == "" {
		s.health.recordSuccess(now, latency)
		s.pool.baseline.observe(s.health.latency)
		return r.restore(now, s)
	}
	if outcome, ok := outcomes[kind]; ok {
		return outcome(r, now, s)
	}
	return ""
}

// RecordLoad records the numbers of running and queued requests that target reported in
// an answer.
func (r *Router) RecordLoad(now time.Time, target Target, busy, queued int) {
	target.state.setLoad(now, busy, queued)
	r.refresh(now, target.state)
}

// markSaturated counts the target as full until it reports its load or ends a request.
func (r *Router) markSaturated(_ time.Time, s *targetState) Event {
	s.otherRequests = max(s.otherRequests, s.connections-s.inFlight)
	return Saturated
}

// markWithdrawn makes the target unavailable until the first heartbeat of its host
// after the minimum withdrawal.
func (r *Router) markWithdrawn(now time.Time, s *targetState) Event {
	s.withdrawn = true
	s.withdrawnUntil = now.Add(r.config.minWithdrawal)
	return Withdrawn
}

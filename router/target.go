package router

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/tracker"
)

// Target is one service on one host in one incarnation, as chosen for a request.
// The zero Target is no target; only its Valid method may be called. All properties
// but InFlight are constant and may be read while the router is in use.
type Target struct {
	state      *targetState
	loadFactor float64 // expected latency when chosen, as a multiple of an idle target's
}

// Valid reports whether t is not the zero Target.
func (t Target) Valid() bool { return t.state != nil }

// Service returns the service of the target.
func (t Target) Service() tracker.Service { return t.state.service }

// Host returns the name of the target's host.
func (t Target) Host() string { return t.state.host }

// Address returns the address of the host's agent, host:port.
func (t Target) Address() string { return t.state.address }

// Incarnation returns the incarnation of the host's agent.
func (t Target) Incarnation() string { return t.state.incarnation }

// Locality returns the location of the host.
func (t Target) Locality() apricotwinch.Locality { return t.state.locality }

// InFlight returns the number of requests that this router sent to the target
// and that have no answer yet.
func (t Target) InFlight() int { return t.state.inFlight }

// targetState holds what the router knows about one target.
type targetState struct {
	service     tracker.Service
	host        string
	address     string
	incarnation string
	locality    apricotwinch.Locality

	slots          int
	connections    int
	inFlight       int
	otherRequests  int
	loadObservedAt time.Time

	suspected      bool
	draining       bool
	withdrawn      bool
	withdrawnUntil time.Time
	removed        bool

	slowStartedAt time.Time
	slowStarting  bool

	health          health
	countedCapacity Capacity

	pool        *pool
	group       *group
	class       class
	classIndex  int
	targetIndex int
}

func newTargetState(host tracker.Host, service tracker.Service) *targetState {
	return &targetState{
		service:     service,
		host:        host.Name(),
		address:     host.Address(),
		incarnation: host.Incarnation(),
		locality:    host.Locality(),
	}
}

// isAt reports whether the target has the address and locality that host announces.
func (s *targetState) isAt(host tracker.Host) bool {
	return s.address == host.Address() && s.locality == host.Locality()
}

// applyAnnouncement updates the target from a heartbeat of its host.
func (s *targetState) applyAnnouncement(now time.Time, host tracker.Host, summary messenger.ServiceSummary) {
	s.slots = min(summary.Slots, summary.Connections)
	s.connections = summary.Connections
	s.suspected = host.State() == tracker.Suspected
	s.draining = host.State() == tracker.Draining
	s.withdrawn = s.withdrawn && now.Before(s.withdrawnUntil)
	s.setLoad(host.Received(), summary.Busy, summary.Queued)
}

// setLoad records the numbers of running and queued requests that the target reported
// at observedAt. Those in excess of the requests in flight from this router were sent
// by other routers. It ignores a report older than the latest one, which would count
// answered requests of this router as those of others.
func (s *targetState) setLoad(observedAt time.Time, busy, queued int) {
	if observedAt.Before(s.loadObservedAt) {
		return
	}
	s.loadObservedAt = observedAt
	s.otherRequests = max(0, busy+queued-s.inFlight)
}

// outstanding returns an estimate of all requests at the target.
func (s *targetState) outstanding() int { return s.inFlight + s.otherRequests }

// slowStartShare is the share of a target's slots in use when its slow start begins.
const slowStartShare = 0.1

// beginSlowStart begins the slow start of a target that joins or returns.
func (s *targetState) beginSlowStart(now time.Time) {
	s.slowStartedAt = now
	s.slowStarting = true
}

// effectiveSlots returns the number of slots in use at now: all of them, or during a
// slow start a growing share, at least 1.
func (s *targetState) effectiveSlots(now time.Time, window time.Duration) float64 {
	slots := float64(s.slots)
	if !s.slowStarting {
		return slots
	}
	elapsed := now.Sub(s.slowStartedAt)
	if elapsed >= window {
		s.slowStarting = false
		return slots
	}
	return max(1, slots*(slowStartShare+(1-slowStartShare)*float64(elapsed)/float64(window)))
}

// queueShare is the share of the connections beyond the slots that requests of an
// urgency may use.
var queueShare = [...]float64{
	apricotwinch.Batch:    0.1,
	apricotwinch.Standard: 0.5,
	apricotwinch.Critical: 1,
}

// loadFactor returns the expected latency of one more request, as a multiple of the
// latency of a request that finds a free slot.
func (s *targetState) loadFactor() float64 {
	return max(1, float64(s.outstanding()+1)/float64(s.slots))
}

// hasRoom reports whether the target has room for one more request of urgency.
func (s *targetState) hasRoom(urgency apricotwinch.Urgency) bool {
	queue := queueShare[urgency] * float64(s.connections-s.slots)
	return float64(s.outstanding()) < float64(s.slots)+queue
}

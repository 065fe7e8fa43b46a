package router

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/tracker"
)

// Target is one service on one host in one incarnation, as chosen for a request.
// The zero Target stands for none. All but InFlight never changes and may be read
// while the router is in use.
type Target struct {
	state *state
	wait  float64 // expected latency when chosen, as a multiple of an idle target's
}

// Valid reports whether t stands for a target.
func (t Target) Valid() bool { return t.state != nil }

// Service returns the service of the target.
func (t Target) Service() tracker.Service { return t.state.service }

// Host returns the name of the target's host.
func (t Target) Host() string { return t.state.host }

// Address returns the address of the host's agent, host:port.
func (t Target) Address() string { return t.state.address }

// Incarnation returns the incarnation of the host's agent.
func (t Target) Incarnation() string { return t.state.incarnation }

// Locality returns where the host stands.
func (t Target) Locality() apricotwinch.Locality { return t.state.locality }

// InFlight returns the number of requests that this router sent to the target
// and that have no answer yet.
func (t Target) InFlight() int { return t.state.inFlight }

// state is what the router knows of one target.
type state struct {
	service     tracker.Service
	host        string
	address     string
	incarnation string
	locality    apricotwinch.Locality

	slots       int
	connections int
	inFlight    int
	others      int
	loadedAt    time.Time

	suspected      bool
	draining       bool
	withdrawn      bool
	withdrawnUntil time.Time
	removed        bool

	startedAt time.Time
	starting  bool

	health  health
	counted Capacity

	pool     *pool
	group    *group
	class    class
	position int
	member   int
}

func newState(host tracker.Host, service tracker.Service) *state {
	return &state{
		service:     service,
		host:        host.Name(),
		address:     host.Address(),
		incarnation: host.Incarnation(),
		locality:    host.Locality(),
	}
}

// at reports whether the target is still where host announces it.
func (s *state) at(host tracker.Host) bool {
	return s.address == host.Address() && s.locality == host.Locality()
}

// announce takes the load that the target's agent announced.
func (s *state) announce(now time.Time, host tracker.Host, summary messenger.ServiceSummary) {
	s.slots = min(summary.Slots, summary.Connections)
	s.connections = summary.Connections
	s.suspected = host.State() == tracker.Suspected
	s.draining = host.State() == tracker.Draining
	s.withdrawn = s.withdrawn && now.Before(s.withdrawnUntil)
	s.setLoad(host.Received(), summary.Busy, summary.Queued)
}

// setLoad takes the target's own count of its requests as of a time, of which
// those that this router did not send are the work of others. A count from before
// the latest one would count answered requests of this router as those of others.
func (s *state) setLoad(at time.Time, busy, queued int) {
	if at.Before(s.loadedAt) {
		return
	}
	s.loadedAt = at
	s.others = max(0, busy+queued-s.inFlight)
}

// outstanding returns the estimate of all requests at the target.
func (s *state) outstanding() int { return s.inFlight + s.others }

// startShare is the share of its slots that a target gets when it joins.
const startShare = 0.1

// start begins the slow start of a target that joins or returns.
func (s *state) start(now time.Time) {
	s.startedAt = now
	s.starting = true
}

// effectiveSlots returns the slots that the target may use by now, at least 1.
func (s *state) effectiveSlots(now time.Time, window time.Duration) float64 {
	slots := float64(s.slots)
	if !s.starting {
		return slots
	}
	elapsed := now.Sub(s.startedAt)
	if elapsed >= window {
		s.starting = false
		return slots
	}
	return max(1, slots*(startShare+(1-startShare)*float64(elapsed)/float64(window)))
}

// queueShare is the share of the room between slots and connections that
// requests of an urgency may fill.
var queueShare = [...]float64{
	apricotwinch.Batch:    0.1,
	apricotwinch.Standard: 0.5,
	apricotwinch.Critical: 1,
}

// wait returns the expected latency of one more request as a multiple of that of
// a request which finds a free slot.
func (s *state) wait() float64 {
	return max(1, float64(s.outstanding()+1)/float64(s.slots))
}

// holds reports whether the target has room for one more request of urgency.
func (s *state) holds(urgency apricotwinch.Urgency) bool {
	queue := queueShare[urgency] * float64(s.connections-s.slots)
	return float64(s.outstanding()) < float64(s.slots)+queue
}

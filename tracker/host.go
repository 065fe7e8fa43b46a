package tracker

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// State is the state of a host according to its heartbeats.
type State int

const (
	// Alive is a host whose heartbeats arrive.
	Alive State = iota
	// Suspected is a host without a heartbeat for a few periods.
	Suspected
	// Draining is a host that is leaving and takes no new work.
	Draining
	// Gone is a host without a heartbeat for so long that it counts as lost.
	Gone
)

var stateNames = map[State]string{
	Alive:     "alive",
	Suspected: "suspected",
	Draining:  "draining",
	Gone:      "gone",
}

// String returns the name of s.
func (s State) String() string { return stateNames[s] }

// Service identifies a service of a team.
type Service struct {
	team string
	name string
}

// NewService returns the service called name of team.
func NewService(team, name string) Service { return Service{team: team, name: name} }

// Team returns the team that owns the service.
func (s Service) Team() string { return s.team }

// Name returns the name of the service within its team.
func (s Service) Name() string { return s.name }

// String returns team/name.
func (s Service) String() string { return s.team + "/" + s.name }

// Ticket is a time of an agent's monotonic clock, in milliseconds, with the time at which an
// entry received it.
type Ticket struct {
	millis   int64
	received time.Time
}

// Millis returns the time of the agent's clock in milliseconds.
func (t Ticket) Millis() int64 { return t.millis }

// Received returns when an entry received the ticket.
func (t Ticket) Received() time.Time { return t.received }

// Host is a snapshot of a host according to its latest heartbeat.
type Host struct {
	announce  messenger.Announce
	state     State
	received  time.Time
	firstSeen time.Time
	direct    bool
	usage     usage
}

// Name returns the name of the host.
func (h Host) Name() string { return h.announce.Host }

// Address returns the address of the host's agent, host:port.
func (h Host) Address() string { return h.announce.Address }

// Incarnation returns the incarnation of the host's agent.
func (h Host) Incarnation() string { return h.announce.Incarnation }

// Sequence returns the number of the latest heartbeat within its incarnation.
func (h Host) Sequence() int { return h.announce.Sequence }

// State returns the state of the host.
func (h Host) State() State { return h.state }

// Locality returns the region, data centre and rack of the host.
func (h Host) Locality() apricotwinch.Locality {
	return apricotwinch.NewLocality(h.announce.Region, h.announce.DataCentre, h.announce.Rack)
}

// Capacity returns the resources of the host.
func (h Host) Capacity() apricotwinch.Resources { return resources(h.announce.Capacity) }

// Committed returns the resources held by tasks and services on the host at the time
// of its latest heartbeat.
func (h Host) Committed() apricotwinch.Resources { return resources(h.announce.Committed) }

// Services returns the load of each service on the host. The caller must not modify
// the slice.
func (h Host) Services() []messenger.ServiceSummary { return h.announce.Services }

// Usage returns the latest usage reports of all tasks on the host. The caller must
// not modify the slice.
func (h Host) Usage() []messenger.TaskUsage { return h.usage.reports }

// UsageReceived returns when an entry received the latest usage reports, or the zero
// time if there are none. It distinguishes new reports from those already seen.
func (h Host) UsageReceived() time.Time { return h.usage.received }

// Heartbeat returns the latest heartbeat.
func (h Host) Heartbeat() messenger.Announce { return h.announce }

// Ticket returns the time of the agent's clock in the latest heartbeat.
func (h Host) Ticket() Ticket {
	return Ticket{millis: int64(h.announce.TicketMillis), received: h.received}
}

// Received returns when an entry received the latest heartbeat.
func (h Host) Received() time.Time { return h.received }

// FirstSeen returns when the first heartbeat of the incarnation was received.
func (h Host) FirstSeen() time.Time { return h.firstSeen }

// Direct reports whether the latest heartbeat came from the agent itself rather than
// in a peer's digest.
func (h Host) Direct() bool { return h.direct }

func resources(r messenger.Resources) apricotwinch.Resources {
	return apricotwinch.NewResources(int64(r.ProcessorMillis), int64(r.MemoryBytes), int64(r.Accelerators))
}

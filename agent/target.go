package agent

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/reserver"
)

// serviceKey identifies a service by its team and name.
type serviceKey struct {
	team    string
	service string
}

// String returns the key as team/service.
func (k serviceKey) String() string { return k.team + "/" + k.service }

// target is one process that serves a service on the host, and the requests queued for it. Its
// address and client never change.
type target struct {
	address        string
	client         *http.Client
	announcement   messenger.TargetAnnounce
	lastAnnounceAt time.Time
	queue          []*exchange
	latencies      latencies
}

// targets holds the host's registered targets by service.
type targets struct {
	reservations *reserver.Reserver
	timeout      time.Duration
	byKey        map[serviceKey]*target
}

func newTargets(reservations *reserver.Reserver, timeout time.Duration) *targets {
	return &targets{reservations: reservations, timeout: timeout, byKey: make(map[serviceKey]*target)}
}

// register handles a target's heartbeat. It fails with kind Invalid for an invalid field,
// NoCapacity when the target's reservation does not fit on the host, and Conflict when another
// live target serves the same service.
func (t *targets) register(now time.Time, message messenger.TargetAnnounce) error {
	key := serviceKey{team: message.Team, service: message.Service}
	if err := checkAnnounce(message); err != nil {
		return err
	}
	known := t.byKey[key]
	if known != nil && known.address != message.Address && now.Sub(known.lastAnnounceAt) < t.timeout {
		return apricotwinch.Errorf(apricotwinch.Conflict,
			"address: service %s is served at %s on this host", key, known.address)
	}
	if err := t.reservations.ReserveTarget(key.String(), message.Reserved.Value(), message.Slots, message.Connections); err != nil {
		return err
	}
	if known == nil || known.address != message.Address || known.announcement.Connections != message.Connections {
		known = t.replace(key, known, message)
	}
	known.announcement = message
	known.lastAnnounceAt = now
	return nil
}

// replace makes the process of message the target of key. It takes over the queue of previous.
func (t *targets) replace(key serviceKey, previous *target, message messenger.TargetAnnounce) *target {
	next := &target{address: message.Address, client: newTargetClient(message.Connections)}
	if previous != nil {
		next.queue = previous.queue
		previous.client.CloseIdleConnections()
	}
	t.byKey[key] = next
	return next
}

func checkAnnounce(message messenger.TargetAnnounce) error {
	for _, f := range []struct{ field, value string }{
		{"service", message.Service},
		{"team", message.Team},
		{"address", message.Address},
	} {
		if f.value == "" {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: is missing", f.field)
		}
	}
	return nil
}

// expire removes targets that sent no heartbeat within the timeout. It returns the requests that
// were queued for them.
func (t *targets) expire(now time.Time) []*exchange {
	var waiting []*exchange
	for _, key := range t.sortedKeys() {
		known := t.byKey[key]
		if now.Sub(known.lastAnnounceAt) < t.timeout {
			continue
		}
		waiting = append(waiting, known.queue...)
		t.reservations.ReleaseTarget(key.String())
		known.client.CloseIdleConnections()
		delete(t.byKey, key)
	}
	return waiting
}

// find returns the target of key. It fails with kind NoTarget if there is none, and with Draining
// if the target is shutting down.
func (t *targets) find(key serviceKey) (*target, error) {
	known := t.byKey[key]
	if known == nil {
		return nil, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no target on this host", key)
	}
	if known.announcement.Leaving {
		return nil, apricotwinch.Errorf(apricotwinch.Draining, "service %s: its target on this host is shutting down", key)
	}
	return known, nil
}

// enqueue adds x after the requests of the same and of higher urgency. If the queue then holds
// more than limit requests, it removes and returns the last, which may be x.
func (t *target) enqueue(x *exchange, limit int) *exchange {
	at := len(t.queue)
	for at > 0 && t.queue[at-1].urgency < x.urgency {
		at--
	}
	t.queue = slices.Insert(t.queue, at, x)
	if len(t.queue) <= limit {
		return nil
	}
	last := t.queue[len(t.queue)-1]
	t.queue = t.queue[:len(t.queue)-1]
	return last
}

// dequeue removes x from the queue, if it is there.
func (t *target) dequeue(x *exchange) {
	if at := slices.Index(t.queue, x); at >= 0 {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
}

// summaries returns the load of each service that is not shutting down, in order of team and
// service.
func (t *targets) summaries(now time.Time) []messenger.ServiceSummary {
	summaries := make([]messenger.ServiceSummary, 0, len(t.byKey))
	for _, key := range t.sortedKeys() {
		known := t.byKey[key]
		if known.announcement.Leaving {
			continue
		}
		latency, lag := known.latencies.median(now)
		summaries = append(summaries, messenger.ServiceSummary{
			Service:          key.service,
			Team:             key.team,
			Slots:            known.announcement.Slots,
			Busy:             t.busy(key),
			Queued:           len(known.queue),
			Connections:      known.announcement.Connections,
			LatencyMicros:    int(latency.Microseconds()),
			LagMillis:        int(lag.Milliseconds()),
			SlowdownPermille: known.latencies.slowdown(latency),
		})
	}
	return summaries
}

// busy returns the number of running requests of key.
func (t *targets) busy(key serviceKey) int {
	if reservation := t.reservations.Target(key.String()); reservation != nil {
		return reservation.Busy()
	}
	return 0
}

// load returns the number of running and of queued requests of key.
func (t *targets) load(key serviceKey) (busy, waiting int) {
	if known := t.byKey[key]; known != nil {
		waiting = len(known.queue)
	}
	return t.busy(key), waiting
}

func (t *targets) sortedKeys() []serviceKey {
	keys := make([]serviceKey, 0, len(t.byKey))
	for key := range t.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.service, b.service))
	})
	return keys
}

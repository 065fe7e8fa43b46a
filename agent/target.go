package agent

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/arbiter"
	"apricotwinch/messenger"
)

// serviceKey names a service of a team.
type serviceKey struct {
	team    string
	service string
}

// String returns the key as team/service.
func (k serviceKey) String() string { return k.team + "/" + k.service }

// target is one process that serves a service on the host, with the requests that
// wait for it. Its address and client never change.
type target struct {
	address   string
	client    *http.Client
	announce  messenger.TargetAnnounce
	seenAt    time.Time
	queue     []*exchange
	latencies latencies
}

// targets are the targets that announced themselves on the host.
type targets struct {
	room    *arbiter.Arbiter
	timeout time.Duration
	byKey   map[serviceKey]*target
}

func newTargets(room *arbiter.Arbiter, timeout time.Duration) *targets {
	return &targets{room: room, timeout: timeout, byKey: make(map[serviceKey]*target)}
}

// announce takes a target's heartbeat. It fails with kind Invalid for a wrong
// field, NoCapacity when the host has no room for the target, and Conflict when
// another live target serves the same service.
func (t *targets) announce(now time.Time, message messenger.TargetAnnounce) error {
	key := serviceKey{team: message.Team, service: message.Service}
	if err := checkAnnounce(message); err != nil {
		return err
	}
	known := t.byKey[key]
	if known != nil && known.address != message.Address && now.Sub(known.seenAt) < t.timeout {
		return apricotwinch.Errorf(apricotwinch.Conflict,
			"address: service %s is served at %s on this host", key, known.address)
	}
	if err := t.room.ReserveTarget(key.String(), message.Reserved.Value(), message.Slots, message.Connections); err != nil {
		return err
	}
	if known == nil || known.address != message.Address || known.announce.Connections != message.Connections {
		known = t.replace(key, known, message)
	}
	known.announce = message
	known.seenAt = now
	return nil
}

// replace makes a new process the target of key; it takes over the queue.
func (t *targets) replace(key serviceKey, before *target, message messenger.TargetAnnounce) *target {
	next := &target{address: message.Address, client: newTargetClient(message.Connections)}
	if before != nil {
		next.queue = before.queue
		before.client.CloseIdleConnections()
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

// expire drops targets that are silent, and leaving ones without work. It
// returns the requests that waited for them.
func (t *targets) expire(now time.Time) []*exchange {
	var stranded []*exchange
	for _, key := range t.keys() {
		known := t.byKey[key]
		if now.Sub(known.seenAt) < t.timeout {
			continue
		}
		stranded = append(stranded, known.queue...)
		t.room.ReleaseTarget(key.String())
		known.client.CloseIdleConnections()
		delete(t.byKey, key)
	}
	return stranded
}

// find returns the target of key, or an error of kind NoTarget, or Draining when
// it leaves.
func (t *targets) find(key serviceKey) (*target, error) {
	known := t.byKey[key]
	if known == nil {
		return nil, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no target on this host", key)
	}
	if known.announce.Leaving {
		return nil, apricotwinch.Errorf(apricotwinch.Draining, "service %s: its target on this host is leaving", key)
	}
	return known, nil
}

// enqueue adds x behind requests of its own and of higher urgency. When the
// queue is full it returns the request that must give way, which may be x.
func (k *target) enqueue(x *exchange, bound int) *exchange {
	at := len(k.queue)
	for at > 0 && k.queue[at-1].urgency < x.urgency {
		at--
	}
	k.queue = slices.Insert(k.queue, at, x)
	if len(k.queue) <= bound {
		return nil
	}
	last := k.queue[len(k.queue)-1]
	k.queue = k.queue[:len(k.queue)-1]
	return last
}

// dequeue removes x from the queue.
func (k *target) dequeue(x *exchange) {
	if at := slices.Index(k.queue, x); at >= 0 {
		k.queue = slices.Delete(k.queue, at, at+1)
	}
}

// summaries returns the load of each service, in order of team and service.
func (t *targets) summaries(now time.Time) []messenger.ServiceSummary {
	summaries := make([]messenger.ServiceSummary, 0, len(t.byKey))
	for _, key := range t.keys() {
		known := t.byKey[key]
		if known.announce.Leaving {
			continue
		}
		latency, lag := known.latencies.median(now)
		summaries = append(summaries, messenger.ServiceSummary{
			Service:          key.service,
			Team:             key.team,
			Slots:            known.announce.Slots,
			Busy:             t.busy(key),
			Queued:           len(known.queue),
			Connections:      known.announce.Connections,
			LatencyMicros:    int(latency.Microseconds()),
			LagMillis:        int(lag.Milliseconds()),
			SlowdownPermille: known.latencies.slowdown(latency),
		})
	}
	return summaries
}

// busy returns the number of requests that run for key.
func (t *targets) busy(key serviceKey) int {
	if reserved := t.room.Target(key.String()); reserved != nil {
		return reserved.Busy()
	}
	return 0
}

// load returns the running and waiting requests of key.
func (t *targets) load(key serviceKey) (busy, waiting int) {
	if known := t.byKey[key]; known != nil {
		waiting = len(known.queue)
	}
	return t.busy(key), waiting
}

func (t *targets) keys() []serviceKey {
	keys := make([]serviceKey, 0, len(t.byKey))
	for key := range t.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.service, b.service))
	})
	return keys
}

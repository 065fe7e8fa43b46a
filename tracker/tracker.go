// Package tracker decides which hosts are alive, suspected, draining or gone.
//
// There is no configured list of hosts: each host announces itself by heartbeats,
// which arrive directly or in a peer's digest. A Tracker takes heartbeats and the
// current time as arguments and returns typed changes. It performs no I/O and is not
// safe for concurrent use.
package tracker

import (
	"iter"
	"time"

	"apricotwinch/messenger"
)

// Tracker holds the host membership as one entry sees it.
type Tracker struct {
	config  Config
	records map[string]*record
	queue   queue
	index   index
}

// New returns a tracker that knows no host.
func New(config Config) *Tracker {
	return &Tracker{config: config, records: map[string]*record{}, index: newIndex()}
}

// Observe applies a heartbeat that the host's agent sent to this entry and returns
// the change. It fails with kind Invalid, and changes nothing, if a field of the
// heartbeat is malformed.
func (t *Tracker) Observe(now time.Time, announce messenger.Announce) ([]Change, error) {
	change, err := t.observe(now, Host{announce: announce, received: now, firstSeen: now, direct: true})
	if err != nil {
		return nil, err
	}
	return []Change{change}, nil
}

// observe applies a heartbeat, given as the host that it describes.
func (t *Tracker) observe(now time.Time, h Host) (Change, error) {
	if err := validate(&h.announce); err != nil {
		return Change{}, err
	}
	h.state = announcedState(h.announce)
	if now.Sub(h.received) >= t.config.goneAfter {
		return Change{kind: IgnoredAge, host: h}, nil
	}
	rec := t.records[h.Name()]
	if rec == nil {
		return t.join(h), nil
	}
	if rec.host.Incarnation() == h.Incarnation() {
		return t.refresh(rec, h), nil
	}
	return t.replace(rec, h), nil
}

func announcedState(a messenger.Announce) State {
	if a.Draining {
		return Draining
	}
	return Alive
}

// join adds an unknown host.
func (t *Tracker) join(h Host) Change {
	h.mergeUsage(usage{})
	rec := &record{host: h, deadline: h.received.Add(t.allowedSilence(h.state))}
	t.records[h.Name()] = rec
	t.queue.add(rec)
	t.index.add(rec)
	return Change{kind: Joined, host: h}
}

// refresh applies a heartbeat of the current incarnation. One that isn't newer than
// the latest may still carry newer usage reports.
func (t *Tracker) refresh(rec *record, h Host) Change {
	if h.Sequence() <= rec.host.Sequence() {
		if usageFrom(h).newerThan(rec.host.usage) {
			rec.host.usage = usageFrom(h)
			return Change{kind: UsageUpdated, host: rec.host}
		}
		return Change{kind: IgnoredSequence, host: rec.host}
	}
	kind := transitions[rec.host.state][h.state]
	h.firstSeen = rec.host.firstSeen
	t.update(rec, h)
	return Change{kind: kind, host: rec.host}
}

// transitions holds the change caused by a heartbeat, by the host's previous state and
// the state that the heartbeat announces.
var transitions = map[State]map[State]ChangeKind{
	Alive:     {Alive: Updated, Draining: BecameDraining},
	Suspected: {Alive: Recovered, Draining: BecameDraining},
	Draining:  {Alive: Recovered, Draining: Updated},
	Gone:      {Alive: Joined, Draining: Joined},
}

// replace applies a heartbeat of an incarnation other than the current one.
//
// A replaced incarnation stays replaced while the one that replaced it is present.
// Once that one is gone, the replaced incarnation may return with a new heartbeat, so
// that a delayed digest of an older incarnation can't hide a live host permanently.
func (t *Tracker) replace(rec *record, h Host) Change {
	latest := rec.replacedSequence(h.Incarnation())
	gone := rec.host.state == Gone
	if latest >= h.Sequence() || (latest > 0 && !gone) || h.received.Before(rec.host.firstSeen) {
		return Change{kind: IgnoredIncarnation, host: rec.host}
	}
	previous := rec.host.Incarnation()
	rec.markReplaced()
	rec.unmarkReplaced(h.Incarnation())
	t.update(rec, h)
	if gone {
		return Change{kind: Joined, host: rec.host, previous: previous}
	}
	return Change{kind: Replaced, host: rec.host, previous: previous}
}

// update makes h the latest heartbeat of a host and moves its deadline.
func (t *Tracker) update(rec *record, h Host) {
	if h.received.Before(rec.host.received) {
		h.received = rec.host.received
	}
	before := rec.host
	h.mergeUsage(before.usage)
	rec.host = h
	if before.state == Gone || !sameServices(before.Services(), h.Services()) {
		t.index.removeFromServices(rec, before.Services())
		t.index.add(rec)
	}
	rec.deadline = h.received.Add(t.allowedSilence(h.state))
	t.queue.fix(rec)
}

// allowedSilence returns how long a host may be silent before it leaves the given
// state.
func (t *Tracker) allowedSilence(state State) time.Duration {
	if state == Alive {
		return t.config.suspectAfter
	}
	if state == Gone {
		return t.config.forgetAfter
	}
	return t.config.goneAfter
}

// Tick changes the states of hosts that were silent for too long and returns the
// changes in order of the hosts' deadlines. Its cost depends only on the number of
// changes, not on the number of hosts.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for len(t.queue) > 0 && !now.Before(t.queue[0].deadline) {
		if change, ok := t.expire(t.queue[0]); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// expire moves a silent host to its next state. It returns false if the host was
// forgotten, which isn't a change.
func (t *Tracker) expire(rec *record) (Change, bool) {
	if rec.host.state == Gone {
		t.queue.remove(rec)
		delete(t.records, rec.host.Name())
		return Change{}, false
	}
	kind := Left
	if rec.host.state == Alive {
		kind = BecameSuspected
		rec.host.state = Suspected
	} else {
		rec.host.state = Gone
		t.index.remove(rec)
	}
	rec.deadline = rec.host.received.Add(t.allowedSilence(rec.host.state))
	t.queue.fix(rec)
	return Change{kind: kind, host: rec.host}, true
}

// Host returns the host called name, and false if it is unknown. A host that is gone
// remains known until it is forgotten.
func (t *Tracker) Host(name string) (Host, bool) {
	rec := t.records[name]
	if rec == nil {
		return Host{}, false
	}
	return rec.host, true
}

// Len returns the number of hosts that are not gone.
func (t *Tracker) Len() int { return len(t.index.present) }

// Hosts returns an iterator over the hosts that are not gone, sorted by name.
func (t *Tracker) Hosts() iter.Seq[Host] { return t.index.present.all() }

// ByService returns an iterator over the hosts that announce a service and are not
// gone, sorted by name.
func (t *Tracker) ByService(service Service) iter.Seq[Host] {
	list := t.index.services[service]
	if list == nil {
		return func(func(Host) bool) {}
	}
	return list.all()
}

func (r sortedRecords) all() iter.Seq[Host] {
	return func(yield func(Host) bool) {
		for _, rec := range r {
			if !yield(rec.host) {
				return
			}
		}
	}
}

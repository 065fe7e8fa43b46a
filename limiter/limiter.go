// Package limiter decides which requests an entry admits.
//
// A service's requests in flight are bounded by the slots of its targets, and
// less urgent requests are shed before queues grow. A team's requests are bounded
// by its quota. A limiter performs no I/O and is not safe for concurrent use.
package limiter

import (
	"container/list"
	"math/rand/v2"
	"time"

	"apricotwinch"
	"apricotwinch/tracker"
)

// Limiter holds the requests in flight of one entry.
type Limiter struct {
	config Config
	random *rand.Rand
	loads  map[tracker.Service]*load
	teams  map[string]*team
	// idle holds the teams without a quota of their own that have no request in
	// flight, the longest idle first.
	idle     *list.List
	resting  map[string]*list.Element
	unquoted int
}

// New returns a limiter that knows no service. The seed drives the jitter of
// retry times.
func New(config Config, seed uint64) *Limiter {
	return &Limiter{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		loads:   map[tracker.Service]*load{},
		teams:   map[string]*team{},
		idle:    list.New(),
		resting: map[string]*list.Element{},
	}
}

// SetCapacity sets the slots and connections of a service's usable targets,
// shared by a number of entries. It fails with kind Invalid when slots or
// connections are negative or entries is below 1.
func (l *Limiter) SetCapacity(service tracker.Service, slots, connections, entries int) error {
	if slots < 0 || connections < 0 || entries < 1 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "capacity of %s: slots %d, connections %d, entries %d", service, slots, connections, entries)
	}
	state := l.loads[service]
	if state == nil {
		state = &load{others: unknownOthers}
		l.loads[service] = state
	}
	state.slots, state.connections, state.entries = slots, connections, entries
	state.setLimits(l.config)
	if connections == 0 && state.total() == 0 {
		delete(l.loads, service)
	}
	return nil
}

// SetOthers sets the estimate of the requests that other entries have at a
// service's targets, so that this entry uses what they leave; without it, an
// entry gets an equal share. It counts once the service has a capacity.
func (l *Limiter) SetOthers(service tracker.Service, others int) {
	if state := l.loads[service]; state != nil {
		state.others = max(0, others)
		state.setLimits(l.config)
	}
}

// SetQuota gives a team a quota of its own.
func (l *Limiter) SetQuota(now time.Time, name string, quota Quota) {
	t := l.teams[name]
	if t == nil {
		l.teams[name] = newTeam(name, quota, true)
		return
	}
	if !t.own {
		l.wake(t)
		l.unquoted--
		t.own = true
	}
	t.setQuota(now, quota)
}

// RemoveQuota gives a team the default quota again.
func (l *Limiter) RemoveQuota(now time.Time, name string) {
	t := l.teams[name]
	if t == nil || !t.own {
		return
	}
	t.own = false
	t.setQuota(now, l.config.quota)
	l.unquoted++
	l.rest(t)
}

// Admit decides whether a request of a team for a service may be sent. An
// admitted request holds a place until Release.
func (l *Limiter) Admit(now time.Time, name string, service tracker.Service, urgency apricotwinch.Urgency) Decision {
	if urgency < apricotwinch.Batch || urgency > apricotwinch.Critical {
		return l.refuse(Urgency, urgency, 0)
	}
	state := l.loads[service]
	if state == nil || state.connections == 0 {
		return l.refuse(NoTarget, urgency, 0)
	}
	if !state.admits(urgency) {
		return l.refuse(Load, urgency, 0)
	}
	t := l.team(name)
	if t == nil {
		return l.refuse(Teams, urgency, 0)
	}
	if t.inFlight >= t.quota.concurrent {
		return l.refuse(Concurrency, urgency, 0)
	}
	if !t.tokens.AllowN(now, 1) {
		return l.refuse(Rate, urgency, t.wait(now))
	}
	l.wake(t)
	t.inFlight++
	state.inFlight[urgency]++
	return Decision{urgency: urgency, place: &Place{limiter: l, team: t, load: state, urgency: urgency}}
}

// retryJitter is the greatest part that is added to a retry time at random.
const retryJitter = 0.5

// refuse returns a refusal whose retry time is wait, or that of its kind, with
// jitter that keeps refused callers from coming back at once.
func (l *Limiter) refuse(reason Reason, urgency apricotwinch.Urgency, wait time.Duration) Decision {
	if wait == 0 {
		wait = kinds[reason].Answer().RetryAfter()
	}
	wait += time.Duration(retryJitter * l.random.Float64() * float64(wait))
	return Decision{reason: reason, urgency: urgency, retryAfter: wait}
}

// team returns the state of a team, or nil when no more can be remembered.
func (l *Limiter) team(name string) *team {
	if t := l.teams[name]; t != nil {
		return t
	}
	if l.unquoted >= l.config.maxTeams && !l.forget() {
		return nil
	}
	t := newTeam(name, l.config.quota, false)
	l.teams[name] = t
	l.unquoted++
	l.rest(t)
	return t
}

// forget drops the team that has been idle longest; it reports whether one was.
func (l *Limiter) forget() bool {
	front := l.idle.Front()
	if front == nil {
		return false
	}
	t := front.Value.(*team)
	l.wake(t)
	delete(l.teams, t.name)
	l.unquoted--
	return true
}

// rest lists a team as idle when it has neither a quota nor a request in flight.
func (l *Limiter) rest(t *team) {
	if !t.own && t.inFlight == 0 && l.resting[t.name] == nil {
		l.resting[t.name] = l.idle.PushBack(t)
	}
}

// wake takes a team off the idle list.
func (l *Limiter) wake(t *team) {
	if element := l.resting[t.name]; element != nil {
		l.idle.Remove(element)
		delete(l.resting, t.name)
	}
}

// Teams returns the number of teams that the limiter remembers.
func (l *Limiter) Teams() int { return len(l.teams) }

// InFlight returns the requests of a service in flight, by urgency.
func (l *Limiter) InFlight(service tracker.Service, urgency apricotwinch.Urgency) int {
	if state := l.loads[service]; state != nil {
		return state.inFlight[urgency]
	}
	return 0
}

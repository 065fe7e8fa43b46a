// Package limiter decides which requests an entry admits.
//
// It limits the requests in flight of a service by the slots of its targets, and
// sheds less urgent requests before queues grow. It limits the requests of a team by
// its quota. A limiter performs no I/O and is not safe for concurrent use.
package limiter

import (
	"container/list"
	"math/rand/v2"
	"time"

	"apricotwinch"
	"apricotwinch/tracker"
)

// Limiter counts the requests in flight of one entry and decides on new ones.
type Limiter struct {
	config Config
	random *rand.Rand
	loads  map[tracker.Service]*load
	teams  map[string]*team
	// idle holds the teams without a quota of their own that have no requests in
	// flight, the one idle for the longest time first.
	idle              *list.List
	idleElements      map[string]*list.Element
	defaultQuotaTeams int
}

// New returns a limiter without services. The seed determines the jitter of retry
// times.
func New(config Config, seed uint64) *Limiter {
	return &Limiter{
		config:       config,
		random:       rand.New(rand.NewPCG(seed, seed)),
		loads:        map[tracker.Service]*load{},
		teams:        map[string]*team{},
		idle:         list.New(),
		idleElements: map[string]*list.Element{},
	}
}

// SetCapacity sets the slots and connections of a service's usable targets, and the
// number of entries that share them. It fails with kind Invalid if slots or
// connections is negative or entries is below 1.
func (l *Limiter) SetCapacity(service tracker.Service, slots, connections, entries int) error {
	if slots < 0 || connections < 0 || entries < 1 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "capacity of %s: slots %d or connections %d is negative, or entries %d is below 1", service, slots, connections, entries)
	}
	state := l.loads[service]
	if state == nil {
		state = &load{otherRequests: unknownOtherRequests}
		l.loads[service] = state
	}
	state.slots, state.connections, state.entries = slots, connections, entries
	state.updateLimits(l.config)
	if connections == 0 && state.total() == 0 {
		delete(l.loads, service)
	}
	return nil
}

// SetOtherRequests sets an estimate of the requests that other entries have at a service's
// targets, so that this entry uses the remaining capacity. Without an estimate, each
// entry gets an equal share. A call has no effect before the service has a capacity.
func (l *Limiter) SetOtherRequests(service tracker.Service, others int) {
	if state := l.loads[service]; state != nil {
		state.otherRequests = max(0, others)
		state.updateLimits(l.config)
	}
}

// SetQuota gives a team a quota of its own.
func (l *Limiter) SetQuota(now time.Time, name string, quota Quota) {
	t := l.teams[name]
	if t == nil {
		l.teams[name] = newTeam(name, quota, true)
		return
	}
	if !t.hasOwnQuota {
		l.markActive(t)
		l.defaultQuotaTeams--
		t.hasOwnQuota = true
	}
	t.setQuota(now, quota)
}

// RemoveQuota removes a team's own quota; the default quota applies again.
func (l *Limiter) RemoveQuota(now time.Time, name string) {
	t := l.teams[name]
	if t == nil || !t.hasOwnQuota {
		return
	}
	t.hasOwnQuota = false
	t.setQuota(now, l.config.quota)
	l.defaultQuotaTeams++
	l.markIdle(t)
}

// Admit decides whether a request of a team to a service may be sent. An admitted
// request holds a permit until its Release.
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
	t := l.findOrAddTeam(name)
	if t == nil {
		return l.refuse(Teams, urgency, 0)
	}
	if t.inFlight >= t.quota.concurrent {
		return l.refuse(Concurrency, urgency, 0)
	}
	if !t.tokens.AllowN(now, 1) {
		return l.refuse(Rate, urgency, t.untilNextToken(now))
	}
	l.markActive(t)
	t.inFlight++
	state.inFlight[urgency]++
	return Decision{urgency: urgency, permit: &Permit{limiter: l, team: t, load: state, urgency: urgency}}
}

// retryJitter is the largest fraction of a retry time that is randomly added to it.
const retryJitter = 0.5

// refuse returns a refusal whose retry time is wait, or the default of its error kind
// if wait is 0. Jitter prevents refused callers from all retrying at the same time.
func (l *Limiter) refuse(reason Reason, urgency apricotwinch.Urgency, wait time.Duration) Decision {
	if wait == 0 {
		wait = kinds[reason].ErrorResponse().RetryAfter()
	}
	wait += time.Duration(retryJitter * l.random.Float64() * float64(wait))
	return Decision{reason: reason, urgency: urgency, retryAfter: wait}
}

// findOrAddTeam returns the state of a team, which it adds if it is new, or nil if
// no more teams can be remembered.
func (l *Limiter) findOrAddTeam(name string) *team {
	if t := l.teams[name]; t != nil {
		return t
	}
	if l.defaultQuotaTeams >= l.config.maxTeams && !l.evictIdle() {
		return nil
	}
	t := newTeam(name, l.config.quota, false)
	l.teams[name] = t
	l.defaultQuotaTeams++
	l.markIdle(t)
	return t
}

// evictIdle forgets the team that has been idle for the longest time. It reports
// whether there was one.
func (l *Limiter) evictIdle() bool {
	front := l.idle.Front()
	if front == nil {
		return false
	}
	t := front.Value.(*team)
	l.markActive(t)
	delete(l.teams, t.name)
	l.defaultQuotaTeams--
	return true
}

// markIdle adds a team to the idle list if it has neither a quota of its own nor a
// request in flight.
func (l *Limiter) markIdle(t *team) {
	if !t.hasOwnQuota && t.inFlight == 0 && l.idleElements[t.name] == nil {
		l.idleElements[t.name] = l.idle.PushBack(t)
	}
}

// markActive removes a team from the idle list.
func (l *Limiter) markActive(t *team) {
	if element := l.idleElements[t.name]; element != nil {
		l.idle.Remove(element)
		delete(l.idleElements, t.name)
	}
}

// Teams returns the number of teams that the limiter remembers.
func (l *Limiter) Teams() int { return len(l.teams) }

// InFlight returns the number of requests of an urgency that a service has in flight.
func (l *Limiter) InFlight(service tracker.Service, urgency apricotwinch.Urgency) int {
	if state := l.loads[service]; state != nil {
		return state.inFlight[urgency]
	}
	return 0
}

// Package router decides which target gets a request.
//
// A router is fed the tracker's changes, the requests that were sent and how
// they ended, and chooses among a few targets by their expected time. It
// performs no I/O and is not safe for concurrent use. A choice allocates nothing
// and its cost doesn't grow with the number of targets.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"apricotwinch/messenger"
	"apricotwinch/tracker"
)

// Router holds the targets of each service.
type Router struct {
	config    Config
	random    *rand.Rand
	pools     map[tracker.Service]*pool
	hosts     map[string][]*state
	out       map[string]bool
	limits    map[tracker.Service][]string
	ejections ejections
}

// New returns a router that knows no target. The same seed and events give the
// same choices.
func New(config Config, seed uint64) *Router {
	return &Router{
		config: config,
		random: rand.New(rand.NewPCG(seed, seed)),
		pools:  map[tracker.Service]*pool{},
		hosts:  map[string][]*state{},
		out:    map[string]bool{},
		limits: map[tracker.Service][]string{},
	}
}

// changes tells what a change of a host means for its targets.
var changes = map[tracker.ChangeKind]func(r *Router, now time.Time, host tracker.Host){
	tracker.Joined:          (*Router).replace,
	tracker.Replaced:        (*Router).replace,
	tracker.Updated:         (*Router).update,
	tracker.BecameDraining:  (*Router).update,
	tracker.BecameSuspected: (*Router).suspect,
	tracker.Recovered:       (*Router).recover,
	tracker.Left:            (*Router).remove,
}

// Apply takes a change of the tracker.
func (r *Router) Apply(now time.Time, change tracker.Change) {
	r.advance(now)
	if apply, ok := changes[change.Kind()]; ok {
		apply(r, now, change.Host())
	}
}

// replace forgets the targets of a host and enters those that it announces.
func (r *Router) replace(now time.Time, host tracker.Host) {
	r.remove(now, host)
	r.update(now, host)
}

// recover enters the load of a host that is back and starts its targets slowly.
func (r *Router) recover(now time.Time, host tracker.Host) {
	r.update(now, host)
	for _, s := range r.hosts[host.Name()] {
		s.start(now)
		r.refresh(now, s)
	}
}

// suspect keeps the targets of a host for when no other is left.
func (r *Router) suspect(now time.Time, host tracker.Host) {
	for _, s := range r.hosts[host.Name()] {
		s.suspected = true
		r.refresh(now, s)
	}
}

// remove forgets the targets of a host.
func (r *Router) remove(_ time.Time, host tracker.Host) {
	for _, s := range r.hosts[host.Name()] {
		r.drop(s)
	}
	delete(r.hosts, host.Name())
}

// update takes what a host announces of its services.
func (r *Router) update(now time.Time, host tracker.Host) {
	known := r.hosts[host.Name()]
	listed := make([]*state, 0, len(host.Services()))
	for _, summary := range host.Services() {
		s := r.target(now, host, known, tracker.NewService(summary.Team, summary.Service))
		r.load(now, s, host, summary)
		listed = append(listed, s)
	}
	for _, s := range known {
		if !slices.Contains(listed, s) {
			r.drop(s)
		}
	}
	r.hosts[host.Name()] = listed
}

// target returns the known target of a service, or enters a new one: a target
// that moved is another.
func (r *Router) target(now time.Time, host tracker.Host, known []*state, service tracker.Service) *state {
	for _, s := range known {
		if s.service == service && s.at(host) {
			return s
		}
	}
	s := newState(host, service)
	s.pool = r.pool(now, service)
	if now.Sub(s.pool.since) >= r.config.slowStart {
		s.start(now)
	}
	s.pool.size++
	r.group(s.pool, host).enter(s)
	return s
}

func (r *Router) load(now time.Time, s *state, host tracker.Host, summary messenger.ServiceSummary) {
	s.announce(now, host, summary)
	lag := time.Duration(summary.LagMillis) * time.Millisecond
	s.health.fade(now, s.pool.baseline.micros, r.config.halfLife)
	s.health.announced(host.Received().Add(-lag), time.Duration(summary.LatencyMicros)*time.Microsecond)
	r.refresh(now, s)
}

// pool returns the pool of a service. While a pool is new, all its targets are,
// and a slow start of each would only keep requests out.
func (r *Router) pool(now time.Time, service tracker.Service) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{service: service, since: now}
		r.pools[service] = p
	}
	return p
}

// group returns the group of the host's data centre, in order of their names.
func (r *Router) group(p *pool, host tracker.Host) *group {
	dataCentre := host.Locality().DataCentre()
	at, found := slices.BinarySearchFunc(p.groups, dataCentre, func(g *group, name string) int {
		return strings.Compare(g.dataCentre, name)
	})
	if !found {
		g := &group{dataCentre: dataCentre, region: host.Locality().Region(), out: r.closed(p.service, dataCentre)}
		p.groups = slices.Insert(p.groups, at, g)
	}
	return p.groups[at]
}

// drop takes a target out; answers of its requests may still come.
func (r *Router) drop(s *state) {
	s.group.leave(s)
	r.recount(s)
	s.pool.size--
	if s.health.ejected || s.health.probing {
		s.pool.ejected--
	}
	if s.pool.size == 0 {
		delete(r.pools, s.service)
	}
}

// SetOut takes a data centre out of service or back into it. A data centre that
// is out gets no request; its targets start slowly when it is back.
func (r *Router) SetOut(now time.Time, dataCentre string, out bool) {
	if r.out[dataCentre] == out {
		return
	}
	r.out[dataCentre] = out
	for _, p := range r.pools {
		if g := p.group(dataCentre); g != nil {
			r.close(now, p, g)
		}
	}
}

// SetDataCentres has requests to a service go to the targets in dataCentres only;
// none stands for all. Targets that it lets in again start slowly.
func (r *Router) SetDataCentres(now time.Time, service tracker.Service, dataCentres []string) {
	if slices.Equal(r.limits[service], dataCentres) {
		return
	}
	r.limits[service] = slices.Clone(dataCentres)
	if len(dataCentres) == 0 {
		delete(r.limits, service)
	}
	p := r.pools[service]
	if p == nil {
		return
	}
	for _, g := range p.groups {
		r.close(now, p, g)
	}
}

// closed reports whether no request to a service goes to a data centre.
func (r *Router) closed(service tracker.Service, dataCentre string) bool {
	limit := r.limits[service]
	return r.out[dataCentre] || len(limit) > 0 && !slices.Contains(limit, dataCentre)
}

// close sets whether a group of p gets no request.
func (r *Router) close(now time.Time, p *pool, g *group) {
	closed := r.closed(p.service, g.dataCentre)
	if g.out == closed {
		return
	}
	g.out = closed
	for _, s := range g.members {
		s.start(now)
		r.refresh(now, s)
	}
}

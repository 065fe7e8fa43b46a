// Package router decides which target gets a request.
//
// The caller passes to a router the changes of the tracker, the requests that it
// sends, and how they end. For each request the router compares a few random targets
// and picks the one with the shortest expected time. It performs no I/O and is not
// safe for concurrent use. Choosing a target doesn't allocate, and its cost doesn't
// grow with the number of targets.
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
	config             Config
	random             *rand.Rand
	pools              map[tracker.Service]*pool
	hosts              map[string][]*targetState
	outOfService       map[string]bool
	allowedDataCentres map[tracker.Service][]string
	ejections          ejectionHeap
}

// New returns a router without targets. The same seed and events give the same
// choices.
func New(config Config, seed uint64) *Router {
	return &Router{
		config:             config,
		random:             rand.New(rand.NewPCG(seed, seed)),
		pools:              map[tracker.Service]*pool{},
		hosts:              map[string][]*targetState{},
		outOfService:       map[string]bool{},
		allowedDataCentres: map[tracker.Service][]string{},
	}
}

// changeHandlers maps each kind of change of a host to its effect on the host's targets.
var changeHandlers = map[tracker.ChangeKind]func(r *Router, now time.Time, host tracker.Host){
	tracker.Joined:          (*Router).replace,
	tracker.Replaced:        (*Router).replace,
	tracker.Updated:         (*Router).update,
	tracker.BecameDraining:  (*Router).update,
	tracker.BecameSuspected: (*Router).suspect,
	tracker.Recovered:       (*Router).recover,
	tracker.Left:            (*Router).remove,
}

// Apply updates the targets of a host for a change that the tracker reported.
func (r *Router) Apply(now time.Time, change tracker.Change) {
	r.endEjections(now)
	if apply, ok := changeHandlers[change.Kind()]; ok {
		apply(r, now, change.Host())
	}
}

// replace removes the targets of a host and adds those that it announces.
func (r *Router) replace(now time.Time, host tracker.Host) {
	r.remove(now, host)
	r.update(now, host)
}

// recover updates the load of a host that is alive again and begins the slow start
// of its targets.
func (r *Router) recover(now time.Time, host tracker.Host) {
	r.update(now, host)
	for _, s := range r.hosts[host.Name()] {
		s.beginSlowStart(now)
		r.refresh(now, s)
	}
}

// suspect marks the targets of a host for use only if no other target is left.
func (r *Router) suspect(now time.Time, host tracker.Host) {
	for _, s := range r.hosts[host.Name()] {
		s.suspected = true
		r.refresh(now, s)
	}
}

// remove removes the targets of a host.
func (r *Router) remove(_ time.Time, host tracker.Host) {
	for _, s := range r.hosts[host.Name()] {
		r.removeTarget(s)
	}
	delete(r.hosts, host.Name())
}

// update adds, updates and removes targets by the services that a host announces.
func (r *Router) update(now time.Time, host tracker.Host) {
	known := r.hosts[host.Name()]
	announced := make([]*targetState, 0, len(host.Services()))
	for _, summary := range host.Services() {
		s := r.findOrAddTarget(now, host, known, tracker.NewService(summary.Team, summary.Service))
		r.applySummary(now, s, host, summary)
		announced = append(announced, s)
	}
	for _, s := range known {
		if !slices.Contains(announced, s) {
			r.removeTarget(s)
		}
	}
	r.hosts[host.Name()] = announced
}

// findOrAddTarget returns the known target of a service, or adds a new one. A target
// whose address or locality changed is a new one.
func (r *Router) findOrAddTarget(now time.Time, host tracker.Host, known []*targetState, service tracker.Service) *targetState {
	for _, s := range known {
		if s.service == service && s.isAt(host) {
			return s
		}
	}
	s := newTargetState(host, service)
	s.pool = r.findOrAddPool(now, service)
	if now.Sub(s.pool.createdAt) >= r.config.slowStart {
		s.beginSlowStart(now)
	}
	s.pool.size++
	r.findOrAddGroup(s.pool, host).add(s)
	return s
}

func (r *Router) applySummary(now time.Time, s *targetState, host tracker.Host, summary messenger.ServiceSummary) {
	s.applyAnnouncement(now, host, summary)
	lag := time.Duration(summary.LagMillis) * time.Millisecond
	s.health.decay(now, s.pool.baseline.micros, r.config.halfLife)
	s.health.observeAnnounced(host.Received().Add(-lag), time.Duration(summary.LatencyMicros)*time.Microsecond)
	r.refresh(now, s)
}

// findOrAddPool returns the pool of a service, or adds one. Targets that join within
// the slow start window of a new pool start without a slow start: all the others are
// new as well, and slow starts would only reduce the capacity.
func (r *Router) findOrAddPool(now time.Time, service tracker.Service) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{service: service, createdAt: now}
		r.pools[service] = p
	}
	return p
}

// findOrAddGroup returns the group of the host's data centre, or adds one. Groups are
// ordered by the name of their data centre.
func (r *Router) findOrAddGroup(p *pool, host tracker.Host) *group {
	dataCentre := host.Locality().DataCentre()
	index, found := slices.BinarySearchFunc(p.groups, dataCentre, func(g *group, name string) int {
		return strings.Compare(g.dataCentre, name)
	})
	if !found {
		g := &group{dataCentre: dataCentre, region: host.Locality().Region(), disabled: r.isDisabled(p.service, dataCentre)}
		p.groups = slices.Insert(p.groups, index, g)
	}
	return p.groups[index]
}

// removeTarget removes a target. Answers to its requests may still arrive later.
func (r *Router) removeTarget(s *targetState) {
	s.group.remove(s)
	r.updateCapacity(s)
	s.pool.size--
	if s.health.ejected || s.health.onProbation {
		s.pool.ejected--
	}
	if s.pool.size == 0 {
		delete(r.pools, s.service)
	}
}

// SetOutOfService takes a data centre out of service or puts it back. A data centre that is
// out of service gets no requests. Its targets begin a slow start when it is back.
func (r *Router) SetOutOfService(now time.Time, dataCentre string, out bool) {
	if r.outOfService[dataCentre] == out {
		return
	}
	r.outOfService[dataCentre] = out
	for _, p := range r.pools {
		if g := p.group(dataCentre); g != nil {
			r.updateDisabled(now, p, g)
		}
	}
}

// RestrictDataCentres restricts the requests to a service to the targets in dataCentres.
// An empty list removes the restriction. Targets in data centres that become allowed
// begin a slow start.
func (r *Router) RestrictDataCentres(now time.Time, service tracker.Service, dataCentres []string) {
	if slices.Equal(r.allowedDataCentres[service], dataCentres) {
		return
	}
	r.allowedDataCentres[service] = slices.Clone(dataCentres)
	if len(dataCentres) == 0 {
		delete(r.allowedDataCentres, service)
	}
	p := r.pools[service]
	if p == nil {
		return
	}
	for _, g := range p.groups {
		r.updateDisabled(now, p, g)
	}
}

// isDisabled reports whether a data centre gets no requests to a service.
func (r *Router) isDisabled(service tracker.Service, dataCentre string) bool {
	allowed := r.allowedDataCentres[service]
	return r.outOfService[dataCentre] || len(allowed) > 0 && !slices.Contains(allowed, dataCentre)
}

// updateDisabled updates whether a group of p gets no requests.
func (r *Router) updateDisabled(now time.Time, p *pool, g *group) {
	disabled := r.isDisabled(p.service, g.dataCentre)
	if g.disabled == disabled {
		return
	}
	g.disabled = disabled
	for _, s := range g.targets {
		s.beginSlowStart(now)
		r.refresh(now, s)
	}
}

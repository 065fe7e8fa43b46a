// Package placer chooses hosts for batch tasks and watch services.
//
// A Placer keeps a table of hosts from summaries that may be seconds old, and counts its
// own placements until a summary covers them. The host's agent makes the final decision and
// may refuse an attempt, which the caller reports with Refuse. A Placer does no I/O, takes
// the time as an argument and makes the same choices for the same seed and events. It is
// not safe for concurrent use.
package placer

import (
	"math/rand/v2"
	"time"

	"apricotwinch"
)

// Placer chooses a host for each attempt.
type Placer struct {
	config       Config
	random       *rand.Rand
	hosts        map[string]*host
	dataCentres  []*dataCentre
	byLocality   map[apricotwinch.Locality]*dataCentre
	placements   map[apricotwinch.AttemptID]*placement
	spread       spread
	capacities   *capacities
	reservations []*placement
	holds        map[apricotwinch.AttemptID]*hold
	holdQueue    []*hold
	refusedHosts []*host
	firstJoin    time.Time
	latestTime   time.Time
	neighbors    []string
	options      []dataCentreOption
	candidates   []candidate
}

// New returns a placer without hosts. The seed determines its random choices.
func New(config Config, seed uint64) *Placer {
	return &Placer{
		config:     config,
		random:     rand.New(rand.NewPCG(seed, seed)),
		hosts:      map[string]*host{},
		byLocality: map[apricotwinch.Locality]*dataCentre{},
		placements: map[apricotwinch.AttemptID]*placement{},
		holds:      map[apricotwinch.AttemptID]*hold{},
		spread:     spread{},
		capacities: newCapacities(),
	}
}

// Join adds a host, or replaces it after a restart. A replaced host keeps its eligibility
// but loses its summary and reservations.
func (p *Placer) Join(now time.Time, name string, locality apricotwinch.Locality, capacity apricotwinch.Resources) {
	eligibility := Open
	if old := p.hosts[name]; old != nil {
		eligibility = old.eligibility
		p.Remove(now, name)
	}
	if p.firstJoin.IsZero() {
		p.firstJoin = now
	}
	h := &host{name: name, locality: locality, capacity: capacity, eligibility: eligibility}
	p.hosts[name] = h
	p.capacities.add(capacity)
	p.dataCentre(locality).add(h)
}

// Remove drops a host that left or failed; an unknown host is ignored.
func (p *Placer) Remove(now time.Time, name string) {
	h := p.hosts[name]
	if h == nil {
		return
	}
	delete(p.hosts, name)
	if h.hold != nil {
		p.releaseHold(h.hold.attempt)
	}
	h.dataCentre.remove(h)
	for len(h.reservations) > 0 {
		h.reservations[0].unreserve()
	}
	p.capacities.retain(h.capacity, now.Add(p.config.CapacityRetention))
}

// Update records the summary of a host: the resources committed at sampledAt, in the
// caller's time. It returns false, and changes nothing, for an unknown host or a summary
// older than the last one.
func (p *Placer) Update(now time.Time, name string, committed apricotwinch.Resources, sampledAt time.Time) bool {
	p.expire(now)
	h := p.hosts[name]
	if h == nil || sampledAt.Before(h.sampledAt) {
		return false
	}
	h.committed = committed
	h.sampledAt = sampledAt
	if sampledAt.After(h.blockedAt) {
		h.blocked = false
	}
	h.dropCovered(sampledAt)
	h.dropReported(sampledAt)
	h.dataCentre.refresh(h)
	return true
}

// SetResidents sets the classes of the work that runs on a host, for the penalty; an
// unknown host is ignored.
func (p *Placer) SetResidents(name string, classes []string) {
	if h := p.hosts[name]; h != nil {
		h.residents = classes
	}
}

// SetEligibility sets the eligibility of a host; an unknown host is ignored.
func (p *Placer) SetEligibility(name string, eligibility Eligibility) {
	if h := p.hosts[name]; h != nil {
		h.eligibility = eligibility
		h.dataCentre.refresh(h)
	}
}

// SetDraining sets whether a host is leaving and gets no tasks; an unknown host is ignored.
func (p *Placer) SetDraining(name string, draining bool) {
	if h := p.hosts[name]; h != nil {
		h.draining = draining
		h.dataCentre.refresh(h)
	}
}

// SetDataCentreOut takes a data centre out of service or brings it back.
func (p *Placer) SetDataCentreOut(region, name string, out bool) {
	p.dataCentre(apricotwinch.NewLocality(region, name, "")).out = out
}

// Confirm records that the agent accepted an attempt: a summary sampled after now covers
// its reservation.
func (p *Placer) Confirm(now time.Time, attempt apricotwinch.AttemptID) {
	p.observeTime(now)
	if pl := p.placements[attempt]; pl != nil && !pl.confirmed {
		pl.confirmed = true
		pl.confirmedAt = now
	}
}

// Refuse records that the agent refused an attempt for lack of room. The host is skipped
// until a newer summary arrives or Config.RefusalCooldown has passed.
func (p *Placer) Refuse(now time.Time, attempt apricotwinch.AttemptID) {
	p.observeTime(now)
	pl := p.placements[attempt]
	if pl == nil {
		return
	}
	pl.host.blocked = true
	pl.host.blockedAt = now
	p.refusedHosts = append(p.refusedHosts, pl.host)
	p.Release(attempt)
}

// Release records that an attempt ended or was withdrawn, and ends a hold for it. The
// resources that it held are free at once, before a summary shows it.
func (p *Placer) Release(attempt apricotwinch.AttemptID) {
	p.releaseHold(attempt)
	pl := p.placements[attempt]
	if pl == nil {
		return
	}
	delete(p.placements, attempt)
	p.spread.remove(attempt.Job(), pl.host)
	if pl.confirmed && !pl.reserved {
		pl.host.addUnreported(pl.need, p.latestTime)
	}
	pl.unreserve()
	p.refresh(pl.host)
}

// Restore adds an attempt that an earlier owner placed, so that it counts for the spread of
// its job. It reserves nothing, because the host's summary counts its need.
func (p *Placer) Restore(request Request, name string) {
	h := p.hosts[name]
	if h == nil || p.placements[request.attempt] != nil {
		return
	}
	p.placements[request.attempt] = &placement{
		attempt: request.attempt, class: request.class, need: request.need, host: h, confirmed: true,
	}
	p.spread.add(request.attempt.Job(), h)
}

// Hosts returns the number of hosts in the table.
func (p *Placer) Hosts() int { return len(p.hosts) }

// Free returns the free resources of a host as far as the placer knows; false means that
// the host is unknown.
func (p *Placer) Free(name string) (apricotwinch.Resources, bool) {
	h := p.hosts[name]
	if h == nil {
		return apricotwinch.Resources{}, false
	}
	return h.free(), true
}

// dataCentre returns the data centre that contains l, and adds it when it is new.
func (p *Placer) dataCentre(l apricotwinch.Locality) *dataCentre {
	key := dataCentreOf(l)
	d := p.byLocality[key]
	if d == nil {
		d = &dataCentre{locality: key}
		p.byLocality[key] = d
		p.dataCentres = append(p.dataCentres, d)
	}
	return d
}

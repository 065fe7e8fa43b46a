// Package observer estimates the interference between tasks on a host and decides
// which tasks to throttle or evict.
//
// It learns the slowdown of each pair of classes from measurements that may arrive
// late. Estimates decay over time. The placer uses them as a penalty. Where
// latency-critical work is slowed down, the batch work that is expected to cause most
// of it is throttled first, then checkpointed and evicted, with hysteresis and a cap on
// each. An Observer does no I/O and takes the time as an argument. It is not safe for
// concurrent use.
package observer

import (
	"math"
	"time"

	"apricotwinch"
)

// Observer learns interference and reacts to it.
type Observer struct {
	config        Config
	model         *model
	hosts         map[string]*host
	watched       map[string]*host  // Hosts with harmed or throttled work.
	probes        map[string]*probe // By class of batch work.
	internedNames map[string]string // Class names, for intern.
	budget        budget
}

// New returns an observer without measurements.
func New(config Config) *Observer {
	return &Observer{
		config:        config,
		model:         newModel(config),
		hosts:         map[string]*host{},
		watched:       map[string]*host{},
		probes:        map[string]*probe{},
		internedNames: map[string]string{},
		budget:        budget{share: config.EvictionShare, burst: config.EvictionBurst, left: config.EvictionBurst},
	}
}

// ResidentStarted records that work runs on a host from now on. It ignores work that is
// present already.
func (o *Observer) ResidentStarted(now time.Time, name string, r Resident) {
	h := o.hosts[name]
	if h == nil {
		h = &host{name: name, measurements: map[apricotwinch.AttemptID]measurement{}, reportsToRestore: o.config.LowReports}
		o.hosts[name] = h
	}
	if h.findPresent(r.id) != nil {
		return
	}
	h.prune(now.Add(-o.config.History))
	r.class = o.intern(r.class)
	h.residencies = append(h.residencies, &residency{Resident: r, since: now})
	if r.urgency == apricotwinch.Batch {
		o.budget.earn()
		o.probe(r.class).running++
		return
	}
	o.model.setCritical(r.class)
}

// intern returns a copy of the class name that is shared by all residents. It forgets
// all copies when there are too many.
func (o *Observer) intern(class string) string {
	if name, ok := o.internedNames[class]; ok {
		return name
	}
	if len(o.internedNames) >= o.config.MaxPairs {
		o.internedNames = map[string]string{}
	}
	o.internedNames[class] = class
	return class
}

// ResidentEnded records that work no longer runs on a host.
func (o *Observer) ResidentEnded(now time.Time, name string, id apricotwinch.AttemptID) {
	h := o.hosts[name]
	if h == nil {
		return
	}
	h.forgetSlowdown(id)
	if s := h.findPresent(id); s != nil {
		o.countDeparture(s)
		s.until = now
		if s.throttled {
			s.restore(now)
			h.reportsToRestore, h.restored = o.config.LowReports, false
		}
	}
	h.prune(now.Add(-o.config.History))
}

// HostLeft records that a host and its work are gone.
func (o *Observer) HostLeft(name string) {
	if h := o.hosts[name]; h != nil {
		for _, s := range h.residencies {
			h.forgetSlowdown(s.id)
			o.countDeparture(s)
		}
	}
	delete(o.hosts, name)
	delete(o.watched, name)
	delete(o.model.hosts, name)
}

// Classes returns the class of each present resident of a host.
func (o *Observer) Classes(name string) []string {
	h := o.hosts[name]
	if h == nil {
		return nil
	}
	classes := make([]string, 0, len(h.residencies))
	for _, s := range h.residencies {
		if s.until.IsZero() {
			classes = append(classes, s.class)
		}
	}
	return classes
}

// Report applies a measurement. It ignores one of work that is not on the host or that
// was sampled before the work started there.
func (o *Observer) Report(now time.Time, r Report) {
	h := o.hosts[r.host]
	if h == nil {
		return
	}
	victim := h.findPresent(r.id)
	if victim == nil || !victim.presentAt(r.sampledAt) {
		return
	}
	neighbors := h.neighbors(victim, r.sampledAt)
	if victim.urgency != apricotwinch.Batch {
		o.countProbeReport(neighbors)
	}
	if h.undisturbed(r.sampledAt, o.config.Settle) && !r.sampledAt.Before(h.lastStepAt.Add(o.config.Settle)) {
		o.model.learn(now, h.name, victim.class, neighbors, max(0, r.slowdown-1))
	}
	if victim.urgency != apricotwinch.Batch {
		o.countHarmAndRecovery(h, victim, r)
	}
}

// neighbors returns the classes of the other residents at the given time.
func (h *host) neighbors(victim *residency, at time.Time) []string {
	var classes []string
	for _, s := range h.residencies {
		if s != victim && s.presentAt(at) {
			classes = append(classes, s.class)
		}
	}
	return classes
}

// countHarmAndRecovery counts the consecutive reports of harm and of recovery that were
// sampled since the last step took effect.
func (o *Observer) countHarmAndRecovery(h *host, victim *residency, r Report) {
	h.recordSlowdown(r.id, o.model.critical[victim.class], r.slowdown)
	if r.sampledAt.Before(h.lastStepAt.Add(o.config.Settle)) {
		return
	}
	switch {
	case h.harmed(o.config, 0):
		h.harmedReports++
		h.recoveredReports = 0
	case h.recovered(o.config):
		h.recoveredReports++
		h.harmedReports = 0
	default:
		h.harmedReports, h.recoveredReports = 0, 0
	}
	if h.harmedReports > 0 || h.throttled() {
		o.watched[h.name] = h
		return
	}
	delete(o.watched, h.name)
}

// ExpectedHarm returns the expected harm of placing work of a class on a host beside
// residents: the sum of the excess slowdowns that the work is expected to cause and to
// suffer, with those of critical work multiplied by CriticalWeight. It is infinite if
// critical work would be slowed down too much.
func (o *Observer) ExpectedHarm(now time.Time, host, class string, residents []string) float64 {
	m := o.model
	number := m.numbers[class]
	weight := m.harmWeight(number)
	prior := m.prior(now, number)
	sum := weight * m.hostExcess(now, host)
	for _, resident := range residents {
		other := m.numbers[resident]
		caused := m.valueAt(now, m.pairs[pair{victim: other, aggressor: number}], prior)
		if c := m.criticalByNumber[other]; c != nil && o.excessive(now, c, other, caused, residents) {
			return math.Inf(1)
		}
		sum += m.harmWeight(other) * caused
		sum += weight * m.excess(now, pair{victim: number, aggressor: other})
	}
	return sum
}

// excessive reports whether work that is expected to cause the given excess slowdown
// to a victim must not be placed beside it: while the victim's class as a whole is
// slow, or if the victim is already slowed by its neighbors and would be slowed beyond
// MaxHarm. A caused slowdown below MinCausedSlowdown is never excessive.
func (o *Observer) excessive(now time.Time, c *classSpeed, victim uint32, caused float64, residents []string) bool {
	if caused < o.config.MinCausedSlowdown {
		return false
	}
	if c.slowdown() >= o.config.ClassLimit {
		return true
	}
	sum := 0.0
	for _, resident := range residents {
		sum += o.model.excess(now, pair{victim: victim, aggressor: o.model.numbers[resident]})
	}
	return sum >= o.config.MinCausedSlowdown && 1+sum+caused > o.config.MaxHarm
}

// Admit reports whether one more task of a class may start. The number of running
// tasks of a class is limited until critical work beside them was measured, and each
// report raises the limit.
func (o *Observer) Admit(class string) bool {
	c := o.probes[class]
	return c == nil || c.running < o.config.Probes+o.config.ProbeGrowth*c.reports
}

// Slowdown returns the expected slowdown, as a ratio of at least 1, of work of class
// victim beside work of class aggressor.
func (o *Observer) Slowdown(now time.Time, victim, aggressor string) float64 {
	return 1 + o.model.excess(now, o.model.pairOf(victim, aggressor))
}

// HostSlowdown returns the slowdown, as a ratio of at least 1, that a host is expected
// to cause by itself.
func (o *Observer) HostSlowdown(now time.Time, host string) float64 {
	return 1 + o.model.hostExcess(now, host)
}

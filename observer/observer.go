// Package observer learns how much work slows down its neighbors and decides
// what to do about it.
//
// Slowdowns are learned for each pair of classes from measurements that arrive
// late, and decay. The placer asks for a penalty. Where latency-critical work
// suffers, the batch work to blame is throttled first, then checkpointed and
// evicted, with hysteresis and a cap on each. An Observer does no I/O and takes
// the time as an argument. It is not safe for concurrent use.
package observer

import (
	"math"
	"time"

	"apricotwinch"
)

// Observer learns interference and reacts to it.
type Observer struct {
	config   Config
	model    *model
	hosts    map[string]*host
	troubled map[string]*host
	batch    map[string]*probe
	names    map[string]string
	budget   budget
}

// New returns an observer that has learned nothing.
func New(config Config) *Observer {
	return &Observer{
		config:   config,
		model:    newModel(config),
		hosts:    map[string]*host{},
		troubled: map[string]*host{},
		batch:    map[string]*probe{},
		names:    map[string]string{},
		budget:   budget{share: config.EvictionShare, burst: config.EvictionBurst, left: config.EvictionBurst},
	}
}

// Started takes work that runs on a host from now on.
func (o *Observer) Started(now time.Time, name string, r Resident) {
	h := o.hosts[name]
	if h == nil {
		h = &host{name: name, slowdown: map[apricotwinch.AttemptID]measure{}, patience: o.config.LowReports}
		o.hosts[name] = h
	}
	if h.find(r.id) != nil {
		return
	}
	h.prune(now.Add(-o.config.History))
	r.class = o.intern(r.class)
	h.stays = append(h.stays, &stay{Resident: r, since: now})
	if r.urgency == apricotwinch.Batch {
		o.budget.earn()
		o.probe(r.class).running++
		return
	}
	o.model.setCritical(r.class)
}

// intern returns one copy of the name of a class, which all residents share.
func (o *Observer) intern(class string) string {
	if name, ok := o.names[class]; ok {
		return name
	}
	if len(o.names) >= o.config.MaxPairs {
		o.names = map[string]string{}
	}
	o.names[class] = class
	return class
}

// Ended takes work that no longer runs on a host.
func (o *Observer) Ended(now time.Time, name string, id apricotwinch.AttemptID) {
	h := o.hosts[name]
	if h == nil {
		return
	}
	h.erase(id)
	if s := h.find(id); s != nil {
		o.leave(s)
		s.until = now
		if s.throttled {
			s.restore(now)
			h.patience, h.restored = o.config.LowReports, false
		}
	}
	h.prune(now.Add(-o.config.History))
}

// Left takes a host that is gone with its work.
func (o *Observer) Left(name string) {
	if h := o.hosts[name]; h != nil {
		for _, s := range h.stays {
			h.erase(s.id)
			o.leave(s)
		}
	}
	delete(o.hosts, name)
	delete(o.troubled, name)
	delete(o.model.hosts, name)
}

// Classes returns the classes of the work on a host, one for each resident.
func (o *Observer) Classes(name string) []string {
	h := o.hosts[name]
	if h == nil {
		return nil
	}
	classes := make([]string, 0, len(h.stays))
	for _, s := range h.stays {
		if s.until.IsZero() {
			classes = append(classes, s.class)
		}
	}
	return classes
}

// Report takes a measurement. One of work that is not on the host, or of a time
// before it came, is ignored.
func (o *Observer) Report(now time.Time, r Report) {
	h := o.hosts[r.host]
	if h == nil {
		return
	}
	victim := h.find(r.id)
	if victim == nil || !victim.present(r.sampledAt) {
		return
	}
	neighbors := h.neighbors(victim, r.sampledAt)
	if victim.urgency != apricotwinch.Batch {
		o.countReport(neighbors)
	}
	if h.undisturbed(r.sampledAt, o.config.Settle) && !r.sampledAt.Before(h.steppedAt.Add(o.config.Settle)) {
		o.model.learn(now, h.name, victim.class, neighbors, max(0, r.slowdown-1))
	}
	if victim.urgency != apricotwinch.Batch {
		o.judge(h, victim, r)
	}
}

// neighbors returns the classes beside a resident at a time.
func (h *host) neighbors(victim *stay, at time.Time) []string {
	var classes []string
	for _, s := range h.stays {
		if s != victim && s.present(at) {
			classes = append(classes, s.class)
		}
	}
	return classes
}

// judge counts reports in a row of harm and of recovery.
func (o *Observer) judge(h *host, victim *stay, r Report) {
	h.record(r.id, o.model.critical[victim.class], r.slowdown)
	if r.sampledAt.Before(h.steppedAt.Add(o.config.Settle)) {
		return
	}
	switch {
	case h.harmed(o.config, 0):
		h.high++
		h.low = 0
	case h.recovered(o.config):
		h.low++
		h.high = 0
	default:
		h.high, h.low = 0, 0
	}
	if h.high > 0 || h.throttled() {
		o.troubled[h.name] = h
		return
	}
	delete(o.troubled, h.name)
}

// Penalty returns the expected harm of putting work of a class on a host, beside
// residents: the slowdowns above 1 that it causes and suffers, those of critical
// work multiplied by its weight. It is infinite where the harm to critical work
// would be too great.
func (o *Observer) Penalty(now time.Time, host, class string, residents []string) float64 {
	m := o.model
	number := m.numbers[class]
	weight := m.weigh(number)
	prior := m.prior(now, number)
	sum := weight * m.hostExcess(now, host)
	for _, resident := range residents {
		other := m.numbers[resident]
		caused := m.fade(now, m.pairs[pair{victim: other, aggressor: number}], prior)
		if c := m.byNumber[other]; c != nil && o.excessive(now, c, other, caused, residents) {
			return math.Inf(1)
		}
		sum += m.weigh(other) * caused
		sum += weight * m.excess(now, pair{victim: number, aggressor: other})
	}
	return sum
}

// excessive reports whether work that harms a victim by so much is kept away from
// it: while the victim's class is slow as a whole, and where the victim, harmed
// by its neighbors already, would be slowed beyond MaxHarm.
func (o *Observer) excessive(now time.Time, c *class, victim uint32, more float64, residents []string) bool {
	if more < o.config.MinBlame {
		return false
	}
	if c.slowdown() >= o.config.ClassLimit {
		return true
	}
	sum := 0.0
	for _, resident := range residents {
		sum += o.model.excess(now, pair{victim: victim, aggressor: o.model.numbers[resident]})
	}
	return sum >= o.config.MinBlame && 1+sum+more > o.config.MaxHarm
}

// Admit reports whether one more task of a class may start: work that was hardly
// measured beside critical work starts slowly, and faster with each report.
func (o *Observer) Admit(class string) bool {
	c := o.batch[class]
	return c == nil || c.running < o.config.Probes+o.config.ProbeGrowth*c.reports
}

// Slowdown returns the expected slowdown, a ratio from 1, of work of class victim
// beside work of class aggressor.
func (o *Observer) Slowdown(now time.Time, victim, aggressor string) float64 {
	return 1 + o.model.excess(now, o.model.pairOf(victim, aggressor))
}

// HostSlowdown returns the slowdown, a ratio from 1, that a host is expected to
// cause by itself.
func (o *Observer) HostSlowdown(now time.Time, host string) float64 {
	return 1 + o.model.hostExcess(now, host)
}

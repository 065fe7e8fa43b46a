package observer

import (
	"math"
	"time"
)

// pair is work that is harmed and work that harms it.
type pair struct {
	victim    string
	aggressor string
}

// belief is the expected slowdown above 1, with the decayed number of reports
// that it rests on.
type belief struct {
	excess  float64
	reports float64
	at      time.Time
}

// decay returns what is left of a belief as of a time, from 0 to 1.
func (b *belief) decay(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, now.Sub(b.at))) / float64(halfLife))
}

// model holds what was learned of pairs, of aggressors against anyone as the
// prior of pairs that were never measured, and of hosts that are slow themselves.
type model struct {
	config     Config
	pairs      map[pair]*belief
	aggressors map[string]*belief
	hosts      map[string]*belief
	order      []pair
}

func newModel(config Config) *model {
	return &model{
		config:     config,
		pairs:      map[pair]*belief{},
		aggressors: map[string]*belief{},
		hosts:      map[string]*belief{},
	}
}

// fade returns a belief as of a time; without reports it returns to the prior.
func (m *model) fade(now time.Time, b *belief, prior float64) float64 {
	if b == nil {
		return prior
	}
	return prior + (b.excess-prior)*b.decay(now, m.config.HalfLife)
}

// excess returns the expected slowdown above 1 that aggressor causes to victim.
func (m *model) excess(now time.Time, p pair) float64 {
	prior := m.fade(now, m.aggressors[p.aggressor], m.config.Prior)
	return m.fade(now, m.pairs[p], prior)
}

// hostExcess returns the slowdown above 1 that a host causes by itself.
func (m *model) hostExcess(now time.Time, host string) float64 {
	return m.fade(now, m.hosts[host], 0)
}

// doubt returns how uncertain a belief is, above 0 to 1.
func (m *model) doubt(now time.Time, b *belief) float64 {
	if b == nil {
		return 1
	}
	return m.config.PriorReports / (m.config.PriorReports + b.reports*b.decay(now, m.config.HalfLife))
}

// hostDoubt returns how uncertain it is that a host is no slower by itself.
func (m *model) hostDoubt(now time.Time, host string) float64 {
	return m.config.HostDoubt * m.doubt(now, m.hosts[host])
}

// learn corrects the beliefs about a host, a victim on it and its neighbors by a
// slowdown. The difference from what was expected goes mostly to the least
// certain beliefs.
func (m *model) learn(now time.Time, host, victim string, aggressors []string, excess float64) {
	expected, doubt := m.hostExcess(now, host), m.hostDoubt(now, host)
	for _, aggressor := range aggressors {
		p := pair{victim: victim, aggressor: aggressor}
		expected += m.excess(now, p)
		doubt += m.doubt(now, m.pairs[p])
	}
	surprise := m.config.Rate * (excess - expected) / doubt
	seen := 1 / float64(len(aggressors)+1)
	m.learnHost(now, host, surprise, seen)
	for _, aggressor := range aggressors {
		p := pair{victim: victim, aggressor: aggressor}
		estimate := max(0, m.excess(now, p)+surprise*m.doubt(now, m.pairs[p]))
		m.set(now, m.pair(p), estimate, seen)
		m.average(now, m.aggressor(aggressor), estimate, seen)
	}
}

func (m *model) learnHost(now time.Time, host string, surprise, seen float64) {
	b := m.hosts[host]
	estimate := max(0, m.hostExcess(now, host)+surprise*m.hostDoubt(now, host))
	if b == nil {
		b = &belief{}
		m.hosts[host] = b
	}
	m.set(now, b, estimate, seen)
}

// set replaces a belief by an estimate that counts for part of a report.
func (m *model) set(now time.Time, b *belief, estimate, seen float64) {
	b.reports = b.reports*b.decay(now, m.config.HalfLife) + seen
	b.excess = estimate
	b.at = now
}

// average moves a belief to the mean of the estimates.
func (m *model) average(now time.Time, b *belief, estimate, seen float64) {
	reports := m.config.PriorReports + b.reports*b.decay(now, m.config.HalfLife)
	mean := m.fade(now, b, m.config.Prior)
	m.set(now, b, mean+(estimate-mean)*seen/(reports+seen), seen)
}

func (m *model) pair(p pair) *belief {
	b := m.pairs[p]
	if b == nil {
		b = &belief{}
		m.pairs[p] = b
		m.order = append(m.order, p)
		m.bound()
	}
	return b
}

func (m *model) aggressor(class string) *belief {
	b := m.aggressors[class]
	if b == nil {
		b = &belief{}
		m.aggressors[class] = b
	}
	return b
}

// bound forgets the oldest pair when there are too many, and with the last of
// an aggressor what was learned of it against anyone.
func (m *model) bound() {
	if len(m.order) <= m.config.MaxPairs {
		return
	}
	oldest := m.order[0]
	m.order = m.order[1:]
	delete(m.pairs, oldest)
	if len(m.aggressors) > m.config.MaxPairs {
		delete(m.aggressors, oldest.aggressor)
	}
}

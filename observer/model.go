package observer

import (
	"math"
	"slices"
	"time"
)

// unmeasuredClass is the number shared by all classes that were never measured.
const unmeasuredClass = 0

const (
	// decaySteps is the number of steps per half-life in which estimates decay.
	decaySteps = 128
	// decayHalfLives is the number of half-lives after which an estimate has no weight.
	decayHalfLives = 16
)

// decayTable holds the remaining weight of an estimate by its age in steps.
var decayTable = tabulateDecay()

func tabulateDecay() []float64 {
	table := make([]float64, decaySteps*decayHalfLives)
	for i := range table {
		table[i] = math.Exp2(-float64(i) / decaySteps)
	}
	return table
}

// pair identifies the class of slowed work (the victim) and that of the work that
// slows it (the aggressor) by their numbers.
type pair struct {
	victim    uint32
	aggressor uint32
}

// estimate is an expected excess slowdown above 1, with the decayed number of reports
// that it is based on.
type estimate struct {
	excess  float64
	reports float64
	at      time.Time
}

// remaining returns the remaining weight of an estimate at now, from 0 to 1.
func (e *estimate) remaining(now time.Time, halfLife time.Duration) float64 {
	step := int(now.Sub(e.at) * decaySteps / halfLife)
	if step >= len(decayTable) {
		return 0
	}
	return decayTable[max(0, step)]
}

// model holds the estimates of pairs of classes, of aggressors beside any class, and
// of hosts that are slow by themselves. The estimate of an aggressor is the prior of
// its pairs that were never measured.
type model struct {
	config           Config
	numbers          map[string]uint32 // Number of each class.
	pairs            map[pair]*estimate
	aggressors       []*estimate            // By number of the class; nil if not measured.
	critical         map[string]*classSpeed // Classes of critical work.
	criticalByNumber []*classSpeed          // Nil for classes of batch work.
	hosts            map[string]*estimate
	pairOrder        []pair // Pairs, oldest first.
}

func newModel(config Config) *model {
	m := &model{config: config, critical: map[string]*classSpeed{}, hosts: map[string]*estimate{}}
	m.reset()
	return m
}

// reset forgets all classes and pairs.
func (m *model) reset() {
	m.numbers = map[string]uint32{}
	m.pairs = map[pair]*estimate{}
	m.aggressors = []*estimate{nil}
	m.criticalByNumber = []*classSpeed{nil}
	m.pairOrder = nil
}

// number returns the number of a class and assigns one to a new class. It resets the
// model when there are too many classes, because the number of class names is
// unbounded and they would exhaust the memory.
func (m *model) number(class string) uint32 {
	if n := m.numbers[class]; n != unmeasuredClass {
		return n
	}
	if len(m.numbers) >= m.config.MaxPairs {
		m.reset()
	}
	n := uint32(len(m.aggressors))
	m.numbers[class] = n
	m.aggressors = append(m.aggressors, nil)
	m.criticalByNumber = append(m.criticalByNumber, m.critical[class])
	return n
}

// setCritical marks a class as critical work.
func (m *model) setCritical(name string) {
	if m.critical[name] != nil {
		return
	}
	c := &classSpeed{}
	m.critical[name] = c
	m.criticalByNumber[m.number(name)] = c
}

// harmWeight returns the weight of slowing down a class.
func (m *model) harmWeight(number uint32) float64 {
	if m.criticalByNumber[number] != nil {
		return m.config.CriticalWeight
	}
	return 1
}

// pairOf returns the pair of two classes. A class that was never measured has the
// number unmeasuredClass.
func (m *model) pairOf(victim, aggressor string) pair {
	return pair{victim: m.numbers[victim], aggressor: m.numbers[aggressor]}
}

// valueAt returns the value of an estimate at now. Without new reports it decays to
// the prior.
func (m *model) valueAt(now time.Time, e *estimate, prior float64) float64 {
	if e == nil {
		return prior
	}
	return prior + (e.excess-prior)*e.remaining(now, m.config.HalfLife)
}

// excess returns the expected excess slowdown that the aggressor of a pair causes to
// its victim.
func (m *model) excess(now time.Time, p pair) float64 {
	return m.valueAt(now, m.pairs[p], m.prior(now, p.aggressor))
}

// prior returns the excess slowdown that an aggressor is expected to cause to a class
// that was not measured beside it.
func (m *model) prior(now time.Time, aggressor uint32) float64 {
	return m.valueAt(now, m.aggressors[aggressor], m.config.Prior)
}

// hostExcess returns the excess slowdown that a host is expected to cause by itself.
func (m *model) hostExcess(now time.Time, host string) float64 {
	return m.valueAt(now, m.hosts[host], 0)
}

// uncertainty returns the uncertainty of an estimate: 1 without reports, and closer to
// 0 the more reports it is based on.
func (m *model) uncertainty(now time.Time, e *estimate) float64 {
	if e == nil {
		return 1
	}
	return m.config.PriorReports / (m.config.PriorReports + e.reports*e.remaining(now, m.config.HalfLife))
}

// hostUncertainty returns the uncertainty of the excess slowdown of a host.
func (m *model) hostUncertainty(now time.Time, host string) float64 {
	return m.config.HostUncertainty * m.uncertainty(now, m.hosts[host])
}

// neighborGroup is a class beside a victim and the number of its tasks there.
type neighborGroup struct {
	pair  pair
	tasks float64
}

// groupNeighbors groups the neighbors of a victim by class, in order of appearance.
func (m *model) groupNeighbors(victim string, neighbors []string) []neighborGroup {
	groups := make([]neighborGroup, 0, len(neighbors))
	for _, neighbor := range neighbors {
		p := pair{victim: m.number(victim), aggressor: m.number(neighbor)}
		at := slices.IndexFunc(groups, func(g neighborGroup) bool { return g.pair == p })
		if at < 0 {
			groups = append(groups, neighborGroup{pair: p, tasks: 1})
			continue
		}
		groups[at].tasks++
	}
	return groups
}

// learn corrects the estimates of a host and of the pairs of a victim and its
// neighbors by a measured excess slowdown. The difference from the expected one is
// distributed in proportion to the uncertainty of each estimate and, for a class, to
// the number of its tasks.
func (m *model) learn(now time.Time, host, victim string, neighbors []string, excess float64) {
	groups := m.groupNeighbors(victim, neighbors)
	expected, uncertainty := m.hostExcess(now, host), m.hostUncertainty(now, host)
	for _, g := range groups {
		expected += g.tasks * m.excess(now, g.pair)
		uncertainty += g.tasks * g.tasks * m.uncertainty(now, m.pairs[g.pair])
	}
	correction := m.config.Rate * (excess - expected) / uncertainty
	reports := 1 / float64(len(groups)+1)
	m.learnHost(now, host, correction, reports)
	for _, g := range groups {
		share := g.tasks * m.uncertainty(now, m.pairs[g.pair])
		updated := max(0, m.excess(now, g.pair)+correction*share)
		m.set(now, m.pairEstimate(g.pair), updated, reports)
		m.average(now, m.aggressorEstimate(g.pair.aggressor), updated, reports)
	}
}

// learnHost corrects the estimate of a host.
func (m *model) learnHost(now time.Time, host string, correction, reports float64) {
	e := m.hosts[host]
	updated := max(0, m.hostExcess(now, host)+correction*m.hostUncertainty(now, host))
	if e == nil {
		e = &estimate{}
		m.hosts[host] = e
	}
	m.set(now, e, updated, reports)
}

// set replaces the value of an estimate and adds a fraction of a report to its decayed
// reports.
func (m *model) set(now time.Time, e *estimate, excess, added float64) {
	e.reports = e.reports*e.remaining(now, m.config.HalfLife) + added
	e.excess = excess
	e.at = now
}

// average updates an estimate to the weighted mean of its value and excess.
func (m *model) average(now time.Time, e *estimate, excess, added float64) {
	reports := m.config.PriorReports + e.reports*e.remaining(now, m.config.HalfLife)
	mean := m.valueAt(now, e, m.config.Prior)
	m.set(now, e, mean+(excess-mean)*added/(reports+added), added)
}

// pairEstimate returns the estimate of a pair and adds one for a new pair.
func (m *model) pairEstimate(p pair) *estimate {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{}
		m.pairs[p] = e
		m.pairOrder = append(m.pairOrder, p)
		m.dropOldestPair()
	}
	return e
}

// aggressorEstimate returns the estimate of an aggressor beside any class and adds one
// for a new aggressor.
func (m *model) aggressorEstimate(number uint32) *estimate {
	e := m.aggressors[number]
	if e == nil {
		e = &estimate{}
		m.aggressors[number] = e
	}
	return e
}

// dropOldestPair forgets the oldest pair if there are too many.
func (m *model) dropOldestPair() {
	if len(m.pairOrder) <= m.config.MaxPairs {
		return
	}
	delete(m.pairs, m.pairOrder[0])
	m.pairOrder = m.pairOrder[1:]
}

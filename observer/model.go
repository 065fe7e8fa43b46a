package observer

import (
	"math"
	"slices"
	"time"
)

// unknown is the number of every class that was never measured.
const unknown = 0

const (
	// decaySteps is the number of steps of a half-life in which beliefs decay.
	decaySteps = 128
	// decayHalfLives is the number of half-lives after which nothing is left.
	decayHalfLives = 16
)

// decayTable holds what is left of a belief by its age in steps.
var decayTable = tabulateDecay()

func tabulateDecay() []float64 {
	table := make([]float64, decaySteps*decayHalfLives)
	for i := range table {
		table[i] = math.Exp2(-float64(i) / decaySteps)
	}
	return table
}

// pair is work that is harmed and work that harms it, by the numbers of their
// classes.
type pair struct {
	victim    uint32
	aggressor uint32
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
	step := int(now.Sub(b.at) * decaySteps / halfLife)
	if step >= len(decayTable) {
		return 0
	}
	return decayTable[max(0, step)]
}

// model holds what was learned of pairs, of aggressors against anyone as the
// prior of pairs that were never measured, and of hosts that are slow themselves.
type model struct {
	config     Config
	numbers    map[string]uint32
	pairs      map[pair]*belief
	aggressors []*belief
	critical   map[string]*class
	byNumber   []*class
	hosts      map[string]*belief
	order      []pair
}

func newModel(config Config) *model {
	m := &model{config: config, critical: map[string]*class{}, hosts: map[string]*belief{}}
	m.reset()
	return m
}

// reset forgets all classes and pairs.
func (m *model) reset() {
	m.numbers = map[string]uint32{}
	m.pairs = map[pair]*belief{}
	m.aggressors = []*belief{nil}
	m.byNumber = []*class{nil}
	m.order = nil
}

// number returns the number of a class, a new one for one never measured. Names
// without bound would fill the memory, so that too many of them reset the model.
func (m *model) number(class string) uint32 {
	if n := m.numbers[class]; n != unknown {
		return n
	}
	if len(m.numbers) >= m.config.MaxPairs {
		m.reset()
	}
	n := uint32(len(m.aggressors))
	m.numbers[class] = n
	m.aggressors = append(m.aggressors, nil)
	m.byNumber = append(m.byNumber, m.critical[class])
	return n
}

// setCritical notes that a class is critical work.
func (m *model) setCritical(name string) {
	if m.critical[name] != nil {
		return
	}
	c := &class{}
	m.critical[name] = c
	m.byNumber[m.number(name)] = c
}

// weigh returns what harm to a class weighs.
func (m *model) weigh(number uint32) float64 {
	if m.byNumber[number] != nil {
		return m.config.CriticalWeight
	}
	return 1
}

// pairOf returns the pair of two classes as far as they were measured.
func (m *model) pairOf(victim, aggressor string) pair {
	return pair{victim: m.numbers[victim], aggressor: m.numbers[aggressor]}
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
	return m.fade(now, m.pairs[p], m.prior(now, p.aggressor))
}

// prior returns the slowdown above 1 expected of an aggressor against a class
// that was not measured beside it.
func (m *model) prior(now time.Time, aggressor uint32) float64 {
	return m.fade(now, m.aggressors[aggressor], m.config.Prior)
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

// cause is a class beside a victim, with the number of its tasks there.
type cause struct {
	pair  pair
	tasks float64
}

// causes groups the neighbors of a victim by class, in order.
func (m *model) causes(victim string, neighbors []string) []cause {
	causes := make([]cause, 0, len(neighbors))
	for _, neighbor := range neighbors {
		p := pair{victim: m.number(victim), aggressor: m.number(neighbor)}
		at := slices.IndexFunc(causes, func(c cause) bool { return c.pair == p })
		if at < 0 {
			causes = append(causes, cause{pair: p, tasks: 1})
			continue
		}
		causes[at].tasks++
	}
	return causes
}

// learn corrects the beliefs about a host, a victim on it and its neighbors by a
// slowdown. The difference from what was expected goes mostly to the least
// certain beliefs, and to classes by the number of their tasks.
func (m *model) learn(now time.Time, host, victim string, neighbors []string, excess float64) {
	causes := m.causes(victim, neighbors)
	expected, doubt := m.hostExcess(now, host), m.hostDoubt(now, host)
	for _, c := range causes {
		expected += c.tasks * m.excess(now, c.pair)
		doubt += c.tasks * c.tasks * m.doubt(now, m.pairs[c.pair])
	}
	surprise := m.config.Rate * (excess - expected) / doubt
	seen := 1 / float64(len(causes)+1)
	m.learnHost(now, host, surprise, seen)
	for _, c := range causes {
		share := c.tasks * m.doubt(now, m.pairs[c.pair])
		estimate := max(0, m.excess(now, c.pair)+surprise*share)
		m.set(now, m.pair(c.pair), estimate, seen)
		m.average(now, m.aggressor(c.pair.aggressor), estimate, seen)
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

func (m *model) aggressor(number uint32) *belief {
	b := m.aggressors[number]
	if b == nil {
		b = &belief{}
		m.aggressors[number] = b
	}
	return b
}

// bound forgets the oldest pair when there are too many.
func (m *model) bound() {
	if len(m.order) <= m.config.MaxPairs {
		return
	}
	delete(m.pairs, m.order[0])
	m.order = m.order[1:]
}

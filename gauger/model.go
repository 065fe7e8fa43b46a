// Package gauger measures policies for requests against naive ones.
//
// A model of entries and hosts with slots and queues runs in virtual time: an
// open loop of arrivals meets the decision packages or a naive policy. The same
// seed gives the same arrivals and sizes to each policy, and the same report.
package gauger

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"apricotwinch"
)

// event is something that happens at a time of the model.
type event struct {
	at     time.Duration // since the start
	number int
	run    func()
}

// events is a heap of events by time, then number.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by number.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].number < e[j].number
	}
	return e[i].at < e[j].at
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event at the end; for package heap only.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; for package heap only.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// model is one run of a scenario.
type model struct {
	scenario Scenario
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   events
	numbered int
	hosts    map[string]*host
	ordered  []*host
	entries  []policy
	less     int // less urgent requests in flight
	report   *Report
}

// Run plays a scenario with a policy and returns what was measured.
func Run(scenario Scenario, name Policy, seed uint64) Report {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := &model{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(seed, 0)),
		start:    start,
		now:      start,
		hosts:    map[string]*host{},
		report:   newReport(scenario, name),
	}
	for number := range hostCount {
		h := newHost(m, number)
		m.hosts[h.name] = h
		m.ordered = append(m.ordered, h)
	}
	for number, dataCentre := range entryDataCentres {
		m.entries = append(m.entries, policies[name](dataCentre, seed+uint64(number)))
	}
	m.schedule()
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = m.start.Add(next.at)
		next.run()
	}
	return *m.report
}

// after has run called when a time has passed.
func (m *model) after(d time.Duration, run func()) {
	m.numbered++
	heap.Push(&m.events, event{at: m.now.Add(d).Sub(m.start), number: m.numbered, run: run})
}

// schedule enters the heartbeats, ticks, faults and the first arrival.
func (m *model) schedule() {
	for number, h := range m.ordered {
		m.heartbeat(h)
		m.after(heartbeat*time.Duration(number)/hostCount, func() { m.beat(h) })
	}
	m.tick()
	m.scheduleFault()
	m.after(0, m.arrive)
}

// over reports whether no further work begins.
func (m *model) over() bool { return m.now.Sub(m.start) >= length }

// heartbeat announces a host to its home entry, which passes it on in a digest.
func (m *model) heartbeat(h *host) {
	if h.dark {
		return
	}
	announce := h.announce()
	for number, entry := range m.entries {
		age := digestAge
		if number == h.number%len(m.entries) {
			age = 0
		}
		m.after(age, func() { entry.observe(m.now, announce, age) })
	}
}

// beat sends a heartbeat each period.
func (m *model) beat(h *host) {
	m.heartbeat(h)
	if !m.over() {
		m.after(heartbeat, func() { m.beat(h) })
	}
}

// tick calls the entries each tickPeriod.
func (m *model) tick() {
	for _, entry := range m.entries {
		entry.tick(m.now)
	}
	if !m.over() {
		m.after(tickPeriod, m.tick)
	}
}

// faults bring the faults of a scenario about.
var faults = map[fault]func(m *model){
	slowHost:      func(m *model) { m.after(faultAt, func() { m.ordered[0].slowness = 10 }) },
	failingHost:   func(m *model) { m.after(faultAt, func() { m.ordered[0].failing = true }) },
	hungHost:      (*model).hang,
	noisyHosts:    (*model).disturb,
	dataCentreOut: (*model).takeOut,
}

func (m *model) scheduleFault() {
	if bring, ok := faults[m.scenario.fault]; ok {
		bring(m)
	}
}

// hang has one host take requests and never answer, until it is restarted.
func (m *model) hang() {
	const never = 1e6
	h := m.ordered[0]
	m.after(faultAt, func() { h.slowness = never })
	m.after(faultEnds, func() {
		h.slowness = 1
		h.goDark()
		h.comeBack()
	})
}

// disturb has three hosts in different data centres run four times slower for a
// time.
func (m *model) disturb() {
	const noisy, slowness = 3, 4
	for _, h := range m.ordered[:noisy] {
		m.after(faultAt, func() { h.slowness = slowness })
		m.after(faultEnds, func() { h.slowness = 1 })
	}
}

// takeOut has operators take a data centre out, its hosts go dark a few seconds
// later, and both come back.
func (m *model) takeOut() {
	const dark = 3 * time.Second
	gone := dataCentres[0]
	each := func(do func(h *host)) func() {
		return func() {
			for _, h := range m.ordered {
				if h.dataCentre == gone {
					do(h)
				}
			}
		}
	}
	tell := func(out bool) func() {
		return func() {
			for _, entry := range m.entries {
				entry.setOut(m.now, gone, out)
			}
		}
	}
	m.after(faultAt+viewDelay, tell(true))
	m.after(faultAt+dark, each((*host).goDark))
	m.after(faultEnds, each((*host).comeBack))
	m.after(faultEnds+viewDelay, tell(false))
}

// request is one request of a caller.
type request struct {
	entry      int
	urgency    apricotwinch.Urgency
	idempotent bool
	service    time.Duration
	arrived    time.Time
	deadline   time.Time
	tried      []string
	current    *attempt
	runs       int
	release    func()
	ended      bool
}

// arrive brings one request and schedules the next.
func (m *model) arrive() {
	if m.over() {
		return
	}
	gap := m.random.ExpFloat64() / (m.scenario.load * capacity)
	m.after(time.Duration(gap*float64(time.Second)), m.arrive)
	r := &request{
		entry:      m.entry(),
		urgency:    m.scenario.mix.urgency(m.random.IntN(10)),
		idempotent: m.random.IntN(10) > 0,
		service:    m.serviceTime(),
		arrived:    m.now,
		deadline:   m.now.Add(deadline),
	}
	m.begin(r)
}

// entry returns the entry that the next request comes to.
func (m *model) entry() int {
	if m.random.Float64() < m.scenario.skew {
		return 0
	}
	return m.random.IntN(len(m.entries))
}

// urgency returns the urgency of a number between 0 and 9.
func (x mix) urgency(number int) apricotwinch.Urgency {
	if number < x.critical {
		return apricotwinch.Critical
	}
	if number < x.critical+x.standard {
		return apricotwinch.Standard
	}
	return apricotwinch.Batch
}

// serviceTime returns a log-normal time with the mean meanService.
func (m *model) serviceTime() time.Duration {
	const sigma = 0.5
	return time.Duration(float64(meanService) * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2))
}

// begin admits a request and sends its first try.
func (m *model) begin(r *request) {
	m.report.offer(m, r)
	r.release = m.entries[r.entry].admit(m.now, r.urgency)
	if r.release == nil {
		m.report.refuse(m, r)
		return
	}
	if r.urgency != apricotwinch.Critical {
		m.less++
	}
	m.after(deadline, func() { m.expire(r) })
	m.try(r)
}

// try sends a request to a target.
func (m *model) try(r *request) {
	if r.ended {
		return
	}
	handle, name := m.entries[r.entry].choose(m.now, r)
	if name == "" {
		m.end(r)
		m.report.refuse(m, r)
		return
	}
	r.tried = append(r.tried, name)
	r.current = &attempt{request: r, host: m.hosts[name], handle: handle, sent: m.now}
	a := r.current
	m.report.attempt(m, a)
	m.after(networkDelay, func() { a.host.arrive(a) })
}

// reply takes the end of an attempt at its entry.
func (m *model) reply(a *attempt, out outcome) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	m.entries[r.entry].answered(m.now, a, out)
	if r.ended {
		return
	}
	if out.kind == "" {
		m.end(r)
		m.report.answer(m, r)
		return
	}
	at, again := m.entries[r.entry].retry(m.now, a, out.kind)
	if !again {
		m.end(r)
		m.report.fail(m, r)
		return
	}
	m.after(at.Sub(m.now), func() { m.try(r) })
}

// expire ends a request, and the attempt that runs, at its deadline.
func (m *model) expire(r *request) {
	if r.ended {
		return
	}
	if a := r.current; a != nil && !a.ended {
		a.ended = true
		m.entries[r.entry].answered(m.now, a, outcome{kind: apricotwinch.Unknown})
	}
	m.end(r)
	m.report.fail(m, r)
}

func (m *model) end(r *request) {
	r.ended = true
	r.release()
	if r.urgency != apricotwinch.Critical {
		m.less--
	}
}

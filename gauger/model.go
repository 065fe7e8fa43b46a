// Package gauger compares the scheduler's request policies with naive ones in a simulation.
//
// A discrete-event model of entries, and of hosts with slots and queues, runs in virtual
// time. Requests arrive in an open loop and are routed by the decision packages or by a
// naive policy. The same seed gives every policy the same arrivals and service times, and
// always the same report.
package gauger

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"apricotwinch"
)

// event is an action that is due at a time of the model.
type event struct {
	at       time.Duration // since the start of the run
	sequence int           // orders events that are due at the same time
	action   func()
}

// eventQueue is a heap of events ordered by time, then by sequence.
type eventQueue []event

// Len returns the number of events.
func (e eventQueue) Len() int { return len(e) }

// Less orders events by time, then by sequence.
func (e eventQueue) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at < e[j].at
}

// Swap exchanges two events.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. It is for package heap only.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event. It is for package heap only.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// model is the state of one simulated run of a scenario.
type model struct {
	scenario     Scenario
	random       *rand.Rand
	start        time.Time
	now          time.Time
	queue        eventQueue
	lastSequence int
	hosts        map[string]*host
	hostList     []*host // the hosts by number
	entries      []policy
	lessUrgent   int // admitted requests in flight that are not critical
	report       *Report
}

// Run simulates a scenario with a policy and returns the measurements.
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
		m.hostList = append(m.hostList, h)
	}
	for number, dataCentre := range entryDataCentres {
		m.entries = append(m.entries, policyConstructors[name](dataCentre, seed+uint64(number)))
	}
	m.scheduleInitial()
	for len(m.queue) > 0 {
		next := heap.Pop(&m.queue).(event)
		m.now = m.start.Add(next.at)
		next.action()
	}
	return *m.report
}

// afterFunc schedules run to be called after the duration d.
func (m *model) afterFunc(d time.Duration, run func()) {
	m.lastSequence++
	heap.Push(&m.queue, event{at: m.now.Add(d).Sub(m.start), sequence: m.lastSequence, action: run})
}

// scheduleInitial schedules the heartbeats, the ticks, the fault and the first arrival.
func (m *model) scheduleInitial() {
	for number, h := range m.hostList {
		m.sendHeartbeat(h)
		m.afterFunc(heartbeatPeriod*time.Duration(number)/hostCount, func() { m.repeatHeartbeats(h) })
	}
	m.tick()
	m.scheduleFault()
	m.afterFunc(0, m.generateRequest)
}

// ended reports whether the run is past its duration, after which no new work begins.
func (m *model) ended() bool { return m.now.Sub(m.start) >= runDuration }

// sendHeartbeat sends a host's announcement to its home entry. The other entries receive it
// digestAge later, in a digest.
func (m *model) sendHeartbeat(h *host) {
	if h.down {
		return
	}
	announce := h.announce()
	for number, entry := range m.entries {
		age := digestAge
		if number == h.number%len(m.entries) {
			age = 0
		}
		m.afterFunc(age, func() { entry.observe(m.now, announce, age) })
	}
}

// repeatHeartbeats sends a host's heartbeat now and in every heartbeat period.
func (m *model) repeatHeartbeats(h *host) {
	m.sendHeartbeat(h)
	if !m.ended() {
		m.afterFunc(heartbeatPeriod, func() { m.repeatHeartbeats(h) })
	}
}

// tick calls the tick function of every entry now and in every tick period.
func (m *model) tick() {
	for _, entry := range m.entries {
		entry.tick(m.now)
	}
	if !m.ended() {
		m.afterFunc(tickPeriod, m.tick)
	}
}

// faultInjectors holds the function that schedules each fault.
var faultInjectors = map[fault]func(m *model){
	slowHost:      func(m *model) { m.afterFunc(faultStart, func() { m.hostList[0].slowdown = 10 }) },
	failingHost:   func(m *model) { m.afterFunc(faultStart, func() { m.hostList[0].failing = true }) },
	hungHost:      (*model).scheduleHang,
	noisyHosts:    (*model).scheduleNoise,
	dataCentreOut: (*model).scheduleOutage,
}

func (m *model) scheduleFault() {
	if inject, ok := faultInjectors[m.scenario.fault]; ok {
		inject(m)
	}
}

// scheduleHang makes one host accept requests without answering them, until it is
// restarted.
func (m *model) scheduleHang() {
	const hangSlowdown = 1e6
	h := m.hostList[0]
	m.afterFunc(faultStart, func() { h.slowdown = hangSlowdown })
	m.afterFunc(faultEnd, func() {
		h.slowdown = 1
		h.crash()
		h.restart()
	})
}

// scheduleNoise makes three hosts in different data centres four times slower between the
// start and the end of the fault.
func (m *model) scheduleNoise() {
	const noisyCount, slowdown = 3, 4
	for _, h := range m.hostList[:noisyCount] {
		m.afterFunc(faultStart, func() { h.slowdown = slowdown })
		m.afterFunc(faultEnd, func() { h.slowdown = 1 })
	}
}

// scheduleOutage has operators take a data centre out of service; its hosts go down a few
// seconds later. At the end of the fault, the hosts restart and the data centre returns to
// service.
func (m *model) scheduleOutage() {
	const downDelay = 3 * time.Second
	outDataCentre := dataCentres[0]
	forEachHost := func(do func(h *host)) func() {
		return func() {
			for _, h := range m.hostList {
				if h.dataCentre == outDataCentre {
					do(h)
				}
			}
		}
	}
	setOut := func(out bool) func() {
		return func() {
			for _, entry := range m.entries {
				entry.setOut(m.now, outDataCentre, out)
			}
		}
	}
	m.afterFunc(faultStart+settingsDelay, setOut(true))
	m.afterFunc(faultStart+downDelay, forEachHost((*host).crash))
	m.afterFunc(faultEnd, forEachHost((*host).restart))
	m.afterFunc(faultEnd+settingsDelay, setOut(false))
}

// request is one request of a caller.
type request struct {
	entry       int // index of the entry
	urgency     apricotwinch.Urgency
	idempotent  bool
	serviceTime time.Duration
	arrived     time.Time
	deadline    time.Time
	triedHosts  []string
	lastAttempt *attempt
	runs        int    // attempts that started to run at a host
	release     func() // gives the permit back
	ended       bool
}

// generateRequest submits one request and schedules the next.
func (m *model) generateRequest() {
	if m.ended() {
		return
	}
	gap := m.random.ExpFloat64() / (m.scenario.load * capacity)
	m.afterFunc(time.Duration(gap*float64(time.Second)), m.generateRequest)
	r := &request{
		entry:       m.pickEntry(),
		urgency:     m.scenario.mix.urgency(m.random.IntN(10)),
		idempotent:  m.random.IntN(10) > 0,
		serviceTime: m.serviceTime(),
		arrived:     m.now,
		deadline:    m.now.Add(requestTimeout),
	}
	m.submit(r)
}

// pickEntry draws the entry that the next request is sent to.
func (m *model) pickEntry() int {
	if m.random.Float64() < m.scenario.skew {
		return 0
	}
	return m.random.IntN(len(m.entries))
}

// urgency returns the urgency for a number between 0 and 9.
func (x mix) urgency(number int) apricotwinch.Urgency {
	if number < x.critical {
		return apricotwinch.Critical
	}
	if number < x.critical+x.standard {
		return apricotwinch.Standard
	}
	return apricotwinch.Batch
}

// serviceTime draws a log-normally distributed time with the mean meanService.
func (m *model) serviceTime() time.Duration {
	const sigma = 0.5
	return time.Duration(float64(meanService) * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2))
}

// submit asks the request's entry to admit it, and sends its first attempt.
func (m *model) submit(r *request) {
	m.report.recordOffered(m, r)
	r.release = m.entries[r.entry].admit(m.now, r.urgency)
	if r.release == nil {
		m.report.recordRefused(m, r)
		return
	}
	if r.urgency != apricotwinch.Critical {
		m.lessUrgent++
	}
	m.afterFunc(requestTimeout, func() { m.expire(r) })
	m.sendAttempt(r)
}

// sendAttempt sends an attempt of a request to the target that the policy chooses.
func (m *model) sendAttempt(r *request) {
	if r.ended {
		return
	}
	handle, name := m.entries[r.entry].choose(m.now, r)
	if name == "" {
		m.endRequest(r)
		m.report.recordRefused(m, r)
		return
	}
	r.triedHosts = append(r.triedHosts, name)
	r.lastAttempt = &attempt{request: r, host: m.hosts[name], handle: handle, sent: m.now}
	a := r.lastAttempt
	m.report.recordAttempt(m, a)
	m.afterFunc(networkDelay, func() { a.host.receive(a) })
}

// handleReply handles the end of an attempt at the request's entry: the request succeeds,
// fails or is retried.
func (m *model) handleReply(a *attempt, out outcome) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	m.entries[r.entry].attemptEnded(m.now, a, out)
	if r.ended {
		return
	}
	if out.kind == "" {
		m.endRequest(r)
		m.report.recordAnswered(m, r)
		return
	}
	at, again := m.entries[r.entry].retry(m.now, a, out.kind)
	if !again {
		m.endRequest(r)
		m.report.recordFailed(m, r)
		return
	}
	m.afterFunc(at.Sub(m.now), func() { m.sendAttempt(r) })
}

// expire fails a request at its deadline, together with the attempt in flight.
func (m *model) expire(r *request) {
	if r.ended {
		return
	}
	if a := r.lastAttempt; a != nil && !a.ended {
		a.ended = true
		m.entries[r.entry].attemptEnded(m.now, a, outcome{kind: apricotwinch.Unknown})
	}
	m.endRequest(r)
	m.report.recordFailed(m, r)
}

func (m *model) endRequest(r *request) {
	r.ended = true
	r.release()
	if r.urgency != apricotwinch.Critical {
		m.lessUrgent--
	}
}

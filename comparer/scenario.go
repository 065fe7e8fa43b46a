package comparer

import "time"

// incident is something that happens in a scenario.
type incident struct {
	at time.Duration
	do func(*run)
}

// Scenario is a fleet, a load and what goes wrong.
type Scenario struct {
	name         string
	hosts        int
	dataCentres  int
	load         float64
	serviceLoad  float64
	strongPairs  float64
	reportLag    time.Duration
	declaredLow  float64
	declaredHigh float64
	warmUp       time.Duration
	length       time.Duration
	incidents    []incident
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// Lasting returns s with another length, and a fifth of it for the warm-up.
func (s Scenario) Lasting(length time.Duration) Scenario {
	s.length, s.warmUp = length, length/5
	return s
}

// base is a calm fleet; the others differ from it.
func base(name string, load float64) Scenario {
	return Scenario{
		name:         name,
		hosts:        48,
		dataCentres:  3,
		load:         load,
		serviceLoad:  0.5,
		reportLag:    5 * time.Second,
		declaredLow:  1,
		declaredHigh: 1.2,
		warmUp:       time.Minute,
		length:       5 * time.Minute,
	}
}

// noisy is a loaded fleet in which one pair in seven interferes strongly.
func noisy(name string, load float64) Scenario {
	s := base(name, load)
	s.strongPairs = 1.0 / 7
	return s
}

func (s Scenario) with(incidents ...incident) Scenario {
	s.incidents = incidents
	return s
}

// measuredFrom counts what is completed and answered from a time on.
func (s Scenario) measuredFrom(at time.Duration) Scenario {
	s.warmUp = at
	return s
}

func (s Scenario) late(lag time.Duration) Scenario {
	s.reportLag = lag
	return s
}

func (s Scenario) declaring(low, high float64) Scenario {
	s.declaredLow, s.declaredHigh = low, high
	return s
}

// incidentHost is the host of the scenarios in which one is slow or fails.
const incidentHost = 17

// Scenarios returns all scenarios, in the order of the table of measurements.
func Scenarios() []Scenario {
	const begin, end = 2 * time.Minute, 4 * time.Minute
	return []Scenario{
		base("calm, 40% load", 0.4),
		noisy("85% load, noisy neighbors", 0.85).Lasting(10 * time.Minute),
		noisy("120% load, noisy neighbors", 1.2),
		noisy("85%, reports 30 s late", 0.85).late(30 * time.Second),
		noisy("85%, declared 0.3 to 3 times", 0.85).declaring(0.3, 3),
		noisy("85%, a host ten times slower", 0.85).with(
			incident{at: begin, do: func(r *run) { r.setHost(incidentHost, 10, false) }}),
		noisy("85%, a host fails everything", 0.85).with(
			incident{at: 0, do: func(r *run) { r.setHost(incidentHost, 1, true) }}),
		noisy("70%, a data centre out and back", 0.7).measuredFrom(begin).with(
			incident{at: begin, do: func(r *run) { r.setOut("dc-1", true) }},
			incident{at: end, do: func(r *run) { r.setOut("dc-1", false) }}),
		base("40%, wave of 1,000 noisy tasks", 0.4).with(
			incident{at: begin, do: func(r *run) { r.submitJob(r.kinds[batchKinds], 1000) }}),
		noisy("85%, wave of 10,000 cancellations", 0.85).with(cancellations(begin)...),
		restarts(begin),
	}
}

// cancellations submits 10,000 tasks and cancels them a while later.
func cancellations(at time.Duration) []incident {
	const patience = 20 * time.Second
	return []incident{{at: at, do: func(r *run) {
		tasks := r.submitJob(r.kinds[0], 10_000)
		r.after(patience, func() {
			for _, t := range tasks {
				r.policy.cancel(r.now(), t)
			}
		})
	}}}
}

// restarts is a larger fleet of which 500 hosts restart at once.
func restarts(at time.Duration) Scenario {
	const pause = 5 * time.Second
	s := noisy("70%, wave of 500 restarts of 600", 0.7).with(incident{at: at, do: func(r *run) {
		for _, h := range r.hosts[:500] {
			r.restart(h, pause)
		}
	}})
	s.hosts, s.serviceLoad = 600, 0.1
	return s
}

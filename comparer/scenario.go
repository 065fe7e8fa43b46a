package comparer

import "time"

// incident is a change to the simulation at a time since its start.
type incident struct {
	at time.Duration
	do func(*run)
}

// Scenario describes a fleet, its load and its incidents.
type Scenario struct {
	name            string
	hosts           int
	dataCentres     int
	load            float64 // Batch load as a fraction of the capacity.
	serviceLoad     float64 // Request load as a fraction of the slots.
	strongPairShare float64 // Probability that a batch kind slows a service strongly.
	reportLag       time.Duration
	declaredLow     float64 // Lowest ratio of declared to actual size.
	declaredHigh    float64 // Highest ratio of declared to actual size.
	warmUp          time.Duration
	length          time.Duration
	incidents       []incident
}

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// WithLength returns s with another length in virtual time, of which the first fifth is
// the warm-up.
func (s Scenario) WithLength(length time.Duration) Scenario {
	s.length, s.warmUp = length, length/5
	return s
}

// baseScenario returns a scenario without strong interference or incidents; load is the
// batch load as a fraction of the capacity. The other scenarios are variations of it.
func baseScenario(name string, load float64) Scenario {
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

// noisyScenario returns a scenario in which one in seven pairs of a batch kind and a
// service interferes strongly.
func noisyScenario(name string, load float64) Scenario {
	s := baseScenario(name, load)
	s.strongPairShare = 1.0 / 7
	return s
}

func (s Scenario) withIncidents(incidents ...incident) Scenario {
	s.incidents = incidents
	return s
}

// withWarmUp returns s with another warm-up, during which completions and latencies
// aren't counted.
func (s Scenario) withWarmUp(warmUp time.Duration) Scenario {
	s.warmUp = warmUp
	return s
}

// withReportLag returns s with another delay of reports to the policy.
func (s Scenario) withReportLag(lag time.Duration) Scenario {
	s.reportLag = lag
	return s
}

// withDeclaredRange returns s with another range of the ratio of declared to actual size.
func (s Scenario) withDeclaredRange(low, high float64) Scenario {
	s.declaredLow, s.declaredHigh = low, high
	return s
}

// incidentHost is the index of the host that is slow or failing in some scenarios.
const incidentHost = 17

// Scenarios returns all scenarios, in the order in which BenchmarkCompare reports them.
func Scenarios() []Scenario {
	const begin, end = 2 * time.Minute, 4 * time.Minute
	return []Scenario{
		baseScenario("calm, 40% load", 0.4),
		noisyScenario("85% load, noisy neighbors", 0.85).WithLength(10 * time.Minute),
		noisyScenario("120% load, noisy neighbors", 1.2),
		noisyScenario("85%, reports 30 s late", 0.85).withReportLag(30 * time.Second),
		noisyScenario("85%, declared 0.3 to 3 times", 0.85).withDeclaredRange(0.3, 3),
		noisyScenario("85%, a host ten times slower", 0.85).withIncidents(
			incident{at: begin, do: func(r *run) { r.setHost(incidentHost, 10, false) }}),
		noisyScenario("85%, a host fails everything", 0.85).withIncidents(
			incident{at: 0, do: func(r *run) { r.setHost(incidentHost, 1, true) }}),
		noisyScenario("70%, a data centre out and back", 0.7).withWarmUp(begin).withIncidents(
			incident{at: begin, do: func(r *run) { r.setDataCentreOut("dc-1", true) }},
			incident{at: end, do: func(r *run) { r.setDataCentreOut("dc-1", false) }}),
		baseScenario("40%, wave of 1,000 noisy tasks", 0.4).withIncidents(
			incident{at: begin, do: func(r *run) { r.submitJob(r.kinds[batchKinds], 1000) }}),
		noisyScenario("85%, wave of 10,000 cancellations", 0.85).withIncidents(cancellationWave(begin)...),
		restartWave(begin),
	}
}

// cancellationWave returns an incident that submits 10,000 tasks and cancels them
// cancelDelay later.
func cancellationWave(at time.Duration) []incident {
	const cancelDelay = 20 * time.Second
	return []incident{{at: at, do: func(r *run) {
		tasks := r.submitJob(r.kinds[0], 10_000)
		r.after(cancelDelay, func() {
			for _, t := range tasks {
				r.policy.cancel(r.now(), t)
			}
		})
	}}}
}

// restartWave returns a scenario with a larger fleet in which 500 hosts restart at once.
func restartWave(at time.Duration) Scenario {
	const downtime = 5 * time.Second
	s := noisyScenario("70%, wave of 500 restarts of 600", 0.7).withIncidents(incident{at: at, do: func(r *run) {
		for _, h := range r.hosts[:500] {
			r.restart(h, downtime)
		}
	}})
	s.hosts, s.serviceLoad = 600, 0.1
	return s
}

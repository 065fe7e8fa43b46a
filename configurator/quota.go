package configurator

import "apricotwinch"

// Quota limits the resources and requests of one team.
type Quota struct {
	maximum           apricotwinch.Resources
	requestsPerSecond float64
	requestBurst      int
	requestsInFlight  int
	weight            float64
}

type quotaJSON struct {
	Maximum           resourcesJSON `json:"maximum"`
	RequestsPerSecond float64       `json:"requestsPerSecond"`
	RequestBurst      int           `json:"requestBurst"`
	RequestsInFlight  int           `json:"requestsInFlight"`
	Weight            float64       `json:"weight"`
}

type resourcesJSON struct {
	ProcessorMillis int64 `json:"processorMillis"`
	MemoryBytes     int64 `json:"memoryBytes"`
	Accelerators    int64 `json:"accelerators"`
}

func (r resourcesJSON) resources() apricotwinch.Resources {
	return apricotwinch.NewResources(r.ProcessorMillis, r.MemoryBytes, r.Accelerators)
}

func newQuota(_ path, wire quotaJSON) Quota {
	return Quota{
		maximum:           wire.Maximum.resources(),
		requestsPerSecond: wire.RequestsPerSecond,
		requestBurst:      wire.RequestBurst,
		requestsInFlight:  wire.RequestsInFlight,
		weight:            wire.Weight,
	}
}

// Maximum returns the greatest amount of resources that the team's tasks may hold at once.
func (q Quota) Maximum() apricotwinch.Resources { return q.maximum }

// RequestsPerSecond returns the sustained rate of requests that the team may make, per second.
func (q Quota) RequestsPerSecond() float64 { return q.requestsPerSecond }

// RequestBurst returns the number of requests that are admitted at once above the sustained rate.
func (q Quota) RequestBurst() int { return q.requestBurst }

// RequestsInFlight returns the number of requests that may run at once.
func (q Quota) RequestsInFlight() int { return q.requestsInFlight }

// Weight returns the team's share relative to other teams, without a unit.
func (q Quota) Weight() float64 { return q.weight }

package placer

import "time"

// Config holds the bounds and weights of a Placer.
type Config struct {
	// Samples is the number of hosts that one choice compares.
	Samples int
	// DataCentres is the number of data centres that one choice samples from.
	DataCentres int
	// Penalties is the number of these hosts, the cheapest first, whose finite
	// penalties are compared.
	Penalties int
	// VisitBudget bounds the index nodes that one choice visits. A choice that
	// spends it may miss a host with room; the next starts elsewhere.
	VisitBudget int
	// ReservationLife is how long a placement counts against its host when no
	// summary covers it.
	ReservationLife time.Duration
	// RefusalPause is how long a host that refused an attempt is passed over when
	// no newer summary arrives.
	RefusalPause time.Duration
	// HoldLife is how long a host is held for an attempt that doesn't fit yet, and
	// HoldShare bounds the part of the hosts held; one may always be.
	HoldLife  time.Duration
	HoldShare float64
	// Learning is how long after the first host joined no request is reported as
	// unschedulable.
	Learning time.Duration
	// CapacityMemory is how long the capacity of a host that left still counts when
	// a request is judged unschedulable.
	CapacityMemory time.Duration
	// Weights weighs the costs of a candidate.
	Weights Weights
	// Penalty returns the expected harm of putting work of class on host, beside
	// residents, 0 for none; nil means no penalty.
	Penalty func(host, class string, residents []string) float64
}

// Weights weighs the costs of a candidate; the lowest sum wins.
type Weights struct {
	// Host is the cost of each task of the same job on the host.
	Host float64
	// Rack is the cost of each task of the same job in the rack.
	Rack float64
	// DataCentre is the cost of a data centre with more tasks of the same job than
	// another that has room.
	DataCentre float64
	// FailedRack is the cost of a rack in which an attempt failed.
	FailedRack float64
	// FailedDataCentre is the cost of a data centre in which an attempt failed.
	FailedDataCentre float64
	// Load is the cost of a host whose scarcest resource is full; below 0, fuller
	// hosts are preferred, which keeps room for large tasks.
	Load float64
	// Imbalance is the cost of processors full and memory empty, or the reverse.
	Imbalance float64
	// Accelerator is the cost of a host with accelerators for work that needs none.
	Accelerator float64
	// Penalty multiplies the result of Config.Penalty.
	Penalty float64
}

// DefaultConfig returns the bounds and weights for 24,000 hosts.
func DefaultConfig() Config {
	return Config{
		Samples:         12,
		DataCentres:     4,
		Penalties:       6,
		VisitBudget:     4096,
		ReservationLife: 10 * time.Second,
		RefusalPause:    5 * time.Second,
		HoldLife:        5 * time.Minute,
		HoldShare:       0.02,
		Learning:        10 * time.Second,
		CapacityMemory:  10 * time.Minute,
		Weights: Weights{
			Host:             2,
			Rack:             0.5,
			DataCentre:       2,
			FailedRack:       1,
			FailedDataCentre: 0.5,
			Load:             -2,
			Imbalance:        0.25,
			Accelerator:      1,
			Penalty:          1,
		},
	}
}

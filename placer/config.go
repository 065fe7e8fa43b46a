package placer

import "time"

// Config holds the limits and weights of a Placer.
type Config struct {
	// Samples is the number of hosts that one choice compares.
	Samples int
	// DataCentres is the number of data centres that one choice samples from.
	DataCentres int
	// PenaltySamples is the number of sampled hosts with a finite penalty that one choice
	// compares, the cheapest first.
	PenaltySamples int
	// VisitBudget is the maximum number of index nodes that one choice visits. A choice
	// that uses it up may miss a host with room; the next choice starts the search
	// elsewhere.
	VisitBudget int
	// ReservationTimeout is how long a placement counts against its host when no summary
	// covers it.
	ReservationTimeout time.Duration
	// RefusalCooldown is how long a host that refused an attempt is skipped when no newer
	// summary arrives.
	RefusalCooldown time.Duration
	// HoldTimeout is how long a host is held for an attempt that doesn't fit yet.
	// MaxHeldShare is the greatest fraction of the hosts that may be held at once; one host
	// may always be held.
	HoldTimeout  time.Duration
	MaxHeldShare float64
	// DiscoveryPeriod is the time after the first host joined in which no request is
	// reported as unschedulable, because other hosts may still be unknown.
	DiscoveryPeriod time.Duration
	// CapacityRetention is how long the capacity of a host that left still counts when
	// deciding whether a request is unschedulable.
	CapacityRetention time.Duration
	// Weights holds the weights of a candidate's costs.
	Weights Weights
	// Penalty returns the expected interference cost, 0 for none, of placing work of class
	// on host beside residents, the classes that run there. A nil Penalty means no penalty;
	// an infinite one excludes the host.
	Penalty func(host, class string, residents []string) float64
}

// Weights holds the weights of a candidate's costs; the candidate with the lowest sum is
// chosen.
type Weights struct {
	// Host is the cost per task of the same job on the host.
	Host float64
	// Rack is the cost per task of the same job in the rack.
	Rack float64
	// DataCentre is the cost of a data centre with more tasks of the same job than another
	// one that has room.
	DataCentre float64
	// FailedRack is the cost of a rack in which an attempt failed.
	FailedRack float64
	// FailedDataCentre is the cost of a data centre in which an attempt failed.
	FailedDataCentre float64
	// Load is the cost of a host whose scarcest resource is fully used, in proportion for
	// others. A negative value prefers fuller hosts, which keeps room for large tasks on
	// the rest.
	Load float64
	// Imbalance is the cost of processors fully used with memory unused, or the reverse, in
	// proportion to the difference.
	Imbalance float64
	// Accelerator is the cost of using a host with accelerators for work that needs none.
	Accelerator float64
	// Penalty is the factor by which the result of Config.Penalty is multiplied.
	Penalty float64
}

// DefaultConfig returns limits and weights suited to 24,000 hosts.
func DefaultConfig() Config {
	return Config{
		Samples:            12,
		DataCentres:        4,
		PenaltySamples:     6,
		VisitBudget:        4096,
		ReservationTimeout: 10 * time.Second,
		RefusalCooldown:    5 * time.Second,
		HoldTimeout:        5 * time.Minute,
		MaxHeldShare:       0.02,
		DiscoveryPeriod:    10 * time.Second,
		CapacityRetention:  10 * time.Minute,
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

package estimator

import "time"

// DurationsConfig holds the parameters of Durations.
type DurationsConfig struct {
	// PriorSamples is the number of samples for which the declared duration counts, and a queue for one of its classes.
	PriorSamples float64
	// PriorSpread is the factor by which the actual duration of a task differs from the declared one by one standard
	// deviation, while nothing is known.
	PriorSpread float64
	// HalfLife is the time after which the weight of a sample has halved.
	HalfLife time.Duration
	// MinRatio and MaxRatio bound the ratio of the expected to the declared duration.
	MinRatio, MaxRatio float64
	// MaxClasses is the maximum number of classes and queues remembered. The least recently observed one is
	// forgotten first. Each takes 1.3 KB.
	MaxClasses int
	// MaxRecorded is the maximum number of classes and queues in a snapshot.
	MaxRecorded int
}

// DefaultDurationsConfig returns the parameters used by the owner.
func DefaultDurationsConfig() DurationsConfig {
	return DurationsConfig{
		PriorSamples: 8,
		// Declared durations are off by 20 to 90%.
		PriorSpread: 1.5,
		// Demand changes within minutes, and a class has a sample a second or more while it matters.
		HalfLife: 10 * time.Minute,
		// Some tasks take 7 times as long as declared. A record or a clock that is wrong must not reach further.
		MinRatio:    0.05,
		MaxRatio:    20,
		MaxClasses:  2000,
		MaxRecorded: 64,
	}
}

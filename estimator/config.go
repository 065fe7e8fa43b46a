package estimator

import "time"

// Config holds the parameters of an Estimator.
type Config struct {
	// Quantile is the quantile of the observed processor use that a size covers, from
	// 0 to 1.
	Quantile float64
	// PriorSamples is the number of samples that the declared size counts for.
	PriorSamples float64
	// HalfLife is the time after which the weight of a sample has halved.
	HalfLife time.Duration
	// Floor and Ceiling bound the corrected processors, as ratios to the declared
	// ones.
	Floor, Ceiling float64
	// MemoryFloor is the lower bound of the corrected memory, as a ratio to the
	// declared memory.
	MemoryFloor float64
	// MemoryMargin is added to the observed peak of memory, as a fraction of it.
	MemoryMargin float64
	// Saturation is the fraction of the granted processors at or above which a task's
	// use counts as limited by the grant. Growth is the factor by which the size is
	// increased if too many samples were limited to determine the quantile.
	Saturation, Growth float64
	// MaxClasses is the maximum number of classes remembered. The least recently
	// observed class is forgotten first.
	MaxClasses int
}

// DefaultConfig returns the parameters used by the entry.
func DefaultConfig() Config {
	return Config{
		Quantile:     0.9,
		PriorSamples: 8,
		HalfLife:     24 * time.Hour,
		Floor:        0.25,
		Ceiling:      4,
		MemoryFloor:  1,
		MemoryMargin: 0.1,
		Saturation:   0.95,
		Growth:       1.2,
		MaxClasses:   30_000,
	}
}

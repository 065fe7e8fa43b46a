package estimator

import "time"

// Config holds the bounds of an Estimator.
type Config struct {
	// Quantile of the observed processor use that a size covers, 0 to 1.
	Quantile float64
	// PriorSamples is how many samples the declaration counts for.
	PriorSamples float64
	// HalfLife is the time after which a sample counts for half.
	HalfLife time.Duration
	// Floor and Ceiling bound the corrected processors, as parts of the declared.
	Floor, Ceiling float64
	// MemoryFloor bounds the corrected memory from below, as a part of the declared.
	MemoryFloor float64
	// MemoryMargin is added to the observed peak of memory, as a part of it.
	MemoryMargin float64
	// Saturation is the part of the granted processors from which on use counts as
	// held down by the grant. Growth multiplies the size when too much of the use
	// was held down to tell the quantile.
	Saturation, Growth float64
	// MaxClasses bounds the classes remembered; those observed longest ago go first.
	MaxClasses int
}

// DefaultConfig returns the bounds used by the entry.
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

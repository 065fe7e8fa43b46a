package observer

import "time"

// Config holds the bounds of an Observer.
type Config struct {
	// Prior is the slowdown, above 1, expected of a pair never measured.
	Prior float64
	// PriorReports is how many reports the prior counts for.
	PriorReports float64
	// HostDoubt is how likely a host is to be slow by itself, against a pair of
	// classes to interfere; 1 for equally.
	HostDoubt float64
	// Rate is the part of the difference between a measured and the expected
	// slowdown that one report corrects, 0 to 1.
	Rate float64
	// HalfLife is the time after which a report counts for half.
	HalfLife time.Duration
	// CriticalWeight multiplies the penalty for harm to latency-critical work.
	CriticalWeight float64
	// MaxHarm is the slowdown of critical work, a ratio above 1, beyond which no
	// more work that harms it is placed beside it; ClassLimit is the harmonic mean
	// for its class from which on none is.
	MaxHarm, ClassLimit float64
	// Probes is the number of tasks of a class that may run before any critical
	// work beside them was measured; each report allows ProbeGrowth more.
	Probes, ProbeGrowth int
	// MaxPairs bounds the pairs remembered, of which the oldest go first, and the
	// classes.
	MaxPairs int
	// History is how long work that ended can still be blamed by late reports.
	History time.Duration
	// High is the slowdown of latency-critical work that counts as harm, Low the
	// one that counts as recovered; both are ratios above 1.
	High, Low float64
	// ClassHigh is the harmonic mean of the slowdowns of all critical work of a class
	// from which on StrainedHigh takes the place of High for it.
	ClassHigh, StrainedHigh float64
	// HighReports and LowReports are the reports in a row, sampled since the last
	// step on the host, that a step up or down needs. LowReports doubles, up to
	// MaxLowReports, each time that a restored host is harmed again.
	HighReports, LowReports, MaxLowReports int
	// MinBlame is the slowdown, above 1, that work must be expected to cause before
	// it is throttled or evicted.
	MinBlame float64
	// Settle is how long after a step its effect shows in what is sampled.
	Settle time.Duration
	// MaxSteps bounds the throttles and restorations of one tick, MaxEvictions the
	// evictions.
	MaxSteps, MaxEvictions int
	// EvictionShare is the part of batch starts that may be evicted in the long
	// run; EvictionBurst is how many evictions may come at once.
	EvictionShare, EvictionBurst float64
}

// DefaultConfig returns the bounds used by the entry.
func DefaultConfig() Config {
	return Config{
		Prior:          0.02,
		PriorReports:   2,
		HostDoubt:      0.2,
		Rate:           0.5,
		HalfLife:       6 * time.Hour,
		CriticalWeight: 10,
		MaxHarm:        2,
		ClassLimit:     1.5,
		Probes:         16,
		ProbeGrowth:    1,
		MaxPairs:       200_000,
		History:        time.Minute,
		High:           4,
		Low:            2,
		ClassHigh:      1.8,
		StrainedHigh:   2.5,
		HighReports:    2,
		LowReports:     1,
		MaxLowReports:  64,
		MinBlame:       0.3,
		Settle:         time.Second,
		MaxSteps:       100,
		MaxEvictions:   10,
		EvictionShare:  0.015,
		EvictionBurst:  5,
	}
}

package observer

import "time"

// Config holds the parameters of an Observer. Slowdowns are ratios to an undisturbed
// run, unless they are given as the excess above 1.
type Config struct {
	// Prior is the expected excess slowdown of a pair of classes that was never
	// measured.
	Prior float64
	// PriorReports is the number of reports that the prior counts for.
	PriorReports float64
	// HostUncertainty is the likelihood that a host is slow by itself, relative to
	// the likelihood that a pair of classes interferes; 1 if both are equally likely.
	HostUncertainty float64
	// Rate is the fraction, from 0 to 1, of the difference between a measured and the
	// expected slowdown by which one report corrects the estimates.
	Rate float64
	// HalfLife is the time after which the weight of a report has halved.
	HalfLife time.Duration
	// CriticalWeight is the factor of the penalty for slowing down latency-critical
	// work.
	CriticalWeight float64
	// MaxHarm is the expected slowdown of critical work beyond which no more work that
	// interferes with it is placed beside it. ClassLimit is the harmonic mean of the
	// slowdowns of its class at or above which no such work is placed beside any
	// critical work of the class.
	MaxHarm, ClassLimit float64
	// Probes is the number of tasks of a class that may run before any critical work
	// beside them was measured. Each report of such work allows ProbeGrowth more.
	Probes, ProbeGrowth int
	// MaxPairs is the maximum number of pairs remembered, of which the oldest is
	// forgotten first, and the maximum number of classes.
	MaxPairs int
	// History is how long after its end late reports can still be attributed to work.
	History time.Duration
	// High is the slowdown at or above which latency-critical work counts as harmed,
	// Low the one at or below which it counts as recovered.
	High, Low float64
	// ClassHigh is the harmonic mean of the slowdowns of all critical work of a class
	// at or above which SlowClassHigh replaces High for the class.
	ClassHigh, SlowClassHigh float64
	// HighReports and LowReports are the numbers of consecutive reports, sampled since
	// the last step on the host, after which work is throttled or evicted, or a
	// throttle ends. On a host where work was restored, each further throttle doubles
	// the number needed to end a throttle, up to MaxLowReports, until throttled work
	// ends.
	HighReports, LowReports, MaxLowReports int
	// MinCausedSlowdown is the excess slowdown that work must be expected to cause
	// before it is throttled or evicted, or kept away from critical work.
	MinCausedSlowdown float64
	// Settle is the time after which the effect of a step, or of a start or an end of
	// work, shows in samples.
	Settle time.Duration
	// MaxSteps is the maximum number of throttles and restores in one tick,
	// MaxEvictions that of evictions.
	MaxSteps, MaxEvictions int
	// EvictionShare is the fraction of batch starts that may be evicted in the long
	// run. EvictionBurst is the maximum number of evictions at once.
	EvictionShare, EvictionBurst float64
}

// DefaultConfig returns the parameters used by the entry.
func DefaultConfig() Config {
	return Config{
		Prior:             0.02,
		PriorReports:      2,
		HostUncertainty:   0.2,
		Rate:              0.5,
		HalfLife:          6 * time.Hour,
		CriticalWeight:    10,
		MaxHarm:           2,
		ClassLimit:        1.5,
		Probes:            16,
		ProbeGrowth:       1,
		MaxPairs:          200_000,
		History:           time.Minute,
		High:              4,
		Low:               2,
		ClassHigh:         1.8,
		SlowClassHigh:     2.5,
		HighReports:       2,
		LowReports:        1,
		MaxLowReports:     64,
		MinCausedSlowdown: 0.3,
		Settle:            time.Second,
		MaxSteps:          100,
		MaxEvictions:      10,
		EvictionShare:     0.015,
		EvictionBurst:     5,
	}
}

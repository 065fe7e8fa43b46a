package ranker

import "time"

// Config holds the parameters of a Ranker.
type Config struct {
	// BaseValue is the part of the value of a workload that doesn't depend on its work. SizeValue
	// is the value of the mean work of its queue, and MaxValue bounds the sum. They follow from what
	// results are worth to callers.
	BaseValue, SizeValue, MaxValue float64
	// KeptBonus multiplies the weight of a workload that the last ranking expected in time, and
	// BegunBonus that of one that has begun. A change of the order must gain more than that, so
	// that errors of estimates don't flip it, and work that was done isn't given up for little.
	KeptBonus, BegunBonus float64
	// Tolerance is the part of the time that it is allowed, 0 to 1, by which a workload must be
	// expected before its deadline to become one that ends in time; it remains one until its deadline.
	Tolerance float64
	// HoldMargin is the claim on the room, as a multiple of it, from which on others are held back.
	// It is above 1, as tasks end between two rankings.
	HoldMargin float64
	// StartTolerance is the change of the time at which an urgent workload must start below
	// which its place is kept.
	StartTolerance time.Duration
	// LargeShare is the share of the workloads of a queue, 0 to 1, that count as large.
	LargeShare float64
	// LargeService is the least rate at which large workloads end in time, as a multiple of that
	// of their queue. LargeBonus multiplies their weight while they are below it, once
	// MinLargeEnds of them have ended lately.
	LargeService, LargeBonus float64
	MinLargeEnds             float64
	// OverShare is the share of a group of callers, as a multiple of the mean of those that compete,
	// from which on it gives way to the others until it is at the mean; the distance of the two keeps
	// groups of equal demand from changing places all the time. ShareBonus divides the weight of its
	// best-effort workloads then.
	OverShare, ShareBonus float64
	// ServiceHalfLife is the time after which an end counts half in the rates of a queue.
	ServiceHalfLife time.Duration
	// ServiceMemory is the time in which an observed rate of service loses most of its weight. Tasks end
	// in waves, some seconds apart. MinServiceFactor is the least part of the expected room that is
	// planned with, however little was served.
	ServiceMemory    time.Duration
	MinServiceFactor float64
	// Sizes is the number of the latest workloads of a queue whose sizes are remembered.
	Sizes int
}

// DefaultConfig returns the configuration used by owners.
func DefaultConfig() Config {
	return Config{
		BaseValue:        0.3,
		SizeValue:        0.7,
		MaxValue:         4,
		KeptBonus:        1.25,
		BegunBonus:       2,
		Tolerance:        0.05,
		HoldMargin:       1.3,
		StartTolerance:   50 * time.Millisecond,
		LargeShare:       0.3,
		LargeService:     0.5,
		MinLargeEnds:     3,
		LargeBonus:       2,
		OverShare:        1.25,
		ShareBonus:       3,
		ServiceHalfLife:  30 * time.Second,
		ServiceMemory:    10 * time.Second,
		MinServiceFactor: 0.25,
		Sizes:            128,
	}
}

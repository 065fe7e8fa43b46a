package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/pacer"
)

// Config holds the parameters of a Conductor.
type Config struct {
	// Features holds the optional decisions that are made.
	Features apricotwinch.Features
	// MaxTasks bounds the tasks of the workloads that have not ended; 0 for no bound.
	MaxTasks int
	// MaxRecordBytes bounds the records of the workloads that have not ended, of which those over smallRecordBytes each take at
	// most half; 0 for no bound.
	MaxRecordBytes int
	// Lease is how long the runs of a host continue at most after it sent the last report whose reply
	// renewed their lease, and after the owner's latest proof by then that it had no successor.
	Lease time.Duration
	// Margin is added to Lease before the runs of a host that doesn't report count as ended. It covers the
	// difference between the clocks of its agent and of owners, and the time in which an executor ends its runs.
	Margin time.Duration
	// StrayLease bounds how long a lease lasts that a call for an earlier incarnation of an executor granted, by
	// the owner's clock.
	StrayLease time.Duration
	// MaxCallDelay is how much later than it was made an executor may carry out a call without an answer, and
	// MaxShortHold is how long a long-running task may wait for such a call.
	MaxCallDelay time.Duration
	MaxShortHold time.Duration
	// Authority is how long an earlier owner may have continued to act after it was fenced.
	Authority time.Duration
	// UrgentReserve is the share of a service's processors in each data centre, 0 to 1, that new
	// long-running tasks leave free for other tasks if the reserve doesn't follow demand.
	UrgentReserve float64
	// LongRunningUtilization is the share of its processors, 0 to 1, that a long-running task is
	// expected to use; the rest is available to best-effort tasks.
	LongRunningUtilization float64
	// BestEffortRatio bounds the processors requested by the best-effort tasks of an executor,
	// as a multiple of those that the other tasks are expected to leave unused.
	BestEffortRatio float64
	// MinSpeed is the expected share of full speed, 0 to 1, below which a best-effort task
	// doesn't start on an executor until it has waited for MaxPlacementWait.
	MinSpeed         float64
	MaxPlacementWait time.Duration
	// MaxIdle is how long a workload has no run until a first task starts beyond the bounds on best-effort
	// work and the reserve, while tasks hold less than MaxIdleUtilization, 0 to 1, of a service's processors,
	// those of best-effort tasks not counted, and of its memory. It must leave time for the start
	// within the 3 s that users wait.
	MaxIdle            time.Duration
	MaxIdleUtilization float64
	// Pacer is the configuration by which agents throttle best-effort tasks.
	Pacer pacer.Config
	// MinStartHeadroom is the headroom (target divided by tail latency) that serving tasks must
	// be expected to keep when a best-effort task starts beside them, as that task runs at full
	// speed until it is throttled.
	MinStartHeadroom float64
	// Backoff is the delay before a failed task runs again; it doubles with each failure in a
	// row, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// FailureStreak is the number of failures in a row, each of another workload than the one
	// before, from which on an executor gets tasks only if no other one can run them.
	FailureStreak int
	// FailureStreakTTL is the time after the last failure at which the streak of an executor
	// expires.
	FailureStreakTTL time.Duration
	// EndedRetention is how long the state of an ended workload is kept.
	EndedRetention time.Duration
	// HostRetention is how long a host without executors is kept after its last report.
	HostRetention time.Duration
}

// NewConfig returns the default configuration with the given features.
func NewConfig(features apricotwinch.Features) Config {
	config := DefaultConfig()
	config.Features = features
	return config
}

// DefaultConfig returns the configuration used by the owner, with the default features.
func DefaultConfig() Config {
	return Config{
		Lease:                  apricotwinch.ExecutorLease,
		Margin:                 400 * time.Millisecond,
		StrayLease:             10*time.Second + 250*time.Millisecond,
		MaxCallDelay:           apricotwinch.MaxCallDelay,
		MaxShortHold:           apricotwinch.MaxShortHold,
		Authority:              apricotwinch.OwnerAuthority,
		UrgentReserve:          0.1,
		LongRunningUtilization: 0.5,
		BestEffortRatio:        1,
		MinSpeed:               0.2,
		Pacer:                  pacer.DefaultConfig(),
		MinStartHeadroom:       1.25,
		MaxPlacementWait:       8 * time.Second,
		MaxIdle:                1500 * time.Millisecond,
		MaxIdleUtilization:     0.6,
		Backoff:                50 * time.Millisecond,
		MaxBackoff:             time.Second,
		FailureStreak:          3,
		FailureStreakTTL:       4 * time.Second,
		EndedRetention:         150 * time.Second,
		HostRetention:          time.Minute,
	}
}

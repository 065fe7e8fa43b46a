package judge

import "time"

// Config holds the bounds of a Judge.
type Config struct {
	// MaxAttempts is the number of distinct hosts on which a task, or a job none
	// of whose tasks ever completed, fails before it is parked.
	MaxAttempts int
	// MinDataCentres is the number of data centres that these hosts must span, as
	// far as there are so many.
	MinDataCentres int
	// HardLimit is the number of failures after which a task is parked whatever
	// the hosts.
	HardLimit int
	// BackoffBase is the delay before the second attempt; it doubles each time.
	BackoffBase time.Duration
	// BackoffMax bounds the delay.
	BackoffMax time.Duration
	// AvoidMax bounds the hosts that a retry avoids; the latest count.
	AvoidMax int
	// QuarantineFailures is the number of failures in a row, and QuarantineScore
	// the weight of their evidence, that put a host into quarantine. One failure
	// weighs between 0, for work that fails everywhere, and 1.
	QuarantineFailures int
	// QuarantineScore is described at QuarantineFailures.
	QuarantineScore float64
	// QuarantineShare bounds the part of the hosts in quarantine; one host may
	// always be.
	QuarantineShare float64
	// EvidenceLife is how long a failure counts against its host.
	EvidenceLife time.Duration
	// ProbationBase is the time in quarantine before the first trial; it doubles
	// with each failed trial.
	ProbationBase time.Duration
	// ProbationMax bounds the time between trials; a host that stayed open for so
	// long begins at ProbationBase again.
	ProbationMax time.Duration
}

// DefaultConfig returns the bounds used by the entry.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:        5,
		MinDataCentres:     2,
		HardLimit:          20,
		BackoffBase:        time.Second,
		BackoffMax:         5 * time.Minute,
		AvoidMax:           8,
		QuarantineFailures: 3,
		QuarantineScore:    2,
		QuarantineShare:    0.1,
		EvidenceLife:       15 * time.Minute,
		ProbationBase:      30 * time.Second,
		ProbationMax:       time.Hour,
	}
}

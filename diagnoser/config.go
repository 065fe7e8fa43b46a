package diagnoser

import "time"

// Config holds the limits of a Diagnoser.
type Config struct {
	// MaxAttempts is the number of different hosts, if there are so many, on which a task
	// fails before its job is parked. A job none of whose tasks ever completed is parked
	// after failures of its tasks on as many hosts.
	MaxAttempts int
	// MinDataCentres is the number of data centres that these hosts must span, or all data
	// centres if there are fewer.
	MinDataCentres int
	// MaxFailures is the number of failures of a task after which its job is parked,
	// whatever the hosts.
	MaxFailures int
	// BackoffBase is the delay before the second attempt; the delay doubles with each
	// attempt.
	BackoffBase time.Duration
	// BackoffMax is the maximum delay before an attempt.
	BackoffMax time.Duration
	// MaxAvoidedHosts is the maximum number of hosts that a retry avoids; the latest are
	// avoided.
	MaxAvoidedHosts int
	// QuarantineFailures and QuarantineScore are the number of failures in a row and the
	// sum of their weights that put a host into quarantine. A completion drops the older
	// half of the failures. The weight of a failure is between 0, for work that fails on
	// every host, and 1.
	QuarantineFailures int
	// QuarantineScore is the minimum sum of weights, as described at QuarantineFailures.
	QuarantineScore float64
	// MaxQuarantinedShare is the greatest fraction of the hosts in quarantine; one host may
	// always be.
	MaxQuarantinedShare float64
	// FailureRetention is how long a failure counts against its host.
	FailureRetention time.Duration
	// ProbationBase is the time in quarantine before the first trial. It doubles with each
	// failed trial and each return to quarantine.
	ProbationBase time.Duration
	// ProbationMax is the maximum time in quarantine before a trial. A host that stayed
	// open for as long starts from ProbationBase again.
	ProbationMax time.Duration
}

// DefaultConfig returns the limits that the entry uses.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:         5,
		MinDataCentres:      2,
		MaxFailures:         20,
		BackoffBase:         time.Second,
		BackoffMax:          5 * time.Minute,
		MaxAvoidedHosts:     8,
		QuarantineFailures:  3,
		QuarantineScore:     2,
		MaxQuarantinedShare: 0.1,
		FailureRetention:    15 * time.Minute,
		ProbationBase:       30 * time.Second,
		ProbationMax:        time.Hour,
	}
}

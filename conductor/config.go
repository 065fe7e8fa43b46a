package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/pacer"
)

// Config holds the bounds of a Conductor.
type Config struct {
	// Lease is how long a host's runs go on after the report whose answer renewed
	// them was sent.
	Lease time.Duration
	// Margin is added before the runs of a silent host count as ended: the clock
	// of an executor may run 2% slow, and messages travel.
	Margin time.Duration
	// Authority is how long an earlier owner may have acted after it was fenced.
	Authority time.Duration
	// UrgentReserve is the part of a service's processors in each data centre, 0 to 1, that
	// lasting tasks leave free for others.
	UrgentReserve float64
	// ServingUse is the part of its processors that a lasting task is expected to
	// use; the rest is for tasks that fill.
	ServingUse float64
	// FillShare is how much the tasks that fill may ask for, as a multiple of what
	// the others are expected to leave.
	FillShare float64
	// LeastSpeed is the expected share of full speed, 0 to 1, below which filling work
	// waits for a better place, for at most Patience.
	LeastSpeed float64
	Patience   time.Duration
	// Pace holds the bounds that agents pace by.
	Pace pacer.Config
	// LeastPulse is the headroom that serving work must be expected to keep during the
	// start of filling work beside it, which goes at full speed.
	LeastPulse float64
	// Backoff is the delay before a task that failed runs again; it doubles with
	// each failure in a row, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// FailureStreak is the number of failures in a row, of several workloads, from
	// which on an executor gets work only where no other one can take it.
	FailureStreak int
	// StreakLife is how long after the last failure that lasts.
	StreakLife time.Duration
	// Keep is how long the state of a workload that ended can be asked for.
	Keep time.Duration
	// ForgetHost is how long a host is silent before it is forgotten.
	ForgetHost time.Duration
}

// DefaultConfig returns the bounds used by the owner.
func DefaultConfig() Config {
	return Config{
		Lease:         apricotwinch.ExecutorLease,
		Margin:        400 * time.Millisecond,
		Authority:     apricotwinch.OwnerAuthority,
		UrgentReserve: 0.1,
		ServingUse:    0.5,
		FillShare:     1,
		LeastSpeed:    0.2,
		Pace:          pacer.DefaultConfig(),
		LeastPulse:    1.05,
		Patience:      8 * time.Second,
		Backoff:       50 * time.Millisecond,
		MaxBackoff:    time.Second,
		FailureStreak: 3,
		StreakLife:    4 * time.Second,
		Keep:          150 * time.Second,
		ForgetHost:    time.Minute,
	}
}

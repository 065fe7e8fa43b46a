package claimer

import (
	"time"

	"apricotwinch"
)

// Defaults of Timing.
const (
	defaultHeartbeat       = 2 * time.Second
	defaultClaimLease      = 6 * time.Second
	defaultTakeoverTimeout = 9 * time.Second
	defaultStabilityPeriod = 30 * time.Second
)

// Timing holds the durations by which an entry claims partitions and hands them over.
type Timing struct {
	heartbeat       time.Duration
	claimLease      time.Duration
	takeoverTimeout time.Duration
	stabilityPeriod time.Duration
}

// DefaultTiming returns the default durations: a heartbeat every 2 s, a claim lease
// of 6 s, a takeover timeout of 9 s and a stability period of 30 s.
func DefaultTiming() Timing {
	return Timing{
		heartbeat:       defaultHeartbeat,
		claimLease:      defaultClaimLease,
		takeoverTimeout: defaultTakeoverTimeout,
		stabilityPeriod: defaultStabilityPeriod,
	}
}

// NewTiming returns a Timing. An entry sends a record every heartbeat. It acts as an
// owner until claimLease after it sent the latest record that it observed in the
// stream. It claims partitions whose owner was silent for takeoverTimeout. It hands a
// partition over to the preferred entry once it has owned the partition, and the
// other entry has been live, for stabilityPeriod. NewTiming fails with kind Invalid
// unless 0 < heartbeat < claimLease < takeoverTimeout.
func NewTiming(heartbeat, claimLease, takeoverTimeout, stabilityPeriod time.Duration) (Timing, error) {
	if heartbeat <= 0 || claimLease <= heartbeat || takeoverTimeout <= claimLease {
		return Timing{}, apricotwinch.Errorf(apricotwinch.Invalid,
			"heartbeat %s, claim lease %s and takeover timeout %s must be positive and in ascending order", heartbeat, claimLease, takeoverTimeout)
	}
	return Timing{heartbeat: heartbeat, claimLease: claimLease, takeoverTimeout: takeoverTimeout, stabilityPeriod: stabilityPeriod}, nil
}

// maxReadGap is the maximum time between two reads to the end of the stream. After a
// longer gap, the silence of every owner is measured from the later read on.
func (t Timing) maxReadGap() time.Duration { return t.claimLease / 2 }

// rankDelay is the additional time that an entry waits, for each entry preferred to
// it, before it claims a claimable partition.
func (t Timing) rankDelay() time.Duration { return 2 * t.heartbeat }

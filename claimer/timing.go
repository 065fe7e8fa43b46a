package claimer

import (
	"time"

	"apricotwinch"
)

// Default times.
const (
	defaultHeartbeat  = 2 * time.Second
	defaultClaimLease = 6 * time.Second
	defaultTakeover   = 9 * time.Second
	defaultSteady     = 30 * time.Second
)

// Timing is the times by which an entry claims partitions.
type Timing struct {
	heartbeat  time.Duration
	claimLease time.Duration
	takeover   time.Duration
	steady     time.Duration
}

// DefaultTiming returns the times of the design.
func DefaultTiming() Timing {
	return Timing{
		heartbeat:  defaultHeartbeat,
		claimLease: defaultClaimLease,
		takeover:   defaultTakeover,
		steady:     defaultSteady,
	}
}

// NewTiming returns times: an entry sends a record every heartbeat, acts as an
// owner for claimLease after it sent one that landed, takes partitions over after
// takeover of silence, and hands them to an entry that has lived for steady. It
// fails with kind Invalid unless heartbeat < claimLease < takeover.
func NewTiming(heartbeat, claimLease, takeover, steady time.Duration) (Timing, error) {
	if heartbeat <= 0 || claimLease <= heartbeat || takeover <= claimLease {
		return Timing{}, apricotwinch.Errorf(apricotwinch.Invalid,
			"heartbeat %s, claim lease %s and takeover %s must be positive and grow", heartbeat, claimLease, takeover)
	}
	return Timing{heartbeat: heartbeat, claimLease: claimLease, takeover: takeover, steady: steady}, nil
}

// viewGap is the greatest time between two proofs that the stream was read to its
// tail; after a longer one every silence is counted anew.
func (t Timing) viewGap() time.Duration { return t.claimLease / 2 }

// rankDelay is how long a claimable partition is left to the entry before in the
// order of preference.
func (t Timing) rankDelay() time.Duration { return 2 * t.heartbeat }

package limiter

import "apricotwinch"

// Defaults of Config. The shares are multiples of the slots of a service.
const (
	defaultBatchShare    = 1.2
	defaultStandardShare = 1.35
	defaultCriticalShare = 1.75
	defaultMaxTeams      = 4096
)

// Config holds the parameters of a limiter.
type Config struct {
	shares   [apricotwinch.Critical + 1]float64
	quota    Quota
	maxTeams int
}

// NewConfig returns a configuration. batch, standard and critical are shares of a
// service's slots: a request of an urgency is admitted while the requests in flight
// are below its share. A share above 1 allows requests to queue at the targets.
// Teams without a quota of their own get quota, and at most maxTeams of them are
// remembered. It fails with kind Invalid if batch isn't positive, a share is below
// that of the urgency before it, or maxTeams isn't positive.
func NewConfig(batch, standard, critical float64, quota Quota, maxTeams int) (Config, error) {
	if batch <= 0 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "limiter: batch share %g is not positive", batch)
	}
	if standard < batch {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "limiter: standard share %g is below batch share %g", standard, batch)
	}
	if critical < standard {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "limiter: critical share %g is below standard share %g", critical, standard)
	}
	if maxTeams < 1 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "limiter: maxTeams %d is below 1", maxTeams)
	}
	return Config{
		shares: [...]float64{
			apricotwinch.Batch:    batch,
			apricotwinch.Standard: standard,
			apricotwinch.Critical: critical,
		},
		quota:    quota,
		maxTeams: maxTeams,
	}, nil
}

// DefaultConfig returns the default configuration, in which quotas are unlimited.
func DefaultConfig() Config {
	return Config{
		shares: [...]float64{
			apricotwinch.Batch:    defaultBatchShare,
			apricotwinch.Standard: defaultStandardShare,
			apricotwinch.Critical: defaultCriticalShare,
		},
		quota:    Unlimited(),
		maxTeams: defaultMaxTeams,
	}
}

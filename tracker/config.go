package tracker

import (
	"time"

	"apricotwinch"
)

// Defaults of Config.
const (
	defaultPeriod         = 2 * time.Second
	defaultSuspectPeriods = 3
	defaultGonePeriods    = 15
	defaultForgetPeriods  = 300
)

// Config holds the periods after which a silent host changes its state.
type Config struct {
	suspectAfter time.Duration
	goneAfter    time.Duration
	forgetAfter  time.Duration
}

// NewConfig returns a configuration for hosts that send a heartbeat each period:
// a host is suspected after suspectPeriods without one, gone after gonePeriods
// and forgotten after forgetPeriods. It fails with kind Invalid unless the
// period is positive and the three numbers grow.
func NewConfig(period time.Duration, suspectPeriods, gonePeriods, forgetPeriods int) (Config, error) {
	if period <= 0 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "period: %s is not positive", period)
	}
	if suspectPeriods < 1 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "suspectPeriods: %d is below 1", suspectPeriods)
	}
	if gonePeriods <= suspectPeriods {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "gonePeriods: %d is not over %d", gonePeriods, suspectPeriods)
	}
	if forgetPeriods <= gonePeriods {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "forgetPeriods: %d is not over %d", forgetPeriods, gonePeriods)
	}
	return Config{
		suspectAfter: period * time.Duration(suspectPeriods),
		goneAfter:    period * time.Duration(gonePeriods),
		forgetAfter:  period * time.Duration(forgetPeriods),
	}, nil
}

// DefaultConfig returns the configuration for a heartbeat each 2 s.
func DefaultConfig() Config {
	return Config{
		suspectAfter: defaultPeriod * defaultSuspectPeriods,
		goneAfter:    defaultPeriod * defaultGonePeriods,
		forgetAfter:  defaultPeriod * defaultForgetPeriods,
	}
}

// SuspectAfter returns the silence after which a host is suspected.
func (c Config) SuspectAfter() time.Duration { return c.suspectAfter }

// GoneAfter returns the silence after which a host is gone.
func (c Config) GoneAfter() time.Duration { return c.goneAfter }

// ForgetAfter returns the silence after which nothing is known of a host.
func (c Config) ForgetAfter() time.Duration { return c.forgetAfter }

package tracker

import (
	"time"

	"apricotwinch"
)

// Defaults of Config: a heartbeat every 2 s, and the number of silent periods after
// which a host is suspected, gone and forgotten.
const (
	defaultPeriod         = 2 * time.Second
	defaultSuspectPeriods = 3
	defaultGonePeriods    = 15
	defaultForgetPeriods  = 300
)

// Config holds the durations of silence after which a host changes state.
type Config struct {
	suspectAfter time.Duration
	goneAfter    time.Duration
	forgetAfter  time.Duration
}

// NewConfig returns a configuration for hosts that send a heartbeat each period:
// a host is suspected after suspectPeriods without one, gone after gonePeriods
// and forgotten after forgetPeriods. It fails with kind Invalid unless period > 0
// and 1 <= suspectPeriods < gonePeriods < forgetPeriods.
func NewConfig(period time.Duration, suspectPeriods, gonePeriods, forgetPeriods int) (Config, error) {
	if period <= 0 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "period: %s is not positive", period)
	}
	if suspectPeriods < 1 {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "suspectPeriods: %d is below 1", suspectPeriods)
	}
	if gonePeriods <= suspectPeriods {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "gonePeriods: %d is not greater than %d", gonePeriods, suspectPeriods)
	}
	if forgetPeriods <= gonePeriods {
		return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "forgetPeriods: %d is not greater than %d", forgetPeriods, gonePeriods)
	}
	return Config{
		suspectAfter: period * time.Duration(suspectPeriods),
		goneAfter:    period * time.Duration(gonePeriods),
		forgetAfter:  period * time.Duration(forgetPeriods),
	}, nil
}

// DefaultConfig returns the configuration for a heartbeat every 2 s: hosts are
// suspected after 6 s of silence, gone after 30 s and forgotten after 10 min.
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

// ForgetAfter returns the silence after which a host is forgotten.
func (c Config) ForgetAfter() time.Duration { return c.forgetAfter }

package router

import (
	"time"

	"apricotwinch"
)

// Defaults of Config.
const (
	defaultChoices        = 4 // targets compared per class and data centre
	defaultSlowStart      = 10 * time.Second
	defaultFailures       = 3 // consecutive failures
	defaultEjection       = 10 * time.Second
	defaultMaxEjection    = 5 * time.Minute
	defaultEjectedShare   = 0.3 // of the targets of a service
	defaultSlownessFactor = 2.0 // times the baseline latency
	defaultHalfLife       = 10 * time.Second
	defaultMinWithdrawal  = 3 * time.Second
)

// Config holds the parameters of a router.
type Config struct {
	choices        int
	slowStart      time.Duration
	failures       int
	ejection       time.Duration
	maxEjection    time.Duration
	ejectedShare   float64
	slownessFactor float64
	halfLife       time.Duration
	minWithdrawal  time.Duration // shortest time for which a withdrawn target is unavailable
}

// Option changes one parameter of a configuration.
type Option func(*Config)

// WithChoices sets the number of targets of one class in one data centre that are
// compared for a request, at least 2.
func WithChoices(choices int) Option { return func(c *Config) { c.choices = choices } }

// WithSlowStart sets the time over which the slots in use of a target that joins
// or returns grow to all of its slots.
func WithSlowStart(window time.Duration) Option { return func(c *Config) { c.slowStart = window } }

// WithEjection sets the number of consecutive failures after which a target is
// ejected, and the duration of its first and of its longest ejection.
func WithEjection(failures int, first, longest time.Duration) Option {
	return func(c *Config) { c.failures, c.ejection, c.maxEjection = failures, first, longest }
}

// WithEjectedShare sets the largest share of a service's targets that may be
// ejected at once, between 0 and 1. With two or more targets, one may always be
// ejected.
func WithEjectedShare(share float64) Option { return func(c *Config) { c.ejectedShare = share } }

// WithSlownessFactor sets the multiple of the baseline latency of a service from
// which a target counts as slow, at least 1.
func WithSlownessFactor(factor float64) Option {
	return func(c *Config) { c.slownessFactor = factor }
}

// WithHalfLife sets the time in which the excess latency and the failure rate of a
// target that gets no requests decay by half.
func WithHalfLife(halfLife time.Duration) Option { return func(c *Config) { c.halfLife = halfLife } }

// parameter holds the check of one parameter and the text of its violation.
type parameter struct {
	name      string
	valid     func(c *Config) bool
	violation string
}

var parameters = []parameter{
	{"choices", func(c *Config) bool { return c.choices >= 2 }, "below 2"},
	{"slowStart", func(c *Config) bool { return c.slowStart >= 0 }, "negative"},
	{"failures", func(c *Config) bool { return c.failures >= 1 }, "below 1"},
	{"ejection", func(c *Config) bool { return c.ejection > 0 }, "not positive"},
	{"maxEjection", func(c *Config) bool { return c.maxEjection >= c.ejection }, "below the first ejection"},
	{"ejectedShare", func(c *Config) bool { return c.ejectedShare >= 0 && c.ejectedShare <= 1 }, "not between 0 and 1"},
	{"slownessFactor", func(c *Config) bool { return c.slownessFactor >= 1 }, "below 1"},
	{"halfLife", func(c *Config) bool { return c.halfLife > 0 }, "not positive"},
}

// NewConfig returns the default configuration changed by options. It fails with
// kind Invalid, naming the parameter, when one is out of its bounds.
func NewConfig(options ...Option) (Config, error) {
	c := DefaultConfig()
	for _, option := range options {
		option(&c)
	}
	for _, p := range parameters {
		if !p.valid(&c) {
			return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "router: %s is %s", p.name, p.violation)
		}
	}
	return c, nil
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		choices:        defaultChoices,
		slowStart:      defaultSlowStart,
		failures:       defaultFailures,
		ejection:       defaultEjection,
		maxEjection:    defaultMaxEjection,
		ejectedShare:   defaultEjectedShare,
		slownessFactor: defaultSlownessFactor,
		halfLife:       defaultHalfLife,
		minWithdrawal:  defaultMinWithdrawal,
	}
}

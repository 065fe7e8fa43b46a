package retrier

import (
	"time"

	"apricotwinch"
)

// Defaults of Config.
const (
	defaultTries      = 3   // including the first
	defaultRatio      = 0.1 // retries earned per request
	defaultBurst      = 10  // retries
	defaultBackoff    = 5 * time.Millisecond
	defaultMaxBackoff = 500 * time.Millisecond
	defaultMargin     = 5 * time.Millisecond
	defaultMaxTeams   = 4096
	defaultMaxTargets = 65536
)

// Config holds the parameters of a retrier.
type Config struct {
	tries      int
	ratio      float64
	burst      float64
	backoff    time.Duration
	maxBackoff time.Duration
	margin     time.Duration
	maxTeams   int
	maxTargets int
}

// Option changes one parameter of a configuration.
type Option func(*Config)

// WithTries sets the maximum number of tries of one request, including the first.
func WithTries(tries int) Option { return func(c *Config) { c.tries = tries } }

// WithBudget sets the retry budgets: each request adds ratio retries to the budgets of
// its team and of its target, each of which holds at most burst retries.
func WithBudget(ratio, burst float64) Option {
	return func(c *Config) { c.ratio, c.burst = ratio, burst }
}

// WithBackoff sets the maximum delay before the second try, which doubles with each
// further try, and its upper limit.
func WithBackoff(first, longest time.Duration) Option {
	return func(c *Config) { c.backoff, c.maxBackoff = first, longest }
}

// WithMargin sets the minimum time that must be left until the deadline when a request
// is sent.
func WithMargin(margin time.Duration) Option { return func(c *Config) { c.margin = margin } }

// WithMemory sets the maximum number of teams and of targets whose budgets are
// remembered.
func WithMemory(teams, targets int) Option {
	return func(c *Config) { c.maxTeams, c.maxTargets = teams, targets }
}

// parameter holds the check of one parameter and the text of its violation.
type parameter struct {
	name      string
	valid     func(c *Config) bool
	violation string
}

var parameters = []parameter{
	{"tries", func(c *Config) bool { return c.tries >= 1 }, "below 1"},
	{"ratio", func(c *Config) bool { return c.ratio >= 0 }, "negative"},
	{"burst", func(c *Config) bool { return c.burst >= 0 }, "negative"},
	{"backoff", func(c *Config) bool { return c.backoff >= 0 }, "negative"},
	{"maxBackoff", func(c *Config) bool { return c.maxBackoff >= c.backoff }, "below the first backoff"},
	{"maxTeams", func(c *Config) bool { return c.maxTeams >= 1 }, "below 1"},
	{"maxTargets", func(c *Config) bool { return c.maxTargets >= 1 }, "below 1"},
	{"margin", func(c *Config) bool { return c.margin >= 0 }, "negative"},
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
			return Config{}, apricotwinch.Errorf(apricotwinch.Invalid, "retrier: %s is %s", p.name, p.violation)
		}
	}
	return c, nil
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		tries:      defaultTries,
		ratio:      defaultRatio,
		burst:      defaultBurst,
		backoff:    defaultBackoff,
		maxBackoff: defaultMaxBackoff,
		margin:     defaultMargin,
		maxTeams:   defaultMaxTeams,
		maxTargets: defaultMaxTargets,
	}
}

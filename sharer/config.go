package sharer

import "time"

// Config holds the aging parameters of a Sharer.
type Config struct {
	// AgingAfter is how long a queue must go without a start before it counts as aged.
	AgingAfter time.Duration
	// AgingEvery is n if one in n starts goes to the queue that has waited longest,
	// provided that it is aged; 0 turns aging off.
	AgingEvery int
}

// DefaultConfig returns the parameters that the entry uses.
func DefaultConfig() Config {
	return Config{AgingAfter: 30 * time.Second, AgingEvery: 8}
}

package sharer

import "time"

// Config holds the bounds of a Sharer.
type Config struct {
	// AgingAfter is how long a queue waits before it counts as aged.
	AgingAfter time.Duration
	// AgingEvery gives one start in so many to the queue that waited longest, if it
	// is aged; 0 turns aging off.
	AgingEvery int
}

// DefaultConfig returns the bounds used by the entry.
func DefaultConfig() Config {
	return Config{AgingAfter: 30 * time.Second, AgingEvery: 8}
}

package apricotwinch

import "time"

// ExponentialBackoff returns the backoff after the given number of doublings: first * 2^times,
// but at most longest.
func ExponentialBackoff(first, longest time.Duration, times int) time.Duration {
	for range times {
		if first >= longest {
			break
		}
		first *= 2
	}
	return min(first, longest)
}

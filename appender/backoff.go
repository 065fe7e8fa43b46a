package appender

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
)

// newBackOff returns the exponential back-off, with jitter, between calls to a failing log.
func newBackOff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = backOffInitial
	delays.MaxInterval = backOffMax
	delays.Reset()
	return delays
}

// waitBackOff waits for the next delay of delays. It returns early with the error of ctx if ctx ends.
func waitBackOff(ctx context.Context, clock clockwork.Clock, delays *backoff.ExponentialBackOff) error {
	timer := clock.NewTimer(delays.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

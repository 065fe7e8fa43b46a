package appender

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
)

// newBackOff returns the delays, with jitter, between calls to a failing log.
func newBackOff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = backOffInitial
	delays.MaxInterval = backOffMax
	delays.Reset()
	return delays
}

// pause waits for the next delay; it returns early with the error of ctx.
func pause(ctx context.Context, clock clockwork.Clock, delays *backoff.ExponentialBackOff) error {
	timer := clock.NewTimer(delays.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

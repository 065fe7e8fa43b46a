package appender

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// timeoutsBeforeIncrease is the number of consecutive calls that time out before the timeout is
// increased. A short network interruption ends before that and must not make the calls after it wait
// longer.
const timeoutsBeforeIncrease = 3

// adaptiveTimeout is the timeout of calls to the log, between timeoutMin and timeoutMax. It doubles
// after every timeoutsBeforeIncrease consecutive timeouts, so that calls to a slow but working log
// succeed, and becomes twice the latency of each call that succeeds.
type adaptiveTimeout struct {
	clock    clockwork.Clock
	current  time.Duration
	timeouts int
}

func newAdaptiveTimeout(clock clockwork.Clock) *adaptiveTimeout {
	return &adaptiveTimeout{clock: clock, current: timeoutMin}
}

// call runs do with the timeout plus extra, the time for which the log may wait for a record.
func (t *adaptiveTimeout) call(ctx context.Context, extra time.Duration, do func(context.Context) error) error {
	bounded, cancel := clockwork.WithTimeout(ctx, t.clock, t.current+extra)
	defer cancel()
	started := t.clock.Now()
	err := do(bounded)
	switch {
	case err == nil:
		t.timeouts = 0
		t.current = min(max(timeoutMin, 2*(t.clock.Since(started)-extra)), timeoutMax)
	case isDone(bounded) && ctx.Err() == nil:
		t.countTimeout()
	}
	return err
}

func (t *adaptiveTimeout) countTimeout() {
	t.timeouts++
	if t.timeouts%timeoutsBeforeIncrease == 0 {
		t.current = min(2*t.current, timeoutMax)
	}
}

// isDone reports whether ctx has ended, without blocking.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

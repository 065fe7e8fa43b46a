// Package timekeeper is the clock of processes whose machine may be suspended:
// its steady time goes on while the machine stands still.
package timekeeper

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a real clock whose Now and Since count the time that the machine was
// suspended, and ignore changes of the time of day.
type Clock struct {
	clockwork.Clock
	origin time.Time
	start  time.Duration
}

// New returns a clock that starts at the present time of day.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), origin: time.Now().Round(0), start: sinceBoot()}
}

// Now returns the time of day at which the clock started plus the steady time
// since; the result has no monotonic reading.
func (c *Clock) Now() time.Time { return c.origin.Add(sinceBoot() - c.start) }

// Since returns the steady time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the steady time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep waits until d has passed on clock or ctx is done.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// sinceBoot returns the time since boot with suspensions, or the time of day
// where the system has no such clock.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

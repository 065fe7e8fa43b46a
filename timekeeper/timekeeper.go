// Package timekeeper provides a monotonic clock that includes the time during which the
// machine was suspended.
package timekeeper

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootClock is a real clock whose Now, Since and Until include the time during which the machine
// was suspended, and ignore adjustments of the wall clock. Its timers are those of
// clockwork's real clock.
type BootClock struct {
	clockwork.Clock
	startTime      time.Time
	startSinceBoot time.Duration
}

// New returns a clock that starts at the current wall-clock time.
func New() *BootClock {
	return &BootClock{Clock: clockwork.NewRealClock(), startTime: time.Now().Round(0), startSinceBoot: sinceBoot()}
}

// Now returns the wall-clock time at which the clock started plus the time elapsed since.
// The result has no monotonic reading.
func (c *BootClock) Now() time.Time { return c.startTime.Add(sinceBoot() - c.startSinceBoot) }

// Since returns the time elapsed on the clock since t.
func (c *BootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time on the clock until t.
func (c *BootClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep waits until d has passed on clock or ctx is done.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}

// sinceBoot returns the time since boot, including suspensions. Where the system has no such
// clock, it returns the wall-clock time since the Unix epoch.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

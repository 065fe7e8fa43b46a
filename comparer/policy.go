package comparer

import (
	"time"

	"apricotwinch"
)

// outcome is how an attempt ended.
type outcome int

const (
	completed outcome = iota
	failed
	exhausted
	evicted
	lost
)

// policy is an implementation of the scheduling decisions as a set of callbacks, one for
// each event of which a real scheduler is notified.
type policy struct {
	submit           func(now time.Time, t *task)
	cancel           func(now time.Time, t *task)
	tick             func(now time.Time)
	attemptEnded     func(now time.Time, t *task, h *host, o outcome)
	hostSummary      func(now time.Time, h *host, committed apricotwinch.Resources, sampledAt time.Time)
	serviceReport    func(now time.Time, h *host, slowdown float64, sampledAt time.Time)
	taskReport       func(now time.Time, t *task, h *host, used, granted apricotwinch.Resources, slowdown float64, sampledAt time.Time)
	hostJoined       func(now time.Time, h *host)
	hostLeft         func(now time.Time, h *host)
	setDataCentreOut func(now time.Time, dataCentre string, out bool)
}

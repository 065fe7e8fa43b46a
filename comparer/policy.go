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

// policy is a version of the decisions, told of all that it would hear of.
type policy struct {
	submit        func(now time.Time, t *task)
	cancel        func(now time.Time, t *task)
	tick          func(now time.Time)
	ended         func(now time.Time, t *task, h *host, how outcome)
	summary       func(now time.Time, h *host, committed apricotwinch.Resources, sampledAt time.Time)
	serviceReport func(now time.Time, h *host, slowdown float64, sampledAt time.Time)
	taskReport    func(now time.Time, t *task, h *host, used, granted apricotwinch.Resources, slowdown float64, sampledAt time.Time)
	joined        func(now time.Time, h *host)
	left          func(now time.Time, h *host)
	outage        func(now time.Time, dataCentre string, out bool)
}

package comparer

import (
	"time"

	"apricotwinch"
)

const (
	// naiveMaxAttempts is the number of attempts after which the naive policy parks a
	// task that failed or exhausted its memory.
	naiveMaxAttempts = 20
	// naiveTriesPerTick is the maximum number of waiting tasks that it tries to place
	// in a tick.
	naiveTriesPerTick = 200
)

// naive places tasks by first fit on declared sizes, in order of arrival. It knows the
// committed resources of each host without delay.
type naive struct {
	run   *run
	queue []*task
}

func newNaive(r *run) policy {
	n := &naive{run: r}
	return policy{
		submit:        func(_ time.Time, t *task) { n.queue = append(n.queue, t) },
		cancel:        func(_ time.Time, t *task) { n.cancel(t) },
		tick:          func(time.Time) { n.tick() },
		attemptEnded:  func(_ time.Time, t *task, _ *host, o outcome) { n.attemptEnded(t, o) },
		hostSummary:   func(time.Time, *host, apricotwinch.Resources, time.Time) {},
		serviceReport: func(time.Time, *host, float64, time.Time) {},
		taskReport: func(time.Time, *task, *host, apricotwinch.Resources, apricotwinch.Resources, float64, time.Time) {
		},
		hostJoined:       func(time.Time, *host) {},
		hostLeft:         func(time.Time, *host) {},
		setDataCentreOut: func(time.Time, string, bool) {},
	}
}

func (n *naive) cancel(t *task) {
	n.run.result.tickWork++
	t.finished = true
	if t.host != nil {
		n.run.endAttempt(t, lost)
	}
}

func (n *naive) tick() {
	var remaining []*task
	for i, t := range n.queue {
		if i >= naiveTriesPerTick {
			remaining = append(remaining, n.queue[i:]...)
			break
		}
		if !t.finished && !n.tryStart(t) {
			remaining = append(remaining, t)
		}
	}
	n.queue = remaining
}

func (n *naive) tryStart(t *task) bool {
	for _, h := range n.run.hosts {
		if h.up && !n.run.dataCentresOut[h.locality.DataCentre()] && h.committed.Add(t.kind.declared).Fits(hostCapacity) {
			t.attempt++
			return n.run.startAttempt(t, h, t.kind.declared)
		}
	}
	return false
}

func (n *naive) attemptEnded(t *task, o outcome) {
	if t.finished {
		return
	}
	if (o == failed || o == exhausted) && t.attempt >= naiveMaxAttempts {
		t.finished = true
		n.run.result.parked++
		return
	}
	n.queue = append(n.queue, t)
}

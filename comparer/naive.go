package comparer

import (
	"time"

	"apricotwinch"
)

const (
	// naiveAttempts is the number of attempts after which the naive version gives
	// a task up.
	naiveAttempts = 20
	// naiveWindow is the number of waiting tasks that it tries in a tick.
	naiveWindow = 200
)

// naive is first fit on declared sizes, in order of arrival. It knows at once
// what each host has committed.
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
		ended:         func(_ time.Time, t *task, _ *host, how outcome) { n.ended(t, how) },
		summary:       func(time.Time, *host, apricotwinch.Resources, time.Time) {},
		serviceReport: func(time.Time, *host, float64, time.Time) {},
		taskReport: func(time.Time, *task, *host, apricotwinch.Resources, apricotwinch.Resources, float64, time.Time) {
		},
		joined: func(time.Time, *host) {},
		left:   func(time.Time, *host) {},
		outage: func(time.Time, string, bool) {},
	}
}

func (n *naive) cancel(t *task) {
	n.run.result.tickWork++
	t.over = true
	if t.host != nil {
		n.run.end(t, lost)
	}
}

func (n *naive) tick() {
	var left []*task
	for i, t := range n.queue {
		if i >= naiveWindow {
			left = append(left, n.queue[i:]...)
			break
		}
		if !t.over && !n.start(t) {
			left = append(left, t)
		}
	}
	n.queue = left
}

func (n *naive) start(t *task) bool {
	for _, h := range n.run.hosts {
		if h.up && !n.run.out[h.locality.DataCentre()] && h.committed.Add(t.kind.declared).Fits(hostCapacity) {
			t.attempt++
			return n.run.begin(t, h, t.kind.declared)
		}
	}
	return false
}

func (n *naive) ended(t *task, how outcome) {
	if t.over {
		return
	}
	if (how == failed || how == exhausted) && t.attempt >= naiveAttempts {
		t.over = true
		n.run.result.parked++
		return
	}
	n.queue = append(n.queue, t)
}

package observer

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch"
)

// budget is a token bucket for evictions, refilled by batch starts.
type budget struct {
	share float64
	burst float64
	left  float64
}

// earn adds the tokens of one start.
func (b *budget) earn() { b.left = min(b.burst, b.left+b.share) }

// spend takes the token of one eviction and reports whether there was one.
func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// tick is the state of one call of Tick.
type tick struct {
	now       time.Time
	actions   []Action
	steps     int
	evictions int
}

// Tick returns the actions that are due, starting with the hosts with the greatest
// slowdowns: one action per host until its effect shows in reports.
func (o *Observer) Tick(now time.Time) []Action {
	t := &tick{now: now}
	for _, h := range o.rankedHosts() {
		if h.harmedReports >= o.config.HighReports {
			o.stepUp(t, h)
		} else if h.recoveredReports >= h.reportsToRestore {
			o.stepDown(t, h)
		}
	}
	return t.actions
}

// rankedHosts returns the watched hosts, greatest slowdown first.
func (o *Observer) rankedHosts() []*host {
	hosts := make([]*host, 0, len(o.watched))
	for _, h := range o.watched {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		return cmp.Or(cmp.Compare(b.worstSlowdown(), a.worstSlowdown()), cmp.Compare(a.name, b.name))
	})
	return hosts
}

// stepUp throttles the batch work that is expected to cause the greatest slowdown, or
// evicts it if all work that causes enough is throttled already.
func (o *Observer) stepUp(t *tick, h *host) {
	if s := o.mostHarmful(t.now, h, false); s != nil {
		if t.steps < o.config.MaxSteps {
			s.throttle(t.now)
			t.steps++
			if h.restored {
				h.reportsToRestore = min(o.config.MaxLowReports, 2*h.reportsToRestore)
			}
			t.addAction(h, s, Throttle)
		}
		return
	}
	if s := o.mostHarmful(t.now, h, true); s != nil {
		o.tryEvict(t, h, s)
	}
}

// stepDown restores the throttled work that is expected to cause the smallest
// slowdown. If that work is expected to harm critical work again, it is evicted instead
// while the budget allows it.
func (o *Observer) stepDown(t *tick, h *host) {
	s := o.leastHarmful(t.now, h)
	if s == nil {
		delete(o.watched, h.name)
		return
	}
	if o.wouldHarmAgain(t.now, h, s) && o.tryEvict(t, h, s) {
		return
	}
	if t.steps < o.config.MaxSteps {
		s.restore(t.now)
		h.restored = true
		t.steps++
		t.addAction(h, s, Restore)
	}
}

// leastHarmful returns the throttled work that is expected to cause the smallest
// slowdown, or nil if none is throttled.
func (o *Observer) leastHarmful(now time.Time, h *host) *residency {
	var least *residency
	leastCaused := 0.0
	for _, s := range h.residencies {
		if !s.throttled {
			continue
		}
		if caused := o.causedSlowdown(now, h, s); least == nil || caused < leastCaused {
			least, leastCaused = s, caused
		}
	}
	return least
}

// wouldHarmAgain reports whether critical work is expected to be harmed if the given
// work is restored.
func (o *Observer) wouldHarmAgain(now time.Time, h *host, s *residency) bool {
	return h.harmed(o.config, o.causedSlowdown(now, h, s))
}

// tryEvict evicts work if the cap per tick and the budget allow it, and reports whether
// it did.
func (o *Observer) tryEvict(t *tick, h *host, s *residency) bool {
	if t.evictions >= o.config.MaxEvictions || !o.budget.spend() {
		return false
	}
	t.evictions++
	t.addAction(h, s, Evict)
	return true
}

// addAction records an action and restarts the count of consecutive reports.
func (t *tick) addAction(h *host, s *residency, step Step) {
	h.harmedReports, h.recoveredReports = 0, 0
	h.lastStepAt = t.now
	t.actions = append(t.actions, Action{host: h.name, id: s.id, step: step})
}

// mostHarmful returns the present batch work, among the throttled or the unthrottled,
// that is expected to cause the greatest slowdown, or nil if none causes more than
// MinCausedSlowdown.
func (o *Observer) mostHarmful(now time.Time, h *host, throttled bool) *residency {
	var worst *residency
	worstCaused := o.config.MinCausedSlowdown
	for _, s := range h.residencies {
		if !s.until.IsZero() || s.urgency != apricotwinch.Batch || s.throttled != throttled {
			continue
		}
		if caused := o.causedSlowdown(now, h, s); caused > worstCaused {
			worst, worstCaused = s, caused
		}
	}
	return worst
}

// causedSlowdown returns the sum of the excess slowdowns that work is expected to cause
// to the critical work on its host.
func (o *Observer) causedSlowdown(now time.Time, h *host, aggressor *residency) float64 {
	sum := 0.0
	for _, s := range h.residencies {
		if s.until.IsZero() && s.urgency != apricotwinch.Batch {
			sum += o.model.excess(now, o.model.pairOf(s.class, aggressor.class))
		}
	}
	return sum
}

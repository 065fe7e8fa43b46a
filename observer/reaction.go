package observer

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch"
)

// budget is the allowance for evictions, earned by starts.
type budget struct {
	share float64
	burst float64
	left  float64
}

func (b *budget) earn() { b.left = min(b.burst, b.left+b.share) }

// spend takes one eviction from the budget if there is one.
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

// Tick returns the steps that are due, on the hosts with the greatest harm
// first: one step for a host, until its effect shows in reports.
func (o *Observer) Tick(now time.Time) []Action {
	t := &tick{now: now}
	for _, h := range o.ranked() {
		if h.high >= o.config.HighReports {
			o.stepUp(t, h)
		} else if h.low >= h.patience {
			o.stepDown(t, h)
		}
	}
	return t.actions
}

// ranked returns the troubled hosts, the greatest slowdown first.
func (o *Observer) ranked() []*host {
	hosts := make([]*host, 0, len(o.troubled))
	for _, h := range o.troubled {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		return cmp.Or(cmp.Compare(b.worst(), a.worst()), cmp.Compare(a.name, b.name))
	})
	return hosts
}

// stepUp throttles the batch work most to blame, or evicts it when all of the
// work to blame is throttled already.
func (o *Observer) stepUp(t *tick, h *host) {
	if s := o.blamed(t.now, h, false); s != nil {
		if t.steps < o.config.MaxSteps {
			s.throttle(t.now)
			t.steps++
			if h.restored {
				h.patience = min(o.config.MaxLowReports, 2*h.patience)
			}
			t.take(h, s, Throttle)
		}
		return
	}
	if s := o.blamed(t.now, h, true); s != nil {
		o.tryEvict(t, h, s)
	}
}

// stepDown ends the throttle of the work least to blame. Work that is expected
// to do harm again is evicted in place of that while the budget allows.
func (o *Observer) stepDown(t *tick, h *host) {
	s := o.leastBlamed(t.now, h)
	if s == nil {
		delete(o.troubled, h.name)
		return
	}
	if o.harmful(t.now, h, s) && o.tryEvict(t, h, s) {
		return
	}
	if t.steps < o.config.MaxSteps {
		s.restore(t.now)
		h.restored = true
		t.steps++
		t.take(h, s, Restore)
	}
}

// leastBlamed returns the throttled work with the smallest blame.
func (o *Observer) leastBlamed(now time.Time, h *host) *stay {
	var least *stay
	blame := 0.0
	for _, s := range h.stays {
		if !s.throttled {
			continue
		}
		if b := o.blame(now, h, s); least == nil || b < blame {
			least, blame = s, b
		}
	}
	return least
}

// harmful reports whether work, unthrottled, is expected to bring harm back.
func (o *Observer) harmful(now time.Time, h *host, s *stay) bool {
	return h.harmed(o.config, o.blame(now, h, s))
}

// tryEvict evicts work if the caps allow it.
func (o *Observer) tryEvict(t *tick, h *host, s *stay) bool {
	if t.evictions >= o.config.MaxEvictions || !o.budget.spend() {
		return false
	}
	t.evictions++
	t.take(h, s, Evict)
	return true
}

// take records an action; the reports before its effect no longer count.
func (t *tick) take(h *host, s *stay, step Step) {
	h.high, h.low = 0, 0
	h.steppedAt = t.now
	t.actions = append(t.actions, Action{host: h.name, id: s.id, step: step})
}

// blamed returns the batch work with the greatest blame among that which is, or
// is not, throttled; nil when none has enough.
func (o *Observer) blamed(now time.Time, h *host, throttled bool) *stay {
	var worst *stay
	blame := o.config.MinBlame
	for _, s := range h.stays {
		if !s.until.IsZero() || s.urgency != apricotwinch.Batch || s.throttled != throttled {
			continue
		}
		if b := o.blame(now, h, s); b > blame {
			worst, blame = s, b
		}
	}
	return worst
}

// blame returns the slowdowns above 1 that work is expected to cause to the
// critical work on its host.
func (o *Observer) blame(now time.Time, h *host, aggressor *stay) float64 {
	sum := 0.0
	for _, s := range h.stays {
		if s.until.IsZero() && s.urgency != apricotwinch.Batch {
			sum += o.model.excess(now, o.model.pairOf(s.class, aggressor.class))
		}
	}
	return sum
}

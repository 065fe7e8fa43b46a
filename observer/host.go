package observer

import (
	"slices"
	"time"

	"apricotwinch"
)

// residency is the time that a resident spends on a host. until is zero while the
// resident is present.
type residency struct {
	Resident
	since       time.Time
	until       time.Time
	throttled   bool
	throttledAt time.Time
	restoredAt  time.Time
}

func (s *residency) throttle(now time.Time) { s.throttled, s.throttledAt = true, now }

func (s *residency) restore(now time.Time) { s.throttled, s.restoredAt = false, now }

// throttledDuring reports whether the resident was throttled at the given time.
func (s *residency) throttledDuring(at time.Time) bool {
	return !s.throttledAt.IsZero() && !s.throttledAt.After(at) && (s.throttled || !s.restoredAt.Before(at))
}

// host holds the state of the work on one host.
type host struct {
	name             string
	residencies      []*residency
	measurements     map[apricotwinch.AttemptID]measurement // Latest measurement of each critical resident.
	harmedReports    int                                    // Consecutive reports of harm.
	recoveredReports int                                    // Consecutive reports of recovery.
	reportsToRestore int                                    // Consecutive reports of recovery needed to end a throttle.
	restored         bool                                   // Whether work was restored since throttled work last ended.
	lastStepAt       time.Time
}

// presentAt reports whether the resident was on the host at the given time.
func (s *residency) presentAt(at time.Time) bool {
	return !s.since.After(at) && (s.until.IsZero() || s.until.After(at))
}

// findPresent returns the residency of a present resident, or nil.
func (h *host) findPresent(id apricotwinch.AttemptID) *residency {
	at := slices.IndexFunc(h.residencies, func(s *residency) bool { return s.until.IsZero() && s.id == id })
	if at < 0 {
		return nil
	}
	return h.residencies[at]
}

// prune forgets the residencies that ended before the given time.
func (h *host) prune(before time.Time) {
	h.residencies = slices.DeleteFunc(h.residencies, func(s *residency) bool {
		return !s.until.IsZero() && s.until.Before(before)
	})
}

// throttled reports whether some work on the host is throttled.
func (h *host) throttled() bool {
	return slices.ContainsFunc(h.residencies, func(s *residency) bool { return s.until.IsZero() && s.throttled })
}

// undisturbed reports whether no resident was throttled at the given time and none
// started or ended within settle of it.
func (h *host) undisturbed(at time.Time, settle time.Duration) bool {
	return !slices.ContainsFunc(h.residencies, func(s *residency) bool {
		return within(s.since, at, settle) || within(s.until, at, settle) || (s.presentAt(at) && s.throttledDuring(at))
	})
}

// within reports whether event occurred, and less than settle before or after at.
func within(event, at time.Time, settle time.Duration) bool {
	return !event.IsZero() && event.Sub(at).Abs() < settle
}

// measurement is the latest slowdown of one critical resident.
type measurement struct {
	class    *classSpeed
	slowdown float64
}

// classSpeed aggregates critical work of one class, such as the instances of a
// service: their number and the sum of their speeds, as the inverses of their latest
// slowdowns.
type classSpeed struct {
	totalSpeed float64
	count      int
}

// slowdown returns the harmonic mean of the latest slowdowns, so that one very slow
// instance among many can't dominate the result.
func (c *classSpeed) slowdown() float64 {
	if c.count == 0 {
		return 1
	}
	return float64(c.count) / c.totalSpeed
}

// recordSlowdown sets the latest slowdown of a resident.
func (h *host) recordSlowdown(id apricotwinch.AttemptID, c *classSpeed, slowdown float64) {
	h.forgetSlowdown(id)
	slowdown = max(1, slowdown)
	c.totalSpeed += 1 / slowdown
	c.count++
	h.measurements[id] = measurement{class: c, slowdown: slowdown}
}

// forgetSlowdown removes the latest slowdown of a resident.
func (h *host) forgetSlowdown(id apricotwinch.AttemptID) {
	if m, ok := h.measurements[id]; ok {
		m.class.totalSpeed -= 1 / m.slowdown
		m.class.count--
		delete(h.measurements, id)
	}
}

// harmLimit returns the slowdown at which a resident of a class counts as harmed. It
// is lower while the class as a whole is slow, because the other residents then can't
// compensate for a slow one.
func (c Config) harmLimit(class *classSpeed) float64 {
	if class.slowdown() >= c.ClassHigh {
		return c.SlowClassHigh
	}
	return c.High
}

// worstSlowdown returns the greatest of the latest slowdowns of critical work, or 0
// if there are none.
func (h *host) worstSlowdown() float64 {
	worst := 0.0
	for _, m := range h.measurements {
		worst = max(worst, m.slowdown)
	}
	return worst
}

// harmed reports whether the slowdown of any critical work, increased by extra,
// reaches its limit.
func (h *host) harmed(c Config, extra float64) bool {
	for _, m := range h.measurements {
		if m.slowdown+extra >= c.harmLimit(m.class) {
			return true
		}
	}
	return false
}

// recovered reports whether the slowdown of all critical work is at most Low and at
// most its limit.
func (h *host) recovered(c Config) bool {
	for _, m := range h.measurements {
		if m.slowdown > min(c.Low, c.harmLimit(m.class)) {
			return false
		}
	}
	return true
}

package observer

import (
	"slices"
	"time"

	"apricotwinch"
)

// stay is a resident's time on a host; until is zero while it lasts.
type stay struct {
	Resident
	since       time.Time
	until       time.Time
	throttled   bool
	throttledAt time.Time
	restoredAt  time.Time
}

func (s *stay) throttle(now time.Time) { s.throttled, s.throttledAt = true, now }

func (s *stay) restore(now time.Time) { s.throttled, s.restoredAt = false, now }

// throttledDuring reports whether the stay was throttled at a time.
func (s *stay) throttledDuring(at time.Time) bool {
	return !s.throttledAt.IsZero() && !s.throttledAt.After(at) && (s.throttled || !s.restoredAt.Before(at))
}

// host is what is known of the work on one host.
type host struct {
	name      string
	stays     []*stay
	slowdown  map[apricotwinch.AttemptID]measure
	high      int
	low       int
	patience  int
	restored  bool
	steppedAt time.Time
}

// present reports whether the stay covered a time.
func (s *stay) present(at time.Time) bool {
	return !s.since.After(at) && (s.until.IsZero() || s.until.After(at))
}

func (h *host) find(id apricotwinch.AttemptID) *stay {
	at := slices.IndexFunc(h.stays, func(s *stay) bool { return s.until.IsZero() && s.id == id })
	if at < 0 {
		return nil
	}
	return h.stays[at]
}

// prune forgets the stays that ended before a time.
func (h *host) prune(before time.Time) {
	h.stays = slices.DeleteFunc(h.stays, func(s *stay) bool {
		return !s.until.IsZero() && s.until.Before(before)
	})
}

// throttled reports whether some work on the host is throttled.
func (h *host) throttled() bool {
	return slices.ContainsFunc(h.stays, func(s *stay) bool { return s.until.IsZero() && s.throttled })
}

// undisturbed reports whether nothing on the host was throttled at a time, and
// nothing came or went within settle of it.
func (h *host) undisturbed(at time.Time, settle time.Duration) bool {
	return !slices.ContainsFunc(h.stays, func(s *stay) bool {
		return within(s.since, at, settle) || within(s.until, at, settle) || (s.present(at) && s.throttledDuring(at))
	})
}

func within(event, at time.Time, settle time.Duration) bool {
	return !event.IsZero() && event.Sub(at).Abs() < settle
}

// measure is the latest slowdown of critical work.
type measure struct {
	class    *class
	slowdown float64
}

// class is critical work that is taken to be alike, as the instances of a
// service: their number and the sum of the speeds that are left to them.
type class struct {
	speed float64
	count int
}

// slowdown returns the harmonic mean of the latest slowdowns, so that one very
// slow instance of many counts for no more than its own part.
func (c *class) slowdown() float64 {
	if c.count == 0 {
		return 1
	}
	return float64(c.count) / c.speed
}

// record replaces the latest slowdown of a resident.
func (h *host) record(id apricotwinch.AttemptID, c *class, slowdown float64) {
	h.erase(id)
	slowdown = max(1, slowdown)
	c.speed += 1 / slowdown
	c.count++
	h.slowdown[id] = measure{class: c, slowdown: slowdown}
}

// erase forgets the slowdown of a resident.
func (h *host) erase(id apricotwinch.AttemptID) {
	if m, ok := h.slowdown[id]; ok {
		m.class.speed -= 1 / m.slowdown
		m.class.count--
		delete(h.slowdown, id)
	}
}

// limit returns the slowdown of one resident that counts as harm: a smaller one
// while the class as a whole is slow, so that its other residents can't make up
// for it.
func (c Config) limit(of *class) float64 {
	if of.slowdown() >= c.ClassHigh {
		return c.StrainedHigh
	}
	return c.High
}

// worst returns the greatest latest slowdown of critical work.
func (h *host) worst() float64 {
	worst := 0.0
	for _, m := range h.slowdown {
		worst = max(worst, m.slowdown)
	}
	return worst
}

// harmed reports whether some critical work is slowed to its limit, given by how
// much more all of it will be slowed.
func (h *host) harmed(c Config, more float64) bool {
	for _, m := range h.slowdown {
		if m.slowdown+more >= c.limit(m.class) {
			return true
		}
	}
	return false
}

// recovered reports whether all critical work is well below its limit.
func (h *host) recovered(c Config) bool {
	for _, m := range h.slowdown {
		if m.slowdown > min(c.Low, c.limit(m.class)) {
			return false
		}
	}
	return true
}

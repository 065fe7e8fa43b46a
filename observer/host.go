package observer

import (
	"slices"
	"time"

	"apricotwinch"
)

// stay is a resident's time on a host; until is zero while it lasts.
type stay struct {
	Resident
	since     time.Time
	until     time.Time
	throttled bool
}

// host is what is known of the work on one host.
type host struct {
	name      string
	stays     []*stay
	slowdown  map[apricotwinch.AttemptID]float64
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

// worst returns the greatest latest slowdown of critical work.
func (h *host) worst() float64 {
	worst := 0.0
	for _, slowdown := range h.slowdown {
		worst = max(worst, slowdown)
	}
	return worst
}

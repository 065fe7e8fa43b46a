package placer

import (
	"slices"
	"time"

	"apricotwinch"
)

// placement is an attempt that was given a host and has not ended.
type placement struct {
	attempt     apricotwinch.AttemptID
	class       string
	need        apricotwinch.Resources
	host        *host
	reserved    bool
	confirmed   bool
	confirmedAt time.Time
	expires     time.Time
}

// reserve holds the need of pl on its host.
func (p *Placer) reserve(pl *placement) {
	h := pl.host
	pl.reserved = true
	h.reserved = h.reserved.Add(pl.need)
	h.pending = append(h.pending, pl)
	p.reservations = append(p.reservations, pl)
	h.place.refresh(h)
}

// unreserve gives the need of pl back; the caller refreshes the index.
func (pl *placement) unreserve() {
	if !pl.reserved {
		return
	}
	h := pl.host
	pl.reserved = false
	h.reserved = h.reserved.Sub(pl.need)
	h.pending = slices.DeleteFunc(h.pending, func(other *placement) bool { return other == pl })
}

// cover drops the reservations of h that its summary sampled at the given time
// includes.
func (h *host) cover(sampledAt time.Time) {
	for _, pl := range slices.Clone(h.pending) {
		if pl.confirmed && sampledAt.After(pl.confirmedAt) {
			pl.unreserve()
		}
	}
}

// expire drops the reservations, pauses and capacities whose time is over.
func (p *Placer) expire(now time.Time) {
	p.advance(now)
	for len(p.reservations) > 0 && !now.Before(p.reservations[0].expires) {
		pl := p.reservations[0]
		p.reservations = p.reservations[1:]
		if pl.reserved {
			pl.unreserve()
			p.refresh(pl.host)
		}
	}
	for len(p.paused) > 0 && now.Sub(p.paused[0].blockedAt) >= p.config.RefusalPause {
		h := p.paused[0]
		p.paused = p.paused[1:]
		h.blocked = false
		p.refresh(h)
	}
	p.expireHolds(now)
	p.capacities.expire(now)
}

// advance notes the latest time that the placer was told.
func (p *Placer) advance(now time.Time) {
	if now.After(p.latest) {
		p.latest = now
	}
}

// refresh brings the index up to date for a host that is still in the table.
func (p *Placer) refresh(h *host) {
	if p.hosts[h.name] == h {
		h.place.refresh(h)
	}
}

package placer

import (
	"slices"
	"time"

	"apricotwinch"
)

// placement is an attempt that was given a host and has not ended. It counts as a
// reservation until a summary sampled after the agent confirmed the attempt covers it.
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

// reserve reserves the need of pl on its host.
func (p *Placer) reserve(pl *placement) {
	h := pl.host
	pl.reserved = true
	h.reserved = h.reserved.Add(pl.need)
	h.reservations = append(h.reservations, pl)
	p.reservations = append(p.reservations, pl)
	h.dataCentre.refresh(h)
}

// unreserve ends the reservation of pl; the caller updates the index.
func (pl *placement) unreserve() {
	if !pl.reserved {
		return
	}
	h := pl.host
	pl.reserved = false
	h.reserved = h.reserved.Sub(pl.need)
	h.reservations = slices.DeleteFunc(h.reservations, func(other *placement) bool { return other == pl })
}

// dropCovered ends the reservations of h that its summary, sampled at the given time,
// includes.
func (h *host) dropCovered(sampledAt time.Time) {
	for _, pl := range slices.Clone(h.reservations) {
		if pl.confirmed && sampledAt.After(pl.confirmedAt) {
			pl.unreserve()
		}
	}
}

// expire ends the reservations, refusal cooldowns, holds and retained capacities whose time
// has passed.
func (p *Placer) expire(now time.Time) {
	p.observeTime(now)
	for len(p.reservations) > 0 && !now.Before(p.reservations[0].expires) {
		pl := p.reservations[0]
		p.reservations = p.reservations[1:]
		if pl.reserved {
			pl.unreserve()
			p.refresh(pl.host)
		}
	}
	for len(p.refusedHosts) > 0 && now.Sub(p.refusedHosts[0].blockedAt) >= p.config.RefusalCooldown {
		h := p.refusedHosts[0]
		p.refusedHosts = p.refusedHosts[1:]
		h.blocked = false
		p.refresh(h)
	}
	p.expireHolds(now)
	p.capacities.expire(now)
}

// observeTime records the latest time that a caller passed.
func (p *Placer) observeTime(now time.Time) {
	if now.After(p.latestTime) {
		p.latestTime = now
	}
}

// refresh updates the index for a host that the placer still has.
func (p *Placer) refresh(h *host) {
	if p.hosts[h.name] == h {
		h.dataCentre.refresh(h)
	}
}

package placer

import (
	"math"
	"time"

	"apricotwinch"
)

// holdSamples is the number of hosts that one hold compares.
const holdSamples = 64

// hold keeps a host free of other new tasks until an attempt fits on it.
type hold struct {
	attempt apricotwinch.AttemptID
	host    *host
	until   time.Time
}

// Hold keeps a host for an attempt that has waited long and fits no host now: no
// other attempt is placed there until this one fits, which Choose finds, or the
// hold expires. It reports false when no host can be held, or as many as the
// configuration allows are. A second call for the same attempt changes nothing.
func (p *Placer) Hold(now time.Time, r Request) bool {
	p.expire(now)
	if p.holds[r.attempt] != nil {
		return true
	}
	if p.placements[r.attempt] != nil || len(p.holds) >= max(1, int(p.config.HoldShare*float64(len(p.hosts)))) {
		return false
	}
	h := p.nearest(r)
	if h == nil {
		return false
	}
	held := &hold{attempt: r.attempt, host: h, until: now.Add(p.config.HoldLife)}
	h.hold = held
	p.holds[r.attempt] = held
	p.holdQueue = append(p.holdQueue, held)
	p.refresh(h)
	return true
}

// nearest returns the host of a sample that lacks least for the request.
func (p *Placer) nearest(r Request) *host {
	var best *host
	least := math.Inf(1)
	for range holdSamples {
		d := p.dataCentres[p.random.IntN(len(p.dataCentres))]
		if d.out || len(d.hosts) == 0 {
			continue
		}
		h := d.hosts[p.random.IntN(len(d.hosts))]
		if h == nil || !p.holdable(r, h) {
			continue
		}
		if lack := shortage(r.need, h); lack < least {
			best, least = h, lack
		}
	}
	return best
}

// holdable reports whether a host may be held for a request.
func (p *Placer) holdable(r Request, h *host) bool {
	return h.accepts() && h.standing == Open && h.hold == nil &&
		r.need.Fits(h.capacity) && !r.avoids(h.name) &&
		!math.IsInf(p.penalty(&choice{request: r}, h), 1)
}

// shortage returns the greatest part of a resource that a host lacks for need.
func shortage(need apricotwinch.Resources, h *host) float64 {
	lack := need.Sub(h.free())
	return max(
		share(lack.ProcessorMillis(), h.capacity.ProcessorMillis()),
		share(lack.MemoryBytes(), h.capacity.MemoryBytes()),
		share(lack.Accelerators(), h.capacity.Accelerators()),
	)
}

// heldHost returns the host held for an attempt if the attempt fits there now.
func (p *Placer) heldHost(r Request) *host {
	held := p.holds[r.attempt]
	if held == nil || held.host.place.out || held.host.blocked || !held.host.accepts() || !r.need.Fits(held.host.free()) {
		return nil
	}
	return held.host
}

// unhold ends the hold for an attempt.
func (p *Placer) unhold(attempt apricotwinch.AttemptID) {
	held := p.holds[attempt]
	if held == nil {
		return
	}
	delete(p.holds, attempt)
	held.host.hold = nil
	p.refresh(held.host)
}

// expireHolds ends the holds whose time is over.
func (p *Placer) expireHolds(now time.Time) {
	for len(p.holdQueue) > 0 && !now.Before(p.holdQueue[0].until) {
		held := p.holdQueue[0]
		p.holdQueue = p.holdQueue[1:]
		if p.holds[held.attempt] == held {
			p.unhold(held.attempt)
		}
	}
}

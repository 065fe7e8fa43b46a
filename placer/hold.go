package placer

import (
	"math"
	"time"

	"apricotwinch"
)

// holdSamples is the number of hosts that one call of Hold compares.
const holdSamples = 64

// hold keeps a host free for one attempt: no other attempt is placed there until that one
// fits.
type hold struct {
	attempt apricotwinch.AttemptID
	host    *host
	until   time.Time
}

// Hold keeps a host free for an attempt that has waited long and fits on no host now. No
// other attempt is placed on the host until this one fits, and Choose then returns the
// host, or until the hold expires. Hold returns false when no host can be held or the
// maximum number of hosts is held already. A second call for the same attempt changes
// nothing.
func (p *Placer) Hold(now time.Time, r Request) bool {
	p.expire(now)
	if p.holds[r.attempt] != nil {
		return true
	}
	if p.placements[r.attempt] != nil || len(p.holds) >= max(1, int(p.config.MaxHeldShare*float64(len(p.hosts)))) {
		return false
	}
	h := p.smallestShortage(r)
	if h == nil {
		return false
	}
	held := &hold{attempt: r.attempt, host: h, until: now.Add(p.config.HoldTimeout)}
	h.hold = held
	p.holds[r.attempt] = held
	p.holdQueue = append(p.holdQueue, held)
	p.refresh(h)
	return true
}

// smallestShortage returns the host of a random sample that lacks the smallest fraction of
// its resources for the request.
func (p *Placer) smallestShortage(r Request) *host {
	var best *host
	smallest := math.Inf(1)
	for range holdSamples {
		d := p.dataCentres[p.random.IntN(len(p.dataCentres))]
		if d.out || len(d.hosts) == 0 {
			continue
		}
		h := d.hosts[p.random.IntN(len(d.hosts))]
		if h == nil || !p.canHold(r, h) {
			continue
		}
		if missing := shortage(r.need, h); missing < smallest {
			best, smallest = h, missing
		}
	}
	return best
}

// canHold reports whether h can be held for a request.
func (p *Placer) canHold(r Request, h *host) bool {
	return h.accepts() && h.eligibility == Open && h.hold == nil &&
		r.need.Fits(h.capacity) && !r.avoids(h.name) &&
		!math.IsInf(p.penalty(&choice{request: r}, h), 1)
}

// shortage returns the largest fraction of any resource that h lacks for need.
func shortage(need apricotwinch.Resources, h *host) float64 {
	missing := need.Sub(h.free())
	return max(
		ratio(missing.ProcessorMillis(), h.capacity.ProcessorMillis()),
		ratio(missing.MemoryBytes(), h.capacity.MemoryBytes()),
		ratio(missing.Accelerators(), h.capacity.Accelerators()),
	)
}

// heldHost returns the host that is held for the attempt if the attempt fits there now.
func (p *Placer) heldHost(r Request) *host {
	held := p.holds[r.attempt]
	if held == nil || held.host.dataCentre.out || held.host.blocked || !held.host.accepts() || !r.need.Fits(held.host.free()) {
		return nil
	}
	return held.host
}

// releaseHold ends the hold for an attempt.
func (p *Placer) releaseHold(attempt apricotwinch.AttemptID) {
	held := p.holds[attempt]
	if held == nil {
		return
	}
	delete(p.holds, attempt)
	held.host.hold = nil
	p.refresh(held.host)
}

// expireHolds ends the holds whose timeout has passed.
func (p *Placer) expireHolds(now time.Time) {
	for len(p.holdQueue) > 0 && !now.Before(p.holdQueue[0].until) {
		held := p.holdQueue[0]
		p.holdQueue = p.holdQueue[1:]
		if p.holds[held.attempt] == held {
			p.releaseHold(held.attempt)
		}
	}
}

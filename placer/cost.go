package placer

import "apricotwinch"

// cost weighs a candidate without the penalty.
func (p *Placer) cost(c *choice, h *host) float64 {
	w := p.config.Weights
	cost := p.spreadCost(c, h) + failureCost(w, c.failed, h)
	processors, memory, accelerators := p.shares(c.request.need, h)
	cost += w.Load * max(processors, memory, accelerators)
	cost += w.Imbalance * max(processors-memory, memory-processors)
	if h.capacity.Accelerators() > 0 && c.request.need.Accelerators() == 0 {
		cost += w.Accelerator
	}
	return cost
}

// penalty returns the weighed penalty of a candidate.
func (p *Placer) penalty(c *choice, h *host) float64 {
	if p.config.Penalty == nil {
		return 0
	}
	p.neighbors = h.neighbors(p.neighbors)
	return p.config.Weights.Penalty * p.config.Penalty(h.name, c.request.class, p.neighbors)
}

// spreadCost weighs the tasks of the same job nearby.
func (p *Placer) spreadCost(c *choice, h *host) float64 {
	counts := p.spread[c.request.attempt.Job()]
	if len(counts) == 0 {
		return 0
	}
	at := h.places()
	cost := p.config.Weights.Host*float64(counts[at[0]]) + p.config.Weights.Rack*float64(counts[at[1]])
	if counts[at[2]] > c.least {
		cost += p.config.Weights.DataCentre
	}
	return cost
}

// failureCost weighs the racks and data centres in which an attempt failed.
func failureCost(w Weights, failed []apricotwinch.Locality, h *host) float64 {
	cost := 0.0
	for _, l := range failed {
		if dataCentreOf(l) != h.place.locality {
			continue
		}
		cost += w.FailedDataCentre
		if l == h.locality {
			cost += w.FailedRack
		}
	}
	return cost
}

// shares returns the used part of each resource of h with need added.
func (p *Placer) shares(need apricotwinch.Resources, h *host) (processors, memory, accelerators float64) {
	used := h.capacity.Sub(h.free()).Add(need)
	return share(used.ProcessorMillis(), h.capacity.ProcessorMillis()),
		share(used.MemoryBytes(), h.capacity.MemoryBytes()),
		share(used.Accelerators(), h.capacity.Accelerators())
}

func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

package placer

import "apricotwinch"

// cost returns the cost of a candidate without the penalty.
func (p *Placer) cost(c *choice, h *host) float64 {
	w := p.config.Weights
	cost := p.spreadCost(c, h) + failureCost(w, c.failedLocalities, h)
	processors, memory, accelerators := p.utilization(c.request.need, h)
	cost += w.Load * max(processors, memory, accelerators)
	cost += w.Imbalance * max(processors-memory, memory-processors)
	if h.capacity.Accelerators() > 0 && c.request.need.Accelerators() == 0 {
		cost += w.Accelerator
	}
	return cost
}

// penalty returns the weighted penalty of a candidate.
func (p *Placer) penalty(c *choice, h *host) float64 {
	if p.config.Penalty == nil {
		return 0
	}
	p.neighbors = h.neighbors(p.neighbors)
	return p.config.Weights.Penalty * p.config.Penalty(h.name, c.request.class, p.neighbors)
}

// spreadCost returns the cost of tasks of the same job on the same host and rack and in the
// same data centre.
func (p *Placer) spreadCost(c *choice, h *host) float64 {
	counts := p.spread[c.request.attempt.Job()]
	if len(counts) == 0 {
		return 0
	}
	domains := h.failureDomains()
	cost := p.config.Weights.Host*float64(counts[domains[0]]) + p.config.Weights.Rack*float64(counts[domains[1]])
	if counts[domains[2]] > c.fewestTasks {
		cost += p.config.Weights.DataCentre
	}
	return cost
}

// failureCost returns the cost of a host near those on which earlier attempts failed.
func failureCost(w Weights, failed []apricotwinch.Locality, h *host) float64 {
	cost := 0.0
	for _, l := range failed {
		if dataCentreOf(l) != h.dataCentre.locality {
			continue
		}
		cost += w.FailedDataCentre
		if l == h.locality {
			cost += w.FailedRack
		}
	}
	return cost
}

// utilization returns the fraction of each resource of h that would be used with need
// added.
func (p *Placer) utilization(need apricotwinch.Resources, h *host) (processors, memory, accelerators float64) {
	used := h.capacity.Sub(h.free()).Add(need)
	return ratio(used.ProcessorMillis(), h.capacity.ProcessorMillis()),
		ratio(used.MemoryBytes(), h.capacity.MemoryBytes()),
		ratio(used.Accelerators(), h.capacity.Accelerators())
}

func ratio(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

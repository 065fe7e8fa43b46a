package sharer

import (
	"math"
	"time"

	"apricotwinch"
)

// usage is an amount of resources in use, in the units of apricotwinch.Resources.
type usage struct{ processorMillis, memoryBytes, accelerators float64 }

func usageOf(r apricotwinch.Resources) usage {
	return usage{float64(r.ProcessorMillis()), float64(r.MemoryBytes()), float64(r.Accelerators())}
}

// weightedShare returns the weighted dominant share of a usage: the largest fraction that it is of any
// resource of a total, divided by a weight.
func (u usage) weightedShare(total apricotwinch.Resources, weight float64) float64 {
	return max(
		ratio(u.processorMillis, total.ProcessorMillis()),
		ratio(u.memoryBytes, total.MemoryBytes()),
		ratio(u.accelerators, total.Accelerators()),
	) / weight
}

func ratio(used float64, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return used / float64(total)
}

// Recent keeps the weighted dominant shares of groups in the work of the last seconds. Groups that have used
// nothing for long are forgotten. It is not safe for concurrent use.
type Recent struct {
	memory     time.Duration
	total      apricotwinch.Resources
	observedAt time.Time
	groups     map[string]usage
}

// NewRecent returns shares of which an observation loses most of its weight within memory.
func NewRecent(memory time.Duration) *Recent {
	return &Recent{memory: memory, groups: map[string]usage{}}
}

// Observe records the resources that each group holds at the time now, of a total. It counts for the time
// since the last call.
func (r *Recent) Observe(now time.Time, held map[string]apricotwinch.Resources, total apricotwinch.Resources) {
	kept := 0.0
	if !r.observedAt.IsZero() {
		kept = math.Exp(-now.Sub(r.observedAt).Seconds() / r.memory.Seconds())
	}
	r.observedAt, r.total = now, total
	for name := range held {
		if _, known := r.groups[name]; !known {
			r.groups[name] = usage{}
		}
	}
	for name, before := range r.groups {
		sum := before.decayed(usageOf(held[name]), kept)
		if sum.weightedShare(total, 1) < forgottenShare && held[name] == (apricotwinch.Resources{}) {
			delete(r.groups, name)
			continue
		}
		r.groups[name] = sum
	}
}

// forgottenShare is the share below which a group that holds nothing is forgotten. It changes no order.
const forgottenShare = 1e-6

// decayed returns the usage of which a part, 0 to 1, is kept, and the rest replaced by what is held now.
func (u usage) decayed(held usage, kept float64) usage {
	return usage{
		processorMillis: kept*u.processorMillis + (1-kept)*held.processorMillis,
		memoryBytes:     kept*u.memoryBytes + (1-kept)*held.memoryBytes,
		accelerators:    kept*u.accelerators + (1-kept)*held.accelerators,
	}
}

// Share returns the weighted dominant share of a group in the work of the last seconds. The weight must be above 0.
func (r *Recent) Share(name string, weight float64) float64 {
	return r.groups[name].weightedShare(r.total, weight)
}

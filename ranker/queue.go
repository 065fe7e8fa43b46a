package ranker

import (
	"math"
	"slices"
	"time"
)

// queue is what is remembered of the best-effort workloads of a queue.
type queue struct {
	// sizes holds the work, in processor seconds, of the latest workloads; next is the index of the
	// oldest of them once there are Config.Sizes.
	sizes []float64
	next  int
	// mean is the mean of sizes, and large the size above which a workload counts as large.
	mean, large float64
	changed     bool
	// ended and inTime count, with decay, the workloads that ended or became worthless, and those of
	// them that were in time; endedLarge and inTimeLarge the large ones among them.
	ended, inTime, endedLarge, inTimeLarge float64
	decayedAt                              time.Time
}

func (r *Ranker) queueOf(name string) *queue {
	q := r.queues[name]
	if q == nil {
		q = &queue{}
		r.queues[name] = q
	}
	return q
}

// observeArrivals adds the sizes of the workloads that are ranked for the first time, which are in
// the order of acceptance.
func (r *Ranker) observeArrivals(now time.Time, entries []*entry) {
	for _, e := range entries {
		if e.candidate.Previous.Feasibility == NotRanked {
			r.queueOf(e.candidate.Queue).addSize(e.candidate.Total.ProcessorSeconds, r.config.Sizes)
		}
	}
	for _, e := range entries {
		q := r.queues[e.candidate.Queue]
		if q == nil {
			q = r.queueOf(e.candidate.Queue)
		}
		q.update(now, r.config)
	}
}

func (q *queue) addSize(size float64, limit int) {
	q.changed = true
	if len(q.sizes) < limit {
		q.sizes = append(q.sizes, size)
		return
	}
	q.sizes[q.next] = size
	q.next = (q.next + 1) % limit
}

// update computes the mean and the bound of large workloads anew after a change, and lets what was
// counted decay.
func (q *queue) update(now time.Time, config Config) {
	if q.changed {
		q.changed = false
		sorted := slices.Sorted(slices.Values(q.sizes))
		sum := 0.0
		for _, size := range sorted {
			sum += size
		}
		q.mean = sum / float64(len(sorted))
		q.large = sorted[int(float64(len(sorted)-1)*(1-config.LargeShare))]
	}
	if q.decayedAt.IsZero() {
		q.decayedAt = now
	}
	if elapsed := now.Sub(q.decayedAt); elapsed > 0 {
		q.decayedAt = now
		kept := math.Exp2(-elapsed.Seconds() / config.ServiceHalfLife.Seconds())
		for _, count := range []*float64{&q.ended, &q.inTime, &q.endedLarge, &q.inTimeLarge} {
			*count *= kept
		}
	}
}

// count counts a workload that ended or became worthless.
func (q *queue) count(size float64, inTime bool) {
	large := size > q.large
	q.ended++
	if inTime {
		q.inTime++
	}
	if large {
		q.endedLarge++
	}
	if large && inTime {
		q.inTimeLarge++
	}
}

// starvesLarge reports whether fewer of the large workloads end in time than must.
func (q *queue) starvesLarge(config Config) bool {
	return q.endedLarge >= config.MinLargeEnds && q.inTimeLarge*q.ended < config.LargeService*q.inTime*q.endedLarge
}

// value returns what the end in time of a workload is worth, by its work relative to its queue's.
func (q *queue) value(size float64, config Config) float64 {
	if q.mean <= 0 {
		return config.BaseValue + config.SizeValue
	}
	return min(config.MaxValue, config.BaseValue+config.SizeValue*size/q.mean)
}

// CountEnd counts a best-effort workload that has ended, with the work that it had in all. One that
// was ranked as infeasible was counted then, and is ignored.
func (r *Ranker) CountEnd(now time.Time, name string, total Work, last Ranked, inTime bool) {
	r.service.done += last.left
	if last.Feasibility == NotRanked || last.Feasibility == Infeasible {
		return
	}
	q := r.queueOf(name)
	q.update(now, r.config)
	q.count(total.ProcessorSeconds, inTime)
}

// observeHopeless counts the workloads that have become infeasible, once each unless they recover.
func (r *Ranker) observeHopeless(now time.Time, entries []*entry) {
	for _, e := range entries {
		if e.ranked.Feasibility == Infeasible && e.candidate.Previous.Feasibility != Infeasible && e.candidate.Objective > 0 {
			q := r.queueOf(e.candidate.Queue)
			q.update(now, r.config)
			q.count(e.candidate.Total.ProcessorSeconds, false)
		}
	}
}

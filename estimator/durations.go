package estimator

import (
	"container/list"
	"math"
	"time"
)

// ratioScale is the ratio of an actual to a declared duration, in the thousandths that a histogram holds, of a task that
// takes as long as declared.
const ratioScale = 1000

// Durations learns how long tasks take at full speed, as quantiles of the ratio of the actual to the declared duration.
//
// The ratios of a class are mixed with those of its queue, these with the ones of all tasks, and these with a prior
// around the declared duration: the wider view counts for a few samples of the narrower one. Old samples weigh less. It
// does no I/O and takes the time as an argument. It is not safe for concurrent use.
type Durations struct {
	config DurationsConfig
	all    *durationHistory
	// histories holds those of classes and queues, and recent the same, most recently observed first.
	histories map[durationScope]*list.Element
	recent    *list.List
	// changed holds the histories of classes with samples that Changed hasn't looked at.
	changed []*durationHistory
}

// durationHistory holds the observed ratios of one scope.
type durationHistory struct {
	scope      durationScope
	ratios     histogram
	declared   time.Duration // Of the latest sample.
	observedAt time.Time
	cached     [cachedQuantiles]cachedQuantile
	// isChanged is whether the history is in Durations.changed, and isDropped whether it was forgotten.
	isChanged, isDropped bool
	// told is what Changed last returned of the class.
	told DurationBelief
}

// cachedQuantile is a ratio that was computed at a time; the zero value holds none.
type cachedQuantile struct {
	q, ratio   float64
	computedAt time.Time
}

const (
	// cachedQuantiles is the number of quantiles of a scope that are kept, and cacheTTL is for how long. A quantile takes
	// about a microsecond, and each report asks for one for each run.
	cachedQuantiles = 4
	cacheTTL        = 500 * time.Millisecond
)

// NewDurations returns durations that have observed nothing.
func NewDurations(config DurationsConfig) *Durations {
	return &Durations{
		config: config, all: &durationHistory{scope: durationScope{level: levelAll}},
		histories: map[durationScope]*list.Element{}, recent: list.New(),
	}
}

// Observe records a task that took an actual time at full speed. Durations that are not positive are ignored.
func (d *Durations) Observe(now time.Time, class DurationClass, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	ratio := ratioScale * float64(actual) / float64(declared)
	for _, h := range d.scopes(class) {
		h.ratios.add(now, ratio, false, d.config.HalfLife)
		h.declared, h.observedAt = declared, now
		h.cached = [cachedQuantiles]cachedQuantile{}
		if h.scope.level == levelClass && !h.isChanged {
			h.isChanged = true
			d.changed = append(d.changed, h)
		}
	}
}

// scopes returns the histories of a class, its queue and all tasks, which it adds if need be. The queue counts as
// observed after the class, so that it is not forgotten before it.
func (d *Durations) scopes(class DurationClass) [3]*durationHistory {
	return [3]*durationHistory{
		d.touch(durationScope{level: levelClass, class: class}), d.touch(queueScope(class.Queue)), d.all,
	}
}

// touch returns the history of a scope and marks it as the most recently observed one. It adds an unknown scope and
// forgets the least recently observed one if there are too many.
func (d *Durations) touch(scope durationScope) *durationHistory {
	if scope.level == levelAll {
		return d.all
	}
	if element := d.histories[scope]; element != nil {
		d.recent.MoveToFront(element)
		return element.Value.(*durationHistory)
	}
	h := &durationHistory{scope: scope, told: d.priorBelief(scope.class)}
	d.histories[scope] = d.recent.PushFront(h)
	if oldest := d.recent.Back(); d.recent.Len() > d.config.MaxClasses {
		d.recent.Remove(oldest)
		forgotten := oldest.Value.(*durationHistory)
		forgotten.isDropped = true
		delete(d.histories, forgotten.scope)
	}
	return h
}

// Quantile returns the q-quantile, 0 to 1, of the time that a task of a class takes at full speed, to 8%. Of two
// quantiles that are closer than that, the greater may come out lower.
func (d *Durations) Quantile(now time.Time, class DurationClass, declared time.Duration, q float64) time.Duration {
	return time.Duration(d.ratio(now, class, q) * float64(declared))
}

// Prior returns the q-quantile, 0 to 1, of the time that a task takes at full speed of which nothing is known.
func (d *Durations) Prior(declared time.Duration, q float64) time.Duration {
	return time.Duration(d.priorRatio(q) * float64(declared))
}

// ratio returns the q-quantile of the ratios of a class.
func (d *Durations) ratio(now time.Time, class DurationClass, q float64) float64 {
	ratio, ok := d.all.cachedRatio(now, q)
	if !ok {
		ratio = d.mix(now, d.all, q, d.priorRatio(q))
	}
	for _, scope := range [...]durationScope{queueScope(class.Queue), {level: levelClass, class: class}} {
		element := d.histories[scope]
		if element == nil {
			continue
		}
		h := element.Value.(*durationHistory)
		if cached, ok := h.cachedRatio(now, q); ok {
			ratio = cached
			continue
		}
		ratio = d.mix(now, h, q, ratio)
	}
	return ratio
}

// cachedRatio returns the q-quantile of the ratios of a scope that was computed lately; false for none.
func (h *durationHistory) cachedRatio(now time.Time, q float64) (float64, bool) {
	for _, c := range h.cached {
		if c.q == q && !c.computedAt.IsZero() && now.Sub(c.computedAt).Abs() < cacheTTL {
			return c.ratio, true
		}
	}
	return 0, false
}

// mix returns the q-quantile of the ratios of a scope, given that of the wider one.
func (d *Durations) mix(now time.Time, h *durationHistory, q, prior float64) float64 {
	free := 0
	for i := range h.cached {
		if h.cached[i].computedAt.Before(h.cached[free].computedAt) {
			free = i
		}
	}
	mixed := h.ratios.quantile(now, q, d.config.PriorSamples, ratioScale*prior, d.config.HalfLife)
	ratio := min(max(mixed.millis/ratioScale, d.config.MinRatio), d.config.MaxRatio)
	h.cached[free] = cachedQuantile{q: q, ratio: ratio, computedAt: now}
	return ratio
}

// priorRatio returns the q-quantile of the ratio of a task of which nothing is known: a log-normal distribution around
// the declared duration.
func (d *Durations) priorRatio(q float64) float64 {
	deviations := math.Sqrt2 * math.Erfinv(2*q-1)
	return min(max(math.Exp(deviations*math.Log(d.config.PriorSpread)), d.config.MinRatio), d.config.MaxRatio)
}

// Classes returns the number of classes and queues remembered.
func (d *Durations) Classes() int { return len(d.histories) }

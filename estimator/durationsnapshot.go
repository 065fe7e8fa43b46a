package estimator

import (
	"math"
	"slices"
	"time"

	"apricotwinch"
)

// maxChanged bounds the classes that Changed looks at in one call, which takes a few microseconds for each.
const maxChanged = 256

// Quantiles by which a belief is judged.
const (
	medianQuantile = 0.5
	highQuantile   = 0.9
)

// DurationBelief is what is known of the durations of a class.
type DurationBelief struct {
	Class DurationClass
	// Declared is the duration that the latest sample declared.
	Declared time.Duration
	// Median and High are the quantiles 0.5 and 0.9 of the ratio of the actual to the declared duration.
	Median, High float64
	// Samples is the decayed number of samples, and Age the time since the latest one.
	Samples float64
	Age     time.Duration
}

// Changed returns the beliefs of which a quantile has changed by a factor, or its inverse, since it was last returned,
// at first since the prior, in order of their classes.
func (d *Durations) Changed(now time.Time, factor float64) []DurationBelief {
	var beliefs []DurationBelief
	looked := min(len(d.changed), maxChanged)
	for _, h := range d.changed[:looked] {
		h.isChanged = false
		if h.isDropped {
			continue
		}
		belief := d.belief(now, h)
		if differs(belief.Median, h.told.Median, factor) || differs(belief.High, h.told.High, factor) {
			h.told = belief
			beliefs = append(beliefs, belief)
		}
	}
	d.changed = slices.Delete(d.changed, 0, looked)
	slices.SortFunc(beliefs, func(a, b DurationBelief) int { return a.Class.compare(b.Class) })
	return beliefs
}

func differs(a, b, factor float64) bool { return a >= b*factor || b >= a*factor }

func (d *Durations) belief(now time.Time, h *durationHistory) DurationBelief {
	return DurationBelief{
		Class: h.scope.class, Declared: h.declared, Samples: h.samples(now, d.config.HalfLife), Age: now.Sub(h.observedAt),
		Median: d.ratio(now, h.scope.class, medianQuantile), High: d.ratio(now, h.scope.class, highQuantile),
	}
}

// priorBelief returns the belief of a class of which nothing is known.
func (d *Durations) priorBelief(class DurationClass) DurationBelief {
	return DurationBelief{Class: class, Median: d.priorRatio(medianQuantile), High: d.priorRatio(highQuantile)}
}

// samples returns the decayed number of samples.
func (h *durationHistory) samples(now time.Time, halfLife time.Duration) float64 {
	if h.ratios.total == 0 {
		return 0
	}
	return h.ratios.total / h.ratios.weightAt(now, halfLife)
}

// Scope says which tasks a DurationSnapshot is of.
type Scope string

// The scopes. The class of the snapshot of a queue has no other field set, that of all tasks none.
const (
	ScopeAll   Scope = "all"
	ScopeQueue Scope = "queue"
	ScopeClass Scope = "class"
)

// scopes holds the scope of each level.
var scopes = [...]Scope{levelAll: ScopeAll, levelQueue: ScopeQueue, levelClass: ScopeClass}

// DurationSnapshot is the observed ratios of a class, of a queue or of all tasks.
type DurationSnapshot struct {
	Scope Scope
	Class DurationClass
	// Declared is the duration that the latest sample declared.
	Declared time.Duration
	// Ratios holds ratios of actual to declared durations, in thousandths, and Weights the decayed number of samples
	// of each, in thousandths.
	Ratios, Weights []int
}

// Snapshot returns what was observed of all tasks and of the classes and queues that were observed last, all in a fixed
// order.
func (d *Durations) Snapshot(now time.Time) []DurationSnapshot {
	snapshots := []DurationSnapshot{d.all.snapshot(now, d.config.HalfLife)}
	for element := d.recent.Front(); element != nil && len(snapshots) <= d.config.MaxRecorded; element = element.Next() {
		snapshots = append(snapshots, element.Value.(*durationHistory).snapshot(now, d.config.HalfLife))
	}
	return snapshots
}

func (h *durationHistory) snapshot(now time.Time, halfLife time.Duration) DurationSnapshot {
	s := DurationSnapshot{Scope: scopes[h.scope.level], Class: h.scope.class, Declared: h.declared}
	if h.ratios.total == 0 {
		return s
	}
	current := h.ratios.weightAt(now, halfLife)
	for bucket, weight := range h.ratios.exact {
		if thousandths := int(math.Round(ratioScale * float64(weight) / current)); thousandths > 0 {
			s.Ratios = append(s.Ratios, int(math.Round(valueWithin(bucket, 0.5))))
			s.Weights = append(s.Weights, thousandths)
		}
	}
	return s
}

// maxRestoredWeight bounds a restored weight, in thousandths of a sample.
const maxRestoredWeight = 1_000_000_000

// Restore adds what another owner observed, as if the time between had not passed. It fails with kind Invalid, and
// restores nothing, for snapshots that Snapshot doesn't return.
func (d *Durations) Restore(now time.Time, snapshots []DurationSnapshot) error {
	for _, s := range snapshots {
		if !slices.Contains(scopes[:], s.Scope) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "scope: %q is not one of %v", s.Scope, scopes)
		}
		if len(s.Ratios) != len(s.Weights) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "weights: has %d items for %d ratios", len(s.Weights), len(s.Ratios))
		}
		for i, weight := range s.Weights {
			if weight <= 0 || weight > maxRestoredWeight || s.Ratios[i] <= 0 {
				return apricotwinch.Errorf(apricotwinch.Invalid, "weights: %d of ratio %d is out of range", weight, s.Ratios[i])
			}
		}
	}
	for _, s := range slices.Backward(snapshots) {
		h := d.touch(durationScope{level: durationLevel(slices.Index(scopes[:], s.Scope)), class: s.Class})
		h.declared, h.observedAt = s.Declared, now
		for i, weight := range s.Weights {
			h.ratios.addWeighted(now, float64(s.Ratios[i]), float64(weight)/ratioScale, d.config.HalfLife)
		}
	}
	for _, element := range d.histories {
		h := element.Value.(*durationHistory)
		if h.scope.level == levelClass {
			h.told = d.belief(now, h)
		}
	}
	return nil
}

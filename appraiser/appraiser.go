// Package appraiser estimates the interference of best-effort work with serving work, for each
// pair of images, from tail latencies that lag behind their cause.
//
// The headroom of a serving task is its target divided by its tail latency: 1 at the target,
// more below it. The tail latency of a queue grows as 1/(1-load), so that the headroom falls
// linearly with the load and with the interference. The interference of a pair shows when the
// share of the best-effort work changes between two samples, while the load, which changes
// slowly, hardly does.
//
// An Appraiser does no I/O and takes the time as an argument. It is not safe for concurrent
// use.
package appraiser

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the parameters of an Appraiser.
type Config struct {
	// Prior is the interference of a pair without samples: the headroom that one best-effort task
	// at full speed takes from a serving task.
	Prior float64
	// PriorWeight is the weight of the prior, as a sum of squared changes of share.
	PriorWeight float64
	// RestoredWeight is the weight of an estimate of an earlier appraiser, in the same unit.
	RestoredWeight float64
	// MaxWeight bounds the weight of earlier samples, since interference changes with time.
	MaxWeight float64
	// SaturatedHeadroom is the headroom below which a tail latency hardly grows with the load any
	// more, so that samples show too little interference.
	SaturatedHeadroom float64
	// MinChange is the least sum of the squared changes of shares for which a sample counts.
	MinChange float64
	// TailLag is the time constant with which a tail latency follows a change of the interference.
	TailLag time.Duration
	// MaxShareDrop is the greatest drop of a share, 0 to 1, with which a sample counts.
	MaxShareDrop float64
	// MinInterval is the least time between two samples of an executor, MaxInterval the greatest
	// after which they can still be compared.
	MinInterval, MaxInterval time.Duration
	// MaxInterference bounds an estimate. Headroom is bounded by MaxHeadroom, so that no task can
	// take more than that.
	MaxInterference float64
	// MaxHeadroom bounds the headroom: far below the target, measured tail latencies are
	// inaccurate.
	MaxHeadroom float64
}

// DefaultConfig returns the configuration used by the owner.
func DefaultConfig() Config {
	return Config{
		Prior:             0.35,
		PriorWeight:       0.3,
		RestoredWeight:    3,
		MaxWeight:         10,
		TailLag:           250 * time.Millisecond,
		MaxShareDrop:      0.12,
		SaturatedHeadroom: 0.4,
		MinChange:         0.02,
		MinInterval:       250 * time.Millisecond,
		MaxInterval:       1500 * time.Millisecond,
		MaxInterference:   4,
		MaxHeadroom:       4,
	}
}

// Serving is a serving task in a sample.
type Serving struct {
	// Task identifies the task among those of its executor.
	Task string
	// Image is the image that the task runs.
	Image string
	// Headroom is the task's latency target divided by its tail latency.
	Headroom float64
}

// Pair holds the images of a serving task and of a best-effort task beside it.
type Pair struct {
	Serving    string
	BestEffort string
}

// Estimate is the estimated interference of a pair.
type Estimate struct {
	Pair         Pair
	Interference float64
}

// sample is the latest sample of an executor: headrooms by task and shares by image.
type sample struct {
	at       time.Time
	headroom map[string]float64
	shares   map[string]float64
}

// Appraiser holds the estimates of all pairs, and the latest sample of each executor.
type Appraiser struct {
	config      Config
	estimates   map[Pair]*pairEstimate
	lastSamples map[string]sample
}

// pairEstimate is the estimated interference of a pair, with the weight of the samples behind
// it.
type pairEstimate struct {
	interference float64
	weight       float64
}

// New returns an appraiser without estimates.
func New(config Config) *Appraiser {
	return &Appraiser{config: config, estimates: map[Pair]*pairEstimate{}, lastSamples: map[string]sample{}}
}

// Interference returns the estimated headroom that one best-effort task at full speed takes from
// a serving task, given their images.
func (a *Appraiser) Interference(serving, bestEffort string) float64 {
	if estimate := a.estimates[Pair{Serving: serving, BestEffort: bestEffort}]; estimate != nil {
		return estimate.interference
	}
	return a.config.Prior
}

// Estimates returns the estimates of all pairs with samples, ordered by their images.
func (a *Appraiser) Estimates() []Estimate {
	estimates := make([]Estimate, 0, len(a.estimates))
	for pair, estimate := range a.estimates {
		estimates = append(estimates, Estimate{Pair: pair, Interference: estimate.interference})
	}
	slices.SortFunc(estimates, func(x, y Estimate) int {
		return cmp.Or(cmp.Compare(x.Pair.Serving, y.Pair.Serving), cmp.Compare(x.Pair.BestEffort, y.Pair.BestEffort))
	})
	return estimates
}

// Restore takes the estimates of an earlier appraiser. They count for less than what is measured
// from now on.
func (a *Appraiser) Restore(estimates []Estimate) {
	for _, estimate := range estimates {
		a.estimates[estimate.Pair] = &pairEstimate{interference: estimate.Interference, weight: a.config.RestoredWeight}
	}
}

// Observe takes a sample of an executor: its serving tasks, and, by image, the sum of the
// shares of full speed at which best-effort tasks work.
func (a *Appraiser) Observe(now time.Time, executor string, serving []Serving, shares map[string]float64) {
	before, ok := a.lastSamples[executor]
	if ok && now.Sub(before.at) < a.config.MinInterval {
		return
	}
	current := sample{at: now, headroom: make(map[string]float64, len(serving)), shares: shares}
	for _, s := range serving {
		current.headroom[s.Task] = min(s.Headroom, a.config.MaxHeadroom)
	}
	a.lastSamples[executor] = current
	if !ok || now.Sub(before.at) > a.config.MaxInterval {
		return
	}
	changes, weight := shareChanges(before.shares, shares)
	if weight < a.config.MinChange || !a.noShareDropped(changes) {
		return
	}
	for _, s := range serving {
		if old, ok := before.headroom[s.Task]; ok {
			// A tail latency lags, so that the sample shows only part of the change.
			shownPart := 1 - math.Exp(-now.Sub(before.at).Seconds()/a.config.TailLag.Seconds())
			a.update(s.Image, changes, weight, old, old+(current.headroom[s.Task]-old)/shownPart)
		}
	}
}

// Forget drops the latest sample of an executor that is gone.
func (a *Appraiser) Forget(executor string) { delete(a.lastSamples, executor) }

// noShareDropped reports whether no share dropped by more than MaxShareDrop. A tail latency
// takes a second to recover after its cause is gone, so that a drop shows too little
// interference.
func (a *Appraiser) noShareDropped(changes map[string]float64) bool {
	for _, change := range changes {
		if change < -a.config.MaxShareDrop {
			return false
		}
	}
	return true
}

// shareChanges returns the change of each share, and the sum of their squares.
func shareChanges(before, after map[string]float64) (map[string]float64, float64) {
	changes := make(map[string]float64, len(after))
	for image, share := range after {
		changes[image] = share
	}
	for image, share := range before {
		changes[image] -= share
	}
	sum := 0.0
	for _, change := range changes {
		sum += change * change
	}
	return changes, sum
}

// update corrects the estimates for a serving image by the error of the predicted change of
// headroom. The greater the weight of a pair, the less one sample changes its estimate.
func (a *Appraiser) update(serving string, changes map[string]float64, weight, before, after float64) {
	predicted, totalChange := 0.0, 0.0
	for image, c := range changes {
		predicted += a.Interference(serving, image) * c
		totalChange += c
	}
	residual := before - after - predicted
	if min(before, after) < a.config.SaturatedHeadroom && residual*totalChange < 0 {
		return
	}
	for image, c := range changes {
		pair := Pair{Serving: serving, BestEffort: image}
		estimate := a.estimates[pair]
		if estimate == nil {
			estimate = &pairEstimate{interference: a.config.Prior}
			a.estimates[pair] = estimate
		}
		estimate.weight = min(estimate.weight+c*c, a.config.MaxWeight)
		estimate.interference += residual * c / (estimate.weight + a.config.PriorWeight + weight - c*c)
		estimate.interference = min(max(estimate.interference, 0), a.config.MaxInterference)
	}
}

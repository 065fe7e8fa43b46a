// Package appraiser learns how much work that fills presses on work that serves,
// for each pair of images, from lagged tail latencies.
//
// The headroom of a serving task is its target divided by its tail: 1 at the
// target, more below it. A queue's tail grows as 1/(1-load), so that headroom
// falls in a straight line with the load and with whatever presses. What a pair
// costs shows when the share of the filling work changes between two samples,
// while the load, which changes slowly, hardly does.
//
// An Appraiser does no I/O and takes the time as an argument. It is not safe for
// concurrent use.
package appraiser

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the bounds of an Appraiser.
type Config struct {
	// Prior is the press of a pair that was never measured: the headroom that one
	// filling task at full speed takes.
	Prior float64
	// PriorWeight is how much the prior counts, as a sum of squared changes of share.
	PriorWeight float64
	// RestoredWeight is what the belief of an earlier appraiser counts.
	RestoredWeight float64
	// MaxWeight bounds what earlier samples count: presses change with time.
	MaxWeight float64
	// Saturated is the headroom below which a tail grows no further with the load, so
	// that it shows too small a press.
	Saturated float64
	// MinChange is the least change of shares, squared and summed, that counts.
	MinChange float64
	// Lag is the time constant with which a tail follows what presses on it.
	Lag time.Duration
	// MaxFall is the fall of a share up to which a sample counts.
	MaxFall float64
	// Between is the least time between two samples of an executor, MaxGap the
	// greatest that still tells a difference.
	Between, MaxGap time.Duration
	// MaxPress bounds a press; a tail is never said to be better than 4 times under
	// its target by a neighbor.
	MaxPress float64
	// MaxHeadroom bounds the headroom: far below the target, figures are rough.
	MaxHeadroom float64
}

// DefaultConfig returns the bounds used by the owner.
func DefaultConfig() Config {
	return Config{
		Prior:          0.35,
		PriorWeight:    0.3,
		RestoredWeight: 3,
		MaxWeight:      10,
		Lag:            250 * time.Millisecond,
		MaxFall:        0.12,
		Saturated:      0.4,
		MinChange:      0.02,
		Between:        250 * time.Millisecond,
		MaxGap:         1500 * time.Millisecond,
		MaxPress:       4,
		MaxHeadroom:    4,
	}
}

// Serving is one serving task in a sample.
type Serving struct {
	// Task tells the tasks of an executor apart.
	Task string
	// Image is what it runs.
	Image string
	// Headroom is its target divided by its tail.
	Headroom float64
}

// Pair is work that serves and work that fills, by their images.
type Pair struct {
	Serving string
	Filling string
}

// Belief is the press of a pair.
type Belief struct {
	Pair  Pair
	Press float64
}

// sample is the latest sample of an executor.
type sample struct {
	at       time.Time
	headroom map[string]float64
	shares   map[string]float64
}

// Appraiser is what was learned.
type Appraiser struct {
	config  Config
	beliefs map[Pair]*belief
	latest  map[string]sample
}

// belief is the press of a pair, and how much was measured of it.
type belief struct {
	press  float64
	weight float64
}

// New returns an appraiser that has learned nothing.
func New(config Config) *Appraiser {
	return &Appraiser{config: config, beliefs: map[Pair]*belief{}, latest: map[string]sample{}}
}

// Press returns the headroom that one filling task at full speed takes from a
// serving task.
func (a *Appraiser) Press(serving, filling string) float64 {
	if b := a.beliefs[Pair{Serving: serving, Filling: filling}]; b != nil {
		return b.press
	}
	return a.config.Prior
}

// Beliefs returns what was learned of each pair, in order.
func (a *Appraiser) Beliefs() []Belief {
	beliefs := make([]Belief, 0, len(a.beliefs))
	for pair, b := range a.beliefs {
		beliefs = append(beliefs, Belief{Pair: pair, Press: b.press})
	}
	slices.SortFunc(beliefs, func(x, y Belief) int {
		return cmp.Or(cmp.Compare(x.Pair.Serving, y.Pair.Serving), cmp.Compare(x.Pair.Filling, y.Pair.Filling))
	})
	return beliefs
}

// Restore takes what an earlier appraiser had learned; it counts for less than
// what is measured now.
func (a *Appraiser) Restore(beliefs []Belief) {
	for _, b := range beliefs {
		a.beliefs[b.Pair] = &belief{press: b.Press, weight: a.config.RestoredWeight}
	}
}

// Observe takes a sample of an executor: its serving tasks, and by image the sum
// of the shares of full speed at which filling tasks work.
func (a *Appraiser) Observe(now time.Time, executor string, serving []Serving, shares map[string]float64) {
	before, ok := a.latest[executor]
	if ok && now.Sub(before.at) < a.config.Between {
		return
	}
	current := sample{at: now, headroom: make(map[string]float64, len(serving)), shares: shares}
	for _, s := range serving {
		current.headroom[s.Task] = min(s.Headroom, a.config.MaxHeadroom)
	}
	a.latest[executor] = current
	if !ok || now.Sub(before.at) > a.config.MaxGap {
		return
	}
	changes, weight := difference(before.shares, shares)
	if weight < a.config.MinChange || !a.rises(changes) {
		return
	}
	for _, s := range serving {
		if old, ok := before.headroom[s.Task]; ok {
			// The sample shows a part of the change only.
			shown := 1 - math.Exp(-now.Sub(before.at).Seconds()/a.config.Lag.Seconds())
			a.learn(s.Image, changes, weight, old, old+(current.headroom[s.Task]-old)/shown)
		}
	}
}

// Forget drops the latest sample of an executor that is gone.
func (a *Appraiser) Forget(executor string) { delete(a.latest, executor) }

// rises reports whether no share fell: a tail drains for a second after its cause
// has gone, so that a fall shows too small a press.
func (a *Appraiser) rises(changes map[string]float64) bool {
	for _, change := range changes {
		if change < -a.config.MaxFall {
			return false
		}
	}
	return true
}

// difference returns how the shares changed, and the sum of the squares.
func difference(before, after map[string]float64) (map[string]float64, float64) {
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

// learn corrects the presses on an image by the error of the predicted change. The
// more a pair was measured, the less one sample counts.
func (a *Appraiser) learn(serving string, changes map[string]float64, weight, before, after float64) {
	predicted, total := 0.0, 0.0
	for image, c := range changes {
		predicted += a.Press(serving, image) * c
		total += c
	}
	wrong := before - after - predicted
	if min(before, after) < a.config.Saturated && wrong*total < 0 {
		return
	}
	for image, c := range changes {
		pair := Pair{Serving: serving, Filling: image}
		b := a.beliefs[pair]
		if b == nil {
			b = &belief{press: a.config.Prior}
			a.beliefs[pair] = b
		}
		b.weight = min(b.weight+c*c, a.config.MaxWeight)
		b.press += wrong * c / (b.weight + a.config.PriorWeight + weight - c*c)
		b.press = min(max(b.press, 0), a.config.MaxPress)
	}
}

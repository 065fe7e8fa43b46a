package estimator

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of a histogram.
	buckets = 128
	// smallestMillis is the upper bound of the first bucket.
	smallestMillis = 10.0
	// bucketGrowth is the ratio of the bounds of neighboring buckets.
	bucketGrowth = 1.08
	// rescaleHalfLives bounds the exponent of a weight.
	rescaleHalfLives = 60
	// roundingSlack keeps the rounding of sums from deciding an exact quantile.
	roundingSlack = 1e-6
)

// histogram counts decaying samples in buckets of constant relative width. A
// newer sample weighs more, in place of the older ones weighing less, so that
// samples may come in any order. A censored sample is known to be a lower bound
// only: the work was held down to it.
type histogram struct {
	exact     [buckets]float32
	censored  [buckets]float32
	total     float64
	reference time.Time
}

func bucketOf(millis float64) int {
	if millis <= smallestMillis {
		return 0
	}
	bucket := math.Ceil(math.Log(millis/smallestMillis) / math.Log(bucketGrowth))
	return min(buckets-1, int(bucket))
}

// upperBound returns the greatest value of a bucket.
func upperBound(bucket int) float64 {
	return smallestMillis * math.Pow(bucketGrowth, float64(bucket))
}

// weightAt returns what a sample of a time weighs.
func (h *histogram) weightAt(at time.Time, halfLife time.Duration) float64 {
	return math.Exp2(float64(at.Sub(h.reference)) / float64(halfLife))
}

func (h *histogram) add(at time.Time, millis float64, censored bool, halfLife time.Duration) {
	if h.reference.IsZero() {
		h.reference = at
	}
	if at.Sub(h.reference) > rescaleHalfLives*halfLife {
		h.rescale(at, halfLife)
	}
	weight := h.weightAt(at, halfLife)
	h.total += weight
	if censored {
		h.censored[bucketOf(millis)] += float32(weight)
		return
	}
	h.exact[bucketOf(millis)] += float32(weight)
}

// rescale counts weights from a new reference.
func (h *histogram) rescale(at time.Time, halfLife time.Duration) {
	factor := 1 / h.weightAt(at, halfLife)
	h.total = 0
	for i := range buckets {
		h.exact[i] *= float32(factor)
		h.censored[i] *= float32(factor)
		h.total += float64(h.exact[i]) + float64(h.censored[i])
	}
	h.reference = at
}

// estimate is a quantile, or a lower bound of it when too many of the greatest
// samples are censored.
type estimate struct {
	millis float64
	bound  bool
}

// quantile returns the value that the part q of the weight is below, by the
// Kaplan-Meier estimator: a censored sample counts as spread over the greater
// ones. The prior counts as so many samples of priorMillis, unless as many were
// held down to that.
func (h *histogram) quantile(now time.Time, q, prior, priorMillis float64, halfLife time.Duration) estimate {
	if h.total == 0 {
		return estimate{millis: priorMillis}
	}
	priorBucket := bucketOf(priorMillis)
	prior *= h.weightAt(now, halfLife)
	if float64(h.censored[priorBucket]) >= prior {
		prior = 0
	}
	atRisk := h.total + prior
	above := 1.0
	greatest := 0
	for i := range buckets {
		exact, censored := float64(h.exact[i]), float64(h.censored[i])
		if i == priorBucket {
			exact += prior
		}
		if exact+censored > 0 {
			greatest = i
		}
		// A censored sample is above the exact ones of a smaller bucket, and is taken
		// to be below those of its own.
		atRisk -= censored
		if exact == 0 {
			continue
		}
		next := above * max(0, 1-exact/atRisk)
		atRisk -= exact
		if wanted := (1 - q) * (1 + roundingSlack); next <= wanted {
			if i == priorBucket {
				return estimate{millis: priorMillis}
			}
			return estimate{millis: valueWithin(i, (above-wanted)/(above-next))}
		}
		above = next
	}
	return estimate{millis: upperBound(greatest), bound: true}
}

// valueWithin returns the value at a part, 0 to 1, of the width of a bucket.
func valueWithin(bucket int, part float64) float64 {
	return upperBound(bucket) * math.Pow(bucketGrowth, min(1, max(0, part))-1)
}

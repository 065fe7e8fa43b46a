package estimator

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of a histogram.
	buckets = 96
	// smallestMillis is the upper bound of the first bucket.
	smallestMillis = 10.0
	// bucketGrowth is the ratio of the bounds of neighboring buckets.
	bucketGrowth = 1.12
	// rescaleHalfLives bounds the exponent of a weight.
	rescaleHalfLives = 60
	// roundingSlack keeps the rounding of sums from deciding an exact quantile.
	roundingSlack = 1e-6
)

// histogram counts decaying samples in buckets of constant relative width. A
// newer sample weighs more, in place of the older ones weighing less, so that
// samples may come in any order.
type histogram struct {
	weights   [buckets]float32
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

func (h *histogram) add(at time.Time, millis float64, halfLife time.Duration) {
	if h.reference.IsZero() {
		h.reference = at
	}
	if at.Sub(h.reference) > rescaleHalfLives*halfLife {
		h.rescale(at, halfLife)
	}
	weight := h.weightAt(at, halfLife)
	h.weights[bucketOf(millis)] += float32(weight)
	h.total += weight
}

// rescale counts weights from a new reference.
func (h *histogram) rescale(at time.Time, halfLife time.Duration) {
	factor := 1 / h.weightAt(at, halfLife)
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
	h.reference = at
}

// quantile returns the bound that the part q of the weight is below, with prior
// samples of priorMillis added.
func (h *histogram) quantile(now time.Time, q, prior, priorMillis float64, halfLife time.Duration) float64 {
	if h.total == 0 {
		return priorMillis
	}
	prior *= h.weightAt(now, halfLife)
	wanted := q * (h.total + prior) * (1 - roundingSlack)
	priorBucket := bucketOf(priorMillis)
	sum := 0.0
	for i, weight := range h.weights {
		sum += float64(weight)
		if i == priorBucket {
			sum += prior
		}
		if sum < wanted {
			continue
		}
		if i == priorBucket {
			return priorMillis
		}
		return upperBound(i)
	}
	return upperBound(buckets - 1)
}

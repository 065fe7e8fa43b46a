package estimator

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a histogram.
	bucketCount = 128
	// firstBoundMillis is the upper bound of the first bucket, in thousandths of a
	// processor.
	firstBoundMillis = 10.0
	// bucketGrowth is the ratio of the upper bounds of adjacent buckets.
	bucketGrowth = 1.08
	// rescaleHalfLives is the number of half-lives after which weights are rescaled.
	// It bounds the exponent of a weight.
	rescaleHalfLives = 60
	// roundingSlack is a relative tolerance that keeps rounding errors of sums from
	// moving a quantile that falls exactly on the edge of a bucket.
	roundingSlack = 1e-6
)

// histogram holds weighted samples in buckets of constant relative width. Instead of
// reducing the weights of old samples, it gives newer samples a greater weight, so
// that samples may arrive in any order. A censored sample is only a lower bound of
// the use that a task needs: the task's use was limited by its grant.
type histogram struct {
	exact     [bucketCount]float32
	censored  [bucketCount]float32
	total     float64
	reference time.Time
}

// bucketOf returns the number of the bucket of a sample.
func bucketOf(millis float64) int {
	if millis <= firstBoundMillis {
		return 0
	}
	bucket := math.Ceil(math.Log(millis/firstBoundMillis) / math.Log(bucketGrowth))
	return min(bucketCount-1, int(bucket))
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) float64 {
	return firstBoundMillis * math.Pow(bucketGrowth, float64(bucket))
}

// maxHalfLives bounds the age of the reference: with more, weights overflow, and quantiles are lost.
const maxHalfLives = 1000

// weightAt returns the weight of a sample measured at the given time: 1 at the
// reference time, and twice as much for each half-life after it.
func (h *histogram) weightAt(at time.Time, halfLife time.Duration) float64 {
	return math.Exp2(min(maxHalfLives, float64(at.Sub(h.reference))/float64(halfLife)))
}

func (h *histogram) add(at time.Time, millis float64, censored bool, halfLife time.Duration) {
	weight := h.newWeight(at, halfLife)
	h.total += weight
	if censored {
		h.censored[bucketOf(millis)] += float32(weight)
		return
	}
	h.exact[bucketOf(millis)] += float32(weight)
}

// addWeighted adds a number of samples, which need not be whole.
func (h *histogram) addWeighted(at time.Time, millis, samples float64, halfLife time.Duration) {
	weight := samples * h.newWeight(at, halfLife)
	h.total += weight
	h.exact[bucketOf(millis)] += float32(weight)
}

// newWeight returns the weight of a sample that is added, and rescales the others if it gets too great.
func (h *histogram) newWeight(at time.Time, halfLife time.Duration) float64 {
	if h.reference.IsZero() {
		h.reference = at
	}
	if at.Sub(h.reference) > rescaleHalfLives*halfLife {
		h.rescale(at, halfLife)
	}
	return h.weightAt(at, halfLife)
}

// rescale changes the reference time and converts all weights to it.
func (h *histogram) rescale(reference time.Time, halfLife time.Duration) {
	factor := 1 / h.weightAt(reference, halfLife)
	h.total = 0
	for i := range bucketCount {
		h.exact[i] *= float32(factor)
		h.censored[i] *= float32(factor)
		h.total += float64(h.exact[i]) + float64(h.censored[i])
	}
	h.reference = reference
}

// estimate is a quantile, or a lower bound of it if too many of the greatest samples
// are censored.
type estimate struct {
	millis     float64
	lowerBound bool
}

// quantile returns the q-quantile of the samples by the Kaplan-Meier estimator, which
// distributes the weight of a censored sample over the greater samples. The prior
// counts as priorWeight current samples of priorMillis, unless censored samples of at
// least that weight are in the bucket of priorMillis.
func (h *histogram) quantile(now time.Time, q, priorWeight, priorMillis float64, halfLife time.Duration) estimate {
	if h.total == 0 {
		return estimate{millis: priorMillis}
	}
	priorBucket := bucketOf(priorMillis)
	priorWeight *= h.weightAt(now, halfLife)
	if float64(h.censored[priorBucket]) >= priorWeight {
		priorWeight = 0
	}
	atRisk := h.total + priorWeight
	survival := 1.0
	greatestBucket := 0
	for i := range bucketCount {
		exact, censored := float64(h.exact[i]), float64(h.censored[i])
		if i == priorBucket {
			exact += priorWeight
		}
		if exact+censored > 0 {
			greatestBucket = i
		}
		// A censored sample is greater than the exact ones in smaller buckets, and is
		// assumed to be smaller than the exact ones in its own bucket.
		atRisk -= censored
		if exact == 0 {
			continue
		}
		nextSurvival := survival * max(0, 1-exact/atRisk)
		atRisk -= exact
		if targetSurvival := (1 - q) * (1 + roundingSlack); nextSurvival <= targetSurvival {
			if i == priorBucket {
				return estimate{millis: priorMillis}
			}
			return estimate{millis: valueWithin(i, (survival-targetSurvival)/(survival-nextSurvival))}
		}
		survival = nextSurvival
	}
	return estimate{millis: upperBound(greatestBucket), lowerBound: true}
}

// valueWithin returns the value at a fraction, from 0 to 1, of the width of a bucket.
func valueWithin(bucket int, fraction float64) float64 {
	return upperBound(bucket) * math.Pow(bucketGrowth, min(1, max(0, fraction))-1)
}

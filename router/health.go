package router

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one answer in the moving average of a target's
	// latency.
	latencyWeight = 0.1
	// announcedWeight is the weight of a latency announced by the target's agent.
	announcedWeight = 0.25
	// failureWeight is the weight of one answer in the moving average of a target's
	// failure rate.
	failureWeight = 0.1
	// failureTolerance is the failure rate up to which a target's score isn't raised.
	// It is above the rate after a single failure.
	failureTolerance = 0.15
	// failurePenalty is what each unit of failure rate above failureTolerance adds
	// to the factor on a target's score.
	failurePenalty = 20
)

// health holds the latency, failures and ejections of a target.
type health struct {
	latency             float64 // moving average in microseconds, 0 if unknown
	failureRate         float64
	consecutiveFailures int
	answeredAt          time.Time
	decayedAt           time.Time

	ejected       bool
	onProbation   bool
	ejectionCount int
	returnedAt    time.Time
	ejectedUntil  time.Time
}

// recordSuccess records an answer and its latency.
func (h *health) recordSuccess(now time.Time, latency time.Duration) {
	h.answeredAt = now
	h.consecutiveFailures = 0
	h.failureRate -= failureWeight * h.failureRate
	h.updateMean(float64(latency.Microseconds()), latencyWeight)
}

// recordFailure records a failure.
func (h *health) recordFailure(now time.Time) {
	h.answeredAt = now
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
}

// updateMean moves the mean latency towards a value.
func (h *health) updateMean(micros, weight float64) {
	if micros <= 0 {
		return
	}
	if h.latency == 0 {
		h.latency = micros
		return
	}
	h.latency += weight * (micros - h.latency)
}

// observeAnnounced records a latency that the target's agent measured at measuredAt,
// unless there was an answer since.
func (h *health) observeAnnounced(measuredAt time.Time, latency time.Duration) {
	if measuredAt.After(h.answeredAt) {
		h.updateMean(float64(latency.Microseconds()), announcedWeight)
	}
}

// decay moves the failure rate towards 0 and a latency above baselineMicros towards it,
// by the time since the last answer, so that a slow or failing target is tried again.
func (h *health) decay(now time.Time, baselineMicros float64, halfLife time.Duration) {
	since := h.answeredAt
	if h.decayedAt.After(since) {
		since = h.decayedAt
	}
	h.decayedAt = now
	if since.IsZero() || !now.After(since) {
		return
	}
	retained := math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
	h.failureRate *= retained
	if h.latency > baselineMicros && baselineMicros > 0 {
		h.latency = baselineMicros + (h.latency-baselineMicros)*retained
	}
}

// penalty returns the factor on a target's score for its failures, 1 for none.
func (h *health) penalty() float64 {
	return 1 + failurePenalty*max(0, h.failureRate-failureTolerance)
}

// reset clears the latency and failures of a target that is tried again.
func (h *health) reset() {
	h.latency, h.failureRate, h.consecutiveFailures = 0, 0, 0
}

// baseline estimates the median of the targets' mean latencies over all answers.
type baseline struct {
	micros       float64
	observations int
}

// minBaselineStep is the smallest relative step of the baseline.
const minBaselineStep = 0.01

// observe moves the baseline one step towards a target's mean latency.
func (b *baseline) observe(latency float64) {
	if latency <= 0 {
		return
	}
	if b.observations == 0 {
		b.micros = latency
	}
	b.observations++
	step := max(minBaselineStep, 1/float64(b.observations+1))
	if latency > b.micros {
		b.micros *= 1 + step
	} else if latency < b.micros {
		b.micros /= 1 + step
	}
}

// slowness returns a target's latency as a multiple of the baseline, or 1 if the
// multiple is below factor.
func (b *baseline) slowness(latency, factor float64) float64 {
	if b.micros == 0 || latency < b.micros*factor {
		return 1
	}
	return latency / b.micros
}

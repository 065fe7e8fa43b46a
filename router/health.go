package router

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one answer in a target's mean latency.
	latencyWeight = 0.1
	// announcedWeight is the weight of an announced latency in the mean.
	announcedWeight = 0.25
	// failureWeight is the weight of one answer in a target's failure rate.
	failureWeight = 0.1
	// failureTolerance is the failure rate up to which a target is not avoided; one
	// failure alone stays below it.
	failureTolerance = 0.15
	// failurePenalty is how much a target that fails always is avoided, as a
	// multiple of its expected time.
	failurePenalty = 20
)

// health is what the answers of a target told of it.
type health struct {
	latency     float64 // mean latency in microseconds, 0 when unknown
	failureRate float64
	inARow      int
	answeredAt  time.Time
	fadedAt     time.Time

	ejected    bool
	probing    bool
	ejections  int
	returnedAt time.Time
	due        time.Time
}

// succeed takes the latency of an answer.
func (h *health) succeed(now time.Time, latency time.Duration) {
	h.answeredAt = now
	h.inARow = 0
	h.failureRate -= failureWeight * h.failureRate
	h.blend(float64(latency.Microseconds()), latencyWeight)
}

// fail takes a failure.
func (h *health) fail(now time.Time) {
	h.answeredAt = now
	h.inARow++
	h.failureRate += failureWeight * (1 - h.failureRate)
}

// blend moves the mean latency towards a value.
func (h *health) blend(micros, weight float64) {
	if micros <= 0 {
		return
	}
	if h.latency == 0 {
		h.latency = micros
		return
	}
	h.latency += weight * (micros - h.latency)
}

// announced takes the lagged latency that the target's agent measured, unless an
// answer told later.
func (h *health) announced(measuredAt time.Time, latency time.Duration) {
	if measuredAt.After(h.answeredAt) {
		h.blend(float64(latency.Microseconds()), announcedWeight)
	}
}

// fade lets the memory of a target without answers fade towards the usual
// latency, so that a slow or failing target is tried again.
func (h *health) fade(now time.Time, usual float64, halfLife time.Duration) {
	since := h.answeredAt
	if h.fadedAt.After(since) {
		since = h.fadedAt
	}
	h.fadedAt = now
	if since.IsZero() || !now.After(since) {
		return
	}
	kept := math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
	h.failureRate *= kept
	if h.latency > usual && usual > 0 {
		h.latency = usual + (h.latency-usual)*kept
	}
}

// penalty returns the factor by which the expected time of a failing target grows.
func (h *health) penalty() float64 {
	return 1 + failurePenalty*max(0, h.failureRate-failureTolerance)
}

// forget clears what answers told, for a target that is tried anew.
func (h *health) forget() {
	h.latency, h.failureRate, h.inARow = 0, 0, 0
}

// baseline follows the median of the targets' mean latencies, by answer.
type baseline struct {
	micros float64
	count  int
}

// minBaselineStep is the least relative step of the baseline.
const minBaselineStep = 0.01

// observe moves the baseline one step towards a target's mean latency.
func (b *baseline) observe(latency float64) {
	if latency <= 0 {
		return
	}
	if b.count == 0 {
		b.micros = latency
	}
	b.count++
	step := max(minBaselineStep, 1/float64(b.count+1))
	if latency > b.micros {
		b.micros *= 1 + step
	} else if latency < b.micros {
		b.micros /= 1 + step
	}
}

// slowness returns how many times the usual latency a target has; 1 below factor.
func (b *baseline) slowness(latency, factor float64) float64 {
	if b.micros == 0 || latency < b.micros*factor {
		return 1
	}
	return latency / b.micros
}

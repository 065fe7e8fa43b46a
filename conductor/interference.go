package conductor

import (
	"encoding/json"
	"math"
	"time"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// minSentChange is the least change of an interference, in headroom, that is sent to an agent.
const minSentChange = 0.05

// minLoggedChange is the least change of an interference, in headroom, that is logged.
const minLoggedChange = 0.2

// Parameters of the expected speed of best-effort tasks.
const (
	// typicalHeadroom is the headroom of a serving task at average load.
	typicalHeadroom = 2.5
	// measurementDelay is how long after the start of a run its interference doesn't show in the
	// reported tail latencies.
	measurementDelay = 600 * time.Millisecond
	// smoothingFactor is the weight of the latest report in a smoothed headroom, 0 to 1. Loads
	// vary over 10 s, and reports arrive every 400 ms.
	smoothingFactor = 0.15
)

// headroom returns the target of a serving run divided by its tail latency; 0 if unknown.
func (r *run) headroom() float64 {
	if r.phase != messenger.RunRunning {
		return 0
	}
	return pacer.Headroom(r.task.step.spec.TailTargetMillis, r.measurement)
}

// interferencePeriod is the time between two records of the estimated interference.
const interferencePeriod = 2 * time.Second

// recordInterference writes the estimated interference to the journal for the next owner.
func (c *Conductor) recordInterference(now time.Time) {
	if now.Sub(c.interferenceRecordedAt) < interferencePeriod {
		return
	}
	estimates := c.appraiser.Estimates()
	if len(estimates) == 0 {
		return
	}
	c.interferenceRecordedAt = now
	record := messenger.InterferenceRecord{}
	for _, estimate := range estimates {
		c.logInterference(estimate)
		record.Presses = append(record.Presses, messenger.Interference{Serving: estimate.Pair.Serving, Filling: estimate.Pair.BestEffort, Headroom: estimate.Interference})
	}
	c.records = append(c.records, encode(keyInterference, record))
}

// logInterference logs an interference that has changed by minLoggedChange since it was last
// logged.
func (c *Conductor) logInterference(estimate appraiser.Estimate) {
	if known, ok := c.loggedInterference[estimate.Pair]; ok && math.Abs(known-estimate.Interference) < minLoggedChange {
		return
	}
	c.loggedInterference[estimate.Pair] = estimate.Interference
	c.logger.Info("interference estimate changed", "serving", estimate.Pair.Serving, "filling", estimate.Pair.BestEffort, "press", estimate.Interference)
}

// restoreInterference loads the interference that the last owner had estimated.
func (c *Conductor) restoreInterference(r appender.KeyedRecord) error {
	var record messenger.InterferenceRecord
	if err := json.Unmarshal(r.Value(), &record); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
	}
	var estimates []appraiser.Estimate
	for _, p := range record.Presses {
		pair := appraiser.Pair{Serving: p.Serving, BestEffort: p.Filling}
		estimates = append(estimates, appraiser.Estimate{Pair: pair, Interference: p.Headroom})
	}
	c.appraiser.Restore(estimates)
	return nil
}

// observe passes the headroom and the used processors that an executor reported to the
// appraiser.
func (c *Conductor) observe(now time.Time, e *executor) {
	var serving []appraiser.Serving
	shares := map[string]float64{}
	for _, r := range e.runs {
		spec := r.task.step.spec
		if h := r.headroom(); h > 0 {
			serving = append(serving, appraiser.Serving{Task: r.key, Image: spec.Image, Headroom: h})
		}
		if need := r.task.step.need.ProcessorMillis(); spec.Fills && need > 0 && r.phase == messenger.RunRunning {
			shares[spec.Image] += pacer.Share(r.measurement, need)
		}
	}
	c.appraiser.Observe(now, e.id, serving, shares)
	c.updateUndisturbed(e, shares)
	e.observeSlowness(now)
}

// interferenceUpdates returns the interference between the images on an executor that has
// changed since it was last sent to the agent.
func (c *Conductor) interferenceUpdates(e *executor) []messenger.Interference {
	var updates []messenger.Interference
	for _, s := range e.runs {
		if s.task.step.spec.TailTargetMillis <= 0 {
			continue
		}
		for _, bestEffort := range e.runs {
			if !bestEffort.task.step.spec.Fills {
				continue
			}
			pair := appraiser.Pair{Serving: s.task.step.spec.Image, BestEffort: bestEffort.task.step.spec.Image}
			interference := c.appraiser.Interference(pair.Serving, pair.BestEffort)
			if known, ok := e.sentInterference[pair]; ok && math.Abs(known-interference) < minSentChange {
				continue
			}
			e.sentInterference[pair] = interference
			updates = append(updates, messenger.Interference{Serving: pair.Serving, Filling: pair.BestEffort, Headroom: interference})
		}
	}
	return updates
}

// updateUndisturbed updates, from the latest report, the smoothed headroom that each serving run
// would have without best-effort tasks. shares holds, by image, the sum of the shares of full
// speed at which best-effort tasks run.
func (c *Conductor) updateUndisturbed(e *executor, shares map[string]float64) {
	for _, r := range e.runs {
		h := r.headroom()
		if h <= 0 {
			continue
		}
		alone := pacer.HeadroomAlone(h, r.task.step.spec.Image, shares, c.appraiser.Interference)
		if r.undisturbed == 0 {
			r.undisturbed = alone
		}
		r.undisturbed += smoothingFactor * (alone - r.undisturbed)
	}
}

// expectedSpeed returns the share of full speed, 0 to 1, at which one more task of a best-effort
// image is expected to run beside the serving tasks on an executor.
func (c *Conductor) expectedSpeed(image string, e *executor) float64 {
	return c.speedBeside(image, e, func(*run) bool { return true })
}

// preferredSpeed is expectedSpeed for a task that is throttled after those that aren't preferred.
func (c *Conductor) preferredSpeed(image string, e *executor) float64 {
	return c.speedBeside(image, e, (*run).preferred)
}

// speedBeside is expectedSpeed for a task that shares what serving tasks leave with the best-effort runs for
// which shares is true, but for those in the background.
func (c *Conductor) speedBeside(image string, e *executor, shares func(*run) bool) float64 {
	speed := 1.0
	for _, s := range e.runs {
		spec := s.task.step.spec
		if spec.TailTargetMillis <= 0 {
			continue
		}
		interference := c.appraiser.Interference(spec.Image, image)
		if interference < c.config.Pacer.NegligibleInterference {
			continue
		}
		undisturbed := s.undisturbed
		if undisturbed == 0 {
			undisturbed = typicalHeadroom
		}
		sum := interference
		for _, bestEffort := range e.runs {
			if bestEffort.task.step.spec.Fills && !bestEffort.background && shares(bestEffort) {
				sum += c.appraiser.Interference(spec.Image, bestEffort.task.step.spec.Image)
			}
		}
		speed = min(speed, max(0, undisturbed-c.config.Pacer.WantedHeadroom)/sum)
	}
	return speed
}

// startHeadroom returns the least headroom that serving tasks on an executor are expected to
// keep while one more task of a best-effort image runs at full speed, as its throttling takes
// effect only after its start.
func (c *Conductor) startHeadroom(now time.Time, image string, e *executor) float64 {
	lowest := typicalHeadroom
	for _, s := range e.runs {
		spec := s.task.step.spec
		if spec.TailTargetMillis <= 0 {
			continue
		}
		interference := c.appraiser.Interference(spec.Image, image)
		if interference < c.config.Pacer.NegligibleInterference {
			continue
		}
		headroom := s.headroom()
		if headroom == 0 {
			headroom = typicalHeadroom
		}
		for _, bestEffort := range e.runs {
			if bestEffort.task.step.spec.Fills && now.Sub(bestEffort.startedAt) < measurementDelay {
				headroom -= c.appraiser.Interference(spec.Image, bestEffort.task.step.spec.Image)
			}
		}
		lowest = min(lowest, headroom-interference)
	}
	return lowest
}

// startOrder returns the order that starts a run.
func (r *run) startOrder() messenger.StartOrder {
	spec := r.task.step.spec
	return messenger.StartOrder{
		Run:              r.ref,
		Executor:         r.executor.id,
		Born:             r.executor.incarnation,
		Payload:          r.task.step.occurrence.workload.spec.Payload,
		Resources:        spec.Resources,
		Checkpoint:       r.task.checkpoint,
		Fills:            spec.Fills,
		TailTargetMillis: spec.TailTargetMillis,
		Image:            spec.Image,
		Background:       r.background,
		Preferred:        r.preferred(),
		Lasting:          spec.Lasting,
		Speculative:      spec.Speculative,
	}
}

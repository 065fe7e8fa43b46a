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

// tellChange is the least change of a press that an agent is told of.
const tellChange = 0.05

// logChange is the least change of a press that is logged.
const logChange = 0.2

// Bounds of the speed that is expected of filling work.
const (
	// typicalHeadroom is the headroom that a serving task has on the average of its
	// load.
	typicalHeadroom = 2.5
	// unseen is how long after its start the press of a task does not show in figures.
	unseen = 600 * time.Millisecond
	// smoothing is the part of the latest report in a headroom, 0 to 1; loads swing
	// in 10 s, and reports come each 400 ms.
	smoothing = 0.15
)

// headroom returns the target of a serving run divided by its tail; 0 for unknown.
func (r *run) headroom() float64 {
	if r.phase != messenger.RunRunning {
		return 0
	}
	return pacer.Headroom(r.task.step.spec.TailTargetMillis, r.figure)
}

// pressPeriod is the time between two records of what was learned.
const pressPeriod = 2 * time.Second

// recordPresses makes what was learned durable for the next owner.
func (c *Conductor) recordPresses(now time.Time) {
	if now.Sub(c.pressedAt) < pressPeriod {
		return
	}
	beliefs := c.appraiser.Beliefs()
	if len(beliefs) == 0 {
		return
	}
	c.pressedAt = now
	record := messenger.PressRecord{}
	for _, b := range beliefs {
		c.logPress(b)
		record.Presses = append(record.Presses, messenger.Press{Serving: b.Pair.Serving, Filling: b.Pair.Filling, Headroom: b.Press})
	}
	c.records = append(c.records, encode(keyPresses, record))
}

// logPress tells of a press that has changed much since it was told.
func (c *Conductor) logPress(b appraiser.Belief) {
	if known, ok := c.logged[b.Pair]; ok && math.Abs(known-b.Press) < logChange {
		return
	}
	c.logged[b.Pair] = b.Press
	c.logger.Info("press learned", "serving", b.Pair.Serving, "filling", b.Pair.Filling, "press", b.Press)
}

// restorePresses takes what the last owner had learned.
func (c *Conductor) restorePresses(r appender.KeyedRecord) error {
	var record messenger.PressRecord
	if err := json.Unmarshal(r.Value(), &record); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record %s: %w", r.Key(), err)
	}
	var beliefs []appraiser.Belief
	for _, p := range record.Presses {
		pair := appraiser.Pair{Serving: p.Serving, Filling: p.Filling}
		beliefs = append(beliefs, appraiser.Belief{Pair: pair, Press: p.Headroom})
	}
	c.appraiser.Restore(beliefs)
	return nil
}

// observe lets the appraiser learn from what an executor reported.
func (c *Conductor) observe(now time.Time, e *executor) {
	var serving []appraiser.Serving
	shares := map[string]float64{}
	for _, r := range e.runs {
		spec := r.task.step.spec
		if h := r.headroom(); h > 0 {
			serving = append(serving, appraiser.Serving{Task: r.name, Image: spec.Image, Headroom: h})
		}
		if need := r.task.step.need.ProcessorMillis(); spec.Fills && need > 0 && r.phase == messenger.RunRunning {
			shares[spec.Image] += pacer.Share(r.figure, need)
		}
	}
	c.appraiser.Observe(now, e.id, serving, shares)
	c.smooth(e, shares)
}

// pressesFor returns the presses between the images on an executor that its agent
// does not know yet.
func (c *Conductor) pressesFor(e *executor) []messenger.Press {
	var presses []messenger.Press
	for _, s := range e.runs {
		if s.task.step.spec.TailTargetMillis <= 0 {
			continue
		}
		for _, f := range e.runs {
			if !f.task.step.spec.Fills {
				continue
			}
			pair := appraiser.Pair{Serving: s.task.step.spec.Image, Filling: f.task.step.spec.Image}
			press := c.appraiser.Press(pair.Serving, pair.Filling)
			if known, ok := e.told[pair]; ok && math.Abs(known-press) < tellChange {
				continue
			}
			e.told[pair] = press
			presses = append(presses, messenger.Press{Serving: pair.Serving, Filling: pair.Filling, Headroom: press})
		}
	}
	return presses
}

// smooth takes a figure into the headroom that a serving run would have alone.
func (c *Conductor) smooth(e *executor, shares map[string]float64) {
	for _, r := range e.runs {
		h := r.headroom()
		if h <= 0 {
			continue
		}
		alone := pacer.Undisturbed(h, r.task.step.spec.Image, shares, c.appraiser.Press)
		if r.alone == 0 {
			r.alone = alone
		}
		r.alone += smoothing * (alone - r.alone)
	}
}

// speed returns the share of full speed, 0 to 1, at which one more task of a
// filling image is expected to go beside what serves on an executor.
func (c *Conductor) speed(image string, e *executor) float64 {
	speed := 1.0
	for _, s := range e.runs {
		spec := s.task.step.spec
		if spec.TailTargetMillis <= 0 {
			continue
		}
		press := c.appraiser.Press(spec.Image, image)
		if press < c.config.Pace.Light {
			continue
		}
		alone := s.alone
		if alone == 0 {
			alone = typicalHeadroom
		}
		sum := press
		for _, f := range e.runs {
			if f.task.step.spec.Fills {
				sum += c.appraiser.Press(spec.Image, f.task.step.spec.Image)
			}
		}
		speed = min(speed, max(0, alone-c.config.Pace.Wanted)/sum)
	}
	return speed
}

// pulse returns the least headroom that serving work on an executor is expected to
// keep while one more task of a filling image works at full speed: its pace takes
// effect only after its start.
func (c *Conductor) pulse(now time.Time, image string, e *executor) float64 {
	least := typicalHeadroom
	for _, s := range e.runs {
		spec := s.task.step.spec
		if spec.TailTargetMillis <= 0 {
			continue
		}
		press := c.appraiser.Press(spec.Image, image)
		if press < c.config.Pace.Light {
			continue
		}
		left := s.headroom()
		if left == 0 {
			left = typicalHeadroom
		}
		for _, f := range e.runs {
			if f.task.step.spec.Fills && now.Sub(f.since) < unseen {
				left -= c.appraiser.Press(spec.Image, f.task.step.spec.Image)
			}
		}
		least = min(least, left-press)
	}
	return least
}

// described returns the order that a run was started by.
func (r *run) described() messenger.RunOrder {
	spec := r.task.step.spec
	return messenger.RunOrder{
		Run:              r.ref,
		Executor:         r.executor.id,
		Payload:          r.task.step.occurrence.work.spec.Payload,
		Resources:        spec.Resources,
		Checkpoint:       r.task.checkpoint,
		Fills:            spec.Fills,
		TailTargetMillis: spec.TailTargetMillis,
		Image:            spec.Image,
	}
}

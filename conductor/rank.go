package conductor

import (
	"cmp"
	"slices"
	"time"
)

// rankPeriod is the time between two rankings of what fills.
const rankPeriod = 200 * time.Millisecond

// lateFactor times its objective a workload is worth little, and nothing later.
const lateFactor = 3

// hope tells how well a workload can still end.
type hope int

const (
	inTime hope = iota
	late
	hopeless
)

// outlook is the place of a workload among those that fill: those that can still
// end in time go first, and of these the small ones, so that most of them do.
type outlook struct {
	hope hope
	// left is the work that is left, in processor seconds.
	left float64
}

// outlookOf returns the outlook of a workload at a time.
func (c *Conductor) outlookOf(now time.Time, w *workload) outlook {
	q, ok := c.queue(w)
	if !ok {
		return outlook{hope: hopeless}
	}
	var left float64
	var chain, ahead time.Duration
	for _, o := range w.occurrences {
		whole, rest, work := o.measure()
		chain, ahead, left = max(chain, whole), max(ahead, rest), left+work
	}
	objective := time.Duration(q.Stretch*float64(chain)) + q.Objective
	end := now.Add(ahead)
	o := outlook{hope: hopeless, left: left}
	switch {
	case !end.After(w.acceptedAt.Add(objective)):
		o.hope = inTime
	case !end.After(w.acceptedAt.Add(lateFactor * objective)):
		o.hope = late
	}
	return o
}

// measure returns the longest chain of estimated work, what is left of it, and the
// work that is left, in processor seconds.
func (o *occurrence) measure() (chain, ahead time.Duration, left float64) {
	ends := make([]time.Duration, len(o.steps))
	rests := make([]time.Duration, len(o.steps))
	for n, s := range o.steps {
		estimate := time.Duration(s.spec.EstimateMillis) * time.Millisecond
		for _, before := range s.spec.After {
			ends[n], rests[n] = max(ends[n], ends[before]), max(rests[n], rests[before])
		}
		ends[n] += estimate
		if s.left > 0 {
			rests[n] += estimate
		}
		chain, ahead = max(chain, ends[n]), max(ahead, rests[n])
		left += float64(s.left) * estimate.Seconds() * float64(s.need.ProcessorMillis()) / millisPerProcessor
	}
	return chain, ahead, left
}

const millisPerProcessor = 1000

// rankSteps brings the steps that wait into the order in which they are served.
func (c *Conductor) rankSteps(now time.Time) {
	if now.Sub(c.rankedAt) < rankPeriod {
		return
	}
	c.rankedAt = now
	for _, s := range c.steps {
		if s.spec.Fills {
			s.occurrence.work.outlook = c.outlookOf(now, s.occurrence.work)
		}
	}
	slices.SortStableFunc(c.steps, compareSteps)
	images := c.fillingImages()
	for _, h := range c.hosts {
		for _, e := range h.executors {
			e.openness = c.opennessOf(e, images)
		}
	}
}

// fillingImages returns the images of the work that fills, running or waiting.
func (c *Conductor) fillingImages() map[string]bool {
	images := map[string]bool{}
	for _, s := range c.steps {
		if s.spec.Fills {
			images[s.spec.Image] = true
		}
	}
	for _, r := range c.runs {
		if r.task.step.spec.Fills {
			images[r.task.step.spec.Image] = true
		}
	}
	return images
}

// opennessOf returns the mean speed that filling images are expected to have on an
// executor: work that goes well anywhere leaves the open ones to others.
func (c *Conductor) opennessOf(e *executor, images map[string]bool) float64 {
	if len(images) == 0 {
		return 0
	}
	sum := 0.0
	for image := range images {
		sum += c.speed(image, e)
	}
	return sum / float64(len(images))
}

// compareOutlooks orders workloads that fill.
func compareOutlooks(a, b outlook) int {
	return cmp.Or(cmp.Compare(a.hope, b.hope), cmp.Compare(a.left, b.left))
}

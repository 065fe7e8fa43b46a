package forecaster

import (
	"math"
	"time"
)

const (
	// drainMemory is the time in which what a Drain has measured loses most of its weight. Demand varies
	// over about as long.
	drainMemory = 10 * time.Second
	// minDrainTime and minDrainEnds are the measured time and the number of ends below which the rate
	// isn't known.
	minDrainTime = 2 * time.Second
	minDrainEnds = 8
	// drainDeviations is the number of standard deviations between the mean and each bound.
	drainDeviations = 2
)

// Drain measures the speed at which work is done while more waits. The speed without contention says
// nothing of the room.
type Drain struct {
	advancedAt time.Time
	contended  bool
	// work, squares and ends are of the tasks that have ended since advancedAt.
	work, squares, ends float64
	// sum, sumSquares, count and time are the decayed sums of those that ended under contention, and of
	// its seconds.
	sum, sumSquares, count, time float64
}

// Record adds a task that has ended, with its work in processor seconds.
func (d *Drain) Record(work float64) {
	d.work += work
	d.squares += work * work
	d.ends++
}

// Advance ends an interval; contended is whether work waits now. The interval counts if work waited at
// both its ends.
func (d *Drain) Advance(now time.Time, contended bool) {
	if !d.advancedAt.IsZero() {
		elapsed := now.Sub(d.advancedAt)
		decay := math.Exp(-elapsed.Seconds() / drainMemory.Seconds())
		d.sum, d.sumSquares, d.count, d.time = d.sum*decay, d.sumSquares*decay, d.count*decay, d.time*decay
		if contended && d.contended {
			d.sum += d.work
			d.sumSquares += d.squares
			d.count += d.ends
			d.time += elapsed.Seconds()
		}
	}
	d.advancedAt, d.contended = now, contended
	d.work, d.squares, d.ends = 0, 0, 0
}

// Rate returns the measured rate, and false if too little has been measured lately. The ends are taken as
// a compound Poisson process, so that few ends of large tasks give a wide range.
func (d *Drain) Rate() (Rate, bool) {
	if d.time < minDrainTime.Seconds() || d.count < minDrainEnds {
		return Rate{}, false
	}
	deviation := drainDeviations * math.Sqrt(d.sumSquares)
	return Rate{Lower: max(0, d.sum-deviation) / d.time, Upper: (d.sum + deviation) / d.time}, true
}

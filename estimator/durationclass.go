package estimator

import (
	"cmp"
	"math/bits"

	"apricotwinch"
)

// DurationClass identifies tasks whose durations are assumed to be off by the same ratios.
type DurationClass struct {
	Queue string
	Image string
	// Size is the size class of the processors; each class has twice those of the one before.
	Size int
}

// NewDurationClass returns the class of the tasks of a queue with an image that need the given resources.
func NewDurationClass(queue, image string, need apricotwinch.Resources) DurationClass {
	return DurationClass{Queue: queue, Image: image, Size: bits.Len64(uint64(max(0, need.ProcessorMillis())))}
}

// compare orders classes.
func (c DurationClass) compare(other DurationClass) int {
	return cmp.Or(cmp.Compare(c.Queue, other.Queue), cmp.Compare(c.Image, other.Image), cmp.Compare(c.Size, other.Size))
}

// durationLevel is how much a scope holds.
type durationLevel int

const (
	levelAll durationLevel = iota
	levelQueue
	levelClass
)

// durationScope identifies the tasks whose ratios are held together: those of a class, of a queue, which has no other
// field, or all.
type durationScope struct {
	level durationLevel
	class DurationClass
}

func queueScope(queue string) durationScope {
	return durationScope{level: levelQueue, class: DurationClass{Queue: queue}}
}

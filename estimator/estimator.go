// Package estimator corrects the declared sizes of tasks by their observed use.
//
// The processors of a class are a quantile of the use of its earlier tasks, with
// older samples weighing less. The result is limited to a range around the declared
// processors, which also serve as the prior. Memory and accelerators never go below
// the observed peak. An Estimator does no I/O and takes the time as an argument. It
// is not safe for concurrent use. Durations does the same for the durations of tasks.
package estimator

import (
	"container/list"
	"time"

	"apricotwinch"
)

// exhaustedGrowth is the factor by which the memory of a class grows after a task
// used up its granted memory.
const exhaustedGrowth = 2

// Estimator corrects declared sizes by the observed use of each class.
type Estimator struct {
	config  Config
	classes map[Class]*list.Element
	recent  *list.List // Usages, most recently observed first.
}

// usage holds the observed use of one class.
type usage struct {
	class           Class
	processors      histogram
	memory          int64 // Peak in bytes.
	accelerators    int64 // Peak.
	exhaustedMemory int64 // Lower bound in bytes until a half-life after exhaustedAt.
	exhaustedAt     time.Time
}

// New returns an estimator that has observed nothing.
func New(config Config) *Estimator {
	return &Estimator{config: config, classes: map[Class]*list.Element{}, recent: list.New()}
}

// Observe records a report of the use of a running task.
func (e *Estimator) Observe(s Sample) {
	u := e.touch(s.class)
	used, granted := float64(s.used.ProcessorMillis()), float64(s.granted.ProcessorMillis())
	censored := granted > 0 && used >= e.config.Saturation*granted
	u.processors.add(s.sampledAt, used, censored, e.config.HalfLife)
	u.memory = max(u.memory, s.used.MemoryBytes())
	u.accelerators = max(u.accelerators, s.used.Accelerators())
}

// MemoryExhausted records that a task was stopped because it used up its granted memory.
// For one half-life, the class gets at least twice that memory.
func (e *Estimator) MemoryExhausted(now time.Time, class Class, granted apricotwinch.Resources) {
	u := e.touch(class)
	u.memory = max(u.memory, granted.MemoryBytes())
	u.exhaustedMemory = max(u.exhaustedMemory, exhaustedGrowth*granted.MemoryBytes())
	u.exhaustedAt = now
}

// Size returns the corrected size of a task of a class, or the declared size if
// nothing was observed of the class.
func (e *Estimator) Size(now time.Time, class Class, declared apricotwinch.Resources) apricotwinch.Resources {
	element := e.classes[class]
	if element == nil {
		return declared
	}
	u := element.Value.(*usage)
	return apricotwinch.NewResources(
		e.processors(now, u, declared.ProcessorMillis()),
		e.memory(now, u, declared.MemoryBytes()),
		max(declared.Accelerators(), u.accelerators),
	)
}

// processors returns the corrected processors in thousandths.
func (e *Estimator) processors(now time.Time, u *usage, declared int64) int64 {
	prior := float64(declared)
	size := u.processors.quantile(now, e.config.Quantile, e.config.PriorSamples, prior, e.config.HalfLife)
	if size.lowerBound {
		size.millis *= e.config.Growth
	}
	return int64(max(e.config.Floor*prior, min(e.config.Ceiling*prior, size.millis)))
}

// memory returns the corrected memory in bytes.
func (e *Estimator) memory(now time.Time, u *usage, declared int64) int64 {
	size := int64(e.config.MemoryFloor * float64(declared))
	size = max(size, u.memory+int64(e.config.MemoryMargin*float64(u.memory)))
	if now.Sub(u.exhaustedAt) < e.config.HalfLife {
		size = max(size, u.exhaustedMemory)
	}
	return size
}

// Classes returns the number of classes remembered.
func (e *Estimator) Classes() int { return len(e.classes) }

// touch returns the usage of a class and marks it as the most recently observed one.
// It adds an unknown class and drops the least recently observed one if there are too
// many.
func (e *Estimator) touch(class Class) *usage {
	if element := e.classes[class]; element != nil {
		e.recent.MoveToFront(element)
		return element.Value.(*usage)
	}
	u := &usage{class: class}
	e.classes[class] = e.recent.PushFront(u)
	if oldest := e.recent.Back(); e.recent.Len() > e.config.MaxClasses {
		e.recent.Remove(oldest)
		delete(e.classes, oldest.Value.(*usage).class)
	}
	return u
}

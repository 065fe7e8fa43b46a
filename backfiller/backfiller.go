// Package backfiller keeps room for tasks that fit on no executor, and decides which other tasks may start
// beside such a reservation (EASY backfill).
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
package backfiller

import (
	"slices"
	"time"

	"apricotwinch"
)

// Config holds the bounds of a Backfiller.
type Config struct {
	// MaxReservations bounds the reservations, and MaxShare, 0 to 1, the share of a service's executors that
	// have one. One is always possible.
	MaxReservations int
	MaxShare        float64
	// LargeShare is the share of an executor, 0 to 1, above which a task is large. Others get a reservation
	// only after SmallWait, and only where no single end makes room for them: when all executors are
	// full, they would take the place of large ones, and find room by themselves.
	LargeShare float64
	SmallWait  time.Duration
	// MinError is the least error that is assumed of an expected end. Otherwise it is the longest duration
	// of the runs that are waited for, so that a reservation outlasts durations that are twice as
	// long as expected.
	MinError time.Duration
	// MaxDoublings bounds how often the error is doubled for a step whose reservations have lapsed, so that
	// one whose expected ends are wrong by more gets its room in the end.
	MaxDoublings int
}

// DefaultConfig returns the configuration used by the owner.
func DefaultConfig() Config {
	return Config{
		MaxReservations: 8,
		MaxShare:        0.0625,
		LargeShare:      0.125,
		SmallWait:       2 * time.Second,
		// A report and a pass of the scheduler may be that late.
		MinError:     500 * time.Millisecond,
		MaxDoublings: 4,
	}
}

// Run is a run on an executor.
type Run struct {
	Need apricotwinch.Resources
	// End is when the run is expected to end; zero if that isn't known.
	End time.Time
	// Duration is how long the whole run is expected to take.
	Duration time.Duration
}

// Executor is an executor with its runs.
type Executor struct {
	Name                string
	Capacity, Allocated apricotwinch.Resources
	Runs                []Run
	// Until is until when the task may start there; zero for always.
	Until time.Time
}

// Request asks for room for a task.
type Request struct {
	// Step names the step of the task. A step has at most one reservation.
	Step string
	Need apricotwinch.Resources
	// Candidates holds the executors on which the task may start, in order of preference where their room is
	// expected at the same time. ServiceExecutors is the number of executors of the service.
	Candidates       []Executor
	ServiceExecutors int
	// Waited is how long the step has been ready.
	Waited time.Duration
	// Replaces names a step whose reservation ends if it takes that to make this one; empty for none.
	Replaces string
	// Lapses is how many reservations of the step have lapsed, as their time had passed.
	Lapses int
}

// Reservation is room that is kept on an executor.
type Reservation struct {
	Step, Executor string
	Need           apricotwinch.Resources
	MadeAt         time.Time
	// At is when the room is expected, and LapsesAt when the reservation lapses.
	At, LapsesAt time.Time
	// Awaited is the number of runs that are expected to end by At.
	Awaited int
	// freed is what runs on the executor are expected to free by At.
	freed apricotwinch.Resources
}

// Backfiller holds reservations.
type Backfiller struct {
	config     Config
	byExecutor map[string]*Reservation
	byStep     map[string]*Reservation
}

// New returns a Backfiller without reservations.
func New(config Config) *Backfiller {
	return &Backfiller{config: config, byExecutor: map[string]*Reservation{}, byStep: map[string]*Reservation{}}
}

// Begin updates what runs are expected to free on executors that have a reservation.
func (b *Backfiller) Begin(executors []Executor) {
	for _, e := range executors {
		if r := b.byExecutor[e.Name]; r != nil {
			r.freed = freedBy(e.Runs, r.At)
		}
	}
}

// Full reports whether there can be no more reservations in a service with a number of executors.
func (b *Backfiller) Full(serviceExecutors int) bool {
	return len(b.byStep) >= max(1, min(b.config.MaxReservations, int(b.config.MaxShare*float64(serviceExecutors))))
}

// Reserve keeps room on the candidate where it is expected first. ok is false if the step has a reservation, no
// more are possible, or no candidate without one and without room now is expected to have room for which the task
// can't do without.
func (b *Backfiller) Reserve(now time.Time, q Request) (r Reservation, ok bool) {
	full := b.Full(q.ServiceExecutors)
	if b.byStep[q.Step] != nil || full && b.byStep[q.Replaces] == nil {
		return Reservation{}, false
	}
	var best *Reservation
	var duration time.Duration
	for _, e := range q.Candidates {
		if b.byExecutor[e.Name] != nil || !b.Large(q.Need, e.Capacity) && (q.Waited < b.config.SmallWait || singleEndSuffices(e, q.Need)) {
			continue
		}
		at, longest, awaited, ok := roomExpected(e, q.Need)
		if !ok || !e.Until.IsZero() && at.After(e.Until) || best != nil && !at.Before(best.At) {
			continue
		}
		best = &Reservation{Step: q.Step, Executor: e.Name, Need: q.Need, MadeAt: now, At: at, Awaited: awaited, freed: freedBy(e.Runs, at)}
		duration = longest
	}
	if best == nil {
		return Reservation{}, false
	}
	if full {
		b.Release(q.Replaces)
	}
	best.LapsesAt = best.At.Add(max(b.config.MinError, duration) << min(q.Lapses, b.config.MaxDoublings))
	b.byExecutor[best.Executor], b.byStep[best.Step] = best, best
	return *best, true
}

// Release ends the reservation of a step, if it has one.
func (b *Backfiller) Release(step string) {
	if r := b.byStep[step]; r != nil {
		delete(b.byStep, step)
		delete(b.byExecutor, r.Executor)
	}
}

// Admits reports whether another task may start on an executor that has free resources: it is expected to end
// before the reserved room is needed, or leaves enough. expectedEnd is zero if it isn't known.
func (b *Backfiller) Admits(executor string, free, need apricotwinch.Resources, expectedEnd time.Time) bool {
	r := b.byExecutor[executor]
	if r == nil || !expectedEnd.IsZero() && !expectedEnd.After(r.At) {
		return true
	}
	left := free.Add(r.freed).Sub(need)
	return leaves(left.ProcessorMillis(), r.Need.ProcessorMillis(), need.ProcessorMillis()) &&
		leaves(left.MemoryBytes(), r.Need.MemoryBytes(), need.MemoryBytes()) &&
		leaves(left.Accelerators(), r.Need.Accelerators(), need.Accelerators())
}

// leaves reports whether a task that takes an amount of a resource leaves the reserved amount. One that takes
// nothing does, also where too little is left without it.
func leaves(left, reserved, taken int64) bool { return taken == 0 || left >= reserved }

// Large reports whether a task needs a large share of the processors or of the memory of an executor.
func (b *Backfiller) Large(need, capacity apricotwinch.Resources) bool {
	return float64(need.ProcessorMillis()) > b.config.LargeShare*float64(capacity.ProcessorMillis()) ||
		float64(need.MemoryBytes()) > b.config.LargeShare*float64(capacity.MemoryBytes())
}

// singleEndSuffices reports whether the end of one run makes room on an executor.
func singleEndSuffices(e Executor, need apricotwinch.Resources) bool {
	free := e.Capacity.Sub(e.Allocated)
	return slices.ContainsFunc(e.Runs, func(r Run) bool { return need.Fits(free.Add(r.Need)) })
}

// freedBy returns what runs are expected to free until a time.
func freedBy(runs []Run, at time.Time) apricotwinch.Resources {
	var freed apricotwinch.Resources
	for _, r := range runs {
		if !r.End.IsZero() && !r.End.After(at) {
			freed = freed.Add(r.Need)
		}
	}
	return freed
}

// roomExpected returns when an executor is expected to have room, and the longest duration and the number of the
// runs that end until then. ok is false if it has room now, or isn't expected to.
func roomExpected(e Executor, need apricotwinch.Resources) (at time.Time, longest time.Duration, awaited int, ok bool) {
	free := e.Capacity.Sub(e.Allocated)
	if need.Fits(free) || !need.Fits(e.Capacity) {
		return time.Time{}, 0, 0, false
	}
	ending := make([]Run, 0, len(e.Runs))
	for _, r := range e.Runs {
		if !r.End.IsZero() {
			ending = append(ending, r)
		}
	}
	slices.SortFunc(ending, func(a, b Run) int { return a.End.Compare(b.End) })
	for _, r := range ending {
		if ok && r.End.After(at) {
			break
		}
		at, longest, awaited = r.End, max(longest, r.Duration), awaited+1
		free = free.Add(r.Need)
		ok = ok || need.Fits(free)
	}
	return at, longest, awaited, ok
}

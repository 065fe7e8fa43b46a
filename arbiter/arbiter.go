// Package arbiter decides whether a host has room for an attempt, a target or a
// request. It has the last word on the host's processors, memory, accelerators,
// slots and connections, and performs no I/O.
package arbiter

import "apricotwinch"

// Arbiter keeps the reservations of one host; it isn't safe for concurrent use.
type Arbiter struct {
	capacity  apricotwinch.Resources
	committed apricotwinch.Resources
	attempts  map[apricotwinch.AttemptID]apricotwinch.Resources
	unsized   map[apricotwinch.AttemptID]struct{}
	targets   map[string]*Target
}

// New returns an arbiter of a host that holds capacity and nothing else.
func New(capacity apricotwinch.Resources) *Arbiter {
	return &Arbiter{
		capacity: capacity,
		attempts: make(map[apricotwinch.AttemptID]apricotwinch.Resources),
		unsized:  make(map[apricotwinch.AttemptID]struct{}),
		targets:  make(map[string]*Target),
	}
}

// Capacity returns what the host can hold.
func (a *Arbiter) Capacity() apricotwinch.Resources { return a.capacity }

// Committed returns what attempts and targets hold. It is the whole capacity
// while an attempt of unknown size runs.
func (a *Arbiter) Committed() apricotwinch.Resources {
	if len(a.unsized) > 0 {
		return a.capacity
	}
	return a.committed
}

// ReserveAttempt reserves need for the attempt id, or fails with kind
// NoCapacity, or Invalid for a negative need. To reserve again for an id that
// holds a reservation changes nothing.
func (a *Arbiter) ReserveAttempt(id apricotwinch.AttemptID, need apricotwinch.Resources) error {
	if _, ok := a.attempts[id]; ok {
		return nil
	}
	if _, ok := a.unsized[id]; ok {
		return nil
	}
	if len(a.unsized) > 0 {
		return apricotwinch.Errorf(apricotwinch.NoCapacity,
			"attempt %s: %d attempts of unknown size run on the host", id, len(a.unsized))
	}
	if err := a.fits(need); err != nil {
		return apricotwinch.Errorf(apricotwinch.KindOf(err), "attempt %s: %w", id, err)
	}
	a.attempts[id] = need
	a.committed = a.committed.Add(need)
	return nil
}

// AdoptAttempt records an attempt that runs already and whose size isn't known.
// Until it is released, no other attempt gets a reservation.
func (a *Arbiter) AdoptAttempt(id apricotwinch.AttemptID) {
	if _, ok := a.attempts[id]; ok {
		return
	}
	a.unsized[id] = struct{}{}
}

// ReleaseAttempt drops the reservation of id, if there is one.
func (a *Arbiter) ReleaseAttempt(id apricotwinch.AttemptID) {
	a.committed = a.committed.Sub(a.attempts[id])
	delete(a.attempts, id)
	delete(a.unsized, id)
}

// fits returns an error unless need is valid and fits beside what is committed.
func (a *Arbiter) fits(need apricotwinch.Resources) error {
	if need.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s has a negative field", need)
	}
	free := a.capacity.Sub(a.committed)
	if !need.Fits(free) {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "needs %s, the host has %s free", need, free)
	}
	return nil
}

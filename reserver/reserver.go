// Package reserver decides whether a host has capacity for an attempt, a target or a request. It is
// the final authority on the host's processors, memory, accelerators, slots and connections, and
// performs no I/O.
package reserver

import "apricotwinch"

// Reserver keeps the reservations of one host. It isn't safe for concurrent use.
type Reserver struct {
	capacity  apricotwinch.Resources
	committed apricotwinch.Resources
	attempts  map[apricotwinch.AttemptID]apricotwinch.Resources
	unsized   map[apricotwinch.AttemptID]struct{}
	targets   map[string]*Target
}

// New returns a Reserver without reservations for a host of the given capacity.
func New(capacity apricotwinch.Resources) *Reserver {
	return &Reserver{
		capacity: capacity,
		attempts: make(map[apricotwinch.AttemptID]apricotwinch.Resources),
		unsized:  make(map[apricotwinch.AttemptID]struct{}),
		targets:  make(map[string]*Target),
	}
}

// Capacity returns the total resources of the host.
func (r *Reserver) Capacity() apricotwinch.Resources { return r.capacity }

// Committed returns the resources that attempts and targets have reserved. It returns the whole
// capacity while an attempt of unknown size runs.
func (r *Reserver) Committed() apricotwinch.Resources {
	if len(r.unsized) > 0 {
		return r.capacity
	}
	return r.committed
}

// ReserveAttempt reserves need for the attempt id. It fails with kind NoCapacity if the resources
// aren't free or an attempt of unknown size runs, and with kind Invalid if a field of need is
// negative. If id already has a reservation, ReserveAttempt changes nothing and succeeds.
func (r *Reserver) ReserveAttempt(id apricotwinch.AttemptID, need apricotwinch.Resources) error {
	if _, ok := r.attempts[id]; ok {
		return nil
	}
	if _, ok := r.unsized[id]; ok {
		return nil
	}
	if len(r.unsized) > 0 {
		return apricotwinch.Errorf(apricotwinch.NoCapacity,
			"attempt %s: %d attempts of unknown size run on the host", id, len(r.unsized))
	}
	if err := r.checkFits(need); err != nil {
		return apricotwinch.Errorf(apricotwinch.KindOf(err), "attempt %s: %w", id, err)
	}
	r.attempts[id] = need
	r.committed = r.committed.Add(need)
	return nil
}

// AdoptAttempt records an attempt that already runs and whose size isn't known. Until it is
// released, no other attempt gets a reservation.
func (r *Reserver) AdoptAttempt(id apricotwinch.AttemptID) {
	if _, ok := r.attempts[id]; ok {
		return
	}
	r.unsized[id] = struct{}{}
}

// ReleaseAttempt releases the reservation of id, if there is one.
func (r *Reserver) ReleaseAttempt(id apricotwinch.AttemptID) {
	r.committed = r.committed.Sub(r.attempts[id])
	delete(r.attempts, id)
	delete(r.unsized, id)
}

// checkFits returns an error unless need is valid and fits into the resources that are not
// committed.
func (r *Reserver) checkFits(need apricotwinch.Resources) error {
	if need.Negative() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "resources: %s has a negative field", need)
	}
	free := r.capacity.Sub(r.committed)
	if !need.Fits(free) {
		return apricotwinch.Errorf(apricotwinch.NoCapacity, "needs %s, the host has %s free", need, free)
	}
	return nil
}

package reserver

import "apricotwinch"

// Target holds the reservation of one target and the number of requests that it runs.
type Target struct {
	reserved    apricotwinch.Resources
	slots       int
	connections int
	busy        int
	released    bool
}

// Slots returns the greatest number of requests that the target runs at once.
func (t *Target) Slots() int { return t.slots }

// Connections returns the greatest number of connections that the target accepts.
func (t *Target) Connections() int { return t.connections }

// Busy returns the number of requests that are running.
func (t *Target) Busy() int { return t.busy }

// ReserveTarget reserves the resources of the target called name, or changes an earlier
// reservation. It fails with kind NoCapacity if the host doesn't have the resources free, and with
// kind Invalid if a field of reserved is negative or slots or connections is below 1. The earlier
// reservation remains after an error.
func (r *Reserver) ReserveTarget(name string, reserved apricotwinch.Resources, slots, connections int) error {
	if slots < 1 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "slots: %d is below 1", slots)
	}
	if connections < 1 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "connections: %d is below 1", connections)
	}
	target := r.targets[name]
	if target == nil {
		target = &Target{}
	}
	before := r.committed
	r.committed = r.committed.Sub(target.reserved)
	if err := r.checkFits(reserved); err != nil {
		r.committed = before
		return apricotwinch.Errorf(apricotwinch.KindOf(err), "target %s: %w", name, err)
	}
	r.committed = r.committed.Add(reserved)
	target.released = false
	target.reserved = reserved
	target.slots = slots
	target.connections = connections
	r.targets[name] = target
	return nil
}

// ReleaseTarget releases the reservation of the target called name. The slots of its running
// requests remain in use, even if the target is reserved again before they end.
func (r *Reserver) ReleaseTarget(name string) {
	target := r.targets[name]
	if target == nil {
		return
	}
	r.committed = r.committed.Sub(target.reserved)
	target.reserved = apricotwinch.Resources{}
	target.released = true
	r.dropIdle(name, target)
}

// Target returns the target called name, or nil if it has no reservation.
func (r *Reserver) Target(name string) *Target {
	target := r.targets[name]
	if target == nil || target.released {
		return nil
	}
	return target
}

// Acquire takes a slot and a connection of the target called name. It fails with kind NoTarget if
// there is no such target, and with kind NoCapacity if all slots or connections are in use.
func (r *Reserver) Acquire(name string) error {
	target := r.Target(name)
	if target == nil {
		return apricotwinch.Errorf(apricotwinch.NoTarget, "service %s has no target on this host", name)
	}
	if target.busy >= min(target.slots, target.connections) {
		return apricotwinch.Errorf(apricotwinch.NoCapacity,
			"service %s: %d requests run in %d slots over %d connections", name, target.busy, target.slots, target.connections)
	}
	target.busy++
	return nil
}

// Release returns a slot and a connection that Acquire took.
func (r *Reserver) Release(name string) {
	target := r.targets[name]
	if target == nil || target.busy == 0 {
		return
	}
	target.busy--
	r.dropIdle(name, target)
}

func (r *Reserver) dropIdle(name string, target *Target) {
	if target.released && target.busy == 0 {
		delete(r.targets, name)
	}
}

package tracker

import "time"

// maxReplacedIncarnations is the number of replaced incarnations remembered per host.
const maxReplacedIncarnations = 4

// replacedIncarnation is a replaced incarnation with its latest sequence.
type replacedIncarnation struct {
	incarnation string
	sequence    int
}

// record holds the latest heartbeat of a host, the incarnations that it replaced, and
// the deadline at which its state changes without a newer heartbeat.
type record struct {
	host          Host
	replaced      []replacedIncarnation
	deadline      time.Time
	queuePosition int
}

// markReplaced adds the current incarnation to the replaced ones, dropping the oldest
// if there are too many.
func (r *record) markReplaced() {
	if len(r.replaced) == maxReplacedIncarnations {
		r.replaced = append(r.replaced[:0], r.replaced[1:]...)
	}
	r.replaced = append(r.replaced, replacedIncarnation{incarnation: r.host.Incarnation(), sequence: r.host.Sequence()})
}

// replacedSequence returns the latest sequence of a replaced incarnation, or 0.
func (r *record) replacedSequence(incarnation string) int {
	for _, old := range r.replaced {
		if old.incarnation == incarnation {
			return old.sequence
		}
	}
	return 0
}

// unmarkReplaced removes an incarnation from the replaced ones.
func (r *record) unmarkReplaced(incarnation string) {
	kept := r.replaced[:0]
	for _, old := range r.replaced {
		if old.incarnation != incarnation {
			kept = append(kept, old)
		}
	}
	r.replaced = kept
}

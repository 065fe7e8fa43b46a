package tracker

import "time"

// replacedKept is the number of replaced incarnations remembered of each host.
const replacedKept = 4

// retired is an incarnation that was replaced, with its latest sequence.
type retired struct {
	incarnation string
	sequence    int
}

// record is all that is known of one host.
type record struct {
	host     Host
	retired  []retired
	deadline time.Time
	index    int
}

// retire remembers the current incarnation as replaced.
func (r *record) retire() {
	if len(r.retired) == replacedKept {
		r.retired = append(r.retired[:0], r.retired[1:]...)
	}
	r.retired = append(r.retired, retired{incarnation: r.host.Incarnation(), sequence: r.host.Sequence()})
}

// retiredSequence returns the latest sequence of a replaced incarnation, or 0.
func (r *record) retiredSequence(incarnation string) int {
	for _, old := range r.retired {
		if old.incarnation == incarnation {
			return old.sequence
		}
	}
	return 0
}

// restore forgets that an incarnation was replaced.
func (r *record) restore(incarnation string) {
	kept := r.retired[:0]
	for _, old := range r.retired {
		if old.incarnation != incarnation {
			kept = append(kept, old)
		}
	}
	r.retired = kept
}

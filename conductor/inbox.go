package conductor

import (
	"time"

	"apricotwinch/messenger"
)

// maxBatchPause bounds the time between two batches of reports.
const maxBatchPause = 50 * time.Millisecond

// WaitingReport is a report that waits to be applied.
type WaitingReport struct {
	Report     messenger.Report
	ReceivedAt time.Time
	// Adoptable is whether this owner may adopt the agent: the agent follows an epoch, or it is proven
	// that this owner had no successor when the agent first reported.
	Adoptable bool
	// Reply passes the reply, or the error, to the agent.
	Reply func(messenger.ReportReply, error)
}

// Inbox holds the reports that wait to be applied. They are applied in batches with one scheduling
// pass each, so that a report costs the less, the more of them wait. The zero value is empty.
type Inbox struct {
	waiting []*WaitingReport
}

// Add adds a report and returns the waiting reports that it supersedes, which are not applied.
func (b *Inbox) Add(r *WaitingReport) []*WaitingReport {
	var superseded []*WaitingReport
	kept := b.waiting[:0]
	for _, earlier := range b.waiting {
		if r.supersedes(earlier) {
			superseded = append(superseded, earlier)
		} else {
			kept = append(kept, earlier)
		}
	}
	b.waiting = append(kept, r)
	return superseded
}

// supersedes reports whether r contains all that an earlier report contains. An agent repeats ends
// and refusals until they are acknowledged, and waits for one answer of the owner at a time.
func (r *WaitingReport) supersedes(earlier *WaitingReport) bool {
	x, y := &r.Report, &earlier.Report
	return x.Host == y.Host && x.Incarnation == y.Incarnation && x.TicketMillis > y.TicketMillis && x.Epoch >= y.Epoch &&
		(r.Adoptable || !earlier.Adoptable) && (x.Whole || x.EndsOnly && !y.Whole)
}

// Take returns the waiting reports in order of arrival and removes them.
func (b *Inbox) Take() []*WaitingReport {
	batch := b.waiting
	b.waiting = nil
	return batch
}

// BatchPause returns the time to wait after a batch that took a time: batches leave half of a
// processor to the messages themselves, and more reports join the next one.
func BatchPause(took time.Duration) time.Duration { return min(took, maxBatchPause) }

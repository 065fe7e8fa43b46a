package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// TestLaterReportSupersedesWaitingOne guards against an overloaded owner that spends its processor on
// reports whose agents have given up the answer and reported again.
func TestLaterReportSupersedesWaitingOne(t *testing.T) {
	report := func(ticket int, change func(*messenger.Report)) *conductor.WaitingReport {
		r := messenger.Report{Host: "host", Incarnation: "1", TicketMillis: ticket, Epoch: 2, Whole: true}
		if change != nil {
			change(&r)
		}
		return &conductor.WaitingReport{Report: r, Adoptable: true}
	}
	endsOnly := func(r *messenger.Report) { r.Whole, r.EndsOnly = false, true }
	short := func(r *messenger.Report) { r.Whole = false }
	unproven := report(2, nil)
	unproven.Adoptable = false
	tests := []struct {
		name           string
		earlier, later *conductor.WaitingReport
		want           int
	}{
		{name: "whole report", earlier: report(1, nil), later: report(2, nil), want: 1},
		{name: "whole report after ends", earlier: report(1, endsOnly), later: report(2, nil), want: 1},
		{name: "ends after ends", earlier: report(1, endsOnly), later: report(2, endsOnly), want: 1},
		{name: "ends after a whole report", earlier: report(1, nil), later: report(2, endsOnly), want: 0},
		{name: "short report", earlier: report(1, endsOnly), later: report(2, short), want: 0},
		{name: "out of order", earlier: report(2, nil), later: report(1, nil), want: 0},
		{name: "other host", earlier: report(1, nil), later: report(2, func(r *messenger.Report) { r.Host = "other" }), want: 0},
		{name: "other process", earlier: report(1, nil), later: report(2, func(r *messenger.Report) { r.Incarnation = "2" }), want: 0},
		{name: "earlier epoch", earlier: report(1, nil), later: report(2, func(r *messenger.Report) { r.Epoch = 1 }), want: 0},
		{name: "without a proof", earlier: report(1, nil), later: unproven, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var inbox conductor.Inbox
			inbox.Add(test.earlier)
			if diff := cmp.Diff(test.want, len(inbox.Add(test.later))); diff != "" {
				t.Errorf("superseded reports (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(2-test.want, len(inbox.Take())); diff != "" {
				t.Errorf("waiting reports (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(0, len(inbox.Take())); diff != "" {
				t.Errorf("reports that wait still (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkBatchWithBacklog measures a report, with its share of the scheduling pass, in batches of one
// and of 16 reports while steps wait that fit nowhere.
func BenchmarkBatchWithBacklog(b *testing.B) {
	for _, steps := range []int{60, 600, 3000} {
		for _, batch := range []int{1, 16} {
			b.Run(fmt.Sprintf("steps=%d/batch=%d", steps, batch), func(b *testing.B) {
				c, reports, now := newBenchFleet(b, 240)
				spec := &messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(tasksPerHost, 2000, time.Hour)}}
				for i := range steps {
					id := fmt.Sprintf("%016x", 1<<20+i)
					if _, err := c.Submit(now, messenger.WorkloadRequest{Queue: batchQueue, Id: id, Spec: spec}); err != nil {
						b.Fatal(err)
					}
				}
				records, number := c.TakeWrites()
				c.AppendCommitted(number, records)
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					r := reports[i%len(reports)]
					r.TicketMillis = i + 2
					c.Report(now, now, r)
					if i%batch == batch-1 {
						c.Schedule(now)
					}
				}
			})
		}
	}
}

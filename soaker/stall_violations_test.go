package soaker_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/standin/performer"
)

// TestDetectorSeesStalls guards against a stall detector that overlooks accepted work that could run and doesn't, or
// that reports work that couldn't.
func TestDetectorSeesStalls(t *testing.T) {
	const seconds = 12
	start := time.Unix(1000, 0)
	event := func(second float64, name, outcome string) performer.Event {
		return performer.Event{At: start.Add(time.Duration(second * float64(time.Second))), Executor: "x", Task: name, Run: 1, Outcome: outcome}
	}
	two := []step{{Count: 1, CPU: 1000, Mem: 1000}, {Count: 1, CPU: 1000, Mem: 1000, After: []int{0}}}
	one := two[:1]
	tests := []struct {
		name     string
		workload *workload
		events   []performer.Event
		busy     bool // Whether over half of the capacity is in use.
		want     []string
	}{
		{name: "never started", workload: &workload{steps: one}, want: []string{"a.0.0"}},
		{name: "next step not started", workload: &workload{steps: two}, events: []performer.Event{event(0, "a.0.0.0", ""), event(2, "a.0.0.0", performer.Done)}, want: []string{"a.1.0"}},
		{name: "lost and not repeated", workload: &workload{steps: one}, events: []performer.Event{event(0, "a.0.0.0", ""), event(2, "a.0.0.0", performer.Lost)}, want: []string{"a.0.0"}},
		{name: "started in time", workload: &workload{steps: two}, events: []performer.Event{
			event(0, "a.0.0.0", ""), event(2, "a.0.0.0", performer.Done), event(4.9, "a.0.1.0", ""),
		}},
		{name: "short run between two samples", workload: &workload{steps: one}, events: []performer.Event{
			event(2.51, "a.0.0.0", ""), event(2.52, "a.0.0.0", performer.Failed), event(5.41, "a.0.0.0", ""),
		}},
		{name: "completed", workload: &workload{steps: one}, events: []performer.Event{event(0, "a.0.0.0", ""), event(2, "a.0.0.0", performer.Done)}},
		{name: "failed as often as it may", workload: &workload{steps: one}, events: []performer.Event{
			event(0, "a.0.0.0", ""), event(0.1, "a.0.0.0", performer.Failed), event(1, "a.0.0.0", ""), event(1.1, "a.0.0.0", performer.Failed),
			event(2, "a.0.0.0", ""), event(2.1, "a.0.0.0", performer.Failed),
		}},
		{name: "canceled", workload: &workload{steps: one, cancelSent: start}},
		{name: "room for one", workload: &workload{steps: []step{{Count: 1, CPU: capacityCPU, Mem: 1000}}}},
		{name: "long-running task without a run", workload: &workload{longRunning: true, steps: []step{{Count: 2, CPU: 1000, Mem: 1000}}}, events: []performer.Event{
			event(0, "a.0.0.0", ""), event(0, "a.0.0.1", ""), event(2, "a.0.0.1", performer.Lapsed),
		}, want: []string{"a.0.1"}},
		{name: "long-running task that restarts in time", workload: &workload{longRunning: true, steps: []step{{Count: 1, CPU: 1000, Mem: 1000}}}, events: []performer.Event{
			event(0, "a.0.0.0", ""), event(2, "a.0.0.0", performer.Lapsed), event(10.9, "a.0.0.0", ""),
		}},
		{name: "over half in use", workload: &workload{steps: []step{{Count: 1, CPU: 500, Mem: 500}}}, busy: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := test.workload
			w.id, w.accepted = "a", start
			events, workloads := test.events, []*workload{w}
			if test.busy {
				events = append(events, event(0, "b.0.0.0", ""))
				workloads = append(workloads, &workload{id: "b", steps: []step{{Count: 1, CPU: 3 * capacityCPU / 4, Mem: 1000}}})
			}
			d := newStallDetector()
			for now := start; now.Sub(start) < seconds*time.Second; now = now.Add(samplePeriod) {
				n := 0
				for n < len(events) && !events[n].At.After(now) {
					n++
				}
				d.sample(now, events[:n], workloads, []string{"x"})
			}
			var got []string
			for _, s := range d.found {
				got = append(got, s.task)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("tasks that stalled (-want +got):\n%s", diff)
			}
		})
	}
}

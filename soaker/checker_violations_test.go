package soaker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/standin/performer"
)

// TestCheckerSeesDoubledRuns guards against a checker that overlooks two runs of a task at a time, or a start of one
// whose completion is acknowledged, before or after that start.
func TestCheckerSeesDoubledRuns(t *testing.T) {
	const name = "a.0.0.0"
	run := func(executor string, number int, outcome string, acknowledged bool) performer.Event {
		return performer.Event{Executor: executor, StartedMillis: 1, Task: name, Run: number, Outcome: outcome, Acknowledged: acknowledged}
	}
	tests := []struct {
		name   string
		events []performer.Event
		want   []string
	}{
		{name: "repeat after an end that is never acknowledged", events: []performer.Event{
			run("x", 1, "", false), run("x", 1, performer.Done, false), run("y", 2, "", false),
		}},
		{name: "repeat after a lapse", events: []performer.Event{
			run("x", 1, "", false), run("x", 1, performer.Lapsed, false), run("y", 2, "", false), run("y", 2, performer.Done, false), run("y", 2, performer.Done, true),
		}},
		{name: "two at a time", events: []performer.Event{
			run("x", 1, "", false), run("y", 2, "", false),
		}, want: []string{"TWICE"}},
		{name: "acknowledged and started again", events: []performer.Event{
			run("x", 1, "", false), run("x", 1, performer.Done, false), run("x", 1, performer.Done, true), run("y", 2, "", false),
		}, want: []string{"TWICE"}},
		{name: "started again and acknowledged", events: []performer.Event{
			run("x", 1, "", false), run("x", 1, performer.Done, false), run("y", 2, "", false), run("x", 1, performer.Done, true),
		}, want: []string{"TWICE"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &workload{id: "a", steps: []step{{Count: 1}}}
			c := newChecker([]*workload{w})
			for i := range test.events {
				test.events[i].At = time.Unix(int64(i), 0)
			}
			c.checkEvents(test.events)
			var rules []string
			for _, violation := range c.violations {
				_, text, _ := strings.Cut(violation, ": ")
				rule, _, _ := strings.Cut(text, ":")
				rules = append(rules, rule)
			}
			if diff := cmp.Diff(test.want, rules); diff != "" {
				t.Errorf("rules of the violations (-want +got):\n%s\n%s", diff, strings.Join(c.violations, "\n"))
			}
		})
	}
}

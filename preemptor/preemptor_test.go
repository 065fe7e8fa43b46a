package preemptor_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/preemptor"
)

func processors(millis int64) apricotwinch.Resources { return apricotwinch.NewResources(millis, 0, 0) }

func run(workload string, millis int64) preemptor.Run {
	return preemptor.Run{Workload: workload, Need: processors(millis)}
}

func workload(running, tasks int) preemptor.Workload {
	return preemptor.Workload{Tasks: tasks, Running: running, MaxStops: tasks}
}

// TestChoose checks which runs give way.
func TestChoose(t *testing.T) {
	tests := []struct {
		name      string
		request   preemptor.Request
		workloads map[string]preemptor.Workload
		executors []preemptor.Executor
		want      *preemptor.Choice
	}{
		{
			name:      "of the workload that keeps most",
			request:   preemptor.Request{Need: processors(3000)},
			workloads: map[string]preemptor.Workload{"whole": workload(4, 4), "part": workload(2, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("part", 3000)}}, {Runs: []preemptor.Run{run("whole", 4000)}}},
			want:      &preemptor.Choice{Executor: 1, Runs: []int{0}, Freed: processors(4000)},
		},
		{
			name:      "where it fits best",
			request:   preemptor.Request{Need: processors(3000)},
			workloads: map[string]preemptor.Workload{"w": workload(4, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("w", 4000)}}, {Free: processors(500), Runs: []preemptor.Run{run("w", 2500)}}},
			want:      &preemptor.Choice{Executor: 1, Runs: []int{0}, Freed: processors(2500)},
		},
		{
			name:      "one rather than two",
			request:   preemptor.Request{Need: processors(5000)},
			workloads: map[string]preemptor.Workload{"a": workload(8, 8), "b": workload(8, 8), "c": workload(1, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("a", 2500), run("b", 2500)}}, {Runs: []preemptor.Run{run("c", 5000)}}},
			want:      &preemptor.Choice{Executor: 1, Runs: []int{0}, Freed: processors(5000)},
		},
		{
			name:      "two small ones for a large one",
			request:   preemptor.Request{Need: processors(5000), LeastShare: 0.5},
			workloads: map[string]preemptor.Workload{"a": workload(8, 8), "b": workload(8, 8), "c": workload(1, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("c", 5000), run("a", 2500), run("b", 2500)}}},
			want:      &preemptor.Choice{Executor: 0, Runs: []int{1, 2}, Freed: processors(5000)},
		},
		{
			name:      "no more than a workload may lose",
			request:   preemptor.Request{Need: processors(5000)},
			workloads: map[string]preemptor.Workload{"a": {Tasks: 8, Running: 8, MaxStops: 1}},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("a", 2500), run("a", 2500)}}},
		},
		{
			name:      "no workload that would have less",
			request:   preemptor.Request{Need: processors(3000), LeastShare: 0.5},
			workloads: map[string]preemptor.Workload{"a": workload(2, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("a", 3000)}}},
		},
		{
			name:      "nothing while there is room",
			request:   preemptor.Request{Need: processors(3000)},
			workloads: map[string]preemptor.Workload{"a": workload(4, 4)},
			executors: []preemptor.Executor{{Runs: []preemptor.Run{run("a", 3000)}}, {Free: processors(3000)}},
		},
		{
			name:      "nothing where memory is missing",
			request:   preemptor.Request{Need: apricotwinch.NewResources(1000, 1<<30, 0)},
			workloads: map[string]preemptor.Workload{"a": workload(4, 4)},
			executors: []preemptor.Executor{{Free: processors(1000), Runs: []preemptor.Run{run("a", 3000)}}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			choice, ok := preemptor.Choose(test.request, test.workloads, test.executors)
			var got *preemptor.Choice
			if ok {
				got = &choice
			}
			if diff := cmp.Diff(test.want, got, cmpopts.IgnoreUnexported(preemptor.Choice{}), cmp.Comparer(func(a, b apricotwinch.Resources) bool { return a == b })); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestChoiceKeepsItsBounds guards, with drawn loads, against a choice that makes no room or takes more from a workload than
// it may.
func TestChoiceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		workloads := map[string]preemptor.Workload{}
		for _, name := range names {
			tasks := rapid.IntRange(1, 8).Draw(t, "tasks")
			workloads[name] = preemptor.Workload{Tasks: tasks, Running: rapid.IntRange(0, tasks).Draw(t, "running"), MaxStops: rapid.IntRange(0, tasks).Draw(t, "stops")}
		}
		executors := make([]preemptor.Executor, rapid.IntRange(0, 4).Draw(t, "executors"))
		for i := range executors {
			executors[i].Free = processors(rapid.Int64Range(0, 3000).Draw(t, "free"))
			for range rapid.IntRange(0, 5).Draw(t, "runs") {
				executors[i].Runs = append(executors[i].Runs, run(rapid.SampledFrom(names).Draw(t, "workload"), rapid.Int64Range(500, 6000).Draw(t, "need")))
			}
		}
		r := preemptor.Request{Need: processors(rapid.Int64Range(500, 6000).Draw(t, "request")), LeastShare: rapid.Float64Range(0, 1).Draw(t, "least")}
		choice, ok := preemptor.Choose(r, workloads, executors)
		if !ok {
			return
		}
		stops := map[string]int{}
		room := executors[choice.Executor].Free
		for _, i := range choice.Runs {
			room = room.Add(executors[choice.Executor].Runs[i].Need)
			stops[executors[choice.Executor].Runs[i].Workload]++
		}
		if !r.Need.Fits(room) {
			t.Errorf("choice %v leaves %s for %s", choice, room, r.Need)
		}
		for name, n := range stops {
			w := workloads[name]
			if n > w.MaxStops || float64(w.Running-n) < r.LeastShare*float64(w.Tasks)-1e-9 {
				t.Errorf("choice %v stops %d runs of %+v, least share %.2f", choice, n, w, r.LeastShare)
			}
		}
	})
}

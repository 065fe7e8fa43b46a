package conductor_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// TestSizeOfSubmissions guards against a workload that stops the owner's writes, as the store takes no record or no
// append of its length, and against small submissions of many tasks that take the owner's memory.
func TestSizeOfSubmissions(t *testing.T) {
	payload := func(bytes int) messenger.WorkloadSpec {
		return messenger.WorkloadSpec{Payload: strings.Repeat("x", bytes), Steps: []messenger.StepSpec{tasks(1, 100, 0)}}
	}
	ofTasks := func(n int) messenger.WorkloadSpec {
		return messenger.WorkloadSpec{Steps: []messenger.StepSpec{tasks(n, 100, 0, longRunning)}}
	}
	for _, test := range []struct {
		name   string
		before []messenger.WorkloadSpec
		// records is the memory for records, in bytes; 0 for no bound.
		records int
		spec    messenger.WorkloadSpec
		want    apricotwinch.Kind
	}{
		{name: "record that the store takes", spec: payload(250_000)},
		{name: "record that the store doesn't take", spec: payload(262_144), want: apricotwinch.TooLarge},
		{name: "append that the store takes", before: []messenger.WorkloadSpec{payload(200_000), payload(200_000)}, spec: payload(200_000)},
		{
			name: "append that the store doesn't take", before: []messenger.WorkloadSpec{payload(200_000), payload(200_000), payload(200_000)},
			spec: payload(200_000), want: apricotwinch.Overloaded,
		},
		{name: "too many steps", spec: messenger.WorkloadSpec{Steps: make([]messenger.StepSpec, 1025)}, want: apricotwinch.Invalid},
		{name: "too many tasks", spec: ofTasks(20_001), want: apricotwinch.Invalid},
		{name: "tasks within the memory", before: []messenger.WorkloadSpec{ofTasks(15_000)}, spec: ofTasks(15_000)},
		{name: "tasks beyond the memory", before: []messenger.WorkloadSpec{ofTasks(15_000)}, spec: ofTasks(15_001), want: apricotwinch.Overloaded},
		{name: "one workload beyond the memory", spec: ofTasks(20_000)},
		{name: "large records within the memory", records: 500_000, before: []messenger.WorkloadSpec{payload(100_000), payload(100_000)}, spec: payload(40_000)},
		{name: "large records beyond the memory", records: 500_000, before: []messenger.WorkloadSpec{payload(100_000), payload(100_000)}, spec: payload(60_000), want: apricotwinch.Overloaded},
		{name: "small record beside large ones", records: 500_000, before: []messenger.WorkloadSpec{payload(120_000), payload(120_000)}, spec: payload(4000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := conductor.DefaultConfig()
			config.MaxTasks = 30_000
			config.MaxRecordBytes = test.records
			c := conductor.New(config, 1, true, hclog.NewNullLogger(), metrics.NewRegistry())
			c.SetCatalog(catalog())
			for i := range test.spec.Steps {
				test.spec.Steps[i].Tasks = max(1, test.spec.Steps[i].Tasks)
			}
			submit := func(id string, spec messenger.WorkloadSpec) error {
				_, err := c.Submit(origin, messenger.WorkloadRequest{Queue: watchQueue, Id: id, Spec: &spec})
				return err
			}
			for i, spec := range test.before {
				if err := submit(fmt.Sprint("before-", i), spec); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(test.want, apricotwinch.KindOf(submit("w", test.spec))); diff != "" {
				t.Errorf("kind of the refusal (-want +got):\n%s", diff)
			}
			if c.IsKnown("w") != (test.want == "") {
				t.Error("a refused workload is known, or an accepted one isn't")
			}
			// The room is given back by an append and by the end of workloads.
			records, number := c.TakeWrites()
			c.AppendCommitted(number, records)
			for i := range test.before {
				if _, err := c.Cancel(origin, fmt.Sprint("before-", i)); err != nil {
					t.Fatal(err)
				}
			}
			if err := submit("w", test.spec); test.want == apricotwinch.Overloaded && err != nil {
				t.Errorf("once there is room: %v", err)
			}
		})
	}
}

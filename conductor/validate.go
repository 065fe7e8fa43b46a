package conductor

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// Bounds of a workload's spec. Beyond them it would take the memory of the owner, or overflow.
const (
	// maxTasks bounds the tasks of a workload over all its occurrences.
	maxTasks = 100_000
	// maxMillis bounds a duration, in milliseconds: about 35 years.
	maxMillis = 1 << 40
	// maxAmount bounds the amount of one resource, in thousandths of a processor, bytes or pieces.
	maxAmount = 1 << 50
)

// checkSpec checks that a spec can be carried out without harm to the owner. The error is of the
// kind Invalid and names the field. A spec comes from callers, from other entries and from the
// journal.
func checkSpec(spec *messenger.WorkloadSpec) error {
	if len(spec.Steps) == 0 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "steps: is empty")
	}
	if spec.Repeats < 0 || spec.Repeats > maxTasks {
		return apricotwinch.Errorf(apricotwinch.Invalid, "repeats: %d is not between 0 and %d", spec.Repeats, maxTasks)
	}
	if spec.IntervalMillis < 0 || spec.IntervalMillis > maxMillis {
		return apricotwinch.Errorf(apricotwinch.Invalid, "intervalMillis: %d is not between 0 and %d", spec.IntervalMillis, maxMillis)
	}
	total := 0
	for n := range spec.Steps {
		if err := checkStep(n, &spec.Steps[n]); err != nil {
			return err
		}
		total += spec.Steps[n].Tasks * max(1, spec.Repeats)
		if total > maxTasks {
			return apricotwinch.Errorf(apricotwinch.Invalid, "steps/%d/tasks: the workload has more than %d tasks", n, maxTasks)
		}
	}
	return nil
}

func checkStep(n int, s *messenger.StepSpec) error {
	amounts := []struct {
		field string
		value int
		least int
		most  int
	}{
		{"tasks", s.Tasks, 1, maxTasks},
		{"estimateMillis", s.EstimateMillis, 0, maxMillis},
		{"resources/processorMillis", s.Resources.ProcessorMillis, 0, maxAmount},
		{"resources/memoryBytes", s.Resources.MemoryBytes, 0, maxAmount},
		{"resources/accelerators", s.Resources.Accelerators, 0, maxAmount},
	}
	for _, a := range amounts {
		if a.value < a.least || a.value > a.most {
			return apricotwinch.Errorf(apricotwinch.Invalid, "steps/%d/%s: %d is not between %d and %d", n, a.field, a.value, a.least, a.most)
		}
	}
	for _, after := range s.After {
		if after < 0 || after >= n {
			return apricotwinch.Errorf(apricotwinch.Invalid, "steps/%d/after: %d is not an earlier step", n, after)
		}
	}
	return nil
}

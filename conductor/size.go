package conductor

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Bounds of what a submission adds to the journal and to the memory of the owner. The journal may hold larger
// workloads of earlier versions.
const (
	// maxSubmittedSteps and maxSubmittedTasks bound the steps and the tasks of a workload over all its
	// occurrences; callers submit at most 5 steps and some hundred tasks.
	maxSubmittedSteps = 1024
	maxSubmittedTasks = 20_000
	// maxRecordBytes is the length of a record that the store takes, its key included.
	maxRecordBytes = 256 << 10
	// maxUnsentBytes bounds the records of workloads that one append accepts: the store takes 2 MiB a call,
	// which also holds those of an append that it has refused, and the progress of other workloads.
	maxUnsentBytes = 768 << 10
	// smallRecordBytes is the length of a record up to which it may take all of Config.MaxRecordBytes: callers send a text of
	// up to 4,000 bytes and at most 5 steps, so that few large records don't keep ordinary workloads out.
	smallRecordBytes = 16 << 10
)

// Reasons for which a workload is refused for its size, as counted.
const (
	sizeUnsent = "unsent"
	sizeTasks  = "tasks"
	sizeBytes  = "bytes"
)

// size is what a workload adds to the journal and to the memory of the owner.
type size struct {
	// tasks is the number of its tasks over all occurrences, and recordBytes the length of its record.
	tasks, recordBytes int
}

// checkSize checks that the journal and the memory of the owner have room for a workload. A refusal says that the workload
// isn't accepted. The error is Invalid for too many steps or tasks, TooLarge for a record that the store wouldn't take,
// and Overloaded while other workloads take the room.
func (c *Conductor) checkSize(now time.Time, request messenger.WorkloadRequest) (size, error) {
	spec := request.Spec
	if len(spec.Steps) > maxSubmittedSteps {
		return size{}, apricotwinch.Errorf(apricotwinch.Invalid, "steps: %d are more than %d", len(spec.Steps), maxSubmittedSteps)
	}
	total := countTasks(spec)
	if total > maxSubmittedTasks {
		return size{}, apricotwinch.Errorf(apricotwinch.Invalid, "steps: %d tasks are more than %d", total, maxSubmittedTasks)
	}
	record := messenger.WorkloadRecord{
		Queue: request.Queue, Id: request.Id, Epoch: int(c.epoch), AcceptedMillis: int(now.UnixMilli()), DataCentre: request.DataCentre, Spec: *spec,
	}
	encoded := encode(prefixWork+request.Id, record)
	bytes := len(encoded.Key()) + len(encoded.Value()) + 1
	switch {
	case bytes > maxRecordBytes:
		return size{}, apricotwinch.Errorf(apricotwinch.TooLarge, "workload: its record has %d bytes, the store takes %d", bytes, maxRecordBytes)
	case c.unsentBytes > 0 && c.unsentBytes+bytes > maxUnsentBytes:
		c.count("workloads.refused_" + sizeUnsent)
		return size{}, apricotwinch.Errorf(apricotwinch.Overloaded, "workload: %d bytes of others wait for the store", c.unsentBytes)
	case c.config.MaxTasks > 0 && c.openTasks > 0 && c.openTasks+total > c.config.MaxTasks:
		c.count("workloads.refused_" + sizeTasks)
		return size{}, apricotwinch.Errorf(apricotwinch.Overloaded, "workload: workloads that have not ended have %d tasks", c.openTasks)
	}
	if !c.hasRoomForRecord(bytes) {
		c.count("workloads.refused_" + sizeBytes)
		return size{}, apricotwinch.Errorf(apricotwinch.Overloaded, "workload: the records of others have %d bytes", c.heldBytes)
	}
	return size{tasks: total, recordBytes: bytes}, nil
}

// hasRoomForRecord reports whether a record of a length may be held in memory beside the others.
func (c *Conductor) hasRoomForRecord(bytes int) bool {
	most := c.config.MaxRecordBytes
	if bytes > smallRecordBytes {
		most /= 2
	}
	return c.config.MaxRecordBytes <= 0 || c.heldBytes == 0 || c.heldBytes+bytes <= most
}

// trim frees the spec and the tasks of a workload once its end is durable and it has no run any more. A run that is still
// listed later is stopped like one of a workload that had ended before this owner began.
func (w *workload) trim() {
	if !w.terminal() || w.durableState != w.state || w.runs > 0 {
		return
	}
	w.spec, w.occurrences = messenger.WorkloadSpec{}, nil
}

// countTasks returns the number of tasks over all occurrences.
func countTasks(spec *messenger.WorkloadSpec) int {
	total := 0
	for i := range spec.Steps {
		total += spec.Steps[i].Tasks
	}
	return total * max(1, spec.Repeats)
}

// processors returns what all tasks of one occurrence of a workload take, in thousandths of a processor.
func (w *workload) processors() int64 {
	var sum int64
	for i := range w.spec.Steps {
		sum += int64(w.spec.Steps[i].Tasks) * w.spec.Steps[i].Resources.Value().ProcessorMillis()
	}
	return sum
}

package performer

import (
	"encoding/json"
	"fmt"
	"time"
)

// taskSpec is the decoded text of a task: what an executor does in each run of it.
type taskSpec struct {
	// Millis is the run time at full speed, in milliseconds.
	Millis int `json:"millis"`
	// LongRunning is true for a task that runs until it is stopped.
	LongRunning bool `json:"lasts,omitempty"`
	// Fails is the number of runs, from the first on, that fail.
	Fails int `json:"fails,omitempty"`
	// TailMillis is the tail latency of a serving task that nothing disturbs, in milliseconds.
	TailMillis int `json:"tail,omitempty"`
	// DisturbanceMillis is what a run at full speed adds to the tail latency of each serving task on its
	// executor, in milliseconds.
	DisturbanceMillis float64 `json:"disturbance,omitempty"`
	// Client makes the texts of different workloads distinct.
	Client string `json:"client,omitempty"`
}

// EncodeTaskSpec returns the text of a task. The task runs for duration at full speed, or until it
// is stopped if longRunning is true. Its first runs, fails in number, fail.
func EncodeTaskSpec(client string, duration time.Duration, longRunning bool, fails int) string {
	return encode(taskSpec{Millis: int(duration.Milliseconds()), LongRunning: longRunning, Fails: fails, Client: client})
}

// EncodeServingTaskSpec returns the text of a long-running task that serves with the given tail
// latency while nothing disturbs it.
func EncodeServingTaskSpec(client string, tail time.Duration) string {
	return encode(taskSpec{LongRunning: true, TailMillis: int(tail.Milliseconds()), Client: client})
}

// EncodeDisturbingTaskSpec returns the text of a task that runs for duration at full speed and meanwhile
// adds disturbance to the tail latency of each serving task on its executor.
func EncodeDisturbingTaskSpec(client string, duration, disturbance time.Duration) string {
	return encode(taskSpec{Millis: int(duration.Milliseconds()), DisturbanceMillis: disturbance.Seconds() * 1000, Client: client})
}

func encode(spec taskSpec) string {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// checkpoint returns the newest checkpoint of a run: the work done, in milliseconds as 16
// hexadecimal digits. Without a checkpoint of its own, and for a long-running task, it is the one
// that the run resumed from.
func (p *Performer) checkpoint(r *run) string {
	done := time.Duration(r.spec.Millis)*time.Millisecond - max(0, r.remaining)
	steps := done / p.config.CheckpointEvery
	if steps <= 0 || r.spec.LongRunning {
		return r.resumedFrom
	}
	return fmt.Sprintf("%016x", (steps * p.config.CheckpointEvery).Milliseconds())
}

// resume returns the work that remains after a checkpoint; an empty checkpoint is the start.
func (s taskSpec) resume(checkpoint string) (time.Duration, error) {
	total := time.Duration(s.Millis) * time.Millisecond
	if checkpoint == "" {
		return total, nil
	}
	var millis int64
	if _, err := fmt.Sscanf(checkpoint, "%x", &millis); err != nil {
		return 0, err
	}
	return max(0, total-time.Duration(millis)*time.Millisecond), nil
}

// percent returns the progress of a run in percent; a long-running one is always at 100.
func (r *run) percent() int {
	if r.spec.LongRunning || r.spec.Millis == 0 {
		return 100
	}
	total := time.Duration(r.spec.Millis) * time.Millisecond
	return int(100 * (total - max(0, r.remaining)) / total)
}

// tailLatency returns the tail latency of a serving run, in milliseconds; 0 for any other run. p.mu is
// held.
func (p *Performer) tailLatency(r *run) int {
	if r.spec.TailMillis == 0 {
		return 0
	}
	tail := float64(r.spec.TailMillis)
	for _, other := range p.runs {
		tail += other.spec.DisturbanceMillis * other.speed
	}
	return int(tail)
}

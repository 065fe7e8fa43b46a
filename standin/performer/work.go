package performer

import (
	"encoding/json"
	"fmt"
	"time"
)

// work is what the text of a task tells an executor to do.
type work struct {
	// Millis is how long the task works at full speed.
	Millis int `json:"millis"`
	// Lasts means that it works until it is stopped.
	Lasts bool `json:"lasts,omitempty"`
	// Fails is the number of its runs that fail; the runs are numbered from 1.
	Fails int `json:"fails,omitempty"`
	// Client tells the texts of workloads apart.
	Client string `json:"client,omitempty"`
}

// Work returns the text of a task that works for a time, and lasts, or fails in its
// first runs.
func Work(client string, takes time.Duration, lasts bool, fails int) string {
	data, err := json.Marshal(work{Millis: int(takes.Milliseconds()), Lasts: lasts, Fails: fails, Client: client})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// saved returns the checkpoint of a run: the work that is done, in milliseconds.
func (p *Performer) saved(r *run) string {
	done := time.Duration(r.spec.Millis)*time.Millisecond - max(0, r.left)
	steps := done / p.config.SaveEvery
	if steps <= 0 || r.spec.Lasts {
		return r.resumed
	}
	return fmt.Sprintf("%016x", (steps * p.config.SaveEvery).Milliseconds())
}

// resume returns the work that is left after a checkpoint.
func (w work) resume(saved string) (time.Duration, error) {
	whole := time.Duration(w.Millis) * time.Millisecond
	if saved == "" {
		return whole, nil
	}
	var millis int64
	if _, err := fmt.Sscanf(saved, "%x", &millis); err != nil {
		return 0, err
	}
	return max(0, whole-time.Duration(millis)*time.Millisecond), nil
}

// percent returns how much of a run is done; 100 for a lasting one at work.
func (r *run) percent() int {
	if r.spec.Lasts || r.spec.Millis == 0 {
		return 100
	}
	whole := time.Duration(r.spec.Millis) * time.Millisecond
	return int(100 * (whole - max(0, r.left)) / whole)
}

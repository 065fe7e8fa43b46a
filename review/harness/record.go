package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record writes lines with the time since the start to a file. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	writer *bufio.Writer
	events []event
}

// Kinds of events of an executor.
const (
	eventStart = "start"
	eventEnd   = "end"
	eventSeen  = "seen"
	eventCrash = "crash"
)

// event is something that an executor has seen.
type event struct {
	at       time.Time
	kind     string
	executor string
	born     int64
	task     string
	run      int
	how      string
	labels   []string
	requires string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), fmt.Sprintf(format, arguments...))
}

// write writes one line; r.mu is held.
func (r *record) write(at time.Time, line string) {
	fmt.Fprintf(r.writer, "%9.3f %s\n", at.Sub(r.began).Seconds(), line)
}

// add records an event of an executor.
func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	r.write(e.at, fmt.Sprintf("%s executor=%s born=%d task=%s run=%d how=%s", e.kind, e.executor, e.born, e.task, e.run, e.how))
}

// seconds returns a time as seconds since the start of the record.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// snapshot returns the events so far.
func (r *record) snapshot() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// life is one incarnation of an executor, and endKey one run there.
type life struct {
	executor string
	born     int64
}

type runKey struct {
	task string
	run  int
}

type endKey struct {
	life
	runKey
}

// findRunsTwice returns the violations of the rule TWICE: two runs of a task at the same time on
// executors that are up, or a start after a run has ended as done whose end is acknowledged at any
// time.
func (r *record) findRunsTwice() []string {
	events := r.snapshot()
	acknowledged := map[endKey]bool{}
	for _, e := range events {
		if e.kind == eventSeen {
			acknowledged[endKey{life{e.executor, e.born}, runKey{e.task, e.run}}] = true
		}
	}
	var violations []string
	active := map[string][]event{}
	done := map[string]event{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			for _, other := range active[e.task] {
				violations = append(violations, fmt.Sprintf("TWICE at %.3f s: %s run %d starts on %s while run %d runs on %s since %.3f s",
					r.seconds(e.at), e.task, e.run, e.executor, other.run, other.executor, r.seconds(other.at)))
			}
			if d, ok := done[e.task]; ok && acknowledged[endKey{life{d.executor, d.born}, runKey{d.task, d.run}}] {
				violations = append(violations, fmt.Sprintf("TWICE at %.3f s: %s run %d starts on %s after run %d had ended as done on %s at %.3f s",
					r.seconds(e.at), e.task, e.run, e.executor, d.run, d.executor, r.seconds(d.at)))
			}
			active[e.task] = append(active[e.task], e)
		case eventEnd:
			active[e.task] = slices.DeleteFunc(active[e.task], func(a event) bool { return a.executor == e.executor && a.run == e.run })
			if _, ok := done[e.task]; !ok && e.how == "done" {
				done[e.task] = e
			}
		case eventCrash:
			for task, list := range active {
				active[task] = slices.DeleteFunc(list, func(a event) bool { return a.executor == e.executor })
			}
		}
	}
	return violations
}

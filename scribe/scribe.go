// Package scribe writes logs without ever blocking their author: lines wait in a
// buffer of fixed size, and those that find it full are counted and dropped.
package scribe

import (
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxWaitingBytes bounds the lines that wait for the output, in bytes.
const maxWaitingBytes = 256 << 10

// Scribe is a writer of whole lines. It is safe for concurrent use.
type Scribe struct {
	out     io.Writer
	wake    chan struct{}
	dropped metrics.Counter

	mu      sync.Mutex
	waiting []byte
	lost    int
}

// New returns a scribe that writes to out while Run runs.
func New(out io.Writer, registry metrics.Registry) *Scribe {
	return &Scribe{
		out:     out,
		wake:    make(chan struct{}, 1),
		dropped: metrics.GetOrRegisterCounter("log.dropped_lines", registry),
	}
}

// Write takes one line and returns at once.
func (s *Scribe) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > maxWaitingBytes {
		s.lost++
		s.dropped.Inc(1)
		return len(line), nil
	}
	if s.lost > 0 {
		s.waiting = fmt.Appendf(s.waiting, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", s.lost)
		s.lost = 0
	}
	s.waiting = append(s.waiting, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes the waiting lines until done is closed, and then what is left.
func (s *Scribe) Run(done <-chan struct{}) {
	for {
		select {
		case <-s.wake:
			s.flush()
		case <-done:
			s.flush()
			return
		}
	}
}

// flush writes what waits. An output that fails has no reader any more, so that
// its error can't be told to anyone.
func (s *Scribe) flush() {
	s.mu.Lock()
	lines := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	if len(lines) > 0 {
		_, _ = s.out.Write(lines)
	}
}

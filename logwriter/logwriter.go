// Package logwriter implements a non-blocking log writer. Lines wait for the output in a buffer
// of bounded size; lines that don't fit are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// maxBufferedBytes bounds the total length of the buffered lines.
const maxBufferedBytes = 256 << 10

// Writer is an io.Writer that buffers whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	dropped metrics.Counter

	mu         sync.Mutex
	buffer     []byte
	unreported int
}

// New returns a writer whose lines are written to out while Run runs. It counts the dropped
// lines in registry.
func New(out io.Writer, registry metrics.Registry) *Writer {
	return &Writer{
		out:     out,
		wake:    make(chan struct{}, 1),
		dropped: metrics.GetOrRegisterCounter("log.dropped_lines", registry),
	}
}

// Write buffers one line without waiting for the output, or drops the line when the buffer
// is full; it never fails. The next line that fits is preceded by a log line with the number
// of dropped lines.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.unreported++
		w.dropped.Inc(1)
		return len(line), nil
	}
	if w.unreported > 0 {
		w.buffer = fmt.Appendf(w.buffer, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", w.unreported)
		w.unreported = 0
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes buffered lines to the output until done is closed, then writes the remaining
// lines and returns.
func (w *Writer) Run(done <-chan struct{}) {
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-done:
			w.flush()
			return
		}
	}
}

// flush writes the buffered lines to the output. It ignores errors: an output that fails has
// no reader, and there is no other place to report the error.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

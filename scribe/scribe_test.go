package scribe_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/scribe"
)

func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	s := scribe.New(&out, metrics.NewRegistry())
	done := make(chan struct{})
	fmt.Fprintln(s, "one")
	fmt.Fprintln(s, "two")
	close(done)
	s.Run(done)
	if diff := cmp.Diff("one\ntwo\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

// TestStalledReaderBlocksNobody holds that an author is never blocked by an output
// that nobody reads, that what waits is bounded, and that losses are told.
func TestStalledReaderBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	registry := metrics.NewRegistry()
	s := scribe.New(writer, registry)
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.Run(done) }()
	line := strings.Repeat("x", 1023) + "\n"
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 2000 {
			io.WriteString(s, line)
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("a line blocked its author")
	}
	dropped := metrics.GetOrRegisterCounter("log.dropped_lines", registry).Count()
	if dropped < 1000 {
		t.Errorf("dropped = %d of 2000, want most", dropped)
	}
	output := make(chan string, 1)
	go func() {
		data, err := io.ReadAll(reader)
		if err != nil {
			t.Error(err)
		}
		output <- string(data)
	}()
	for !strings.Contains(flushed(s, registry), "told") {
		time.Sleep(time.Millisecond)
	}
	close(done)
	<-stopped
	writer.Close()
	if got := <-output; !strings.Contains(got, "log lines dropped") {
		t.Error("the dropped lines are not told")
	}
}

// flushed writes one more line and tells whether it was taken.
func flushed(s *scribe.Scribe, registry metrics.Registry) string {
	before := metrics.GetOrRegisterCounter("log.dropped_lines", registry).Count()
	io.WriteString(s, "last\n")
	if metrics.GetOrRegisterCounter("log.dropped_lines", registry).Count() > before {
		return "dropped"
	}
	return "told"
}

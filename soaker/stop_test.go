package soaker_test

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestShutdownIsLogged holds that a process that is told to stop ends within its time, and
// that its log says so with its last line.
func TestShutdownIsLogged(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	if !f.ready(readyWithin) {
		t.Fatalf("not ready within %s\n%s", readyWithin, f.tails())
	}
	tests := []struct {
		process *process
		want    string
	}{
		{process: f.entries[0].process, want: "entry stopped"},
		{process: f.hosts[0].process, want: "agent stopped"},
	}
	for _, test := range tests {
		t.Run(test.process.name, func(t *testing.T) {
			began := time.Now()
			test.process.terminate()
			if took := time.Since(began); took >= stopTimeout {
				t.Errorf("it was killed after %s", took)
			}
			log, err := os.ReadFile(test.process.logFile)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSpace(string(log)), "\n")
			if last := lines[len(lines)-1]; !strings.Contains(last, test.want) {
				t.Errorf("last line %s, want %q", last, test.want)
			}
		})
	}
}

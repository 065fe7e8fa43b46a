package soaker_test

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestShutdownIsLogged checks that a process exits within stopTimeout after SIGTERM, and that
// the last line of its log reports the shutdown.
func TestShutdownIsLogged(t *testing.T) {
	f := newFleet(t, 1, 1, 1)
	if !f.waitReady(readyTimeout) {
		t.Fatalf("not ready within %s\n%s", readyTimeout, f.logTails())
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
				t.Errorf("the process was killed after %s, want a graceful shutdown", took)
			}
			log, err := os.ReadFile(test.process.logFile)
			if err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSpace(string(log)), "\n")
			if last := lines[len(lines)-1]; !strings.Contains(last, test.want) {
				t.Errorf("last log line %s, want it to contain %q", last, test.want)
			}
		})
	}
}

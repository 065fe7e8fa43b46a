package conductor_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestWorkloadWithoutRunIsLogged guards against workloads of which nothing runs and about which the log says nothing.
func TestWorkloadWithoutRunIsLogged(t *testing.T) {
	var logs bytes.Buffer
	sim := newSimulation(t, 1, 2)
	sim.logger = hclog.New(&hclog.LoggerOptions{Output: &logs, Level: hclog.Info, DisableTime: true})
	sim.replaceOwner(true)
	sim.run(2 * time.Second)
	sim.submit(urgentQueue, "runs", tasks(1, 1000, time.Hour))
	sim.submit(urgentQueue, "waits", tasks(1, 99_000, time.Hour))
	const line = "workload without a run: workload="
	sim.run(2 * time.Second)
	if strings.Contains(logs.String(), line) {
		t.Errorf("logged after 2 s:\n%s", logs.String())
	}
	sim.run(3 * time.Second)
	if !strings.Contains(logs.String(), line+"waits") || strings.Contains(logs.String(), line+"runs") {
		t.Errorf("logged after 5 s, want a line about the workload that waits alone:\n%s", logs.String())
	}
}

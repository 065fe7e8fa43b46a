package leaser_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/messenger"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestPromisesUnderFaults runs a host under lost, late and repeated messages,
// pauses and restarts of the agent. No attempt starts twice or after a refusal or
// without a fresh proof of its data centre, none runs past a granted lease, the
// host is never overcommitted, and every end reaches the owner.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		for range 60 {
			w.run(time.Second)
			if w.chance(4) {
				w.paused = w.now.Add(time.Duration(w.rand.IntN(20_000)) * time.Millisecond)
			}
			if w.chance(3) {
				w.restart()
			}
		}
		w.faults = false
		w.run(2 * time.Minute)
		if diff := cmp.Diff([]string(nil), w.unsettled()); diff != "" {
			t.Errorf("ends that did not reach the owner (-want +got):\n%s", diff)
		}
		for ref, phase := range w.ended {
			if w.finals[ref] == messenger.ReportRefused {
				t.Errorf("attempt %v ran and was reported as refused", ref)
			}
			if phase == "completed" && w.finals[ref] != messenger.ReportCompleted {
				t.Errorf("attempt %v completed and was reported %q", ref, w.finals[ref])
			}
		}
		if running := w.leaser.Running(); running != 0 {
			t.Errorf("%d attempts still run", running)
		}
	})
}

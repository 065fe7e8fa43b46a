package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Limits of a soak test.
const (
	// readyTimeout is how long a deployment may take to become ready.
	readyTimeout = 20 * time.Second
	// settleTimeout is the time after the last fault within which every workload must
	// finish.
	settleTimeout = 30 * time.Second
	// submitPeriod is the mean time between two workloads.
	submitPeriod = 120 * time.Millisecond
	// evacuationTimeout is how long after the evacuation of a zone a task may still start
	// there.
	evacuationTimeout = 5 * time.Second
	// cancelTimeout is how long tasks of a workload may still run after its cancellation was
	// confirmed.
	cancelTimeout = 3200 * time.Millisecond
)

// environmentInt returns the value of an environment variable, or fallback when it isn't
// set.
func environmentInt(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// regressions are seeds that failed in the past, each with the cause.
var regressions = []struct {
	seed    uint64
	seconds int
	cause   string
}{
	{seed: 1, seconds: 10, cause: "fault of the soak test: run numbers skip values when a new owner takes over, and tasks that must always fail failed only 1000 times"},
	{seed: 3, seconds: 10, cause: "fault of the soak test: a cancellation was checked before its timeout was over"},
	{seed: 305, seconds: 20, cause: "fault of the soak test: more long-running workloads than the deployment can hold"},
	{seed: 1049, seconds: 10, cause: "retries of a submission whose append got no answer were answered as refused: REFUSED"},
	{seed: 111, seconds: 20, cause: "an executor restarted with the same id dropped the ended runs of its new incarnation because those of the previous incarnation were acknowledged to it: BUDGET"},
	{seed: 116, seconds: 20, cause: "the capacity reserved for urgent work was in the data centre that was taken out of service: LOST"},
}

// TestSoak runs the soak test for several seeds and, if SOAK_REGRESSIONS is set, for the
// seeds that failed in the past, as they were played then. Each fault that those found also has a
// deterministic test.
func TestSoak(t *testing.T) {
	first := environmentInt(t, "SOAK_FIRST", 1)
	for i := range environmentInt(t, "SOAK_SEEDS", 1) {
		t.Run(fmt.Sprint("seed-", first+i), func(t *testing.T) {
			t.Parallel()
			runSeed(t, uint64(first+i), environmentInt(t, "SOAK_SECONDS", 10), true)
		})
	}
	if os.Getenv("SOAK_REGRESSIONS") == "" {
		return
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint("regression-", r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, r.seconds, false)
		})
	}
}

// slowPeriod is the mean time between two workloads with slow tasks.
const slowPeriod = 2 * time.Second

// runSeed runs the soak test for one seed, with faults for the given number of seconds. withRebirths adds
// rebirthFaults and workloads with slow tasks.
func runSeed(t *testing.T, seed uint64, seconds int, withRebirths bool) {
	t.Helper()
	f := newFleet(t, environmentInt(t, "SOAK_ENTRIES", 3), environmentInt(t, "SOAK_HOSTS", 5), seed)
	p := plan{inject: func() []string { return injectFaults(f, seed, time.Duration(seconds)*time.Second, withRebirths) }, evacuates: true, stallSettle: stallSettle}
	if withRebirths {
		p.slowPeriod = slowPeriod
	}
	soak(t, f, seed, p)
}

// plan is what a soak test does.
type plan struct {
	// inject injects faults and returns a description of each.
	inject func() []string
	// slowPeriod is the mean time between two workloads with slow tasks; 0 for none.
	slowPeriod time.Duration
	// evacuates is whether to check an evacuation after the faults.
	evacuates bool
	// stallSettle is how long after the faults stalls count.
	stallSettle time.Duration
	// failing holds the hosts whose executors fail until the end.
	failing []*host
	// submit, if not nil, submits the workloads in place of random ones, until stop is closed.
	submit func(c *callers, stop <-chan struct{})
}

// soak submits workloads while faults are injected, and checks what callers and executors observed.
func soak(t *testing.T, f *fleet, seed uint64, p plan) {
	t.Helper()
	if !f.waitReady(readyTimeout) {
		t.Fatalf("not ready within %s\n%s", readyTimeout, f.logTails())
	}
	c := newCallers(f, rand.New(rand.NewPCG(seed, 2)))
	stop := make(chan struct{})
	submit := p.submit
	if submit == nil {
		submit = submitAtRandom
	}
	c.background.Go(func() { submit(c, stop) })
	c.background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pollPeriod):
				c.pollAll()
			}
		}
	})
	if p.slowPeriod > 0 {
		c.submitSlow(seed, p.slowPeriod, stop)
	}
	injected := p.inject()
	watch := f.watchStalls(c, time.Now().Add(p.stallSettle), p.failing)
	close(stop)
	c.background.Wait()
	for deadline := time.Now().Add(settleTimeout); c.pollAll()+int(watch.pending.Load()) > 0 && time.Now().Before(deadline); {
		time.Sleep(pollPeriod)
	}
	stalls := watch.finish()
	if p.evacuates {
		checkEvacuation(t, f, c)
	}
	time.Sleep(cancelTimeout)
	verifier := newChecker(c.workloads)
	verifier.checkEvents(f.recordedEvents())
	verifier.checkSettled(time.Now())
	verifier.violations = append(verifier.violations, stalls...)
	t.Logf("%d workloads, %d events, %d faults, longest stall %s in %d samples, %d with under half in use", len(c.workloads), len(f.recordedEvents()), len(injected),
		watch.detector.longest, watch.detector.samples, watch.detector.freeSamples)
	if len(verifier.violations) > 0 {
		t.Errorf("seed %d:\n%s\ninjected faults:\n%s\nlogs: %s", seed, strings.Join(verifier.violations, "\n"), strings.Join(injected, "\n"), f.keepLogs(seed))
	}
}

// submitAtRandom submits random workloads until stop is closed.
func submitAtRandom(c *callers, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.randomInt(int(2 * submitPeriod)))):
			c.submitRandom()
		}
	}
}

// checkEvacuation checks that, without faults, no task starts in a zone more than
// evacuationTimeout after it was taken out of service.
func checkEvacuation(t *testing.T, f *fleet, c *callers) {
	t.Helper()
	f.evacuate(zones[0], true)
	evacuatedAt := time.Now()
	for time.Since(evacuatedAt) < evacuationTimeout+time.Second {
		c.submitRandom()
		time.Sleep(submitPeriod)
	}
	for deadline := time.Now().Add(settleTimeout); c.pollAll() > 0 && time.Now().Before(deadline); {
		time.Sleep(pollPeriod)
	}
	for _, e := range f.recordedEvents() {
		if e.Outcome == "" && e.Zone == zones[0] && e.At.Sub(evacuatedAt) > evacuationTimeout {
			t.Errorf("EVAC: %s run %d started %s after its zone was taken out of service", e.Task, e.Run, e.At.Sub(evacuatedAt))
		}
	}
	c.background.Wait()
	f.evacuate(zones[0], false)
}

// keepLogs copies the logs of a failed seed to a directory below SOAK_LOGS. It returns that
// directory, or why there is none.
func (f *fleet) keepLogs(seed uint64) string {
	directory := os.Getenv("SOAK_LOGS")
	if directory == "" {
		return "not kept; set SOAK_LOGS to a directory"
	}
	target := filepath.Join(directory, fmt.Sprint("seed-", seed))
	if err := os.CopyFS(target, os.DirFS(f.directory)); err != nil {
		return err.Error()
	}
	return target
}

// logTails returns the last 1000 bytes of each log.
func (f *fleet) logTails() string {
	var all strings.Builder
	logs, err := filepath.Glob(filepath.Join(f.directory, "*.log"))
	if err != nil {
		return err.Error()
	}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return err.Error()
		}
		fmt.Fprintf(&all, "%s:\n%s\n", filepath.Base(path), data[max(0, len(data)-1000):])
	}
	return all.String()
}

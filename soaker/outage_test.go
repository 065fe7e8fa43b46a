package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/performer"
)

// Times of a store that rejects appends before executors fail.
const (
	outageEntries, outageHosts = 4, 12
	// outageAfter is how long workloads are submitted before the outage, and trafficAfter how long after it.
	outageAfter, trafficAfter = 4 * time.Second, 7 * time.Second
	minOutage, maxOutage      = 2 * time.Second, 3 * time.Second
	// failingShare is the number of executors of which one fails, within maxFailDelay of the end of the outage.
	failingShare = 4
	maxFailDelay = 2 * time.Second
	// minFailing and maxFailing bound how long it fails, if not until the end.
	minFailing, maxFailing = 3 * time.Second, 6 * time.Second
	// stallSettleFailing is how long after the faults stalls count. The store has been up for long then.
	stallSettleFailing = 3 * time.Second
)

// Mean times between two workloads, and the number of serving ones.
const (
	smallPeriod      = 500 * time.Millisecond
	bestEffortPeriod = 1400 * time.Millisecond
	servingWorkloads = 2
)

// servingTarget is the tail latency that serving tasks must keep, servingTail the one without disturbance.
const servingTarget, servingTail = 18 * time.Millisecond, 4 * time.Millisecond

// setSmall sets up a workload of short tasks in steps one after the other.
func (w *workload) setSmall(random *rand.Rand) {
	const runTime = time.Second
	w.queue, w.spec = "/urgent/", performer.EncodeTaskSpec(w.id, runTime, false, 0)
	w.addSteps(1+random.IntN(3), func() step {
		return step{Count: 3 + random.IntN(18), CPU: 350, Mem: 200, Estimate: int(runTime.Milliseconds())}
	})
}

// setBestEffort sets up a workload of best-effort tasks, which disturb serving tasks by amounts that differ by image.
func (w *workload) setBestEffort(random *rand.Rand) {
	const runTime = 2200 * time.Millisecond
	image := random.IntN(6)
	disturbance := time.Duration(image*image) * 500 * time.Microsecond
	w.queue, w.spec = "/batch/", performer.EncodeDisturbingTaskSpec(w.id, runTime, disturbance)
	w.addSteps(2, func() step {
		return step{
			Count: 10 + random.IntN(21), CPU: 1800, Mem: 800, Estimate: int(runTime.Milliseconds()), BestEffort: true, Checkpoints: true,
			Image: fmt.Sprint("best-effort-", image),
		}
	})
}

// setServing sets up a long-running workload of tasks with a target for their tail latency.
func (w *workload) setServing(random *rand.Rand) {
	w.queue, w.spec, w.longRunning = "/urgent/", performer.EncodeServingTaskSpec(w.id, servingTail), true
	w.addSteps(1, func() step {
		return step{Count: 3 + random.IntN(4), CPU: 3200, Mem: 1600, LongRunning: true, Image: "serving", TargetMillis: int(servingTarget.Milliseconds())}
	})
}

// addSteps adds n steps, each after the one before it.
func (w *workload) addSteps(n int, next func() step) {
	for i := range n {
		s := next()
		if i > 0 {
			s.After = []int{i - 1}
		}
		w.steps = append(w.steps, s)
	}
}

// submitMix submits serving workloads, and small and best-effort ones until stop is closed. It cancels a tenth of the
// best-effort ones.
func submitMix(c *callers, stop <-chan struct{}) {
	submit := func(set func(*workload, *rand.Rand), cancels bool) {
		c.mu.Lock()
		w := &workload{id: fmt.Sprintf("%016x", c.random.Uint64())}
		set(w, c.random)
		c.workloads = append(c.workloads, w)
		c.mu.Unlock()
		c.submitInBackground(w, cancels, time.Second)
	}
	for range servingWorkloads {
		submit((*workload).setServing, false)
	}
	small, bestEffort := time.After(0), time.After(0)
	for {
		select {
		case <-stop:
			return
		case <-small:
			submit((*workload).setSmall, false)
			small = time.After(time.Duration(c.randomInt(int(2 * smallPeriod))))
		case <-bestEffort:
			submit((*workload).setBestEffort, c.randomInt(10) == 0)
			bestEffort = time.After(time.Duration(c.randomInt(int(2 * bestEffortPeriod))))
		}
	}
}

// executorFailure is how executors fail after the outage.
type executorFailure struct {
	faults performer.Faults
	// lasts is whether they fail until the end.
	lasts bool
}

// executorFailures are the failures that seeds take in turn, from seed 1 on.
var executorFailures = []executorFailure{
	{faults: performer.Faults{RejectStarts: true}, lasts: true},
	{faults: performer.Faults{FailFraction: 1}, lasts: true},
	{faults: performer.Faults{RejectStarts: true}},
	{faults: performer.Faults{FailFraction: 1}},
}

// TestStoreRejectsAppendsThenExecutorsFail guards against accepted workloads that have nothing running, though there is
// room, after the store rejected appends for some seconds and while some executors fail all that they start.
func TestStoreRejectsAppendsThenExecutorsFail(t *testing.T) {
	first := environmentInt(t, "SOAK_FIRST", 1)
	for i := range environmentInt(t, "SOAK_SEEDS", 1) {
		seed := uint64(first + i)
		failure := executorFailures[(seed-1)%uint64(len(executorFailures))]
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			knownRed(t)
			t.Parallel()
			f := newFleet(t, environmentInt(t, "SOAK_ENTRIES", outageEntries), environmentInt(t, "SOAK_HOSTS", outageHosts), seed)
			random := rand.New(rand.NewPCG(seed, 1))
			failing := failingHosts(f, random)
			p := plan{submit: submitMix, stallSettle: stallSettleFailing}
			if failure.lasts {
				p.failing = failing
			}
			p.inject = func() []string { return f.rejectAppendsThenFail(random, failing, failure) }
			soak(t, f, seed, p)
		})
	}
}

// failingHosts returns the hosts whose executors fail.
func failingHosts(f *fleet, random *rand.Rand) []*host {
	var failing []*host
	for _, n := range random.Perm(len(f.hosts))[:len(f.hosts)/failingShare] {
		failing = append(failing, f.hosts[n])
	}
	return failing
}

// rejectAppendsThenFail lets the store reject appends for a while and executors fail afterwards. It returns a
// description of each fault.
func (f *fleet) rejectAppendsThenFail(random *rand.Rand, failing []*host, failure executorFailure) []string {
	time.Sleep(outageAfter)
	outage := randomDuration(random, minOutage, maxOutage)
	f.storeLink.Set(disrupter.Faults{RejectPosts: true})
	time.Sleep(outage)
	f.storeLink.Set(disrupter.Faults{})
	injected := []string{fmt.Sprintf("%s store rejects appends for %.2f s", outageAfter, outage.Seconds())}
	var running sync.WaitGroup
	for _, h := range failing {
		delay, length := randomDuration(random, 0, maxFailDelay), randomDuration(random, minFailing, maxFailing)
		injected = append(injected, fmt.Sprintf("%.2f s after that %s has %+v for %.2f s or until the end (%t)", delay.Seconds(), h.name, failure.faults, length.Seconds(), failure.lasts))
		running.Go(func() {
			time.Sleep(delay)
			h.executor.SetFaults(failure.faults)
			if !failure.lasts {
				time.Sleep(length)
				h.executor.SetFaults(performer.Faults{})
			}
		})
	}
	time.Sleep(trafficAfter)
	running.Wait()
	return injected
}

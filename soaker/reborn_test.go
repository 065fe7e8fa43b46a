package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Rounds of executors that restart under their ids and are cut off.
const (
	rebornHosts   = 6
	rebornEntries = 3
	// rebornAtOnce is the number of executors that restart in a round.
	rebornAtOnce = 3
	// rebornSlowPeriod is the mean time between two workloads with slow tasks.
	rebornSlowPeriod = 500 * time.Millisecond
	// rebornRunTime is how long executors run before each round, as a lease that is meant for an
	// incarnation is a time on its clock.
	rebornRunTime = 5 * time.Second
	// rebornCut is the duration of a cut. It ends after the longest lease.
	rebornCut = 9 * time.Second
)

// TestRebornExecutorsCutOff guards against tasks that run twice when executors restart under their ids while their
// calls are held back, so that the next incarnation gets the leases of the last one, and are cut off soon after,
// alone or with their hosts. SOAK_REBIRTHS is the number of rounds.
func TestRebornExecutorsCutOff(t *testing.T) {
	first := environmentInt(t, "SOAK_FIRST", 1)
	rounds := environmentInt(t, "SOAK_REBIRTHS", 1)
	for i := range environmentInt(t, "SOAK_SEEDS", 1) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, rebornEntries, rebornHosts, seed)
			soak(t, f, seed, plan{slowPeriod: rebornSlowPeriod, stallSettle: stallSettle, inject: func() []string { return f.rebirthInRounds(seed, rounds) }})
		})
	}
}

// rebirthInRounds restarts executors under their ids and cuts them off, in rounds, and returns a description of each
// cut.
func (f *fleet) rebirthInRounds(seed uint64, rounds int) []string {
	began := time.Now()
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var injected []string
	for range rounds {
		time.Sleep(rebornRunTime)
		var running sync.WaitGroup
		for i, n := range random.Perm(len(f.hosts))[:rebornAtOnce] {
			h, hostRandom := f.hosts[n], rand.New(rand.NewPCG(seed, random.Uint64()))
			running.Go(func() {
				h.rebirth(hostRandom, 0)
				time.Sleep(randomDuration(hostRandom, minUntilCut, maxUntilCut))
				what := "executor"
				if i%2 == 0 {
					what = "host"
				}
				mu.Lock()
				injected = append(injected, fmt.Sprintf("%.2f s %s of %s cut off for %s with %d runs", time.Since(began).Seconds(), what, h.name, rebornCut, h.executor.Running()))
				mu.Unlock()
				if what == "host" {
					f.cutHost(h)
					defer f.healHost(h)
				} else {
					h.calls.Partition()
					defer h.calls.Heal()
				}
				time.Sleep(rebornCut)
			})
		}
		running.Wait()
	}
	return injected
}

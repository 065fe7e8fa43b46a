package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/interrupter"
	"apricotwinch/standin/performer"
)

// fault is a kind of fault. inject returns when the fault is over; a fault with a duration
// lasts for about d.
type fault struct {
	name   string
	inject func(f *fleet, random *rand.Rand, d time.Duration)
}

// randomEntry, randomHost and randomProcess return a random entry, host, or process of an
// entry or host.
func randomEntry(f *fleet, random *rand.Rand) *entry { return f.entries[random.IntN(len(f.entries))] }
func randomHost(f *fleet, random *rand.Rand) *host   { return f.hosts[random.IntN(len(f.hosts))] }

func randomProcess(f *fleet, random *rand.Rand) *process {
	if n := random.IntN(len(f.entries) + len(f.hosts)); n < len(f.hosts) {
		return f.hosts[n].process
	}
	return randomEntry(f, random).process
}

// links returns the proxies of all links of the deployment.
func (f *fleet) links() []*interrupter.Proxy {
	var links []*interrupter.Proxy
	for _, e := range f.entries {
		links = append(links, e.front, e.peer, e.store)
	}
	for _, h := range f.hosts {
		links = append(links, h.peer, h.store, h.calls, h.heartbeats)
	}
	return links
}

func randomLink(f *fleet, random *rand.Rand) *interrupter.Proxy {
	links := f.links()
	return links[random.IntN(len(links))]
}

// faults are the kinds of faults that a seed chooses from.
var faults = []fault{
	{"kill", func(f *fleet, random *rand.Rand, d time.Duration) {
		p := randomProcess(f, random)
		p.faultLock.Lock()
		defer p.faultLock.Unlock()
		p.kill()
		time.Sleep(d / 4)
		p.start()
	}},
	{"terminate", func(f *fleet, random *rand.Rand, _ time.Duration) {
		randomProcess(f, random).restart()
	}},
	{"roll", func(f *fleet, _ *rand.Rand, _ time.Duration) {
		for _, e := range f.entries {
			e.restart()
		}
	}},
	{"pause", func(f *fleet, random *rand.Rand, d time.Duration) {
		p := randomProcess(f, random)
		p.faultLock.Lock()
		defer p.faultLock.Unlock()
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(f *fleet, random *rand.Rand, _ time.Duration) {
		for range 3 {
			randomProcess(f, random).signal(syscall.SIGHUP)
		}
	}},
	{"silence", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := randomLink(f, random)
		link.Partition()
		time.Sleep(d)
		link.Heal()
	}},
	{"hold one direction", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := randomLink(f, random)
		link.Set(interrupter.Direction(random.IntN(2)), interrupter.Faults{Hold: true})
		time.Sleep(d)
		link.Heal()
	}},
	{"delay", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := randomLink(f, random)
		link.Set(interrupter.ToCaller, interrupter.Faults{Delay: time.Duration(20+random.IntN(400)) * time.Millisecond})
		time.Sleep(d)
		link.Heal()
	}},
	{"reset", func(f *fleet, random *rand.Rand, _ time.Duration) {
		for range 5 {
			randomLink(f, random).Cut()
		}
	}},
	{"lose an answer", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := randomLink(f, random)
		link.Set(interrupter.ToCaller, interrupter.Faults{ResetChunks: 1 + random.IntN(3)})
		time.Sleep(d)
		link.Heal()
	}},
	{"partition an entry", func(f *fleet, random *rand.Rand, d time.Duration) {
		e := randomEntry(f, random)
		e.peer.Partition()
		e.store.Partition()
		time.Sleep(d)
		e.peer.Heal()
		e.store.Heal()
	}},
	{"store down", func(f *fleet, _ *rand.Rand, d time.Duration) {
		f.storeLink.Set(disrupter.Faults{Down: true})
		time.Sleep(d)
		f.storeLink.Set(disrupter.Faults{})
	}},
	{"store does not respond", func(f *fleet, _ *rand.Rand, d time.Duration) {
		f.storeLink.Set(disrupter.Faults{Hang: true})
		time.Sleep(d)
		f.storeLink.Set(disrupter.Faults{})
	}},
	{"store slow", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.storeLink.Set(disrupter.Faults{DelayMillis: 50 + random.IntN(400)})
		time.Sleep(d)
		f.storeLink.Set(disrupter.Faults{})
	}},
	{"store loses answers", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.storeLink.Set(disrupter.Faults{LoseResponses: 1 + random.IntN(5)})
		time.Sleep(d)
		f.storeLink.Set(disrupter.Faults{})
	}},
	{"store expires records", func(f *fleet, _ *rand.Rand, _ time.Duration) { f.store.Expire() }},
	{"executor crashes", func(f *fleet, random *rand.Rand, d time.Duration) {
		h := randomHost(f, random)
		h.executor.Crash()
		time.Sleep(d / 4)
		h.executor.Restart(h.nextID())
	}},
	{"executor restarts with the same id", func(f *fleet, random *rand.Rand, _ time.Duration) {
		h := randomHost(f, random)
		h.executor.Crash()
		h.executor.Restart(h.executor.ID())
	}},
	{"executor delays calls", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.injectExecutorFaults(random, d, performer.Faults{LateFraction: 0.5, LateDelay: time.Duration(500+random.IntN(3000)) * time.Millisecond})
	}},
	{"executor stalls", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.injectExecutorFaults(random, d, performer.Faults{Stalled: true})
	}},
	{"executor sends no heartbeats", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.injectExecutorFaults(random, d, performer.Faults{NoHeartbeats: true})
	}},
	{"configuration", func(f *fleet, _ *rand.Rand, d time.Duration) {
		for range 4 {
			f.configure()
			time.Sleep(d / 8)
		}
	}},
	{"evacuation", func(f *fleet, random *rand.Rand, d time.Duration) {
		zone := zones[random.IntN(len(zones))]
		f.evacuate(zone, true)
		time.Sleep(d)
		f.evacuate(zone, false)
	}},
	{"kill all processes", func(f *fleet, _ *rand.Rand, _ time.Duration) {
		var all []*process
		for _, e := range f.entries {
			all = append(all, e.process)
		}
		for _, h := range f.hosts {
			all = append(all, h.process)
		}
		for _, p := range all {
			p.faultLock.Lock()
			defer p.faultLock.Unlock()
			p.kill()
		}
		for _, p := range all {
			p.start()
		}
	}},
}

// Times of an executor that restarts under its id while its calls are held back.
const (
	// maxHeldBack bounds how long calls are held back before and after the restart, and restartTime is the time
	// that a restart takes if it isn't immediate.
	maxHeldBack = 900 * time.Millisecond
	restartTime = 600 * time.Millisecond
	// maxLateAfter bounds how late after the restart calls are delivered that didn't reach the last incarnation.
	maxLateAfter = 3 * time.Second
	// minUntilCut and maxUntilCut bound the time from the delivery of the calls to the cut, minCut and maxCut its
	// duration.
	minUntilCut, maxUntilCut = time.Second, 2 * time.Second
	minCut, maxCut           = 5 * time.Second, 9 * time.Second
)

// rebirth restarts the executor of a host under its id while its calls are held back. The next incarnation gets the
// calls after late, and the requests that no one answered with them.
func (h *host) rebirth(random *rand.Rand, late time.Duration) {
	h.calls.Set(interrupter.ToTarget, interrupter.Faults{Hold: true})
	time.Sleep(randomDuration(random, 0, maxHeldBack))
	h.executor.Crash()
	if random.IntN(2) == 0 {
		time.Sleep(restartTime)
	}
	h.executor.Restart(h.executor.ID())
	time.Sleep(late)
	h.calls.Set(interrupter.ToTarget, interrupter.Faults{})
}

// rebirthFaults are the faults of executors that get calls which were meant for their last incarnation. They come
// beside those of faults and are drawn apart from them.
var rebirthFaults = []fault{
	{"executor restarts with the same id while its calls are held back", func(f *fleet, random *rand.Rand, _ time.Duration) {
		randomHost(f, random).rebirth(random, randomDuration(random, 0, maxLateAfter))
	}},
	{"executor restarts while its calls are held back and is cut off", func(f *fleet, random *rand.Rand, _ time.Duration) {
		h := randomHost(f, random)
		h.rebirth(random, randomDuration(random, 0, maxHeldBack))
		time.Sleep(randomDuration(random, minUntilCut, maxUntilCut))
		h.calls.Partition()
		time.Sleep(randomDuration(random, minCut, maxCut))
		h.calls.Heal()
	}},
	{"executor restarts while its calls are held back and its host is cut off", func(f *fleet, random *rand.Rand, _ time.Duration) {
		h := randomHost(f, random)
		h.rebirth(random, randomDuration(random, 0, maxHeldBack))
		time.Sleep(randomDuration(random, minUntilCut, maxUntilCut))
		f.cutHost(h)
		time.Sleep(randomDuration(random, minCut, maxCut))
		f.healHost(h)
	}},
}

// injectExecutorFaults injects faults into a random executor for the duration d.
func (f *fleet) injectExecutorFaults(random *rand.Rand, d time.Duration, faults performer.Faults) {
	h := randomHost(f, random)
	h.executor.SetFaults(faults)
	time.Sleep(d)
	h.executor.SetFaults(performer.Faults{})
}

// Bounds of the time between the starts of two faults, and of the duration of a fault.
const (
	minGap, maxGap           = 150 * time.Millisecond, 1500 * time.Millisecond
	minDuration, maxDuration = 200 * time.Millisecond, 5 * time.Second
	// minRebirthGap and maxRebirthGap bound the time between the starts of two of rebirthFaults.
	minRebirthGap, maxRebirthGap = 500 * time.Millisecond, 6 * time.Second
)

// randomDuration returns a random duration of at least minimum and less than maximum.
func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
}

// injectFaults starts faults at random intervals for the duration, waits for their end, and
// heals all links and the store. It returns a description of each injected fault. Faults of
// one process, link or store may overlap: each fault undoes its own change, and the healing
// at the end undoes what is left. withRebirths adds a series of rebirthFaults, which doesn't
// change what the seed draws from faults.
func injectFaults(f *fleet, seed uint64, duration time.Duration, withRebirths bool) []string {
	var rebirths []string
	var running sync.WaitGroup
	if withRebirths {
		running.Go(func() {
			rebirths = injectSeries(f, rand.New(rand.NewPCG(seed, 4)), seed, duration, rebirthFaults, minRebirthGap, maxRebirthGap)
		})
	}
	injected := injectSeries(f, rand.New(rand.NewPCG(seed, 1)), seed, duration, faults, minGap, maxGap)
	running.Wait()
	for _, link := range f.links() {
		link.Heal()
	}
	f.storeLink.Set(disrupter.Faults{})
	return append(injected, rebirths...)
}

// injectSeries starts faults of some kinds at random intervals for the duration and waits for their
// end. It returns a description of each.
func injectSeries(f *fleet, random *rand.Rand, seed uint64, duration time.Duration, kinds []fault, shortest, longest time.Duration) []string {
	began := time.Now()
	var injected []string
	var running sync.WaitGroup
	for time.Since(began) < duration {
		time.Sleep(randomDuration(random, shortest, longest))
		chosen := kinds[random.IntN(len(kinds))]
		faultRandom := rand.New(rand.NewPCG(seed, random.Uint64()))
		d := randomDuration(random, minDuration, maxDuration)
		injected = append(injected, fmt.Sprintf("%.2f s %s for %.2f s", time.Since(began).Seconds(), chosen.name, d.Seconds()))
		running.Go(func() {
			chosen.inject(f, faultRandom, d)
		})
	}
	running.Wait()
	return injected
}

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

// fault is one kind of trouble. It lasts for d and is over when it returns.
type fault struct {
	name string
	play func(f *fleet, random *rand.Rand, d time.Duration)
}

// any entry or host, and any of all processes.
func anyEntry(f *fleet, random *rand.Rand) *entry { return f.entries[random.IntN(len(f.entries))] }
func anyHost(f *fleet, random *rand.Rand) *host   { return f.hosts[random.IntN(len(f.hosts))] }

func anyProcess(f *fleet, random *rand.Rand) *process {
	if n := random.IntN(len(f.entries) + len(f.hosts)); n < len(f.hosts) {
		return f.hosts[n].process
	}
	return anyEntry(f, random).process
}

// links returns all proxies of the deployment.
func (f *fleet) links() []*interrupter.Proxy {
	var links []*interrupter.Proxy
	for _, e := range f.entries {
		links = append(links, e.front, e.peer, e.store)
	}
	for _, h := range f.hosts {
		links = append(links, h.peer, h.store, h.calls, h.beats)
	}
	return links
}

func anyLink(f *fleet, random *rand.Rand) *interrupter.Proxy {
	links := f.links()
	return links[random.IntN(len(links))]
}

// faults is the table of troubles that a seed draws from.
var faults = []fault{
	{"kill", func(f *fleet, random *rand.Rand, d time.Duration) {
		p := anyProcess(f, random)
		p.alone.Lock()
		defer p.alone.Unlock()
		p.kill()
		time.Sleep(d / 4)
		p.start()
	}},
	{"terminate", func(f *fleet, random *rand.Rand, _ time.Duration) {
		anyProcess(f, random).replace()
	}},
	{"roll", func(f *fleet, _ *rand.Rand, _ time.Duration) {
		for _, e := range f.entries {
			e.replace()
		}
	}},
	{"pause", func(f *fleet, random *rand.Rand, d time.Duration) {
		p := anyProcess(f, random)
		p.alone.Lock()
		defer p.alone.Unlock()
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(f *fleet, random *rand.Rand, _ time.Duration) {
		for range 3 {
			anyProcess(f, random).signal(syscall.SIGHUP)
		}
	}},
	{"silence", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := anyLink(f, random)
		link.Partition()
		time.Sleep(d)
		link.Heal()
	}},
	{"one way", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := anyLink(f, random)
		link.Set(interrupter.Direction(random.IntN(2)), interrupter.Faults{Hold: true})
		time.Sleep(d)
		link.Heal()
	}},
	{"delay", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := anyLink(f, random)
		link.Set(interrupter.ToCaller, interrupter.Faults{Delay: time.Duration(20+random.IntN(400)) * time.Millisecond})
		time.Sleep(d)
		link.Heal()
	}},
	{"reset", func(f *fleet, random *rand.Rand, _ time.Duration) {
		for range 5 {
			anyLink(f, random).Cut()
		}
	}},
	{"lose an answer", func(f *fleet, random *rand.Rand, d time.Duration) {
		link := anyLink(f, random)
		link.Set(interrupter.ToCaller, interrupter.Faults{ResetInstead: 1 + random.IntN(3)})
		time.Sleep(d)
		link.Heal()
	}},
	{"cut off an entry", func(f *fleet, random *rand.Rand, d time.Duration) {
		e := anyEntry(f, random)
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
	{"store silent", func(f *fleet, _ *rand.Rand, d time.Duration) {
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
		f.storeLink.Set(disrupter.Faults{LoseAnswers: 1 + random.IntN(5)})
		time.Sleep(d)
		f.storeLink.Set(disrupter.Faults{})
	}},
	{"store forgets", func(f *fleet, _ *rand.Rand, _ time.Duration) { f.store.Expire() }},
	{"executor crashes", func(f *fleet, random *rand.Rand, d time.Duration) {
		h := anyHost(f, random)
		h.executor.Crash()
		time.Sleep(d / 4)
		h.executor.Restart(h.nextID())
	}},
	{"executor reborn", func(f *fleet, random *rand.Rand, _ time.Duration) {
		h := anyHost(f, random)
		h.executor.Crash()
		h.executor.Restart(h.executor.ID())
	}},
	{"executor late", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.trouble(random, d, performer.Faults{Late: 0.5, LateBy: time.Duration(500+random.IntN(3000)) * time.Millisecond})
	}},
	{"executor stands still", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.trouble(random, d, performer.Faults{Still: true})
	}},
	{"executor is silent", func(f *fleet, random *rand.Rand, d time.Duration) {
		f.trouble(random, d, performer.Faults{Silent: true})
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
	{"kill all", func(f *fleet, _ *rand.Rand, _ time.Duration) {
		var all []*process
		for _, e := range f.entries {
			all = append(all, e.process)
		}
		for _, h := range f.hosts {
			all = append(all, h.process)
		}
		for _, p := range all {
			p.alone.Lock()
			defer p.alone.Unlock()
			p.kill()
		}
		for _, p := range all {
			p.start()
		}
	}},
}

// trouble gives one executor faults for a time.
func (f *fleet) trouble(random *rand.Rand, d time.Duration, faults performer.Faults) {
	h := anyHost(f, random)
	h.executor.SetFaults(faults)
	time.Sleep(d)
	h.executor.SetFaults(performer.Faults{})
}

// Times between two faults, and how long one lasts.
const (
	leastGap, mostGap   = 150 * time.Millisecond, 1500 * time.Millisecond
	leastLast, mostLast = 200 * time.Millisecond, 5 * time.Second
)

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// disturb plays faults, in series and overlapping, for a time, and heals everything. It
// returns what it played. Two faults of one process, link or store may overlap: each
// takes its own back, and the healing at the end takes back the rest.
func disturb(f *fleet, seed uint64, lasts time.Duration) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	began := time.Now()
	var played []string
	var running sync.WaitGroup
	for time.Since(began) < lasts {
		time.Sleep(between(random, leastGap, mostGap))
		chosen := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(seed, random.Uint64()))
		d := between(random, leastLast, mostLast)
		played = append(played, fmt.Sprintf("%.2f s %s for %.2f s", time.Since(began).Seconds(), chosen.name, d.Seconds()))
		running.Go(func() {
			chosen.play(f, own, d)
		})
	}
	running.Wait()
	for _, link := range f.links() {
		link.Heal()
	}
	f.storeLink.Set(disrupter.Faults{})
	return played
}

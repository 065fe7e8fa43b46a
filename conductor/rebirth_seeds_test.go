package conductor_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"apricotwinch"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// Seeds of TestInvariantsUnderRebirths. Its first seeds run in CI; REBIRTH_SEEDS sets how many run by hand.
const (
	rebirthSeedsInCI = 20
	rebirthSeedsName = "REBIRTH_SEEDS"
)

// redRebirthSeeds holds the seeds of CI that KNOWN-RED.txt lists.
var redRebirthSeeds = []uint64{12}

// TestInvariantsUnderRebirths guards against tasks that run twice, or start after they are done: executors restart
// under their ids again and again, calls for the last incarnation reach the next one, and hosts and executors are cut
// off and agents and owners replaced soon after.
func TestInvariantsUnderRebirths(t *testing.T) {
	for seed := range uint64(seedCount(t, rebirthSeedsName, rebirthSeedsInCI)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if slices.Contains(redRebirthSeeds, seed) {
				knownRed(t)
			}
			newRebirths(t, seed).play()
		})
	}
}

// rebirths plays one seed of TestInvariantsUnderRebirths.
type rebirths struct {
	*simulation
	t      *testing.T
	events []rebirthEvent
	jobs   []string
	// canceled holds the jobs that were canceled. An owner may have been replaced before that was durable.
	canceled map[string]bool
}

// rebirthEvent is a fault or its end.
type rebirthEvent struct {
	at   time.Time
	name string
	do   func()
}

const (
	rebirthWatches = 3
	// calmTailMillis is the tail latency of serving tasks at the end, so low that best-effort work isn't throttled.
	calmTailMillis = 1
)

func newRebirths(t *testing.T, seed uint64) *rebirths {
	sim := newSimulation(t, seed, 3+int(seed%3))
	p := &rebirths{simulation: sim, t: t, canceled: map[string]bool{}}
	sim.network = &modelNetwork{maxDelay: p.upTo(time.Millisecond, 40*time.Millisecond)}
	if sim.random.IntN(3) == 0 {
		p.useTickets()
	}
	for _, h := range sim.hosts {
		p.vary(h.executor)
	}
	return p
}

// upTo returns a random duration.
func (p *rebirths) upTo(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int64N(int64(most-least)))
}

// vary sets what differs between executors: whether the clock is slow, and how slowly serving tasks answer.
func (p *rebirths) vary(e *modelExecutor) {
	e.clockLag = 0.02 * float64(p.random.IntN(2))
	e.tailMillis = float64(5 + p.random.IntN(10))
}

// useTickets makes the batch queue one that needs tickets, which all executors get.
func (p *rebirths) useTickets() {
	const ticketTTL = 5 * time.Second
	p.catalog = cataloger.New(2, 1<<20, []cataloger.Queue{
		{Name: batchQueue, Service: service, Priority: 2, MaxAttempts: 3, Advised: true, AdviceDecide: 30 * time.Millisecond, AdviceEach: time.Millisecond, TicketLife: ticketTTL},
		{Name: urgentQueue, Service: service, MaxAttempts: 3},
		{Name: watchQueue, Service: service, MaxAttempts: 3},
	})
	p.owner.SetCatalog(p.catalog)
	p.advise = func(q conductor.AdviceRequest) (map[string]string, error) {
		tickets := map[string]string{}
		for _, id := range q.Executors {
			tickets[id] = p.issueTicket(q.Step, id, ticketTTL)
		}
		return tickets, nil
	}
}

// plan schedules an event after a delay.
func (p *rebirths) plan(delay time.Duration, name string, do func()) {
	p.events = append(p.events, rebirthEvent{at: p.now.Add(delay), name: name, do: do})
	slices.SortStableFunc(p.events, func(a, b rebirthEvent) int { return a.at.Compare(b.at) })
}

// runEvents advances the time by d and carries out the events that are due.
func (p *rebirths) runEvents(d time.Duration) {
	p.t.Helper()
	for end := p.now.Add(d); p.now.Before(end); p.step() {
		for len(p.events) > 0 && !p.now.Before(p.events[0].at) {
			event := p.events[0]
			p.events = p.events[1:]
			p.t.Logf("%s: %s", p.now.Sub(origin), event.name)
			event.do()
		}
	}
}

func (p *rebirths) play() {
	p.t.Helper()
	p.run(2 * time.Second)
	p.submit(watchQueue, "watch", tasks(rebirthWatches, 1000, time.Hour, servingUsers(10), func(s *messenger.StepSpec) { s.MaxPerExecutor = 2 }))
	for i := range 10 {
		p.submitJob(fmt.Sprint("job", i))
		p.runEvents(p.upTo(0, 800*time.Millisecond))
		if p.random.IntN(5) < 4 {
			p.planRebirth(p.randomHost())
		}
		p.runEvents(p.upTo(0, 2500*time.Millisecond))
	}
	p.runEvents(20 * time.Second)
	p.clearFaults()
	for _, h := range p.hosts {
		h.executor.tailMillis = calmTailMillis
	}
	for _, id := range p.jobs {
		// A workload that was never durable is lost with its owner; its sender repeats it.
		if !p.canceled[id] {
			p.submitSpec(p.queues[id], id, p.specs[id])
		}
	}
	p.runUntil(2*time.Minute, func() bool {
		return p.running("watch") == rebirthWatches && !slices.ContainsFunc(p.jobs, func(id string) bool {
			return !p.canceled[id] && p.state(id) != messenger.WorkloadCompleted
		})
	})
}

// submitJob submits a workload of a random kind.
func (p *rebirths) submitJob(id string) {
	p.t.Helper()
	p.jobs = append(p.jobs, id)
	d := p.upTo(200*time.Millisecond, 7*time.Second)
	switch p.random.IntN(8) {
	case 0:
		p.submitScheduled(batchQueue, id, time.Second, time.Second, 4, tasks(2, 1000, d))
	case 1:
		p.submit(batchQueue, id, tasks(4, 1000, d, func(s *messenger.StepSpec) { s.Gang = true }))
	case 2:
		p.submit(batchQueue, id, tasks(6, 1000, d, func(s *messenger.StepSpec) { s.Checkpoints = true }), tasks(4, 1000, d, after(0)))
	case 3:
		p.submit(urgentQueue, id, tasks(6, 2000, d, func(s *messenger.StepSpec) { s.Speculative = true }))
	case 4:
		p.submit(batchQueue, id, tasks(4, 2000, d, bestEffort, image("batch")))
	case 5:
		p.submit(urgentQueue, id, tasks(6, 3000, d))
	case 6:
		p.submit(batchQueue, id, tasks(8, 1000, d))
		p.plan(p.upTo(0, 6*time.Second), "cancel "+id, func() {
			p.canceled[id] = true
			if _, err := p.owner.Cancel(p.now, id); err != nil && apricotwinch.KindOf(err) != apricotwinch.NotFound {
				p.t.Fatalf("cancel %s: %v", id, err)
			}
		})
	default:
		p.submit(batchQueue, id, tasks(12, 500, d))
	}
}

// planRebirth plans restarts of the executor of a host under its id, with calls held back before and between them,
// and what happens soon after.
func (p *rebirths) planRebirth(h *modelHost) {
	share := []float64{0.3, 0.7, 1}[p.random.IntN(3)]
	p.plan(0, fmt.Sprintf("%.0f%% of the calls to %s are held back", 100*share, h.name), func() { h.heldShare = share })
	at := p.upTo(20*time.Millisecond, 1200*time.Millisecond)
	for range 1 + p.random.IntN(3) {
		p.planRestart(h, at)
		if p.random.IntN(3) == 0 {
			p.planChange(h, at+p.upTo(-500*time.Millisecond, 500*time.Millisecond))
		}
		at += p.upTo(100*time.Millisecond, 3*time.Second)
	}
	p.plan(at, "calls to "+h.name+" are no longer held back", func() { h.heldShare = 0 })
	if p.random.IntN(4) > 0 {
		p.planChange(h, at+p.upTo(-time.Second, 2*time.Second))
	}
	if p.random.IntN(4) > 0 {
		p.planCut(h, at+p.upTo(300*time.Millisecond, []time.Duration{3 * time.Second, 12 * time.Second}[p.random.IntN(2)]))
	}
}

// planRestart plans a restart of an executor. While it is down, it refuses connections or is dark.
func (p *rebirths) planRestart(h *modelHost, at time.Duration) {
	down := []time.Duration{0, p.upTo(0, 3*time.Second)}[p.random.IntN(2)]
	jumped, dark := p.random.IntN(4) == 0, p.random.IntN(2) == 0
	p.plan(at, fmt.Sprintf("executor of %s restarts, down for %s, dark %t, time of day jumped back %t", h.name, down, dark, jumped), func() {
		p.crashFor(h, down, jumped)
		h.executor.dark = dark
		p.vary(h.executor)
	})
}

// planChange plans the replacement of an agent or owner, or a fault between them.
func (p *rebirths) planChange(h *modelHost, at time.Duration) {
	changes := []struct {
		name string
		do   func()
	}{
		{"agent of " + h.name + " restarts", func() { p.restartAgent(h) }},
		{"agent of " + h.name + " restarts", func() { p.restartAgent(h) }},
		{"owner stops and is replaced", func() { p.replaceOwner(true) }},
		{"owner is replaced", func() { p.replaceOwner(false) }},
		{"owner and the agent of " + h.name + " are replaced", func() {
			p.restartAgent(h)
			p.replaceOwner(false)
		}},
	}
	change := changes[p.random.IntN(len(changes))]
	p.plan(at, change.name, change.do)
}

// planCut plans that a host, its agent or its executor is out of reach for some seconds.
func (p *rebirths) planCut(h *modelHost, at time.Duration) {
	d := p.upTo(3*time.Second, 9*time.Second)
	cuts := []struct {
		name      string
		do, clear func()
	}{
		{"cut off", func() { h.disconnected = true }, func() { h.disconnected = false }},
		{"cut off", func() { h.disconnected = true }, func() { h.disconnected = false }},
		{"with a mute executor", func() { h.executor.mute = true }, func() { h.executor.mute = false }},
		{"without an agent", func() { h.agentDown = true }, func() { p.restartAgent(h) }},
		{"unheard", func() { h.unheard = true }, func() { h.unheard = false }},
		{"frozen", func() { h.frozenUntil = p.now.Add(d) }, func() {}},
		{"cut off with the owner", func() {
			if p.isolated == nil {
				p.isolateOwner(h)
			}
		}, func() {
			if h.isolated {
				h.isolated, p.isolated = false, nil
			}
		}},
	}
	cut := cuts[p.random.IntN(len(cuts))]
	p.plan(at, strings.Join([]string{h.name, "is", cut.name}, " "), cut.do)
	p.plan(at+d, strings.Join([]string{h.name, "is no longer", cut.name}, " "), cut.clear)
}

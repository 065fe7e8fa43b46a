package conductor_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"apricotwinch/messenger"
)

const (
	// lookInterval is the time between two looks at all tasks in the calm.
	lookInterval = 100 * time.Millisecond
	// completionBound is how long after the faults all workloads but the long-running ones must be done.
	completionBound = 2 * time.Minute
	// oddCalm is how long tasks are looked at while lists stay incomplete.
	oddCalm = 30 * time.Second
	// oddRuns is how many runs an executor lists in rows that can't be read. The rows of their ends leave
	// room for others in its list.
	oddRuns = 2
	// listedEndsUnderFaults is how many ends executors list at a time under random faults.
	listedEndsUnderFaults = 6
)

// promise is the promise that each accepted task whose turn has come runs in time.
type promise struct {
	sim *simulation
	// accepted holds the ids of the workloads, in the order of their acceptance.
	accepted []string
	queues   map[string]string
	lookAt   time.Time
	// waitingSince holds since when tasks have had no run although there was room. done caches the tasks that
	// are done by the record of a workload, and terminal the workloads that are.
	waitingSince map[messenger.TaskRef]time.Time
	done         map[messenger.TaskRef]bool
	terminal     map[string]bool
	records      map[string]string
	// overdue names the tasks that have had no run for too long.
	overdue []string
}

func newPromise(sim *simulation) *promise {
	return &promise{
		sim: sim, queues: map[string]string{}, waitingSince: map[messenger.TaskRef]time.Time{}, done: map[messenger.TaskRef]bool{},
		terminal: map[string]bool{}, records: map[string]string{},
	}
}

// submitRandom submits a workload of a random kind.
func (p *promise) submitRandom() {
	sim, r := p.sim, p.sim.random
	id := fmt.Sprint("job", len(p.accepted))
	p.accepted, p.queues[id] = append(p.accepted, id), batchQueue
	d := time.Duration(200+r.IntN(3000)) * time.Millisecond
	gang := func(s *messenger.StepSpec) { s.Gang, s.SameRack = true, r.IntN(2) == 0 }
	fills := func(s *messenger.StepSpec) { s.Fills, s.Image = true, "batch" }
	switch r.IntN(7) {
	case 0:
		sim.submitScheduled(batchQueue, id, time.Duration(r.IntN(4000))*time.Millisecond, time.Duration(500+r.IntN(2500))*time.Millisecond, 6, tasks(2, 1000, d))
	case 1:
		sim.submit(batchQueue, id, tasks(4, 2000, d, gang))
	case 2:
		sim.submit(batchQueue, id, tasks(3, 1000, d), tasks(4, 1000, d, after(0), gang), tasks(2, 1000, d, after(1)), tasks(1, 500, d, after(0, 2)))
	case 3:
		sim.submit(batchQueue, id, tasks(8, 1000, d, fills))
	case 4:
		sim.submit(batchQueue, id, tasks(4, 1000, d, func(s *messenger.StepSpec) { s.Checkpoints = true }), tasks(4, 1000, d, after(0), fills), tasks(4, 500, d, after(1)))
	case 5:
		sim.submit(batchQueue, id, tasks(16*len(sim.hosts), 1000, d/2))
	default:
		p.queues[id] = urgentQueue
		sim.submit(urgentQueue, id, tasks(12, 500, d))
	}
}

// submitWatch submits a workload of long-running tasks.
func (p *promise) submitWatch(n int) {
	p.accepted, p.queues["watch"] = append(p.accepted, "watch"), watchQueue
	p.sim.submit(watchQueue, "watch", tasks(n, 1000, time.Hour, longRunning, func(s *messenger.StepSpec) { s.MaxPerExecutor = n / 2 }))
}

// repeat submits the workloads again: one that was never durable is lost with its owner, and its sender
// repeats it.
func (p *promise) repeat() {
	for _, id := range p.accepted {
		p.sim.submitSpec(p.queues[id], id, p.sim.specs[id])
	}
}

// readRecords reads from the store which tasks are done.
func (p *promise) readRecords() {
	p.sim.t.Helper()
	for _, id := range p.accepted {
		data := string(p.sim.store["p/"+id])
		if data == "" || data == p.records[id] {
			continue
		}
		p.records[id] = data
		var record messenger.ProgressRecord
		if err := json.Unmarshal([]byte(data), &record); err != nil {
			p.sim.t.Fatalf("record of %s: %v", id, err)
		}
		p.terminal[id] = record.EndedMillis > 0
		for _, o := range record.Occurrences {
			bits, err := base64.StdEncoding.DecodeString(o.Done)
			if err != nil {
				p.sim.t.Fatalf("record of %s: %v", id, err)
			}
			n := 0
			for step, spec := range p.sim.specs[id].Steps {
				for i := range spec.Tasks {
					if bits[n/8]&(1<<(n%8)) != 0 {
						p.done[messenger.TaskRef{Workload: id, Occurrence: o.Occurrence, Step: step, Index: i}] = true
					}
					n++
				}
			}
		}
	}
}

// isOdd reports whether an executor's lists stay incomplete.
func (m *modelExecutor) isOdd() bool {
	return m.oddEnd || m.otherWriter || m.keepsEnds || len(m.unreadable) > 0
}

// room is what the executors that remain have: those that are not lost, and whose lists are complete.
type room struct {
	capacity, used int64
	// largest is the most that one executor has free.
	largest int64
}

func (sim *simulation) room() room {
	var total room
	for _, h := range sim.hosts {
		if sim.isLost(h) || h.executor.isOdd() || h.executor.isDown(sim.now) {
			continue
		}
		used := int64(0)
		for ref := range h.executor.runs {
			used += int64(sim.specs[ref.Task.Workload].Steps[ref.Task.Step].Resources.ProcessorMillis)
		}
		capacity := h.executor.capacity.ProcessorMillis()
		total.capacity += capacity
		total.used += used
		total.largest = max(total.largest, capacity-used)
	}
	return total
}

// fits reports whether there is room twice over for a task, or for its gang, and most of the room is free.
func (r room) fits(spec *messenger.StepSpec) bool {
	need := int64(spec.Resources.ProcessorMillis)
	all := need
	if spec.Gang {
		all *= int64(spec.Tasks)
	}
	return 2*need <= r.largest && 2*all <= r.capacity-r.used && 2*r.used <= r.capacity
}

// check checks, each lookInterval, that no task whose turn has come has been without a run and without an end
// for longer than restartBound while there was room. A run of a lost host doesn't count, nor does its end.
func (p *promise) check() {
	sim := p.sim
	sim.t.Helper()
	if sim.now.Before(p.lookAt) {
		return
	}
	p.lookAt = sim.now.Add(lookInterval)
	p.readRecords()
	served := map[messenger.TaskRef]bool{}
	for _, h := range sim.hosts {
		if sim.isLost(h) {
			continue
		}
		for ref := range h.executor.runs {
			served[ref.Task] = true
		}
		for _, end := range h.executor.ends {
			served[end.Run.Task] = served[end.Run.Task] || end.How == messenger.EndDone
		}
	}
	remaining := sim.room()
	for _, id := range p.accepted {
		if p.terminal[id] {
			continue
		}
		spec := sim.specs[id]
		for occurrence := range max(1, spec.Repeats) {
			if spec.Repeats > 0 && sim.now.UnixMilli() < int64(spec.StartAtMillis+occurrence*spec.IntervalMillis) {
				break
			}
			for step := range spec.Steps {
				p.checkStep(messenger.TaskRef{Workload: id, Occurrence: occurrence, Step: step}, served, remaining)
			}
		}
	}
	if len(p.overdue) > 0 {
		sim.t.Fatalf("%s after the start, %d of %d processors are free, and these tasks have no run: %s",
			sim.now.Sub(origin), (remaining.capacity-remaining.used)/1000, remaining.capacity/1000, strings.Join(p.overdue, "; "))
	}
}

// checkStep is check for the tasks of one step, of which ref is the first.
func (p *promise) checkStep(ref messenger.TaskRef, served map[messenger.TaskRef]bool, remaining room) {
	sim := p.sim
	spec := &sim.specs[ref.Workload].Steps[ref.Step]
	waits := p.isReady(ref) && remaining.fits(spec)
	gangServed := false
	for i := range spec.Tasks {
		ref.Index = i
		gangServed = gangServed || spec.Gang && served[ref]
	}
	for i := range spec.Tasks {
		ref.Index = i
		if !waits || served[ref] || gangServed || p.done[ref] {
			delete(p.waitingSince, ref)
			continue
		}
		since, ok := p.waitingSince[ref]
		if !ok {
			since = sim.now
			p.waitingSince[ref] = since
		}
		if sim.now.Sub(since) > restartBound {
			p.overdue = append(p.overdue, fmt.Sprintf("%v since %s", ref, since.Sub(origin)))
		}
	}
}

// isReady reports whether the steps that a task's step depends on are done, by the store.
func (p *promise) isReady(ref messenger.TaskRef) bool {
	steps := p.sim.specs[ref.Workload].Steps
	for _, before := range steps[ref.Step].After {
		for i := range steps[before].Tasks {
			if !p.done[messenger.TaskRef{Workload: ref.Workload, Occurrence: ref.Occurrence, Step: before, Index: i}] {
				return false
			}
		}
	}
	return true
}

// isKept reports whether all workloads are done but the long-running ones, of which all tasks run.
func (p *promise) isKept() bool {
	for _, id := range p.accepted {
		spec := p.sim.specs[id]
		if spec.Steps[0].Lasting {
			if p.sim.running(id) < spec.Steps[0].Tasks {
				return false
			}
			continue
		}
		if !p.terminal[id] {
			return false
		}
	}
	return true
}

// promiseFaults returns the faults of livenessFaults, and those that leave room on as few hosts as the last two.
func (sim *simulation) promiseFaults() []func() {
	r := sim.random
	return append(sim.livenessFaults(),
		func() {
			for range len(sim.hosts) - 2 {
				sim.loseForGood(sim.hosts[r.IntN(len(sim.hosts)-2)], true, r.IntN(2) == 0)
			}
		},
		func() { sim.randomHost().frozenUntil = sim.now.Add(time.Duration(r.IntN(6000)) * time.Millisecond) },
		func() { sim.randomHost().deaf = true },
		func() {
			h := sim.randomHost()
			sim.restartAgent(h)
			sim.run(time.Duration(r.IntN(500)) * time.Millisecond)
			h.executor.mute = true
		},
	)
}

// calmEnds is calm, after which the acknowledgments that have not reached the executors do: an agent doesn't
// repeat them.
func (sim *simulation) calmEnds() {
	sim.calm()
	for _, h := range sim.hosts {
		h.executor.acknowledge(sim, h.executor.keptThrough)
	}
}

// makeOdd makes the lists of the executor of a host that isn't one of the last two incomplete for good.
func (sim *simulation) makeOdd() {
	h := sim.hosts[sim.random.IntN(len(sim.hosts)-2)]
	e := h.executor
	if sim.random.IntN(2) == 0 && !sim.isLost(h) {
		sim.restartAgent(h)
	}
	switch sim.random.IntN(4) {
	case 0:
		e.oddEnd = true
	case 1:
		e.otherWriter = true
	case 2:
		e.keepsEnds = true
	default:
		e.unreadable = map[messenger.RunRef]bool{}
		refs := e.refs()
		for _, ref := range refs[:min(len(refs), oddRuns)] {
			e.unreadable[ref] = true
		}
	}
}

// TestAcceptedWorkRunsAfterFaults injects random faults among work of all kinds that is accepted before and
// during them. Once it is calm but for owners that may go on to change, each accepted task whose turn has come
// must run in time while most of the room is free. The executors that remain count as room: not those of hosts
// that are lost for good, nor those whose lists stay incomplete, none of which is one of the last two. While
// lists stay incomplete, work may wait for an end that isn't listed, so that not all of it completes.
func TestAcceptedWorkRunsAfterFaults(t *testing.T) {
	const watches = 6
	for _, test := range []struct {
		name string
		// changing is whether owners change during the calm, and clean whether they have stopped then.
		changing, clean bool
		// odd is whether lists of executors stay incomplete.
		odd bool
	}{
		{name: "one owner"},
		{name: "clean changes of the owner", changing: true, clean: true},
		{name: "changes of the owner", changing: true},
		{name: "odd lists, one owner", odd: true},
		{name: "odd lists, clean changes of the owner", changing: true, clean: true, odd: true},
		{name: "odd lists, changes of the owner", changing: true, odd: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range livenessSeeds(t) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					sim := newSimulation(t, seed, 4+2*int(seed%3))
					r := sim.random
					sim.network = &modelNetwork{maxDelay: time.Duration(1+r.IntN(40)) * time.Millisecond}
					sim.listedEnds = listedEndsUnderFaults
					sim.run(2 * time.Second)
					p := newPromise(sim)
					p.submitWatch(watches)
					for range 3 {
						p.submitRandom()
					}
					sim.run(time.Second)
					faults := sim.promiseFaults()
					for range 4 + r.IntN(8) {
						p.submitRandom()
						faults[r.IntN(len(faults))]()
						if r.IntN(2) == 0 {
							sim.replaceOwner(r.IntN(2) == 0)
						}
						sim.run(time.Duration(r.IntN(3000)) * time.Millisecond)
						if r.IntN(4) == 0 {
							sim.calmEnds()
						}
					}
					p.submitRandom()
					sim.calmEnds()
					if test.odd {
						sim.makeOdd()
						sim.run(time.Duration(r.IntN(1000)) * time.Millisecond)
						sim.replaceOwner(test.clean)
					}
					p.repeat()
					calmAt := sim.now
					next := sim.now.Add(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
					sim.runUntil(completionBound, func() bool {
						if test.changing && !sim.now.Before(next) {
							sim.replaceOwner(test.clean)
							next = sim.now.Add(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
						}
						p.check()
						return p.isKept() || test.odd && sim.now.Sub(calmAt) >= oddCalm
					})
				})
			}
		})
	}
}

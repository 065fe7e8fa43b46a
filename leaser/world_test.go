package leaser_test

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/arbiter"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
)

const (
	lease     = 10 * time.Second
	viewLife  = 4 * time.Second
	tickEvery = 100 * time.Millisecond
)

var errLost = apricotwinch.Errorf(apricotwinch.Unknown, "the answer was lost")

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// task is a task at the simulated worker, which checks nothing but what the
// platform promises: one start for each attempt, startBefore and the lease.
type task struct {
	phase  string
	need   messenger.Resources
	lease  time.Time
	endsAt time.Time
}

// world is one host with its worker and an owner, in simulated time. Calls are
// slow, lost before or after the act, and the agent is paused and restarted.
type world struct {
	t        *rapid.T
	rand     *rand.Rand
	faults   bool
	now      time.Time
	events   events
	seq      int
	capacity apricotwinch.Resources

	generation int
	leaser     *leaser.Leaser
	paused     time.Time

	tasks   map[messenger.AttemptRef]*task
	started map[messenger.AttemptRef]int
	ended   map[messenger.AttemptRef]string

	next     int
	ticket   int
	commands []messenger.Assign
	granted  map[messenger.AttemptRef]time.Time
	refused  map[messenger.AttemptRef]bool
	finals   map[messenger.AttemptRef]string
	provedAt time.Time
}

func newWorld(t *rapid.T, seed uint64) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), faults: true, now: time.Unix(1000, 0),
		capacity: apricotwinch.NewResources(4, 4, 1),
		tasks:    map[messenger.AttemptRef]*task{},
		started:  map[messenger.AttemptRef]int{},
		ended:    map[messenger.AttemptRef]string{},
		granted:  map[messenger.AttemptRef]time.Time{},
		refused:  map[messenger.AttemptRef]bool{},
		finals:   map[messenger.AttemptRef]string{},
	}
	w.restart()
	w.at(0, w.announce)
	w.at(0, w.assign)
	return w
}

func (w *world) at(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(delay), w.seq, run})
}

// onAgent runs f at the agent after delay, when it isn't paused, unless the
// agent was restarted meanwhile.
func (w *world) onAgent(delay time.Duration, f func() leaser.Actions) {
	generation := w.generation
	var try func()
	try = func() {
		switch {
		case generation != w.generation:
		case w.now.Before(w.paused):
			w.at(w.paused.Sub(w.now), try)
		default:
			w.do(f())
		}
	}
	w.at(delay, try)
}

func (w *world) chance(percent int) bool { return w.faults && w.rand.IntN(100) < percent }

// latency returns the latency of one message.
func (w *world) latency() time.Duration {
	switch {
	case w.chance(3):
		return time.Duration(w.rand.IntN(12_000)) * time.Millisecond
	case w.chance(20):
		return time.Duration(w.rand.IntN(2000)) * time.Millisecond
	default:
		return time.Duration(1+w.rand.IntN(20)) * time.Millisecond
	}
}

func (w *world) restart() {
	w.generation++
	w.ticket = 0
	w.commands = nil
	w.provedAt = time.Time{}
	settings := leaser.DefaultSettings(fmt.Sprint(w.generation), w.now)
	w.leaser = leaser.New(settings, arbiter.New(w.capacity))
	w.tick(w.generation)
}

func (w *world) tick(generation int) {
	if generation != w.generation {
		return
	}
	w.onAgent(0, func() leaser.Actions { return w.leaser.Tick(w.now) })
	w.at(tickEvery, func() { w.tick(generation) })
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		w.advanceWorker()
		next.run()
		w.checkCapacity()
	}
	w.now = end
}

func (w *world) checkCapacity() {
	var sum apricotwinch.Resources
	for _, k := range w.tasks {
		if k.phase == "running" {
			sum = sum.Add(k.need.Value())
		}
	}
	if !sum.Fits(w.capacity) {
		w.t.Fatalf("tasks hold %s of %s", sum, w.capacity)
	}
}

// advanceWorker ends tasks whose end or lease has come.
func (w *world) advanceWorker() {
	for ref, k := range w.tasks {
		switch {
		case k.phase != "running":
		case !w.now.Before(k.lease) && !k.endsAt.Before(k.lease):
			w.end(ref, "lapsed")
		case !w.now.Before(k.endsAt):
			w.end(ref, "completed")
		}
	}
}

func (w *world) end(ref messenger.AttemptRef, phase string) {
	w.tasks[ref].phase = phase
	w.ended[ref] = phase
}

// call carries a call of the agent to the worker and the answer back. A call may
// act after the agent gave up on it.
func (w *world) call(act func() error, answer func(err error) leaser.Actions) {
	generation, answered := w.generation, false
	reply := func(delay time.Duration, err func() error) {
		w.onAgent(delay, func() leaser.Actions {
			if answered {
				return leaser.Actions{}
			}
			answered = true
			return answer(err())
		})
	}
	reply(2*time.Second, func() error { return errLost })
	if w.chance(5) {
		return
	}
	there, back, loseAnswer := w.latency(), w.latency(), w.chance(5)
	w.at(there, func() {
		err := act()
		if generation == w.generation && !loseAnswer {
			reply(back, func() error { return err })
		}
	})
}

// do carries out the actions of the agent.
func (w *world) do(actions leaser.Actions) {
	for _, start := range actions.Starts {
		w.start(start)
	}
	for _, stop := range actions.Stops {
		var last messenger.WorkerTask
		w.call(func() (err error) { last, err = w.stopTask(stop); return err }, func(err error) leaser.Actions {
			return w.leaser.Stopped(w.now, leaser.IDOf(stop.Attempt), last, err)
		})
	}
	if leases := actions.Leases; len(leases) > 0 {
		w.call(func() error { w.renewTasks(leases); return nil }, func(err error) leaser.Actions {
			return w.leaser.LeasesTold(w.now, leases, err)
		})
	}
	if refs := actions.Forgets; len(refs) > 0 {
		w.call(func() error { w.forgetTasks(refs); return nil }, func(err error) leaser.Actions {
			return w.leaser.Forgotten(w.now, refs, err)
		})
	}
	if sent := w.now; actions.List {
		var tasks []messenger.WorkerTask
		w.call(func() error { tasks = w.listTasks(); return nil }, func(err error) leaser.Actions {
			return w.leaser.Listed(w.now, sent, tasks, err)
		})
	}
	for _, renewal := range actions.Renewals {
		var reply messenger.RenewReply
		origin := w.now.Add(-time.Duration(renewal.Ticket()) * time.Millisecond)
		w.call(func() error { reply = w.own(origin, renewal); return nil }, func(err error) leaser.Actions {
			next, _ := w.leaser.Renewed(w.now, renewal, reply, err)
			return next
		})
	}
}

func (w *world) start(start messenger.WorkerStart) {
	ref := start.Attempt
	if w.started[ref]++; w.started[ref] > 1 {
		w.t.Fatalf("attempt %v is started twice", ref)
	}
	if w.refused[ref] {
		w.t.Fatalf("attempt %v is started after it was refused", ref)
	}
	if before := time.UnixMilli(int64(start.StartBeforeUnixMillis)); before.After(w.provedAt.Add(viewLife)) {
		w.t.Fatalf("attempt %v may start %s after the proof", ref, before.Sub(w.provedAt))
	}
	until := time.UnixMilli(int64(start.LeaseUntilUnixMillis))
	w.checkLease(ref, until)
	run := time.Duration(w.rand.IntN(20_000)) * time.Millisecond
	w.call(func() error {
		if w.now.UnixMilli() >= int64(start.StartBeforeUnixMillis) || !w.now.Before(until) {
			return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "too late")
		}
		w.tasks[ref] = &task{phase: "running", need: start.Resources, lease: until, endsAt: w.now.Add(run)}
		return nil
	}, func(err error) leaser.Actions { return w.leaser.Started(w.now, leaser.IDOf(ref), err) })
}

func (w *world) checkLease(ref messenger.AttemptRef, until time.Time) {
	if until.After(w.granted[ref]) {
		w.t.Fatalf("attempt %v runs until %s past the granted lease", ref, until.Sub(w.granted[ref]))
	}
}

func (w *world) stopTask(stop messenger.WorkerStop) (messenger.WorkerTask, error) {
	k := w.tasks[stop.Attempt]
	if k == nil {
		return messenger.WorkerTask{}, apricotwinch.Errorf(apricotwinch.NotFound, "no such task")
	}
	if k.phase == "running" {
		w.end(stop.Attempt, "stopped")
	}
	return messenger.WorkerTask{Attempt: stop.Attempt, Phase: k.phase}, nil
}

func (w *world) renewTasks(leases []leaser.Lease) {
	for _, l := range leases {
		m := l.Message()
		until := time.UnixMilli(int64(m.LeaseUntilUnixMillis))
		w.checkLease(m.Attempt, until)
		if k := w.tasks[m.Attempt]; k != nil && k.phase == "running" && until.After(k.lease) {
			k.lease = until
		}
	}
}

func (w *world) forgetTasks(refs []messenger.AttemptRef) {
	for _, ref := range refs {
		if k := w.tasks[ref]; k != nil && k.phase != "running" {
			delete(w.tasks, ref)
		}
	}
}

func (w *world) listTasks() []messenger.WorkerTask {
	tasks := []messenger.WorkerTask{}
	for ref, k := range w.tasks {
		tasks = append(tasks, messenger.WorkerTask{Attempt: ref, Phase: k.phase})
	}
	return tasks
}

// own is the owner's answer to a renewal. Partition 1 knows none of the attempts.
func (w *world) own(origin time.Time, renewal leaser.Renewal) messenger.RenewReply {
	reply := messenger.RenewReply{Epoch: 1, LeaseMillis: int(lease.Milliseconds())}
	for _, r := range renewal.Reports() {
		ref := messenger.AttemptRef{Job: r.Job, Task: r.Task, Attempt: r.Attempt}
		switch {
		case renewal.Partition() == 1 && r.Phase == messenger.ReportRunning:
			reply.Stop = append(reply.Stop, ref)
		case r.Phase == messenger.ReportRunning && w.finals[ref] == "":
			w.grant(ref, origin.Add(time.Duration(renewal.Ticket())*time.Millisecond+lease))
			reply.Granted = append(reply.Granted, ref)
		case r.Phase == messenger.ReportRunning:
			reply.Stop = append(reply.Stop, ref)
		case renewal.Partition() == 1:
			reply.Durable = append(reply.Durable, ref)
		default:
			w.finals[ref] = r.Phase
			reply.Durable = append(reply.Durable, ref)
		}
	}
	return reply
}

func (w *world) grant(ref messenger.AttemptRef, until time.Time) {
	if until.After(w.granted[ref]) {
		w.granted[ref] = until
	}
}

// announce brings an entry's answer to a heartbeat.
func (w *world) announce() {
	sent, age := w.now, time.Duration(w.rand.IntN(1500))*time.Millisecond
	ticket := w.leaser.Ticket(sent)
	reply := messenger.AnnounceReply{
		ViewAgeMillis: int(age.Milliseconds()),
		DataCentreOut: w.chance(5),
		Owners: []messenger.PartitionOwner{
			{Partition: 0, Epoch: 1, Address: "owner"},
			{Partition: 1, Epoch: 1, Address: "other"},
		},
	}
	if !w.chance(10) {
		w.onAgent(w.latency(), func() leaser.Actions {
			w.leaser.Announced(sent, reply)
			w.ticket = max(w.ticket, ticket)
			if proved := sent.Add(-age); !reply.DataCentreOut && proved.After(w.provedAt) {
				w.provedAt = proved
			}
			return leaser.Actions{}
		})
	}
	w.at(time.Second, w.announce)
}

// assign sends a new command or, at times, an old one again.
func (w *world) assign() {
	w.at(time.Duration(w.rand.IntN(1500))*time.Millisecond, w.assign)
	if !w.faults {
		return
	}
	w.next++
	command := messenger.Assign{
		Epoch: 1, Incarnation: fmt.Sprint(w.generation), TicketMillis: w.ticket, LeaseMillis: int(lease.Milliseconds()),
		Job: "job", Task: w.next % 5, Attempt: w.next,
		Spec: messenger.JobSpec{Resources: messenger.Resources{ProcessorMillis: 1 + w.rand.IntN(3), MemoryBytes: w.rand.IntN(3), Accelerators: w.rand.IntN(2)}},
	}
	if len(w.commands) > 0 && w.chance(30) {
		command = w.commands[w.rand.IntN(len(w.commands))]
	}
	w.commands = append(w.commands, command)
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	w.onAgent(w.latency(), func() leaser.Actions {
		origin := w.now.Add(-time.Duration(w.leaser.Ticket(w.now)) * time.Millisecond)
		w.grant(ref, origin.Add(time.Duration(command.TicketMillis)*time.Millisecond+lease))
		reply, actions := w.leaser.Assign(w.now, command)
		w.refused[ref] = w.refused[ref] || !reply.Accepted
		return actions
	})
	if w.chance(10) {
		w.onAgent(w.latency(), func() leaser.Actions { return w.command(ref) })
	}
}

func (w *world) command(ref messenger.AttemptRef) leaser.Actions {
	_, actions, err := w.leaser.Stop(w.now, messenger.Stop{Epoch: 1, Job: ref.Job, Task: ref.Task, Attempt: ref.Attempt, Reason: "evicted", Checkpoint: true})
	if err != nil && !errors.Is(err, errLost) {
		w.t.Fatalf("stop: %v", err)
	}
	return actions
}

// unsettled returns the attempts that ended at the worker and whose end did not
// reach the owner, in order.
func (w *world) unsettled() []string {
	var refs []string
	for _, ref := range slices.SortedFunc(maps.Keys(w.ended), func(a, b messenger.AttemptRef) int { return a.Attempt - b.Attempt }) {
		if w.finals[ref] == "" {
			refs = append(refs, fmt.Sprintf("%v %s", ref, w.ended[ref]))
		}
	}
	return refs
}

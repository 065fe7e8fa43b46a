package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
	"apricotwinch/scheduler"
)

// world drives schedulers over a shared stream against agents that obey the
// lease rules, in virtual time, with lost and late messages.
type world struct {
	t      *testing.T
	rand   *rand.Rand
	now    time.Time
	config scheduler.Config
	stream []messenger.LedgerRecord
	owners []*owner
	agents map[string]*agent
	names  []string
	inbox  []message
	starts int
	// cut holds until when an agent and an owner can't reach each other.
	cut map[link]time.Time
	// cutAt holds when that began.
	cutAt map[link]time.Time
}

type link struct {
	agent string
	epoch int64
}

type message struct {
	at      time.Time
	deliver func()
}

// owner is one entry that believes to own the partition.
type owner struct {
	book      *bookkeeper.Book
	scheduler *scheduler.Scheduler
	folded    int
	paused    time.Time
	began     int64
	// cutOff is whether the owner lost the log when it was replaced.
	cutOff bool
}

// agent runs attempts under leases counted from its own tickets.
type agent struct {
	name        string
	incarnation int
	epoch       int
	down        time.Time
	running     map[messenger.AttemptRef]*run
	seen        map[messenger.AttemptRef]bool
}

type run struct {
	leaseEnd time.Time
	doneAt   time.Time
	stop     bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:      t,
		rand:   rand.New(rand.NewPCG(seed, seed)),
		now:    time.UnixMilli(0),
		config: scheduler.DefaultConfig(),
		agents: map[string]*agent{},
		cut:    map[link]time.Time{},
		cutAt:  map[link]time.Time{},
	}
	w.config.OutageAllowance = 10 * time.Second
	for i := range 5 {
		name := fmt.Sprintf("host-%d", i)
		w.names = append(w.names, name)
		w.agents[name] = &agent{name: name, running: map[messenger.AttemptRef]*run{}, seen: map[messenger.AttemptRef]bool{}}
	}
	return w
}

// send delivers after a random delay, or never.
func (w *world) send(lossPercent int, deliver func()) {
	if w.rand.IntN(100) < lossPercent {
		return
	}
	delay := time.Duration(w.rand.IntN(400)) * time.Millisecond
	if w.rand.IntN(20) == 0 {
		delay += time.Duration(w.rand.IntN(8000)) * time.Millisecond
	}
	w.inbox = append(w.inbox, message{at: w.now.Add(delay), deliver: deliver})
}

func (w *world) deliver() {
	pending := w.inbox
	w.inbox = nil
	for _, m := range pending {
		if m.at.After(w.now) {
			w.inbox = append(w.inbox, m)
			continue
		}
		m.deliver()
	}
}

func (w *world) seams(o *owner) scheduler.Seams {
	return scheduler.Seams{
		Place: func(time.Time, scheduler.Request) (string, error) {
			return w.names[w.rand.IntN(len(w.names))], nil
		},
		Quota: func(string) (apricotwinch.Resources, float64, bool) { return apricotwinch.Resources{}, 0, false },
		Total: func() apricotwinch.Resources { return apricotwinch.NewResources(1000, 1000, 0) },
		Size: func(_ time.Time, _, _ string, declared apricotwinch.Resources) apricotwinch.Resources {
			return declared
		},
		Accepted: func(time.Time, apricotwinch.AttemptID) {},
		Adopted:  func(string, scheduler.Request) int { return 1000 },
		Unplace:  func(string, apricotwinch.AttemptID) {},
		Lookup: func(host string) (scheduler.Host, bool) {
			a := w.agents[host]
			seen := w.now.Add(-time.Duration(w.rand.IntN(2000)) * time.Millisecond)
			if w.isCut(a, o) {
				seen = w.cutAt[link{agent: host, epoch: o.began}]
			}
			return scheduler.Host{
				Name:         host,
				Address:      host,
				Incarnation:  fmt.Sprint(a.incarnation),
				TicketMillis: int(seen.UnixMilli()),
				TicketAt:     seen,
			}, !a.down.After(w.now)
		},
		DataCentreOut: func(string) bool { return false },
		Ended:         func(time.Time, scheduler.End) scheduler.Verdict { return scheduler.Verdict{} },
	}
}

// takeOver starts a new owner; the last one keeps running until it notices.
func (w *world) takeOver() {
	epoch := len(w.stream) + 1
	o := &owner{book: bookkeeper.New(0), began: int64(epoch)}
	w.stream = append(w.stream, messenger.LedgerRecord{Type: messenger.RecordBegan, Epoch: epoch})
	for i, record := range w.stream {
		_, _ = o.book.Fold(int64(i), record)
	}
	o.folded = len(w.stream)
	o.scheduler = scheduler.New(w.now, w.config, w.seams(o), o.book, "entry", int64(epoch), false)
	if len(w.owners) > 0 {
		// A replaced owner grants leases no longer than the allowance.
		last := w.owners[len(w.owners)-1]
		last.paused = w.now.Add(w.config.OutageAllowance)
		last.cutOff = w.rand.IntN(2) == 0
	}
	w.owners = append(w.owners, o)
	for _, name := range w.names {
		if w.rand.IntN(2) == 0 {
			w.cutLater(name, o)
		}
	}
}

// cutLater cuts an agent from an owner after a moment in which one of its
// requests may still arrive.
func (w *world) cutLater(name string, o *owner) {
	at := w.now.Add(time.Duration(max(0, w.rand.IntN(8000)-4000)) * time.Millisecond)
	w.inbox = append(w.inbox, message{at: at, deliver: func() {
		w.cutFrom(name, o)
	}})
}

func (w *world) cutFrom(name string, o *owner) {
	between := link{agent: name, epoch: o.began}
	if !w.cut[between].After(w.now) {
		w.cutAt[between] = w.now
	}
	w.cut[between] = w.now.Add(time.Duration(w.rand.IntN(40)) * time.Second)
}

func (w *world) act(o *owner, actions []scheduler.Action) {
	for _, action := range actions {
		switch {
		case action.Append != nil:
			record := *action.Append
			w.inbox = append(w.inbox, message{at: w.now.Add(50 * time.Millisecond), deliver: func() {
				if w.rand.IntN(20) == 0 {
					o.scheduler.AppendFailed(w.now, record)
					if w.rand.IntN(2) == 0 {
						return
					}
				}
				w.stream = append(w.stream, record)
			}})
		case action.Assign != nil:
			command := *action.Assign
			w.send(10, func() { w.assign(o, action.Address, command) })
		case action.Stop != nil:
			command := *action.Stop
			w.send(10, func() { w.stop(action.Address, command) })
		}
	}
}

func (w *world) assign(o *owner, host string, c messenger.Assign) {
	a := w.agents[host]
	if a.down.After(w.now) || w.isCut(a, o) || c.Epoch < a.epoch || c.Incarnation != fmt.Sprint(a.incarnation) {
		return
	}
	a.epoch = c.Epoch
	ref := messenger.AttemptRef{Job: c.Job, Task: c.Task, Attempt: c.Attempt}
	reply := messenger.AssignReply{Accepted: true}
	ticket := time.UnixMilli(int64(c.TicketMillis))
	if !a.seen[ref] {
		a.seen[ref] = true
		if w.now.Sub(ticket) > 4*time.Second || w.rand.IntN(10) == 0 {
			reply = messenger.AssignReply{Kind: string(apricotwinch.NoCapacity)}
		} else {
			w.starts++
			a.running[ref] = &run{
				leaseEnd: ticket.Add(w.config.Lease),
				doneAt:   w.now.Add(time.Duration(w.rand.IntN(120000)) * time.Millisecond),
			}
		}
	}
	w.send(10, func() { w.act(o, o.scheduler.AssignAnswered(w.now, ref, reply, nil)) })
}

func (w *world) stop(host string, c messenger.Stop) {
	a := w.agents[host]
	if r := a.running[messenger.AttemptRef{Job: c.Job, Task: c.Task, Attempt: c.Attempt}]; r != nil && c.Epoch >= a.epoch {
		r.stop = true
	}
}

// renew sends the agent's reports to every owner that still answers.
func (w *world) renew(a *agent) {
	renew := messenger.Renew{Host: a.name, Epoch: a.epoch}
	for _, ref := range sortedRefs(a.running) {
		report := messenger.TaskReport{Job: ref.Job, Task: ref.Task, Attempt: ref.Attempt, Phase: messenger.ReportRunning}
		if r := a.running[ref]; !r.doneAt.After(w.now) && r.leaseEnd.After(r.doneAt) {
			report.Phase = messenger.ReportCompleted
		} else if r.stop || !r.leaseEnd.After(w.now) {
			report.Phase = messenger.ReportEvicted
		}
		renew.Reports = append(renew.Reports, report)
	}
	ticket := w.now
	for _, o := range w.owners {
		w.send(20, func() {
			if w.isCut(a, o) || !o.paused.IsZero() && w.now.After(o.paused) {
				return
			}
			reply, actions := o.scheduler.Renew(w.now, renew)
			w.act(o, actions)
			w.send(40, func() { w.renewed(a, ticket, reply) })
		})
	}
}

func (w *world) renewed(a *agent, ticket time.Time, reply messenger.RenewReply) {
	if reply.Epoch < a.epoch || a.down.After(w.now) {
		return
	}
	a.epoch = reply.Epoch
	for _, ref := range reply.Granted {
		if r := a.running[ref]; r != nil && r.leaseEnd.After(w.now) {
			r.leaseEnd = later(r.leaseEnd, ticket.Add(w.config.Lease))
		}
	}
	for _, ref := range reply.Stop {
		if r := a.running[ref]; r != nil {
			r.stop = true
		}
	}
	for _, ref := range reply.Durable {
		delete(a.running, ref)
	}
}

// isCut reports whether a and o can't reach each other now.
func (w *world) isCut(a *agent, o *owner) bool {
	return w.cut[link{agent: a.name, epoch: o.began}].After(w.now)
}

// active reports whether the attempt still executes at its agent.
func (w *world) active(r *run) bool {
	return r.leaseEnd.After(w.now) && r.doneAt.After(w.now) && !r.stop
}

// checkOverlap fails when one task executes at two agents.
func (w *world) checkOverlap() {
	running := map[string]string{}
	for _, name := range w.names {
		for ref, r := range w.agents[name].running {
			if !w.active(r) {
				continue
			}
			task := fmt.Sprintf("%s/%d", ref.Job, ref.Task)
			if other, ok := running[task]; ok {
				w.t.Fatalf("at %v task %s runs at %s and %s", w.now.Sub(time.UnixMilli(0)), task, other, name)
			}
			running[task] = name
		}
	}
}

func (w *world) step(faults bool) {
	w.now = w.now.Add(100 * time.Millisecond)
	w.deliver()
	if faults && w.rand.IntN(200) == 0 {
		w.takeOver()
	}
	for _, name := range w.names {
		a := w.agents[name]
		if faults && w.rand.IntN(600) == 0 {
			a.down = w.now.Add(time.Duration(w.rand.IntN(20)) * time.Second)
			a.incarnation++
		}
		if faults && w.rand.IntN(100) == 0 {
			o := w.owners[max(0, len(w.owners)-1-w.rand.IntN(2))]
			w.cutFrom(name, o)
		}
		if !a.down.After(w.now) && w.rand.IntN(25) == 0 {
			w.renew(a)
		}
	}
	for _, o := range w.owners {
		for ; o.folded < len(w.stream) && !o.cutOff; o.folded++ {
			changes, _ := o.book.Fold(int64(o.folded), w.stream[o.folded])
			w.act(o, o.scheduler.Applied(w.now, changes))
		}
		w.act(o, o.scheduler.Tick(w.now))
	}
	w.checkOverlap()
}

func sortedRefs(runs map[messenger.AttemptRef]*run) []messenger.AttemptRef {
	var refs []messenger.AttemptRef
	for task := range 40 {
		for attempt := range 400 {
			ref := messenger.AttemptRef{Job: "job", Task: task, Attempt: attempt}
			if runs[ref] != nil {
				refs = append(refs, ref)
			}
		}
	}
	return refs
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// TestNoOverlap runs 40 tasks under lost, late and repeated messages, restarts
// and takeovers: none executes at two agents, and all complete in the end.
func TestNoOverlap(t *testing.T) {
	for _, seed := range []uint64{1, 2, 8, 19, 23, 44} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			w.stream = append(w.stream, messenger.LedgerRecord{
				Type: messenger.RecordSubmitted, Team: "team", Job: "job",
				Spec: &messenger.JobSpec{Name: "job", Kind: messenger.JobBatch, Tasks: 40},
			})
			w.takeOver()
			for range 2000 {
				w.step(true)
			}
			for range 9000 {
				w.step(false)
			}
			last := w.owners[len(w.owners)-1]
			state, _ := last.book.State("job")
			got := map[string]int{}
			for _, task := range state.Tasks {
				got[task.Phase]++
			}
			if diff := cmp.Diff(map[string]int{messenger.TaskCompleted: 40}, got); diff != "" {
				t.Errorf("phases after %d starts (-want +got):\n%s", w.starts, diff)
			}
		})
	}
}

package leaser_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/arbiter"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
)

var origin = time.Unix(1000, 0)

// host is a leaser with a trace of its actions.
type host struct {
	*leaser.Leaser
	now      time.Time
	trace    strings.Builder
	renewals []leaser.Renewal
}

// newHost returns a settled host of four processors in a data centre in service,
// at second 5 of its clock.
func newHost() *host {
	h := &host{now: origin.Add(5 * time.Second)}
	h.Leaser = leaser.New(leaser.DefaultSettings("i1", origin), arbiter.New(apricotwinch.NewResources(4000, 1<<30, 0)))
	h.Listed(h.now, h.now, nil, nil)
	h.prove(false)
	return h
}

func (h *host) prove(out bool) {
	h.Announced(h.now, messenger.AnnounceReply{
		ViewAgeMillis: 500, DataCentreOut: out,
		Owners: []messenger.PartitionOwner{{Partition: 0, Epoch: 7, Address: "owner"}},
	})
}

func (h *host) command(task, attempt int) messenger.Assign {
	return messenger.Assign{
		Epoch: 7, Incarnation: "i1", TicketMillis: h.Ticket(h.now), LeaseMillis: 10_000, Job: "job", Task: task, Attempt: attempt,
		Spec: messenger.JobSpec{Kind: messenger.JobBatch, Resources: messenger.Resources{ProcessorMillis: 3000}},
	}
}

// log notes an event and the actions that it gave.
func (h *host) log(name string, actions leaser.Actions) leaser.Actions {
	fmt.Fprintf(&h.trace, "%6.1f %s\n", h.now.Sub(origin).Seconds(), name)
	for _, a := range actions.Starts {
		h.note("start", a)
	}
	for _, a := range actions.Leases {
		h.note("lease", a.Message())
	}
	for _, a := range actions.Stops {
		h.note("stop", a)
	}
	if actions.List {
		h.note("list", struct{}{})
	}
	for _, a := range actions.Renewals {
		h.note("renew", a.Reports())
	}
	for _, a := range actions.Forgets {
		h.note("forget", a)
	}
	h.renewals = append(h.renewals, actions.Renewals...)
	return actions
}

// renewed answers the pending renewals.
func (h *host) renewed(reply messenger.RenewReply) (actions leaser.Actions, current bool) {
	pending := h.renewals
	h.renewals = nil
	for _, r := range pending {
		actions, current = h.Renewed(h.now, r, reply, nil)
		h.log("renewed", actions)
	}
	return actions, current
}

func (h *host) note(what string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(&h.trace, "         %s %s\n", what, data)
}

func (h *host) advance(d time.Duration) leaser.Actions {
	h.now = h.now.Add(d)
	return h.log("tick", h.Tick(h.now))
}

// start assigns and starts one attempt.
func (h *host) start(task, attempt int) messenger.AttemptRef {
	reply, actions := h.Assign(h.now, h.command(task, attempt))
	h.log(fmt.Sprintf("assign: accepted %t", reply.Accepted), actions)
	id := apricotwinch.NewAttemptID("job", task, attempt)
	h.log("started", h.Started(h.now, id, nil))
	return messenger.AttemptRef{Job: "job", Task: task, Attempt: attempt}
}

func TestAssignRefusals(t *testing.T) {
	tests := []struct {
		name   string
		before func(h *host)
		change func(c *messenger.Assign)
		want   apricotwinch.Kind
	}{
		{name: "accepted"},
		{name: "another incarnation", change: func(c *messenger.Assign) { c.Incarnation = "i0" }, want: apricotwinch.StaleIncarnation},
		{name: "old epoch", change: func(c *messenger.Assign) { c.Epoch = 6 }, want: apricotwinch.StaleEpoch},
		{name: "old ticket", change: func(c *messenger.Assign) { c.TicketMillis -= 4001 }, want: apricotwinch.DeadlineExceeded},
		{name: "ticket of 4 s", change: func(c *messenger.Assign) { c.TicketMillis -= 4000 }},
		{name: "ticket of the future", change: func(c *messenger.Assign) { c.TicketMillis++ }, want: apricotwinch.Invalid},
		{name: "lease over", change: func(c *messenger.Assign) { c.LeaseMillis = 0 }, want: apricotwinch.DeadlineExceeded},
		{name: "no room", change: func(c *messenger.Assign) { c.Spec.Resources.ProcessorMillis = 4001 }, want: apricotwinch.NoCapacity},
		{name: "negative size", change: func(c *messenger.Assign) { c.Spec.Resources.MemoryBytes = -1 }, want: apricotwinch.Invalid},
		{name: "old view", before: func(h *host) { h.now = h.now.Add(3501 * time.Millisecond) }, want: apricotwinch.StaleView},
		{name: "out of service", before: func(h *host) { h.now = h.now.Add(time.Second); h.prove(true) }, want: apricotwinch.DataCentreOut},
		{name: "draining", before: func(h *host) { h.Drain(h.now) }, want: apricotwinch.Draining},
		{name: "stopped before", before: func(h *host) {
			h.Stop(h.now, messenger.Stop{Epoch: 7, Job: "job", Task: 1, Attempt: 1})
		}, want: apricotwinch.Revoked},
		{name: "earlier attempt runs", before: func(h *host) {
			small := h.command(1, 0)
			small.Spec.Resources.ProcessorMillis = 1
			h.Assign(h.now, small)
		}, want: apricotwinch.Conflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHost()
			if test.before != nil {
				test.before(h)
			}
			command := h.command(1, 1)
			if test.change != nil {
				test.change(&command)
			}
			reply, actions := h.Assign(h.now, command)
			if diff := cmp.Diff(string(test.want), reply.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
			if started := len(actions.Starts) == 1; started != (test.want == "") || reply.Accepted != started {
				t.Errorf("accepted %t, started %t", reply.Accepted, started)
			}
		})
	}
}

func TestUnsettledHostStartsNothing(t *testing.T) {
	h := &host{now: origin.Add(3 * time.Second)}
	h.Leaser = leaser.New(leaser.DefaultSettings("i1", origin), arbiter.New(apricotwinch.NewResources(4000, 1<<30, 0)))
	h.Listed(h.now, h.now, nil, nil)
	h.prove(false)
	reply, _ := h.Assign(h.now, h.command(0, 1))
	if diff := cmp.Diff("no_capacity", reply.Kind); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
}

func TestStaleOwnersAreIgnored(t *testing.T) {
	h := newHost()
	ref := h.start(0, 1)
	actions, current := h.renewed(messenger.RenewReply{Epoch: 6, LeaseMillis: 10_000, Stop: []messenger.AttemptRef{ref}})
	if current || len(actions.Stops) > 0 {
		t.Errorf("current %t, stops %v", current, actions.Stops)
	}
	_, _, err := h.Stop(h.now, messenger.Stop{Epoch: 6, Job: "job", Attempt: 1})
	if diff := cmp.Diff(apricotwinch.StaleEpoch, apricotwinch.KindOf(err)); diff != "" {
		t.Errorf("kind of a stop (-want +got):\n%s", diff)
	}
}

// TestTrace holds the life of an attempt that is evicted with a lost answer and of
// one that completes.
func TestTrace(t *testing.T) {
	h := newHost()
	first := h.start(0, 1)
	id := leaser.IDOf(first)
	granted := messenger.RenewReply{Epoch: 7, LeaseMillis: 10_000, Granted: []messenger.AttemptRef{first}}
	h.renewed(granted)
	h.advance(3 * time.Second)
	actions, _ := h.renewed(granted)
	h.log("leases told", h.LeasesTold(h.now, actions.Leases, nil))
	_, actions, _ = h.Stop(h.now, messenger.Stop{Epoch: 7, Job: "job", Attempt: 1, Checkpoint: true, Reason: "evicted"})
	h.log("stop", actions)
	h.now = h.now.Add(2 * time.Second)
	h.log("stop answer lost", h.Stopped(h.now, id, messenger.WorkerTask{}, apricotwinch.Errorf(apricotwinch.Unknown, "lost")))
	h.advance(time.Second)
	stopped := messenger.WorkerTask{Attempt: first, Phase: "stopped", Checkpoint: []byte("half")}
	h.log("listed", h.Listed(h.now, h.now, []messenger.WorkerTask{stopped}, nil))
	h.renewed(messenger.RenewReply{Epoch: 7})
	h.renewed(messenger.RenewReply{Epoch: 7, Durable: []messenger.AttemptRef{first}})
	h.log("forgotten", h.Forgotten(h.now, []messenger.AttemptRef{first}, nil))
	h.prove(false)
	_, actions = h.Assign(h.now, h.command(1, 1))
	h.log("assign", actions)
	second := messenger.AttemptRef{Job: "job", Task: 1, Attempt: 1}
	h.log("start answer lost", h.Started(h.now, leaser.IDOf(second), apricotwinch.Errorf(apricotwinch.Unknown, "lost")))
	h.advance(time.Second)
	completed := messenger.WorkerTask{Attempt: second, Phase: "completed", Result: []byte("done")}
	h.log("listed", h.Listed(h.now, h.now, []messenger.WorkerTask{completed}, nil))
	goldie.New(t).Assert(t, "trace", []byte(h.trace.String()))
}

// TestLargeResultsTakeTurns ends two attempts whose results don't fit into one
// renewal, and one whose result fits into none.
func TestLargeResultsTakeTurns(t *testing.T) {
	h := newHost()
	var tasks []messenger.WorkerTask
	for task, size := range []int{3 << 20, 3 << 20, 5 << 20} {
		command := h.command(task, 1)
		command.Spec.Resources.ProcessorMillis = 1
		h.Assign(h.now, command)
		ref := messenger.AttemptRef{Job: "job", Task: task, Attempt: 1}
		h.log("started", h.Started(h.now, leaser.IDOf(ref), nil))
		tasks = append(tasks, messenger.WorkerTask{Attempt: ref, Phase: "completed", Result: make([]byte, size)})
	}
	h.log("listed", h.Listed(h.now, h.now, tasks, nil))
	h.renewed(messenger.RenewReply{Epoch: 7})
	var got []string
	for range 2 {
		var durable []messenger.AttemptRef
		for _, r := range h.renewals[0].Reports() {
			got = append(got, fmt.Sprintf("%d %s %d", r.Task, r.Phase, len(r.Result)))
			if r.Phase != messenger.ReportRunning {
				durable = append(durable, messenger.AttemptRef{Job: r.Job, Task: r.Task, Attempt: r.Attempt})
			}
		}
		h.renewed(messenger.RenewReply{Epoch: 7, Durable: durable})
		h.advance(3 * time.Second)
	}
	want := []string{"0 completed 3145728", "1 running 0", "2 failed 0", "1 completed 3145728"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
}

// TestSilentWorker ends an attempt by its lease when the worker answers nothing.
func TestSilentWorker(t *testing.T) {
	h := newHost()
	h.start(0, 1)
	lost := apricotwinch.Errorf(apricotwinch.Unknown, "no answer")
	for h.now.Before(origin.Add(17 * time.Second)) {
		h.now = h.now.Add(time.Second)
		h.Listed(h.now, h.now, nil, lost)
		if h.Running() == 0 && h.now.Before(origin.Add(17*time.Second)) {
			t.Fatalf("ended %s after the origin, before lease and margin were over", h.now.Sub(origin))
		}
	}
	if h.Running() != 0 {
		t.Error("the attempt still runs after lease and margin")
	}
}

func Example() {
	origin := time.Unix(0, 0)
	settings := leaser.DefaultSettings("incarnation", origin)
	l := leaser.New(settings, arbiter.New(apricotwinch.NewResources(4000, 1<<30, 0)))
	now := origin.Add(5 * time.Second)
	l.Listed(now, now, nil, nil)
	l.Announced(now, messenger.AnnounceReply{ViewAgeMillis: 100})
	reply, actions := l.Assign(now, messenger.Assign{
		Incarnation: "incarnation", TicketMillis: l.Ticket(now), LeaseMillis: 10_000, Job: "job", Attempt: 1,
		Spec: messenger.JobSpec{Resources: messenger.Resources{ProcessorMillis: 1000}},
	})
	fmt.Println(reply.Accepted, len(actions.Starts))
	// Output: true 1
}

// FuzzAssign feeds decoded commands to a host: none may panic, and what is
// accepted holds room.
func FuzzAssign(f *testing.F) {
	seed, err := json.Marshal(newHost().command(0, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"incarnation":"i1","epoch":9223372036854775807,"ticketMillis":-9223372036854775808}`))
	f.Add([]byte(`{"incarnation":"i1","epoch":7,"ticketMillis":5000,"leaseMillis":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var command messenger.Assign
		if json.Unmarshal(data, &command) != nil {
			return
		}
		h := newHost()
		reply, actions := h.Assign(h.now, command)
		if reply.Accepted != (len(actions.Starts) == 1) || reply.Accepted != (reply.Kind == "") {
			t.Errorf("reply %+v with %d starts", reply, len(actions.Starts))
		}
		h.Tick(h.now.Add(time.Hour))
	})
}

// TestStaleCommandBarsFresherCopy refuses a command that arrived late; a fresher
// copy of it, sent before the owner saw the refusal, must be refused as well,
// for the owner may have given the task to another host by then.
func TestStaleCommandBarsFresherCopy(t *testing.T) {
	h := newHost()
	late := h.command(0, 1)
	h.now = h.now.Add(5 * time.Second)
	h.prove(false)
	var accepted []bool
	for _, command := range []messenger.Assign{late, h.command(0, 1)} {
		reply, actions := h.Assign(h.now, command)
		accepted = append(accepted, reply.Accepted || len(actions.Starts) > 0)
	}
	if diff := cmp.Diff([]bool{false, false}, accepted); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
}

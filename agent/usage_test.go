package agent_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"apricotwinch"
	"apricotwinch/agent"
	"apricotwinch/messenger"
)

// usages returns the heartbeats that carried usage reports.
func (e *fakeEntry) usages() [][]messenger.TaskUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	var usages [][]messenger.TaskUsage
	for _, a := range e.announces {
		if a.UsageSequence == a.Sequence {
			usages = append(usages, a.Usage)
		}
	}
	return usages
}

func (w *fakeWorker) use(ref messenger.AttemptRef, used messenger.Resources, slowdownPermille int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[ref].Used = used
	w.tasks[ref].SlowdownPermille = slowdownPermille
	w.tasks[ref].LagMillis = 2000
}

// TestUsageNamesEveryTaskAndItsEnd reports two assigned tasks but not one that
// was found at the worker, nothing while nothing changes, and an end by absence.
func TestUsageNamesEveryTaskAndItsEnd(t *testing.T) {
	h := startHost(t, func(s *agent.Settings) { s.UsageMillis = 1 })
	for _, r := range []messenger.AttemptRef{ref("a", 0, 1), ref("b", 3, 2)} {
		if reply := h.assign(t, r); !reply.Accepted {
			t.Fatalf("refused: %+v", reply)
		}
		eventually(t, "the start", func() bool { h.worker.mu.Lock(); defer h.worker.mu.Unlock(); return h.worker.tasks[r] != nil })
	}
	found := ref("found", 0, 1)
	h.worker.mu.Lock()
	h.worker.tasks[found] = &messenger.WorkerTask{Attempt: found, Phase: "running"}
	h.worker.mu.Unlock()
	used := messenger.Resources{ProcessorMillis: 700, MemoryBytes: 1 << 19}
	h.worker.use(ref("b", 3, 2), used, 1300)
	granted := messenger.Resources{ProcessorMillis: 1000, MemoryBytes: 1 << 20}
	want := []messenger.TaskUsage{
		{Job: "a", Attempt: 1, Team: "ketioli", Urgency: "batch", Granted: granted},
		{Job: "b", Task: 3, Attempt: 2, Team: "ketioli", Urgency: "batch", Granted: granted, Used: used, SlowdownPermille: 1300},
	}
	aged := cmpopts.IgnoreFields(messenger.TaskUsage{}, "LagMillis")
	latest := func(want []messenger.TaskUsage) func() bool {
		return func() bool {
			usages := h.entry.usages()
			return len(usages) > 0 && cmp.Equal(want, usages[len(usages)-1], aged, cmpopts.EquateEmpty())
		}
	}
	eventually(t, "the usage of both tasks", latest(want))
	if lag := h.entry.usages()[len(h.entry.usages())-1][1].LagMillis; lag < 2000 {
		t.Errorf("lag is %d ms, want the worker's 2000 and the time since", lag)
	}
	reports, heartbeats := len(h.entry.usages()), h.entry.latest().Sequence
	eventually(t, "more heartbeats", func() bool { return h.entry.latest().Sequence >= heartbeats+5 })
	if more := len(h.entry.usages()) - reports; more > 1 {
		t.Errorf("%d reports without a change", more)
	}
	h.worker.end(ref("a", 0, 1), "completed", nil)
	eventually(t, "the end of a", latest(want[1:]))
	h.worker.end(ref("b", 3, 2), "completed", nil)
	eventually(t, "the end of b", latest(nil))
}

// TestThrottleReachesTheWorker throttles an attempt by the owner's command; a
// replaced owner and a share that is none are refused.
func TestThrottleReachesTheWorker(t *testing.T) {
	h := startHost(t, nil)
	h.assign(t, ref("a", 0, 1))
	type answer struct {
		Found bool
		Kind  apricotwinch.Kind
	}
	var got []answer
	for _, c := range []messenger.Throttle{
		{Epoch: 1, Job: "a", Attempt: 1, Permille: 250},
		{Epoch: 1, Job: "b", Attempt: 1, Permille: 250},
		{Epoch: 1, Job: "a", Attempt: 1, Permille: 1001},
		{Epoch: 0, Job: "a", Attempt: 1, Permille: 500},
		{Epoch: 2, Job: "a", Attempt: 1, Permille: 1000},
		{Epoch: 1, Job: "a", Attempt: 1, Permille: 250},
	} {
		reply, err := call[messenger.ThrottleReply](t, h, messenger.MethodThrottle, c)
		a := answer{Found: reply.Found}
		if err != nil {
			a.Kind = apricotwinch.KindOf(err)
		}
		got = append(got, a)
	}
	want := []answer{{Found: true}, {}, {Kind: apricotwinch.Invalid}, {Kind: apricotwinch.StaleEpoch}, {Found: true}, {Kind: apricotwinch.StaleEpoch}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	h.worker.mu.Lock()
	defer h.worker.mu.Unlock()
	throttles := []messenger.WorkerThrottle{{Attempt: ref("a", 0, 1), Permille: 250}, {Attempt: ref("a", 0, 1), Permille: 1000}}
	if diff := cmp.Diff(throttles, h.worker.throttles); diff != "" {
		t.Errorf("throttles at the worker (-want +got):\n%s", diff)
	}
}

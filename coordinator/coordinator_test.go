package coordinator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/attendant"
	"apricotwinch/cataloger"
	"apricotwinch/coordinator"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

const patience = time.Minute

// store is a keyed log in memory, with epochs and outages.
type store struct {
	mu       sync.Mutex
	journals map[string]map[string][]byte
	epoch    int64
	next     int64
	refuse   bool
	// silent is whether appends get no answer.
	silent bool
}

func newStore() *store { return &store{journals: map[string]map[string][]byte{}} }

func (s *store) setRefuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *store) put(journal string, records []appender.KeyedRecord) {
	if s.journals[journal] == nil {
		s.journals[journal] = map[string][]byte{}
	}
	for _, r := range records {
		s.journals[journal][r.Key()] = r.Value()
	}
}

func (s *store) append(ctx context.Context, journal string, p appender.Producer, records []appender.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return apricotwinch.Errorf(apricotwinch.Unknown, "no answer: %w", ctx.Err())
	}
	switch {
	case s.refuse:
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "busy")
	case p.Epoch() < s.epoch || p.Epoch() == s.epoch && p.Sequence() != s.next:
		return apricotwinch.Errorf(apricotwinch.StaleEpoch, "fenced")
	}
	s.epoch, s.next = p.Epoch(), p.Sequence()+1
	s.put(journal, records)
	return nil
}

func (s *store) log() appender.KeyedLog {
	return appender.KeyedLog{
		Append: s.append,
		Put: func(_ context.Context, journal string, records []appender.KeyedRecord) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.put(journal, records)
			return nil
		},
		Newest: func(_ context.Context, journal string) ([]appender.KeyedRecord, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var records []appender.KeyedRecord
			for key, value := range s.journals[journal] {
				if len(value) > 0 {
					records = append(records, appender.NewKeyedRecord(key, value))
				}
			}
			return records, nil
		},
	}
}

// worker is an executor in memory that ends each run after a while.
type worker struct {
	mu      sync.Mutex
	began   time.Time
	takes   time.Duration
	running map[messenger.RunRef]time.Time
	ends    []messenger.RunEnd
	number  int
	starts  map[messenger.TaskRef]int
}

func (w *worker) answer() custodian.Answer {
	return custodian.Answer{Clock: time.Since(w.began) + time.Millisecond, Born: 1}
}

func (w *worker) executor() attendant.Executor {
	return attendant.Executor{
		Start: func(_ context.Context, call custodian.StartCall) (custodian.Answer, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.running[call.Order.Run] = time.Now()
			w.starts[call.Order.Run.Task]++
			return w.answer(), nil
		},
		Stop: func(_ context.Context, call custodian.RunCall) (custodian.Answer, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(call.Run, messenger.EndStopped)
			return w.answer(), nil
		},
		Pace: func(context.Context, custodian.RunCall) (custodian.Answer, error) { return w.answer(), nil },
		Hold: w.hold,
	}
}

func (w *worker) end(ref messenger.RunRef, how string) {
	if _, ok := w.running[ref]; !ok {
		return
	}
	delete(w.running, ref)
	w.number++
	w.ends = append(w.ends, messenger.RunEnd{Number: w.number, Run: ref, How: how})
}

func (w *worker) hold(ctx context.Context, call custodian.HoldCall) (custodian.Holding, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(call.Wait, 20*time.Millisecond)):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for ref, began := range w.running {
		if time.Since(began) > w.takes {
			w.end(ref, messenger.EndDone)
		}
	}
	holding := custodian.Holding{Answer: w.answer()}
	for _, end := range w.ends {
		if end.Number > call.Seen {
			holding.Ends = append(holding.Ends, end)
		}
	}
	for ref := range w.running {
		holding.Runs = append(holding.Runs, messenger.RunState{Run: ref})
	}
	return holding, nil
}

// deployment is entries and one host in this process.
type deployment struct {
	store   *store
	worker  *worker
	entries []*coordinator.Coordinator
	counts  []metrics.Registry
	stop    []context.CancelFunc
}

func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()
	return newSizedDeployment(t, make([]int, entries)...)
}

// newSizedDeployment returns a deployment with an entry for each size, in thousandths
// of a processor.
func newSizedDeployment(t *testing.T, sizes ...int) *deployment {
	t.Helper()
	d := &deployment{
		store: newStore(),
		worker: &worker{
			began: time.Now(), takes: 50 * time.Millisecond,
			running: map[messenger.RunRef]time.Time{}, starts: map[messenger.TaskRef]int{},
		},
	}
	var running sync.WaitGroup
	t.Cleanup(func() {
		for _, stop := range d.stop {
			stop()
		}
		running.Wait()
	})
	run := func(f func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		d.stop = append(d.stop, cancel)
		running.Go(func() { f(ctx) })
	}
	for i, size := range sizes {
		clock := timekeeper.New()
		d.counts = append(d.counts, metrics.NewRegistry())
		settings := coordinator.Settings{Name: fmt.Sprint("entry-", i), Listen: "127.0.0.1:0", ProcessorMillis: size}
		entry, err := coordinator.New(settings, coordinator.Deps{
			Log: d.store.log(), Clock: clock, Wall: time.Now, Logger: hclog.NewNullLogger(), Registry: d.counts[i],
		})
		if err != nil {
			t.Fatal(err)
		}
		entry.SetCatalog(cataloger.New(1, 1<<20, []cataloger.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 3}}))
		d.entries = append(d.entries, entry)
		run(entry.Run)
		run(func(ctx context.Context) error {
			for ctx.Err() == nil {
				entry.StoreAnswered(clock.Now())
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		})
	}
	agent, err := attendant.New(attendant.Settings{Host: "host", Listen: "127.0.0.1:0"}, attendant.Deps{
		Executor: d.worker.executor(), Log: d.store.log(), Clock: timekeeper.New(), Logger: hclog.NewNullLogger(), Registry: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	run(agent.Run)
	run(func(ctx context.Context) error {
		for n := 1; ctx.Err() == nil; n++ {
			agent.Announced(custodian.Announcement{
				ID: "e", Born: 1, Sequence: n, Service: "s", Address: "a", DataCentre: "dc",
				Capacity: apricotwinch.NewResources(4000, 1000, 0), Clock: time.Since(d.worker.began),
			})
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	for _, entry := range d.entries {
		until(t, "the entry is ready", entry.Ready)
	}
	return d
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, patience)
		}
	}
}

func request(id string) messenger.WorkloadRequest {
	return messenger.WorkloadRequest{Queue: "q", Id: id, Spec: &messenger.WorkloadSpec{Steps: []messenger.StepSpec{
		{Tasks: 2, Resources: messenger.Resources{ProcessorMillis: 500}},
		{Tasks: 1, Resources: messenger.Resources{ProcessorMillis: 500}, After: []int{0}},
	}}}
}

func (d *deployment) complete(t *testing.T, entry *coordinator.Coordinator, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := entry.Submit(ctx, request(id)); err != nil {
		t.Fatalf("submit %s: %v", id, err)
	}
	until(t, id+" is completed", func() bool {
		reply, err := entry.Show(ctx, messenger.WorkloadRequest{Queue: "q", Id: id})
		return err == nil && reply.State == messenger.WorkloadCompleted
	})
}

// TestOwnerIsReplaced holds that workloads complete once at whichever entry they are
// handed in, and that another entry goes on when the owner shuts down.
func TestOwnerIsReplaced(t *testing.T) {
	d := newDeployment(t, 3)
	for i, entry := range d.entries {
		d.complete(t, entry, fmt.Sprint("before-", i))
	}
	for i, entry := range d.entries[:2] {
		entry.HandOver(context.Background())
		d.complete(t, d.entries[2], fmt.Sprint("after-", i))
	}
	d.worker.mu.Lock()
	defer d.worker.mu.Unlock()
	for task, starts := range d.worker.starts {
		if diff := cmp.Diff(1, starts); diff != "" {
			t.Errorf("starts of %v (-want +got):\n%s", task, diff)
		}
	}
}

// TestStrongestEntryOwns holds that the ownership comes to the strongest entry, and
// that what was accepted before it moved completes once.
func TestStrongestEntryOwns(t *testing.T) {
	d := newSizedDeployment(t, 200, 200, 800)
	for i := range 20 {
		d.complete(t, d.entries[i%3], fmt.Sprint("w-", i))
	}
	until(t, "the strongest entry owns", func() bool {
		return metrics.GetOrRegisterCounter("ownership.taken", d.counts[2]).Count() > 0
	})
	d.complete(t, d.entries[0], "after")
	d.worker.mu.Lock()
	defer d.worker.mu.Unlock()
	for task, starts := range d.worker.starts {
		if diff := cmp.Diff(1, starts); diff != "" {
			t.Errorf("starts of %v (-want +got):\n%s", task, diff)
		}
	}
}

// TestConfigurationComesFromAPeer holds that an entry which the store does not serve gets
// a configuration from a peer.
func TestConfigurationComesFromAPeer(t *testing.T) {
	d := newDeployment(t, 2)
	d.entries[0].SetCatalog(cataloger.New(5, 1<<20, []cataloger.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 3}}))
	until(t, "the other entry has it", func() bool { return d.entries[1].Catalog().Version() == 5 })
}

// TestNoOwnerIsToldBeforeTheDeadline holds that a request that no owner takes is
// refused, as not run, long before its deadline.
func TestNoOwnerIsToldBeforeTheDeadline(t *testing.T) {
	d := newDeployment(t, 1)
	d.entries[0].HandOver(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := d.entries[0].Submit(ctx, request("late"))
	if diff := cmp.Diff(apricotwinch.NotOwner, apricotwinch.KindOf(err)); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
	if ctx.Err() != nil {
		t.Error("refused at the deadline")
	}
	began := time.Now()
	_, err = d.entries[0].Submit(ctx, request("later"))
	if diff := cmp.Diff(apricotwinch.NotOwner, apricotwinch.KindOf(err)); diff != "" {
		t.Errorf("kind of the next (-want +got):\n%s", diff)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the next waited for an owner that has long been gone: %s", took)
	}
}

// TestRefusingStoreIsToldAtOnce holds that while the store provably refuses, callers
// are told at once, that nothing of what was refused runs, and that the next
// submission of the same id is accepted.
func TestRefusingStoreIsToldAtOnce(t *testing.T) {
	d := newDeployment(t, 1)
	d.complete(t, d.entries[0], "before")
	d.store.setRefuse(true)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := d.entries[0].Submit(ctx, request("refused"))
	if diff := cmp.Diff(apricotwinch.LogUnavailable, apricotwinch.KindOf(err)); diff != "" {
		t.Fatalf("kind (-want +got):\n%s", diff)
	}
	d.store.setRefuse(false)
	until(t, "the store is known to be back", func() bool {
		_, err := d.entries[0].Submit(ctx, request("again"))
		return err == nil
	})
	_, err = d.entries[0].Show(ctx, messenger.WorkloadRequest{Queue: "q", Id: "refused"})
	if diff := cmp.Diff(apricotwinch.NotFound, apricotwinch.KindOf(err)); diff != "" {
		t.Errorf("kind of the refused workload (-want +got):\n%s", diff)
	}
	d.complete(t, d.entries[0], "refused")
}

// TestRepeatDuringASilentStoreIsNotCalledRefused holds that a workload whose append has no
// answer yet is not called refused when it is handed in again: it may still be accepted.
func TestRepeatDuringASilentStoreIsNotCalledRefused(t *testing.T) {
	d := newDeployment(t, 1)
	d.complete(t, d.entries[0], "before")
	d.store.setSilent(true)
	submit := func(timeout time.Duration) apricotwinch.Kind {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := d.entries[0].Submit(ctx, request("unsure"))
		return apricotwinch.KindOf(err)
	}
	if diff := cmp.Diff(apricotwinch.Unknown, submit(1200*time.Millisecond)); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(apricotwinch.Unknown, submit(300*time.Millisecond)); diff != "" {
		t.Errorf("kind of the repeat (-want +got):\n%s", diff)
	}
	d.store.setSilent(false)
	d.complete(t, d.entries[0], "unsure")
}

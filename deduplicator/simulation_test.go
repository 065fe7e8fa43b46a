package deduplicator_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/deduplicator"
	"apricotwinch/messenger"
)

// world runs requests with one key at several entries over a log and hosts that
// delay, lose and double what is sent.
type world struct {
	t       *rapid.T
	now     time.Time
	events  []event
	records []messenger.KeyRecord
	entries []*entry
	runs    map[string]int // Runs of each request.
	agents  map[string]*messenger.DispatchReply
	revoked map[string]bool
}

type event struct {
	at time.Time
	do func()
}

type entry struct {
	name     string
	folder   *deduplicator.Folder
	requests map[string]*deduplicator.Request
	order    []string
	results  map[string]deduplicator.Action
	dead     bool
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now.Add(d), do: do})
}

func (w *world) delay() time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 100, 400, 3000}).Draw(w.t, "delay")) * time.Millisecond
}

func (w *world) chance(n int) bool { return rapid.IntRange(0, n-1).Draw(w.t, "chance") == 0 }

// append lands record 0 to 2 times and reports the offset unless that is lost.
func (w *world) append(record messenger.KeyRecord, ended func(int64, error)) {
	reported := false
	for range rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(w.t, "copies") {
		w.after(w.delay(), func() {
			w.records = append(w.records, record)
			if !reported && !w.chance(5) {
				reported = true
				ended(int64(len(w.records)-1), nil)
			}
		})
	}
	w.after(4*time.Second, func() {
		if !reported {
			reported = true
			ended(0, apricotwinch.Errorf(apricotwinch.Unknown, "lost"))
		}
	})
}

func (w *world) dispatch(request string, ended func(messenger.DispatchReply)) {
	reported := false
	report := func(reply messenger.DispatchReply) {
		if !reported {
			reported = true
			ended(reply)
		}
	}
	w.after(2*time.Second, func() { report(messenger.DispatchReply{Outcome: messenger.OutcomeUnknown}) })
	if w.chance(6) {
		return
	}
	w.after(w.delay(), func() {
		if w.revoked[request] || w.chance(5) {
			w.revoked[request] = true
			report(messenger.DispatchReply{Outcome: messenger.OutcomeRefused, Kind: string(apricotwinch.NoCapacity)})
			return
		}
		w.agents[request] = nil
		w.runs[request]++
		w.after(w.delay(), func() {
			reply := messenger.DispatchReply{Outcome: messenger.OutcomeAnswered, Body: []byte(request)}
			w.agents[request] = &reply
			if !w.chance(5) {
				w.after(w.delay(), func() { report(reply) })
			}
		})
	})
}

func (w *world) ask(request string, ended func(messenger.RevokeReply, error)) {
	w.after(w.delay(), func() {
		reply, ran := w.agents[request]
		result := messenger.RevokeReply{Reply: reply, Revoked: !ran}
		w.revoked[request] = w.revoked[request] || !ran
		if w.chance(4) {
			w.after(w.delay(), func() { ended(messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.Unknown, "lost")) })
			return
		}
		w.after(w.delay(), func() { ended(result, nil) })
	})
}

func (w *world) run(e *entry, id string, actions []deduplicator.Action) {
	q := e.requests[id]
	for _, a := range actions {
		switch a.Type() {
		case deduplicator.ClaimKey:
			w.append(a.Record(), q.ClaimEnded)
		case deduplicator.Append:
			w.append(a.Record(), func(int64, error) {})
		case deduplicator.Dispatch:
			w.dispatch(a.Request(), q.Dispatched)
		case deduplicator.Ask:
			w.ask(a.Request(), func(r messenger.RevokeReply, err error) { q.Asked(a.Request(), r, err) })
		default:
			if _, ok := e.results[id]; ok {
				w.t.Fatalf("request %s ended twice", id)
			}
			e.results[id] = a
		}
	}
}

// step moves the time on by 100 ms.
func (w *world) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	for _, e := range w.entries {
		if e.dead {
			continue
		}
		if !w.chance(4) {
			for offset := e.folder.Next(); offset < int64(len(w.records)); offset++ {
				e.folder.Fold(w.now, offset, w.records[offset])
			}
		}
		for _, id := range e.order {
			w.run(e, id, e.requests[id].Step(w.now, e.folder))
		}
	}
}

func (w *world) add(e *entry, id string) {
	spec := deduplicator.NewSpec(id, "t", "s", "k", "h", w.now.Add(20*time.Second))
	self := messenger.EntryAddress{Entry: e.name, Incarnation: e.name}
	gone := func(name, _ string) bool {
		for _, other := range w.entries {
			if other.name == name && other.dead {
				return true
			}
		}
		return w.chance(10)
	}
	e.requests[id] = deduplicator.NewRequest(spec, self, deduplicator.NewTarget("host", "i", 0), gone)
	e.order = append(e.order, id)
}

// TestAtMostOnce holds that whatever is delayed, lost or doubled and whoever dies,
// at most one of the requests with a key runs, each caller that gets an answer gets
// the one of that run, and what is refused as not run did not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, runs: map[string]int{}, agents: map[string]*messenger.DispatchReply{}, revoked: map[string]bool{}}
		for i := range 3 {
			w.entries = append(w.entries, &entry{
				name: fmt.Sprint("e", i), folder: newFolder(),
				requests: map[string]*deduplicator.Request{}, results: map[string]deduplicator.Action{},
			})
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			w.add(rapid.SampledFrom(w.entries).Draw(t, "entry"), fmt.Sprint("r", i))
			for range rapid.IntRange(0, 8).Draw(t, "steps") {
				w.step()
			}
		}
		if rapid.Bool().Draw(t, "crash") {
			rapid.SampledFrom(w.entries).Draw(t, "crashed").dead = true
		}
		for range 300 {
			w.step()
		}
		w.check()
	})
}

func (w *world) check() {
	total := 0
	for _, n := range w.runs {
		total += n
	}
	if total > 1 {
		w.t.Fatalf("runs of one key: %v", w.runs)
	}
	for _, e := range w.entries {
		for _, id := range e.order {
			result, ok := e.results[id]
			if !ok && !e.dead {
				w.t.Fatalf("request %s has no result", id)
			}
			if result.Type() == deduplicator.Answer && w.runs[string(result.Reply().Body)] != 1 {
				w.t.Fatalf("request %s got the answer %q; runs are %v", id, result.Reply().Body, w.runs)
			}
			if result.Err() != nil && apricotwinch.KindOf(result.Err()).Answer().NotRun() && w.runs[id] > 0 {
				w.t.Fatalf("request %s ran and was refused as not run: %v", id, result.Err())
			}
		}
	}
}

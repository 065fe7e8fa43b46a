package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/sharer"
)

const propertyTeams = 4

// account is what a machine test knows of one team.
type account struct {
	quota  apricotwinch.Resources
	queued map[apricotwinch.AttemptID]sharer.Item
	held   map[apricotwinch.AttemptID]sharer.Item
}

func (a *account) used() apricotwinch.Resources {
	var sum apricotwinch.Resources
	for _, item := range a.held {
		sum = sum.Add(item.Need())
	}
	return sum
}

// machine drives a sharer with random events beside a simple model.
type machine struct {
	sharer   *sharer.Sharer
	now      time.Time
	accounts map[string]*account
	order    []apricotwinch.AttemptID
}

func drawTeam(t *rapid.T) string {
	return fmt.Sprintf("team-%d", rapid.IntRange(0, propertyTeams-1).Draw(t, "team"))
}

func drawAmount(t *rapid.T, top int64) apricotwinch.Resources {
	return apricotwinch.NewResources(
		rapid.Int64Range(0, top).Draw(t, "processors"),
		rapid.Int64Range(0, top).Draw(t, "memory"),
		rapid.Int64Range(0, top/4).Draw(t, "accelerators"),
	)
}

func (m *machine) submit(t *rapid.T) {
	name := drawTeam(t)
	urgency := rapid.SampledFrom([]apricotwinch.Urgency{apricotwinch.Batch, apricotwinch.Standard, apricotwinch.Critical}).Draw(t, "urgency")
	item := sharer.NewItem(id("job", len(m.order)), name, urgency, drawAmount(t, 12))
	err := m.sharer.Submit(m.now, item, m.now)
	a := m.accounts[name]
	if fits := item.Need().Fits(a.quota); fits != (err == nil) {
		t.Fatalf("submit of %s under %s: %v", item.Need(), a.quota, err)
	}
	if err == nil {
		m.order = append(m.order, item.ID())
		a.queued[item.ID()] = item
	}
}

func (m *machine) next(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	item, ok := m.sharer.Next(m.now)
	if !ok {
		return
	}
	a := m.accounts[item.Team()]
	if _, queued := a.queued[item.ID()]; !queued {
		t.Fatalf("%s started, but doesn't wait", item.ID())
	}
	delete(a.queued, item.ID())
	a.held[item.ID()] = item
	if used := a.used(); !used.Fits(a.quota) {
		t.Fatalf("%s uses %s, quota %s", item.Team(), used, a.quota)
	}
}

func (m *machine) end(t *rapid.T) {
	if len(m.order) == 0 {
		return
	}
	ended := rapid.SampledFrom(m.order).Draw(t, "ended")
	for _, a := range m.accounts {
		item, held := a.held[ended]
		if held && rapid.Bool().Draw(t, "requeue") {
			m.sharer.Requeue(m.now, ended, m.now)
			delete(a.held, ended)
			a.queued[ended] = item
			return
		}
	}
	m.sharer.Finish(ended)
	for _, a := range m.accounts {
		delete(a.held, ended)
		delete(a.queued, ended)
	}
}

func (m *machine) setQuota(t *rapid.T) {
	name := drawTeam(t)
	quota := drawAmount(t, 24)
	if err := m.sharer.SetTeam(name, quota, rapid.Float64Range(0.1, 10).Draw(t, "weight")); err != nil {
		t.Fatal(err)
	}
	m.accounts[name].quota = quota
}

func (m *machine) check(t *rapid.T) {
	for name, a := range m.accounts {
		if got := m.sharer.Used(name); got != a.used() {
			t.Fatalf("%s uses %s, model %s", name, got, a.used())
		}
	}
}

// drain ends everything that starts, and holds that all that fits its quota
// starts in the end.
func (m *machine) drain(t *rapid.T) {
	for _, a := range m.accounts {
		for started := range a.held {
			m.sharer.Finish(started)
		}
	}
	for item, ok := m.sharer.Next(m.now); ok; item, ok = m.sharer.Next(m.now) {
		delete(m.accounts[item.Team()].queued, item.ID())
		m.sharer.Finish(item.ID())
	}
	for name, a := range m.accounts {
		for left, item := range a.queued {
			if item.Need().Fits(a.quota) {
				t.Fatalf("%s of %s never started: needs %s of %s", left, name, item.Need(), a.quota)
			}
		}
	}
}

func TestQuotasHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{sharer: sharer.New(sharer.DefaultConfig(), fleet), now: epoch, accounts: map[string]*account{}}
		for n := range propertyTeams {
			name := fmt.Sprintf("team-%d", n)
			m.accounts[name] = &account{
				quota:  amount(20, 20),
				queued: map[apricotwinch.AttemptID]sharer.Item{},
				held:   map[apricotwinch.AttemptID]sharer.Item{},
			}
			if err := m.sharer.SetTeam(name, amount(20, 20), 1); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "submit": m.submit, "submitMore": m.submit, "next": m.next, "end": m.end, "quota": m.setQuota,
		})
		m.drain(t)
	})
}

// TestNoStarvation keeps critical work of some teams coming for ever, with room
// for one start at a time, and bounds the wait of a batch task of another.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := sharer.Config{AgingAfter: 10 * time.Second, AgingEvery: rapid.IntRange(2, 8).Draw(t, "every")}
		busy := rapid.IntRange(1, 5).Draw(t, "busy")
		s := sharer.New(config, fleet)
		serial := 0
		submit := func(now time.Time, team string, urgency apricotwinch.Urgency) {
			serial++
			if err := s.Submit(now, sharer.NewItem(id(team, serial), team, urgency, amount(1, 1)), now); err != nil {
				t.Fatal(err)
			}
		}
		for n := range busy {
			if err := s.SetTeam(fmt.Sprintf("busy-%d", n), fleet, rapid.Float64Range(0.5, 100).Draw(t, "weight")); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.SetTeam("patient", fleet, 0.01); err != nil {
			t.Fatal(err)
		}
		submit(epoch, "patient", apricotwinch.Batch)
		bound := int(config.AgingAfter/time.Second) + config.AgingEvery*2*(busy+1)
		for step := range bound {
			now := epoch.Add(time.Duration(step) * time.Second)
			for n := range busy {
				submit(now, fmt.Sprintf("busy-%d", n), rapid.SampledFrom([]apricotwinch.Urgency{apricotwinch.Critical, apricotwinch.Batch}).Draw(t, "urgency"))
			}
			item, ok := s.Next(now)
			if !ok {
				t.Fatal("nothing starts")
			}
			if item.Team() == "patient" {
				return
			}
			s.Finish(item.ID())
		}
		t.Fatalf("the patient team got none of %d starts", bound)
	})
}

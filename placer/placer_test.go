package placer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/placer"
)

func TestUnschedulableNamesTheResource(t *testing.T) {
	p := table(settled(), 3, 1)
	p.Join(epoch, "gpu", locality(0, 1), apricotwinch.NewResources(8000, 16*gib, 2))
	needs := []apricotwinch.Resources{
		apricotwinch.NewResources(17_000, gib, 0),
		apricotwinch.NewResources(1000, 63*gib, 0),
		apricotwinch.NewResources(1000, gib, 3),
		apricotwinch.NewResources(16_000, gib, 1),
		apricotwinch.NewResources(-1, gib, 0),
	}
	var got []string
	for i, need := range needs {
		_, err := p.Choose(epoch, placer.NewRequest(attempt("job", i), "job", need))
		got = append(got, fmt.Sprintf("%s: %v", apricotwinch.KindOf(err), err))
	}
	want := []string{
		"unschedulable: job job: processors: need 17000m, the largest host has 16000m",
		"unschedulable: job job: memory: need 67645734912B, the largest host has 66571993088B",
		"unschedulable: job job: accelerators: need 3, the largest host has 2",
		"unschedulable: job job: no host has the processors, memory and accelerators together: " +
			"need 16000m/1073741824B/1a, the largest host has 16000m/66571993088B/0a",
		"invalid: resources: -1m/1073741824B/0a is negative",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("errors (-want +got):\n%s", diff)
	}
}

func TestUnschedulableWaitsForTheTable(t *testing.T) {
	config := placer.DefaultConfig()
	p := table(config, 1, 1)
	huge := placer.NewRequest(attempt("huge", 0), "huge", apricotwinch.NewResources(32_000, gib, 0))
	kindAt := func(at time.Time) apricotwinch.Kind {
		_, err := p.Choose(at, huge)
		return apricotwinch.KindOf(err)
	}
	got := []apricotwinch.Kind{kindAt(epoch), kindAt(epoch.Add(config.Learning))}
	p.Join(epoch, "large", locality(1, 1), apricotwinch.NewResources(32_000, gib, 0))
	p.Remove(epoch, "large")
	got = append(got, kindAt(epoch.Add(config.Learning)), kindAt(epoch.Add(config.CapacityMemory)))
	want := []apricotwinch.Kind{apricotwinch.NoCapacity, apricotwinch.Unschedulable, apricotwinch.NoCapacity, apricotwinch.Unschedulable}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}

func TestReservationLastsUntilCovered(t *testing.T) {
	config := settled()
	p := table(config, 1, 1)
	need := apricotwinch.NewResources(16_000, gib, 0)
	first, second := attempt("a", 0), attempt("b", 0)
	choose := func(at time.Time, id apricotwinch.AttemptID) apricotwinch.Kind {
		_, err := p.Choose(at, placer.NewRequest(id, "c", need))
		return apricotwinch.KindOf(err)
	}
	at := func(d time.Duration) time.Time { return epoch.Add(d) }

	got := []apricotwinch.Kind{choose(epoch, first), choose(epoch, second)}
	// A summary from before the agent accepted the attempt frees nothing.
	p.Confirm(at(2*time.Second), first)
	p.Update(at(3*time.Second), "host-0", apricotwinch.Resources{}, at(time.Second))
	got = append(got, choose(at(3*time.Second), second))
	// Nor does one of the same moment.
	p.Update(at(3*time.Second), "host-0", apricotwinch.Resources{}, at(2*time.Second))
	got = append(got, choose(at(3*time.Second), second))
	// One from after that covers it.
	p.Update(at(4*time.Second), "host-0", apricotwinch.Resources{}, at(3*time.Second))
	got = append(got, choose(at(4*time.Second), second))
	// The second is never confirmed, and expires.
	third := attempt("c", 0)
	got = append(got, choose(at(5*time.Second), third), choose(at(4*time.Second+config.ReservationLife), third))
	want := []apricotwinch.Kind{
		"", apricotwinch.NoCapacity, apricotwinch.NoCapacity, apricotwinch.NoCapacity, "", apricotwinch.NoCapacity, "",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}

func TestRefusedHostIsPassedOver(t *testing.T) {
	p := table(settled(), 1, 1)
	kind := func(at time.Time, task int) apricotwinch.Kind {
		_, err := p.Choose(at, small("job", task))
		return apricotwinch.KindOf(err)
	}
	got := []apricotwinch.Kind{kind(epoch, 0)}
	p.Refuse(epoch, attempt("job", 0))
	got = append(got, kind(epoch, 1))
	// The summary that was known before the refusal says nothing new.
	p.Update(epoch, "host-0", apricotwinch.Resources{}, epoch)
	got = append(got, kind(epoch, 2))
	later := epoch.Add(time.Second)
	p.Update(later, "host-0", apricotwinch.Resources{}, later)
	got = append(got, kind(later, 3))
	p.Refuse(later, attempt("job", 3))
	got = append(got, kind(later.Add(settled().RefusalPause), 4))
	want := []apricotwinch.Kind{"", apricotwinch.NoCapacity, apricotwinch.NoCapacity, "", ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}

func TestReleasedRoomIsFreeBeforeTheSummary(t *testing.T) {
	p := table(settled(), 1, 1)
	full := func(task int) placer.Request { return placer.NewRequest(attempt("job", task), "job", worker()) }
	kind := func(task int) apricotwinch.Kind {
		_, err := p.Choose(epoch, full(task))
		return apricotwinch.KindOf(err)
	}
	got := []apricotwinch.Kind{kind(0)}
	p.Confirm(epoch, attempt("job", 0))
	sampledAt := epoch.Add(time.Second)
	p.Update(sampledAt, "host-0", worker(), sampledAt)
	got = append(got, kind(1))
	p.Release(attempt("job", 0))
	// The same summary again, as from another entry, takes nothing back.
	p.Update(sampledAt, "host-0", worker(), sampledAt)
	got = append(got, kind(2))
	p.Release(attempt("job", 2))
	// A later one counts what it shows.
	later := sampledAt.Add(time.Second)
	p.Update(later, "host-0", worker(), later)
	got = append(got, kind(3))
	want := []apricotwinch.Kind{"", apricotwinch.NoCapacity, "", apricotwinch.NoCapacity}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}

func TestAvoidedHostsAreTheLastResort(t *testing.T) {
	p := table(settled(), 2, 1)
	choose := func(task int, avoid ...string) string {
		host, err := p.Choose(epoch, small("job", task).Avoiding(avoid...))
		return fmt.Sprintf("%s %s", host, apricotwinch.KindOf(err))
	}
	got := []string{choose(0, "host-0"), choose(1, "host-1")}
	p.Update(epoch, "host-1", worker(), epoch)
	got = append(got, choose(2, "host-0"))
	p.SetStanding("host-1", placer.Closed)
	got = append(got, choose(3, "host-0"))
	want := []string{"host-1 ", "host-0 ", " no_capacity", "host-0 "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

func TestTrialGetsOneTask(t *testing.T) {
	p := table(settled(), 1, 1)
	p.SetStanding("host-0", placer.Trial)
	_, first := p.Choose(epoch, small("job", 0))
	_, second := p.Choose(epoch, small("job", 1))
	got := []apricotwinch.Kind{apricotwinch.KindOf(first), apricotwinch.KindOf(second)}
	if diff := cmp.Diff([]apricotwinch.Kind{"", apricotwinch.NoCapacity}, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}

// TestHoldLetsALargeTaskIn keeps a host full of small tasks, of which one ends
// each second and another waits.
func TestHoldLetsALargeTaskIn(t *testing.T) {
	const cores = 16
	startedAfter := func(hold bool) int {
		p := table(settled(), 1, 1)
		large := placer.NewRequest(attempt("large", 0), "large", apricotwinch.NewResources(8000, gib, 0))
		next, oldest := 0, 0
		for second := range 60 {
			now := epoch.Add(time.Duration(second) * time.Second)
			for {
				if _, err := p.Choose(now, small("small", next)); err != nil {
					break
				}
				next++
			}
			if _, err := p.Choose(now, large); err == nil {
				return second
			}
			if hold && !p.Hold(now, large) {
				t.Fatal("no host is held")
			}
			if oldest < next {
				p.Release(attempt("small", oldest))
				oldest++
			}
		}
		return -1
	}
	got := []int{startedAfter(false), startedAfter(true)}
	if diff := cmp.Diff([]int{-1, cores / 2}, got); diff != "" {
		t.Errorf("second of the start without and with a hold (-want +got):\n%s", diff)
	}
}

func TestHoldEnds(t *testing.T) {
	config := settled()
	end := map[string]func(p *placer.Placer) time.Time{
		"expired": func(*placer.Placer) time.Time { return epoch.Add(config.HoldLife) },
		"released": func(p *placer.Placer) time.Time {
			p.Release(attempt("large", 0))
			return epoch
		},
	}
	for name, finish := range end {
		t.Run(name, func(t *testing.T) {
			p := table(config, 1, 1)
			p.Update(epoch, "host-0", apricotwinch.NewResources(8000, gib, 0), epoch)
			large := placer.NewRequest(attempt("large", 0), "large", worker())
			held := p.Hold(epoch, large)
			_, during := p.Choose(epoch, small("small", 0))
			_, after := p.Choose(finish(p), small("small", 1))
			got := fmt.Sprint(held, " ", apricotwinch.KindOf(during), " ", apricotwinch.KindOf(after))
			if diff := cmp.Diff("true no_capacity ", got); diff != "" {
				t.Errorf("held, kinds during and after (-want +got):\n%s", diff)
			}
		})
	}
}

func TestInfinitePenaltyKeepsWorkOff(t *testing.T) {
	config := settled()
	config.Penalty = func(host, class string, _ []string) float64 {
		if host == "host-0" || class == "banned" {
			return math.Inf(1)
		}
		return 0
	}
	p := table(config, 2, 1)
	var got []string
	for task := range 3 {
		host, _ := p.Choose(epoch, small("job", task))
		got = append(got, host)
	}
	_, err := p.Choose(epoch, placer.NewRequest(attempt("job", 3), "banned", apricotwinch.NewResources(1, 1, 0)))
	got = append(got, string(apricotwinch.KindOf(err)))
	if diff := cmp.Diff([]string{"host-1", "host-1", "host-1", "no_capacity"}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

func TestPenaltySeesWhatWasJustPlaced(t *testing.T) {
	config := settled()
	config.Penalty = func(_, class string, residents []string) float64 {
		cost := 0.0
		for _, resident := range residents {
			if resident != class {
				cost += 10
			}
		}
		return cost
	}
	p := table(config, 2, 1)
	first, _ := p.Choose(epoch, small("noisy", 0))
	second, _ := p.Choose(epoch, small("quiet", 0))
	if first == second {
		t.Errorf("both on %s, want them apart", first)
	}
}

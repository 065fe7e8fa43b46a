package arbiter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch"
	"apricotwinch/arbiter"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func Example() {
	host := arbiter.New(apricotwinch.NewResources(4000, 8<<30, 1))
	first := apricotwinch.NewAttemptID("p0-a", 0, 1)
	second := apricotwinch.NewAttemptID("p0-a", 1, 1)
	fmt.Println(host.ReserveAttempt(first, apricotwinch.NewResources(3000, 1<<30, 0)))
	fmt.Println(host.ReserveAttempt(second, apricotwinch.NewResources(2000, 1<<30, 0)))
	host.ReleaseAttempt(first)
	fmt.Println(host.ReserveAttempt(second, apricotwinch.NewResources(2000, 1<<30, 0)))
	// Output:
	// <nil>
	// attempt p0-a/1/1: needs 2000m/1073741824B/0a, the host has 1000m/7516192768B/1a free
	// <nil>
}

func TestUnsizedAttemptBlocks(t *testing.T) {
	host := arbiter.New(apricotwinch.NewResources(4000, 8<<30, 1))
	adopted := apricotwinch.NewAttemptID("p0-a", 0, 1)
	host.AdoptAttempt(adopted)
	got := []apricotwinch.Kind{
		apricotwinch.KindOf(host.ReserveAttempt(apricotwinch.NewAttemptID("p0-a", 1, 1), apricotwinch.Resources{})),
		apricotwinch.KindOf(host.ReserveTarget("web", apricotwinch.NewResources(1000, 0, 0), 8, 64)),
	}
	if diff := cmp.Diff([]apricotwinch.Kind{apricotwinch.NoCapacity, ""}, got); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
	if host.Committed() != host.Capacity() {
		t.Errorf("committed %s, want the whole capacity", host.Committed())
	}
	host.ReleaseAttempt(adopted)
	if want := apricotwinch.NewResources(1000, 0, 0); host.Committed() != want {
		t.Errorf("committed %s, want %s", host.Committed(), want)
	}
}

// ledger is the naive account that the arbiter is checked against.
type ledger struct {
	attempts map[apricotwinch.AttemptID]apricotwinch.Resources
	targets  map[string]apricotwinch.Resources
	busy     map[string]int
}

func (l ledger) sum() apricotwinch.Resources {
	var sum apricotwinch.Resources
	for _, r := range l.attempts {
		sum = sum.Add(r)
	}
	for _, r := range l.targets {
		sum = sum.Add(r)
	}
	return sum
}

func drawResources(t *rapid.T) apricotwinch.Resources {
	return apricotwinch.NewResources(
		rapid.Int64Range(-1, 6).Draw(t, "processors"),
		rapid.Int64Range(0, 6).Draw(t, "memory"),
		rapid.Int64Range(0, 2).Draw(t, "accelerators"))
}

func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := apricotwinch.NewResources(10, 10, 2)
		host := arbiter.New(capacity)
		naive := ledger{map[apricotwinch.AttemptID]apricotwinch.Resources{}, map[string]apricotwinch.Resources{}, map[string]int{}}
		drawID := func() apricotwinch.AttemptID {
			return apricotwinch.NewAttemptID("p0-a", rapid.IntRange(0, 4).Draw(t, "task"), 1)
		}
		drawName := func() string { return rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if !naive.sum().Fits(capacity) {
					t.Fatalf("reserved %s of %s", naive.sum(), capacity)
				}
				if diff := cmp.Diff(naive.sum().String(), host.Committed().String()); diff != "" {
					t.Fatalf("committed (-want +got):\n%s", diff)
				}
				for name := range naive.targets {
					if busy := host.Target(name).Busy(); busy != naive.busy[name] || busy > 3 {
						t.Fatalf("target %s: %d busy, want %d, at most 3", name, busy, naive.busy[name])
					}
				}
			},
			"reserve attempt": func(t *rapid.T) {
				id, need := drawID(), drawResources(t)
				_, held := naive.attempts[id]
				want := held || !need.Negative() && naive.sum().Add(need).Fits(capacity)
				if err := host.ReserveAttempt(id, need); (err == nil) != want {
					t.Fatalf("reserve %s: %v, want granted %t", need, err, want)
				}
				if want && !held {
					naive.attempts[id] = need
				}
			},
			"release attempt": func(*rapid.T) {
				id := drawID()
				host.ReleaseAttempt(id)
				delete(naive.attempts, id)
			},
			"reserve target": func(t *rapid.T) {
				name, need := drawName(), drawResources(t)
				rest := naive.sum().Sub(naive.targets[name])
				want := !need.Negative() && rest.Add(need).Fits(capacity)
				if err := host.ReserveTarget(name, need, 4, 3); (err == nil) != want {
					t.Fatalf("reserve target %s: %v, want granted %t", need, err, want)
				}
				if want {
					naive.targets[name] = need
				}
			},
			"release target": func(*rapid.T) {
				name := drawName()
				host.ReleaseTarget(name)
				delete(naive.targets, name)
			},
			"acquire": func(t *rapid.T) {
				name := drawName()
				_, known := naive.targets[name]
				want := known && naive.busy[name] < 3
				if err := host.Acquire(name); (err == nil) != want {
					t.Fatalf("acquire %s: %v, want granted %t", name, err, want)
				}
				if want {
					naive.busy[name]++
				}
			},
			"release": func(*rapid.T) {
				name := drawName()
				host.Release(name)
				if naive.busy[name] > 0 {
					naive.busy[name]--
				}
			},
		})
	})
}

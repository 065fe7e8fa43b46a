package router_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

// fill returns a router that knows a number of hosts.
func fill(tb testing.TB, hosts int) (*router.Router, time.Time) {
	tb.Helper()
	f := newFixture(tb)
	f.fill(hosts)
	return f.routes, f.now
}

// fill announces a number of hosts in 19 data centres of 5 regions.
func (f *fixture) fill(hosts int, edits ...func(a *messenger.Announce)) {
	for i := range hosts {
		region := func(a *messenger.Announce) { a.Region = fmt.Sprintf("r%d", i%19%5) }
		f.heartbeat(fmt.Sprintf("dc%02d-%d", i%19, i), append(edits, region)...)
	}
}

func cycle(tb testing.TB, routes *router.Router, now time.Time, exclude ...string) {
	target, err := routes.Choose(now, portal, apricotwinch.Critical, "dc00", exclude...)
	if err != nil {
		tb.Fatal(err)
	}
	routes.Sent(now, target)
	routes.Answered(now, target, 10*time.Millisecond, "")
}

func TestAChoiceAllocatesNothing(t *testing.T) {
	routes, now := fill(t, 24_000)
	cycle(t, routes, now)
	got := testing.AllocsPerRun(1000, func() { cycle(t, routes, now, "dc00-0", "dc00-19") })
	if got != 0 {
		t.Errorf("%v allocations for one request, want 0", got)
	}
}

var sizes = []int{10, 100, 1_000, 10_000, 24_000}

// BenchmarkChoose chooses while local targets are free.
func BenchmarkChoose(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			routes, now := fill(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := routes.Choose(now, portal, apricotwinch.Critical, "dc00"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChooseSpilling chooses while every local slot is taken.
func BenchmarkChooseSpilling(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			routes, now := fill(b, hosts)
			for {
				target, err := routes.Choose(now, portal, apricotwinch.Critical, "dc00")
				if err != nil {
					b.Fatal(err)
				}
				if target.Locality().DataCentre() != "dc00" {
					break
				}
				routes.Sent(now, target)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := routes.Choose(now, portal, apricotwinch.Critical, "dc00"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChooseQueueing chooses while every slot is taken.
func BenchmarkChooseQueueing(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := newFixture(b)
			f.fill(hosts, busy(9))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.routes.Choose(f.now, portal, apricotwinch.Critical, "dc00"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRequest chooses, sends and answers.
func BenchmarkRequest(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			routes, now := fill(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				cycle(b, routes, now)
			}
		})
	}
}

// BenchmarkHeartbeat takes an announced load.
func BenchmarkHeartbeat(b *testing.B) {
	members := tracker.New(tracker.DefaultConfig())
	routes := router.New(router.DefaultConfig(), 1)
	a := messenger.Announce{
		Host: "h", Incarnation: "a", Address: "127.0.0.1:7000", DataCentre: "dc00",
		Services: []messenger.ServiceSummary{{Team: "ketioli", Service: "vahaportaal", Slots: 8, Connections: 64}},
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		changes, err := members.Observe(start, a)
		if err != nil {
			b.Fatal(err)
		}
		routes.Apply(start, changes[0])
	}
}

// BenchmarkMemory reports what the tracker and the router hold of one host with
// one service.
func BenchmarkMemory(b *testing.B) {
	for _, hosts := range sizes {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newFixture(b)
				f.fill(hosts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts), "B/host")
		})
	}
}

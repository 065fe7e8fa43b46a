package observer_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/observer"
)

// TestLearnsWhichNeighborHarms mixes classes at random on many hosts; the
// slowdowns are the sums of those of the pairs, measured with noise.
func TestLearnsWhichNeighborHarms(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	truth := map[string]float64{"a": 0, "b": 0.05, "c": 0.8, "d": 0.3}
	classes := []string{"a", "b", "c", "d"}
	o := observer.New(observer.DefaultConfig())
	for host := range 500 {
		name := fmt.Sprintf("host-%d", host)
		start(o, name, "service", 0, apricotwinch.Critical)
		slowdown := 1.0
		for n := range 4 {
			class := classes[random.IntN(len(classes))]
			start(o, name, class, n, apricotwinch.Batch)
			slowdown += truth[class]
		}
		report(o, sampled, name, "service", slowdown+0.1*random.NormFloat64(), 0)
	}
	for _, class := range classes {
		if got, want := o.Slowdown(epoch, "service", class)-1, truth[class]; got < want-0.15 || got > want+0.15 {
			t.Errorf("slowdown by %s is %.2f above 1, want about %.2f", class, got, want)
		}
	}
}

// TestSlowHostIsNotBlamedOnItsWork runs the same mix everywhere; one host is
// three times slower by itself.
func TestSlowHostIsNotBlamedOnItsWork(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	for n := range 20 {
		name := fmt.Sprintf("host-%d", n)
		start(o, name, "service", 0, apricotwinch.Critical)
		start(o, name, "calm", n, apricotwinch.Batch)
	}
	now := epoch
	var actions []string
	for range 20 {
		now = now.Add(5 * time.Second)
		for n := range 20 {
			slowdown := 1.0
			if n == 7 {
				slowdown = 3
			}
			report(o, now, fmt.Sprintf("host-%d", n), "service", slowdown, 0)
		}
		actions = append(actions, describe(o.Tick(now))...)
	}
	if diff := cmp.Diff([]string(nil), actions); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
	slow, sound, pair := o.HostSlowdown(now, "host-7"), o.HostSlowdown(now, "host-8"), o.Slowdown(now, "service", "calm")
	if slow < 2.5 || sound > 1.1 || pair > 1.1 {
		t.Errorf("slow host %.2f, sound host %.2f, work %.2f", slow, sound, pair)
	}
}

// TestManyOfOneClassAddUp runs many tasks of one class beside a service, a
// different number on each host.
func TestManyOfOneClassAddUp(t *testing.T) {
	const each = 0.5
	o := observer.New(observer.DefaultConfig())
	for host := range 10 {
		name := fmt.Sprintf("host-%d", host)
		start(o, name, "service", 0, apricotwinch.Critical)
		for n := range 2 * (host + 1) {
			start(o, name, "wave", n, apricotwinch.Batch)
		}
	}
	for range 20 {
		for host := range 10 {
			report(o, sampled, fmt.Sprintf("host-%d", host), "service", 1+each*float64(2*(host+1)), 0)
		}
		if got := o.Slowdown(epoch, "service", "wave") - 1; got > 2*each {
			t.Fatalf("slowdown by one task is %.2f above 1, want %.2f", got, each)
		}
	}
	if got := o.Slowdown(epoch, "service", "wave") - 1; got < 0.9*each || got > 1.1*each {
		t.Errorf("slowdown by one task is %.2f above 1, want %.2f", got, each)
	}
}

func TestUnseenPairsTakeThePrior(t *testing.T) {
	config := observer.DefaultConfig()
	o := observer.New(config)
	unseen := o.Slowdown(epoch, "service", "noisy")
	for n := range 20 {
		host := fmt.Sprintf("host-%d", n)
		start(o, host, "service", 0, apricotwinch.Critical)
		start(o, host, "noisy", 0, apricotwinch.Batch)
		report(o, sampled, host, "service", 3, 0)
	}
	seen := o.Slowdown(epoch, "service", "noisy")
	other := o.Slowdown(epoch, "other", "noisy")
	faded := o.Slowdown(epoch.Add(20*config.HalfLife), "service", "noisy")
	if unseen != 1+config.Prior || faded > unseen+0.001 {
		t.Errorf("unseen %.3f, faded %.3f, want both %.3f", unseen, faded, 1+config.Prior)
	}
	if seen < 2.9 || other < 1.5 || other > seen {
		t.Errorf("measured pair %.2f, other victim of the same work %.2f", seen, other)
	}
}

func TestLateReportsBlameWhoWasThere(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	start(o, "host", "service", 0, apricotwinch.Critical)
	start(o, "host", "gone", 0, apricotwinch.Batch)
	o.Ended(epoch.Add(10*time.Second), "host", id("gone", 0))
	o.Started(epoch.Add(10*time.Second), "host", observer.NewResident(id("new", 0), "new", apricotwinch.Batch))
	report(o, epoch.Add(35*time.Second), "host", "service", 3, 30*time.Second)
	if gone, fresh := o.Slowdown(epoch, "service", "gone"), o.Slowdown(epoch, "service", "new"); gone < 1.5 || fresh > 1.1 {
		t.Errorf("slowdown by the work that was there %.2f, by the later %.2f", gone, fresh)
	}
	if diff := cmp.Diff([]string{"service", "new"}, o.Classes("host")); diff != "" {
		t.Errorf("classes (-want +got):\n%s", diff)
	}
}

// TestThrottledWorkTeachesNothing lets throttled work end before a report of the
// time of the throttle arrives.
func TestThrottledWorkTeachesNothing(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	start(o, "host", "service", 0, apricotwinch.Critical)
	start(o, "host", "noisy", 0, apricotwinch.Batch)
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	for _, seconds := range []int{5, 10, 15} {
		report(o, at(seconds), "host", "service", 6, 0)
	}
	if diff := cmp.Diff([]string{"throttle noisy/0/1 on host"}, describe(o.Tick(at(15)))); diff != "" {
		t.Fatalf("actions (-want +got):\n%s", diff)
	}
	before := o.Slowdown(at(15), "service", "noisy")
	o.Ended(at(30), "host", id("noisy", 0))
	report(o, at(40), "host", "service", 1, 20*time.Second)
	if after := o.Slowdown(at(15), "service", "noisy"); after != before {
		t.Errorf("slowdown %.2f after a report of throttled work, %.2f before", after, before)
	}
}

// TestChangesWhileSampledTeachNothing samples a host at the moment at which work
// comes, so that the measurement may or may not show it.
func TestChangesWhileSampledTeachNothing(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	start(o, "host", "service", 0, apricotwinch.Critical)
	came := epoch.Add(time.Minute)
	o.Started(came, "host", observer.NewResident(id("noisy", 0), "noisy", apricotwinch.Batch))
	before := o.Slowdown(came, "service", "noisy")
	report(o, came.Add(5*time.Second), "host", "service", 1, 5*time.Second)
	if after := o.Slowdown(came, "service", "noisy"); after != before {
		t.Errorf("slowdown %.3f after the report, %.3f before", after, before)
	}
	report(o, came.Add(10*time.Second), "host", "service", 2, 5*time.Second)
	if after := o.Slowdown(came, "service", "noisy"); after <= before {
		t.Errorf("slowdown %.3f after a clear report, %.3f before", after, before)
	}
}

func TestPenaltyWeighsCriticalWork(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	for n := range 20 {
		host := fmt.Sprintf("host-%d", n)
		start(o, host, "service", 0, apricotwinch.Critical)
		start(o, host, "noisy", 0, apricotwinch.Batch)
		start(o, host, "quiet", 0, apricotwinch.Batch)
		report(o, sampled, host, "service", 2, 0)
		report(o, sampled, host, "quiet", 2, 0)
	}
	critical := o.Penalty(epoch, "fresh", "noisy", []string{"service"})
	batch := o.Penalty(epoch, "fresh", "noisy", []string{"quiet"})
	if critical < 2*batch {
		t.Errorf("penalty beside critical work %.2f, beside batch work %.2f", critical, batch)
	}
}

func TestEvictionsStayWithinTheirShare(t *testing.T) {
	config := observer.DefaultConfig()
	o := observer.New(config)
	const hosts = 200
	for n := range hosts {
		name := fmt.Sprintf("host-%d", n)
		start(o, name, "service", 0, apricotwinch.Critical)
		start(o, name, "noisy", n, apricotwinch.Batch)
	}
	evicted := 0
	now := epoch
	for range 60 {
		now = now.Add(2 * time.Second)
		for n := range hosts {
			report(o, now, fmt.Sprintf("host-%d", n), "service", 4, 0)
		}
		throttles, evictions := 0, 0
		for _, action := range o.Tick(now) {
			if action.Step() == observer.Evict {
				evictions++
				o.Ended(now, action.Host(), action.ID())
				continue
			}
			throttles++
		}
		evicted += evictions
		if throttles > config.MaxSteps || evictions > config.MaxEvictions {
			t.Fatalf("%d throttles and %d evictions in a tick", throttles, evictions)
		}
	}
	if bound := int(config.EvictionBurst + config.EvictionShare*hosts); evicted == 0 || evicted > bound {
		t.Errorf("%d evictions of %d starts, want 1 to %d", evicted, hosts, bound)
	}
}

func TestDecisionTrace(t *testing.T) {
	var trace bytes.Buffer
	config := observer.DefaultConfig()
	config.High, config.StrainedHigh, config.Low = 1.5, 1.5, 1.2
	config.LowReports, config.MinBlame = 3, 0.1
	o := observer.New(config)
	start(o, "host", "service", 0, apricotwinch.Critical)
	start(o, "host", "noisy", 0, apricotwinch.Batch)
	start(o, "host", "quiet", 0, apricotwinch.Batch)
	now := epoch
	slowdowns := []float64{1.1, 1.6, 1.4, 1.6, 1.7, 1.9, 1.1, 1.1, 1.1, 1, 1.1, 1.8, 1.9, 1.1, 1.1, 1.1, 1.1, 1.1, 1.1, 1.1, 2, 2, 2, 2, 2, 2, 2}
	for _, slowdown := range slowdowns {
		now = now.Add(5 * time.Second)
		report(o, now, "host", "service", slowdown, 2*time.Second)
		fmt.Fprintf(&trace, "%s slowdown %.1f by noisy %.2f by quiet %.2f %v\n", now.Format("04:05"), slowdown,
			o.Slowdown(now, "service", "noisy"), o.Slowdown(now, "service", "quiet"), describe(o.Tick(now)))
	}
	goldie.New(t).Assert(t, "trace", trace.Bytes())
}

// TestStrainedServiceLowersTheLimit slows one host by the same factor while the
// other instances of its service are sound, and while they are slow as well.
func TestStrainedServiceLowersTheLimit(t *testing.T) {
	const hosts = 10
	actionsAt := func(others float64) []string {
		o := observer.New(observer.DefaultConfig())
		for n := range hosts {
			host := fmt.Sprintf("host-%d", n)
			start(o, host, "service", 0, apricotwinch.Critical)
			start(o, host, fmt.Sprintf("batch-%d", n), 0, apricotwinch.Batch)
		}
		var lines []string
		now := epoch
		for range 3 {
			now = now.Add(5 * time.Second)
			for n := range hosts {
				slowdown := others
				if n == 0 {
					slowdown = 3
				}
				report(o, now, fmt.Sprintf("host-%d", n), "service", slowdown, 0)
			}
			lines = append(lines, describe(o.Tick(now))...)
		}
		return lines
	}
	if diff := cmp.Diff([]string(nil), actionsAt(1)); diff != "" {
		t.Errorf("actions beside sound instances (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"throttle batch-0/0/1 on host-0"}, actionsAt(2)); diff != "" {
		t.Errorf("actions beside slow instances (-want +got):\n%s", diff)
	}
}

// TestMaxHarmKeepsWorkAway holds that work known to harm a service is kept from
// where it is harmed already, and everywhere while it is slow as a whole, but
// not from a single sound instance.
func TestMaxHarmKeepsWorkAway(t *testing.T) {
	o := observer.New(observer.DefaultConfig())
	slowAll := func(slowdown float64) {
		for n := range 20 {
			report(o, sampled, fmt.Sprintf("host-%d", n), "service", slowdown, 0)
		}
	}
	for n := range 20 {
		host := fmt.Sprintf("host-%d", n)
		start(o, host, "service", 0, apricotwinch.Critical)
		start(o, host, "noisy", n, apricotwinch.Batch)
	}
	allowed := func(residents ...string) bool {
		return !math.IsInf(o.Penalty(sampled, "fresh", "noisy", residents), 1)
	}
	slowAll(1.9)
	strained := allowed("service")
	for n := range 20 {
		host := fmt.Sprintf("host-%d", n)
		o.Ended(sampled, host, id("noisy", n))
		o.Report(sampled.Add(time.Minute), observer.NewReport(host, id("service", 0), 1, sampled.Add(time.Minute)))
	}
	got := []bool{strained, allowed("service"), allowed("service", "noisy"), allowed("noisy", "noisy")}
	if diff := cmp.Diff([]bool{false, true, false, true}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}

func TestAdmitStartsSlowly(t *testing.T) {
	config := observer.DefaultConfig()
	o := observer.New(config)
	start(o, "host", "service", 0, apricotwinch.Critical)
	running := 0
	for ; o.Admit("new") && running < 10*config.Probes; running++ {
		start(o, "host", "new", running, apricotwinch.Batch)
	}
	report(o, sampled, "host", "service", 1, 0)
	got := []any{running, o.Admit("new"), o.Admit("other")}
	if diff := cmp.Diff([]any{config.Probes, true, true}, got); diff != "" {
		t.Errorf("running, admitted after a report, another class (-want +got):\n%s", diff)
	}
}

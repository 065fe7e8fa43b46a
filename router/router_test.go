package router_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	portal = tracker.NewService("ketioli", "vahaportaal")
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fixture feeds a tracker and a router with the same events.
type fixture struct {
	t         testing.TB
	now       time.Time
	members   *tracker.Tracker
	routes    *router.Router
	sequences map[string]int
}

func newFixture(t testing.TB, options ...router.Option) *fixture {
	t.Helper()
	config, err := router.NewConfig(options...)
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{t: t, now: start, members: tracker.New(tracker.DefaultConfig()), routes: router.New(config, 1), sequences: map[string]int{}}
}

// heartbeat announces a host named dataCentre-number with 8 slots and 64 connections.
func (f *fixture) heartbeat(host string, edits ...func(a *messenger.Announce)) {
	f.t.Helper()
	f.sequences[host]++
	dataCentre, _, _ := strings.Cut(host, "-")
	a := messenger.Announce{
		Host: host, Incarnation: "a", Sequence: f.sequences[host], Address: "127.0.0.1:7000", Region: "harju", DataCentre: dataCentre,
		Services: []messenger.ServiceSummary{{Team: "ketioli", Service: "vahaportaal", Slots: 8, Connections: 64}},
	}
	for _, edit := range edits {
		edit(&a)
	}
	changes, err := f.members.Observe(f.now, a)
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(changes)
}

func (f *fixture) apply(changes []tracker.Change) {
	for _, change := range changes {
		f.routes.Apply(f.now, change)
	}
}

func (f *fixture) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.apply(f.members.Tick(f.now))
}

func (f *fixture) choose(exclude ...string) (router.Target, apricotwinch.Kind) {
	target, err := f.routes.Choose(f.now, portal, apricotwinch.Critical, "kopli", exclude...)
	return target, apricotwinch.KindOf(err)
}

// send chooses and sends n requests that stay in flight; it returns how many
// went to each host, or were refused by kind.
func (f *fixture) send(n int) map[string]int {
	got := map[string]int{}
	for range n {
		target, kind := f.choose()
		if kind != "" {
			got[string(kind)]++
			continue
		}
		f.routes.Sent(f.now, target)
		got[target.Host()]++
	}
	return got
}

// ask sends n requests in turn, answered at once with the latency and kind that
// answer gives for the host; it returns how many went to each host.
func (f *fixture) ask(n int, answer func(host string) (time.Duration, apricotwinch.Kind)) map[string]int {
	got := map[string]int{}
	for range n {
		target, kind := f.choose()
		if kind != "" {
			got[string(kind)]++
			continue
		}
		f.routes.Sent(f.now, target)
		latency, failure := answer(target.Host())
		f.now = f.now.Add(time.Millisecond)
		f.routes.Answered(f.now, target, latency, failure)
		got[target.Host()]++
	}
	return got
}

func good(string) (time.Duration, apricotwinch.Kind) { return 10 * time.Millisecond, "" }

func bad(host string) func(string) (time.Duration, apricotwinch.Kind) {
	return func(h string) (time.Duration, apricotwinch.Kind) {
		if h == host {
			return time.Millisecond, apricotwinch.TargetFailed
		}
		return good(h)
	}
}

func busy(n int) func(a *messenger.Announce) {
	return func(a *messenger.Announce) { a.Services[0].Busy = n }
}

func draining(a *messenger.Announce) { a.Draining = true }

func check(t *testing.T, what string, want, got map[string]int) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestLocalTargetsComeFirstAndSpillWhenTaken(t *testing.T) {
	f := newFixture(t)
	for _, host := range []string{"kopli-1", "kopli-2", "kalamaja-1"} {
		f.heartbeat(host)
	}
	check(t, "16 requests", map[string]int{"kopli-1": 8, "kopli-2": 8}, f.send(16))
	spilled := f.send(8)["kalamaja-1"]
	if spilled < 5 {
		t.Errorf("%d of 8 requests went to the free data centre, want most", spilled)
	}
}

func TestAQueueIsSharedByTheDataCentres(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kalamaja-1")
	got := f.send(40)
	if got["kopli-1"] > 24 || got["kalamaja-1"] > 24 {
		t.Errorf("40 requests to 16 slots went to %v, want about as many to each", got)
	}
}

func TestAQueueDoesNotMakeATargetSlow(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2")
	f.ask(100, good)
	var queued []router.Target
	for range 32 {
		target, _ := f.choose("kopli-2")
		f.routes.Sent(f.now, target)
		queued = append(queued, target)
	}
	for i, target := range queued {
		f.routes.Answered(f.now, target, time.Duration(10+10*i/8)*time.Millisecond, "")
	}
	if got := f.ask(100, good)["kopli-1"]; got < 30 {
		t.Errorf("%d of 100 requests went to the target that had a queue, want about half", got)
	}
}

func TestConnectionsAreRespected(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1", busy(60))
	check(t, "requests to a target with 4 connections left", map[string]int{"kopli-1": 4, "overloaded": 2}, f.send(6))
	f.heartbeat("kopli-1", busy(4))
	check(t, "requests after the others' ended", map[string]int{"kopli-1": 60, "overloaded": 1}, f.send(61))
}

func TestALateDigestDoesNotCountOwnRequestsAsThoseOfOthers(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	for range 8 {
		target, _ := f.choose()
		f.routes.Sent(f.now, target)
	}
	running := messenger.Announce{
		Host: "kopli-1", Incarnation: "a", Sequence: 2, Address: "127.0.0.1:7000", Region: "harju", DataCentre: "kopli",
		Services: []messenger.ServiceSummary{{Team: "ketioli", Service: "vahaportaal", Slots: 8, Connections: 64, Busy: 8}},
	}
	f.now = f.now.Add(time.Second)
	target, _ := f.choose()
	for range 8 {
		f.routes.Answered(f.now, target, time.Second, "")
		f.routes.Loaded(f.now, target, 0, 0)
	}
	f.now = f.now.Add(time.Second)
	changes, err := f.members.ObserveDigest(f.now, messenger.Digest{Hosts: []messenger.Announce{running}, AgesMillis: []int{1500}})
	if err != nil {
		t.Fatal(err)
	}
	f.apply(changes)
	if got := f.routes.Capacity(f.now, portal).Others(); got != 0 {
		t.Errorf("%d requests of others are counted, want 0", got)
	}
}

func TestUrgencyBoundsTheQueueAtATarget(t *testing.T) {
	got := map[string]int{}
	for _, urgency := range []apricotwinch.Urgency{apricotwinch.Batch, apricotwinch.Standard, apricotwinch.Critical} {
		f := newFixture(t)
		f.heartbeat("kopli-1")
		for {
			target, err := f.routes.Choose(f.now, portal, urgency, "kopli")
			if err != nil {
				break
			}
			f.routes.Sent(f.now, target)
			got[urgency.String()]++
		}
	}
	check(t, "requests held", map[string]int{"batch": 14, "standard": 36, "critical": 64}, got)
}

func TestWhatMustGetNothing(t *testing.T) {
	tests := map[string]func(f *fixture){
		"draining host":    func(f *fixture) { f.heartbeat("kopli-1", draining) },
		"service gone":     func(f *fixture) { f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Services = nil }) },
		"no slots":         func(f *fixture) { f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Services[0].Slots = 0 }) },
		"data centre out":  func(f *fixture) { f.routes.SetOut(f.now, "kopli", true) },
		"host gone":        func(f *fixture) { f.wait(time.Minute); f.heartbeat("kalamaja-1") },
		"refused draining": func(f *fixture) { refuse(f, apricotwinch.Draining) },
		"refused stale":    func(f *fixture) { refuse(f, apricotwinch.StaleIncarnation) },
		"refused out":      func(f *fixture) { refuse(f, apricotwinch.DataCentreOut) },
		"fails fast":       func(f *fixture) { failAlone(f, "kopli-1", "kalamaja-1") },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.heartbeat("kopli-1")
			f.heartbeat("kalamaja-1")
			prepare(f)
			check(t, "requests", map[string]int{"kalamaja-1": 64, "overloaded": 6}, f.send(70))
		})
	}
}

// failAlone has a target fail until it is ejected.
func failAlone(f *fixture, host string, others ...string) {
	for range 3 {
		target, _ := f.choose(others...)
		f.routes.Sent(f.now, target)
		f.routes.Answered(f.now, target, time.Millisecond, apricotwinch.TargetFailed)
	}
	if _, kind := f.choose(others...); kind != apricotwinch.NoTarget {
		f.t.Fatalf("%s was not ejected", host)
	}
}

// succeedAlone has the target that is not among others answer one request.
func succeedAlone(f *fixture, others ...string) {
	target, kind := f.choose(others...)
	if kind != "" {
		f.t.Fatalf("no target but %v: %s", others, kind)
	}
	f.routes.Sent(f.now, target)
	f.routes.Answered(f.now, target, 10*time.Millisecond, "")
}

// keep announces hosts each second.
func (f *fixture) keep(seconds int, hosts ...string) {
	for range seconds {
		f.wait(time.Second)
		for _, host := range hosts {
			f.heartbeat(host)
		}
	}
}

// refuse has the local target refuse one request; an older heartbeat that was
// on its way must not bring it back.
func refuse(f *fixture, kind apricotwinch.Kind) {
	target, _ := f.choose()
	f.routes.Sent(f.now, target)
	f.routes.Answered(f.now, target, time.Millisecond, kind)
	f.heartbeat(target.Host())
}

func TestCapacityCountsUsableTargets(t *testing.T) {
	f := newFixture(t)
	var got [][4]int
	for _, step := range []func(){
		func() { f.heartbeat("kopli-1"); f.heartbeat("kalamaja-1", busy(5)) },
		func() { f.send(1) },
		func() { f.heartbeat("kopli-1", draining) },
		func() { f.heartbeat("kopli-1"); f.routes.SetOut(f.now, "kalamaja", true) },
		func() { f.routes.SetOut(f.now, "kalamaja", false) },
		func() { f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Incarnation = "b" }) },
		func() {
			f.wait(5 * time.Second)
			f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Incarnation = "b" })
		},
		func() { f.wait(5 * time.Second) },
		func() { f.heartbeat("kalamaja-1", busy(7)) },
		func() { f.wait(time.Minute) },
	} {
		step()
		c := f.routes.Capacity(f.now, portal)
		got = append(got, [4]int{c.Targets(), c.Slots(), c.Connections(), c.Others()})
	}
	two, one := [4]int{2, 16, 128, 5}, [4]int{1, 8, 64, 0}
	want := [][4]int{two, two, {1, 8, 64, 5}, one, two, two, two, one, {2, 16, 128, 7}, {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("targets, slots, connections, others (-want +got):\n%s", diff)
	}
}

func TestSuspectedTargetsServeWhenNoOtherIsLeft(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.wait(5 * time.Second)
	f.heartbeat("kalamaja-1")
	f.wait(5 * time.Second)
	check(t, "requests", map[string]int{"kalamaja-1": 64, "kopli-1": 6}, f.send(70))
}

func TestAReplacedIncarnationIsNotChosenAgain(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	old, _ := f.choose()
	f.routes.Sent(f.now, old)
	f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Incarnation = "b" })
	f.routes.Answered(f.now, old, time.Second, apricotwinch.Unknown)
	target, _ := f.choose()
	if diff := cmp.Diff("b", target.Incarnation()); diff != "" || target.InFlight() != 0 {
		t.Errorf("incarnation (-want +got):\n%s in flight %d, want 0", diff, target.InFlight())
	}
}

func TestAMovedAgentIsANewTarget(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	before, _ := f.choose()
	f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Address, a.DataCentre = "127.0.0.1:7001", "kalamaja" })
	after, _ := f.choose()
	got := []string{before.Address(), before.Locality().DataCentre(), after.Address(), after.Locality().DataCentre()}
	if diff := cmp.Diff([]string{"127.0.0.1:7000", "kopli", "127.0.0.1:7001", "kalamaja"}, got); diff != "" {
		t.Errorf("addresses and data centres (-want +got):\n%s", diff)
	}
}

func TestExcludedHostsDoNotHideTheOthers(t *testing.T) {
	f := newFixture(t)
	var excluded []string
	for i := range 9 {
		f.heartbeat(fmt.Sprintf("kopli-%d", i))
		f.heartbeat(fmt.Sprintf("dc%d-1", i))
		excluded = append(excluded, fmt.Sprintf("dc%d-1", i))
	}
	for range 1000 {
		target, kind := f.choose("kopli-0", "kopli-1", "kopli-2")
		if kind != "" || target.Locality().DataCentre() != "kopli" {
			t.Fatalf("not sent to one of six free hosts here: %s %v", kind, target)
		}
	}
	f.routes.SetOut(f.now, "kopli", true)
	for range 1000 {
		if _, kind := f.choose(excluded[1:]...); kind != "" {
			t.Fatalf("refused with %s while one host elsewhere is free", kind)
		}
	}
}

func TestTheSameNameOfTwoTeamsIsTwoServices(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Services[0].Team = "jua-paa" })
	_, kind := f.choose()
	if diff := cmp.Diff(apricotwinch.NoTarget, kind); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
}

func TestSlowStart(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.wait(4 * time.Second)
	f.heartbeat("kopli-1")
	f.wait(4 * time.Second)
	f.heartbeat("kopli-1")
	f.wait(4 * time.Second)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2")
	check(t, "requests to the host that has just joined", map[string]int{"kopli-1": 8, "kopli-2": 1}, f.send(9))
}

func TestASlowTargetIsAvoidedAndTriedAgain(t *testing.T) {
	f := newFixture(t)
	for _, host := range []string{"kopli-1", "kopli-2", "kopli-3"} {
		f.heartbeat(host)
	}
	slow := func(host string) (time.Duration, apricotwinch.Kind) {
		if host == "kopli-3" {
			return 100 * time.Millisecond, ""
		}
		return good(host)
	}
	f.ask(300, slow)
	if got := f.ask(1000, slow)["kopli-3"]; got > 0 {
		t.Errorf("%d of 1000 requests went to the slow host", got)
	}
	for range 60 {
		f.wait(time.Second)
		for _, host := range []string{"kopli-1", "kopli-2", "kopli-3"} {
			f.heartbeat(host)
		}
		f.ask(10, good)
	}
	if got := f.ask(300, good)["kopli-3"]; got < 50 {
		t.Errorf("%d of 300 requests went to the host that is no longer slow", got)
	}
}

func TestAnnouncedLatencyCounts(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2", func(a *messenger.Announce) { a.Services[0].LatencyMicros = 100_000 })
	f.ask(100, good)
	if got := f.ask(100, good)["kopli-2"]; got > 10 {
		t.Errorf("%d of 100 requests went to the host that announced a high latency", got)
	}
}

func TestEjectionHasACap(t *testing.T) {
	f := newFixture(t, router.WithEjectedShare(0.3))
	for i := range 10 {
		f.heartbeat(fmt.Sprintf("kopli-%d", i))
	}
	allBad := func(string) (time.Duration, apricotwinch.Kind) { return time.Millisecond, apricotwinch.TargetFailed }
	f.ask(500, allBad)
	if got := f.routes.Capacity(f.now, portal).Targets(); got != 7 {
		t.Errorf("%d of 10 targets are left, want 7", got)
	}
}

func TestATargetThatFailsFastAttractsNothing(t *testing.T) {
	f := newFixture(t)
	for i := range 11 {
		f.heartbeat(fmt.Sprintf("kopli-%d", i))
	}
	got := f.ask(10_000, bad("kopli-3"))
	if got["kopli-3"] > 3 {
		t.Errorf("%d of 10000 requests in 10 s went to the failing host, want 3", got["kopli-3"])
	}
}

func TestAnEjectedTargetReturnsAfterOneSuccess(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2")
	failAlone(f, "kopli-2", "kopli-1")
	events := []router.Event{}
	for range 300 {
		f.now = f.now.Add(100 * time.Millisecond)
		target, kind := f.choose("kopli-1")
		if kind != "" {
			continue
		}
		f.routes.Sent(f.now, target)
		if _, second := f.choose("kopli-1"); second == "" {
			t.Fatal("a target on probation got a second request")
		}
		failure := apricotwinch.TargetFailed
		if len(events) > 0 {
			failure = ""
		}
		if event := f.routes.Answered(f.now, target, time.Millisecond, failure); event != "" {
			events = append(events, event)
		}
		if len(events) == 2 {
			break
		}
	}
	if diff := cmp.Diff([]router.Event{router.Ejected, router.Restored}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// beat announces hosts each second while every request fails at host.
func (f *fixture) beat(seconds int, host string, hosts ...string) map[string]int {
	got := map[string]int{}
	for range seconds {
		for _, h := range hosts {
			f.heartbeat(h)
		}
		for h, n := range f.ask(10, bad(host)) {
			got[h] += n
		}
		f.wait(time.Second)
	}
	return got
}

func TestEjectionsOfATargetGetLonger(t *testing.T) {
	f := newFixture(t)
	hosts := []string{"kopli-1", "kopli-2", "kopli-3"}
	first, later := f.beat(300, "kopli-2", hosts...)["kopli-2"], f.beat(600, "kopli-2", hosts...)["kopli-2"]
	if first > 10 || later > 3 {
		t.Errorf("%d requests in the first 5 min and %d in the next 10 went to the failing host, want at most 10 and 3", first, later)
	}
}

func TestTheCapIsFreedWhenATargetIsBackOrLeaves(t *testing.T) {
	ends := map[string]func(f *fixture){
		"left":     func(f *fixture) { f.heartbeat("kopli-1", func(a *messenger.Announce) { a.Services = nil }) },
		"restored": func(f *fixture) { f.keep(15, "kopli-1", "kopli-2", "kopli-3"); succeedAlone(f, "kopli-2", "kopli-3") },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, host := range []string{"kopli-1", "kopli-2", "kopli-3"} {
				f.heartbeat(host)
			}
			failAlone(f, "kopli-1", "kopli-2", "kopli-3")
			end(f)
			failAlone(f, "kopli-2", "kopli-1", "kopli-3")
		})
	}
}

func TestARestoredTargetStartsSlowly(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2")
	failAlone(f, "kopli-2", "kopli-1")
	f.keep(15, "kopli-1", "kopli-2")
	succeedAlone(f, "kopli-1")
	check(t, "requests after one success", map[string]int{"kopli-1": 8, "kopli-2": 1}, f.send(9))
}

func TestFailingTargetsBeyondTheCapAreAvoided(t *testing.T) {
	f := newFixture(t, router.WithEjectedShare(0))
	hosts := []string{"kopli-1", "kopli-2", "kopli-3", "kopli-4"}
	for _, host := range hosts {
		f.heartbeat(host)
	}
	failAlone(f, "kopli-1", hosts[1:]...)
	if got := f.ask(1000, bad("kopli-2"))["kopli-2"]; got > 3 {
		t.Errorf("%d of 1000 requests went to the failing host", got)
	}
	f.keep(60, hosts...)
	if got := f.ask(400, good)["kopli-2"]; got < 50 {
		t.Errorf("%d of 400 requests went to the host that no longer fails", got)
	}
}

func TestAnnouncedLatencyFromBeforeAnAnswerIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.heartbeat("kopli-1")
	f.heartbeat("kopli-2")
	for range 20 {
		f.ask(10, good)
		f.heartbeat("kopli-2", func(a *messenger.Announce) {
			a.Services[0].LatencyMicros, a.Services[0].LagMillis = 100_000, 5_000
		})
	}
	if got := f.ask(100, good)["kopli-2"]; got < 20 {
		t.Errorf("%d of 100 requests went to the host with an outdated latency", got)
	}
}

func TestConfigErrorsNameTheParameter(t *testing.T) {
	for name, option := range map[string]router.Option{
		"choices":        router.WithChoices(1),
		"slowStart":      router.WithSlowStart(-1),
		"failures":       router.WithEjection(0, 1, 1),
		"maxEjection":    router.WithEjection(1, 2, 1),
		"ejectedShare":   router.WithEjectedShare(2),
		"slownessFactor": router.WithSlownessFactor(0.5),
		"halfLife":       router.WithHalfLife(0),
	} {
		_, err := router.NewConfig(option)
		if apricotwinch.KindOf(err) != apricotwinch.Invalid || !strings.Contains(err.Error(), name) {
			t.Errorf("error %v is not of kind invalid with parameter %s", err, name)
		}
	}
}

func TestTrace(t *testing.T) {
	f := newFixture(t)
	var lines strings.Builder
	step := func(what string) { fmt.Fprintf(&lines, "%-28s %v\n", what, f.send(6)) }
	for _, host := range []string{"kopli-1", "kopli-2", "kalamaja-1", "ulemiste-1"} {
		f.heartbeat(host)
	}
	step("four hosts")
	f.heartbeat("kopli-1", draining)
	step("kopli-1 drains")
	step("kopli-2 is taken")
	f.routes.SetOut(f.now, "kalamaja", true)
	step("kalamaja is out")
	f.routes.SetOut(f.now, "kalamaja", false)
	step("kalamaja is back")
	f.wait(7 * time.Second)
	f.heartbeat("ulemiste-1")
	step("only ulemiste-1 is heard")
	f.wait(time.Minute)
	step("all are gone")
	goldie.New(t).Assert(t, "trace", []byte(lines.String()))
}

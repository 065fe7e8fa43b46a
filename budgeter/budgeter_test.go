package budgeter_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/budgeter"
)

// mustAcquire acquires a grant that the test needs.
func mustAcquire(t *testing.T, b *budgeter.Budgeter, peer string, bytes int64) *budgeter.Grant {
	t.Helper()
	g, err := b.Acquire(peer, bytes)
	if err != nil {
		t.Fatalf("Acquire(%q, %d): %v", peer, bytes, err)
	}
	return g
}

// TestOnePeerLeavesSomethingToOthers guards against a peer that takes all memory for bodies.
func TestOnePeerLeavesSomethingToOthers(t *testing.T) {
	b := budgeter.New(budgeter.Config{Bytes: 1000})
	var granted int64
	for range 100 {
		if _, err := b.Acquire("greedy", 10); err == nil {
			granted += 10
		} else if got := []any{apricotwinch.KindOf(err), budgeter.ReasonOf(err)}; !cmp.Equal([]any{apricotwinch.Overloaded, budgeter.ReasonShare}, got) {
			t.Fatalf("refusal: %v", got)
		}
	}
	if granted != 500 {
		t.Errorf("one peer alone got %d of 1000, want half", granted)
	}
	mustAcquire(t, b, "second", 250)
	mustAcquire(t, b, "third", 125)
}

// TestLargeGrantsLeaveSmallPart guards against small requests that are refused as large ones hold all.
func TestLargeGrantsLeaveSmallPart(t *testing.T) {
	b := budgeter.New(budgeter.Config{Bytes: 1000, SmallBytes: 100, SmallGrant: 10})
	for i := range 100 {
		_, _ = b.Acquire(fmt.Sprint(i), 100)
	}
	small := mustAcquire(t, b, "0", 10)
	if err := small.Grow(1000); budgeter.ReasonOf(err) != budgeter.ReasonBudget {
		t.Errorf("a small grant grew beyond its part: %v", err)
	}
}

// TestGrantMovesToLargePart guards against bytes that are lost or counted twice when a grant outgrows the small
// part, and against grants that grow after their release.
func TestGrantMovesToLargePart(t *testing.T) {
	b := budgeter.New(budgeter.Config{Bytes: 1000, SmallBytes: 100, SmallGrant: 10})
	g := mustAcquire(t, b, "a", 10)
	if err := g.Grow(90); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(100), b.Used()); diff != "" {
		t.Errorf("used (-want +got):\n%s", diff)
	}
	freed := b.Freed()
	g.Release()
	g.Release()
	select {
	case <-freed:
	default:
		t.Error("a release is not signaled")
	}
	if err := g.Grow(1); err == nil || b.Used() != 0 {
		t.Errorf("after the release: Grow: %v, used %d", err, b.Used())
	}
}

// TestConcurrentGrantsAreReturned guards against races of requests that begin and end at the same time.
func TestConcurrentGrantsAreReturned(t *testing.T) {
	b := budgeter.New(budgeter.Config{Bytes: 1000, SmallBytes: 100, SmallGrant: 10})
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			for n := range 1000 {
				if g, err := b.Acquire(fmt.Sprint(i%3), int64(n%20)); err == nil {
					_ = g.Grow(int64(n % 100))
					g.Release()
				}
			}
		})
	}
	running.Wait()
	if b.Used() != 0 {
		t.Errorf("used %d after all were released", b.Used())
	}
}

// TestConnectionsYield guards against a crowd that keeps others from connecting: idle connections yield first, then
// those whose requests arrive slowly, of the peer with most of them, and never one whose request is
// carried out.
func TestConnectionsYield(t *testing.T) {
	now := time.Unix(0, 0)
	var evictions []string
	c := budgeter.NewConnections(4)
	open := func(peer, name string) *budgeter.Connection {
		connection, evict, ok := c.Open(now, peer, func() { evictions = append(evictions, name) })
		if !ok {
			evictions = append(evictions, "refused "+name)
		}
		if evict != nil {
			evict()
		}
		now = now.Add(time.Millisecond)
		return connection
	}
	open("crowd", "slow 1")
	open("crowd", "slow 2")
	c.SetPhase(now, open("other", "idle"), budgeter.Idle)
	c.SetPhase(now, open("other", "serving"), budgeter.Serving)
	open("third", "new 1")
	open("third", "new 2")
	now = now.Add(time.Second)
	open("fourth", "new 3")
	if diff := cmp.Diff([]string{"idle", "refused new 2", "slow 1"}, evictions); diff != "" {
		t.Errorf("evictions (-want +got):\n%s", diff)
	}
	if c.Count() != 4 {
		t.Errorf("%d connections, want 4", c.Count())
	}
}

// TestBusyConnectionsYield guards against connections that keep all places while they send one request after the other, and
// against ones that yield to a peer that has as many.
func TestBusyConnectionsYield(t *testing.T) {
	tests := []struct {
		name  string
		peers []string
		// newcomer opens a connection after wait. want is the index of the connection that yields, or -1.
		newcomer string
		wait     time.Duration
		want     int
	}{
		{name: "the newest of the crowd", peers: []string{"crowd", "crowd", "crowd", "other"}, newcomer: "new", wait: time.Second, want: 2},
		{name: "none that was just opened", peers: []string{"crowd", "crowd", "crowd", "other"}, newcomer: "new", wait: 400 * time.Millisecond, want: -1},
		{name: "none to the crowd itself", peers: []string{"crowd", "crowd", "crowd", "other"}, newcomer: "crowd", wait: time.Second, want: -1},
		{name: "one of the crowd to a peer that has fewer", peers: []string{"other", "crowd", "crowd", "crowd"}, newcomer: "other", wait: time.Second, want: 3},
		{name: "one of many peers", peers: []string{"a", "b", "c", "d"}, newcomer: "new", wait: time.Second, want: 3},
		{name: "none of many peers to one of them", peers: []string{"a", "b", "c", "d"}, newcomer: "a", wait: time.Second, want: -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			c := budgeter.NewConnections(len(test.peers))
			got := -1
			var busy []*budgeter.Connection
			for i, peer := range test.peers {
				connection, _, _ := c.Open(now, peer, func() { got = i })
				busy = append(busy, connection)
				now = now.Add(time.Millisecond)
			}
			now = now.Add(test.wait)
			for _, connection := range busy {
				c.SetPhase(now, connection, budgeter.Receiving)
			}
			_, evict, ok := c.Open(now, test.newcomer, func() {})
			if evict != nil {
				evict()
			}
			if got != test.want || ok != (test.want >= 0) {
				t.Errorf("connection that yields: got %d, place for the new one %t; want %d", got, ok, test.want)
			}
		})
	}
}

// TestAnsweringConnectionsYield guards against connections whose answers nobody reads, which must not keep others
// from connecting: of these and the receiving ones, the one longest in its phase yields.
func TestAnsweringConnectionsYield(t *testing.T) {
	now := time.Unix(0, 0)
	var evictions []string
	c := budgeter.NewConnections(2)
	open := func(name string) *budgeter.Connection {
		connection, evict, ok := c.Open(now, "peer", func() { evictions = append(evictions, name) })
		if !ok {
			evictions = append(evictions, "refused "+name)
		}
		if evict != nil {
			evict()
		}
		now = now.Add(time.Millisecond)
		return connection
	}
	first := open("first")
	open("second")
	c.SetPhase(now, first, budgeter.Answering)
	open("early")
	now = now.Add(time.Second)
	open("third")
	open("fourth")
	if diff := cmp.Diff([]string{"refused early", "second", "first"}, evictions); diff != "" {
		t.Errorf("evictions (-want +got):\n%s", diff)
	}
}

// TestClosedConnectionsAreNotCounted guards against connections that are counted twice as they are evicted and then
// closed.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	now := time.Unix(0, 0)
	c := budgeter.NewConnections(1)
	first, _, _ := c.Open(now, "a", func() {})
	c.SetPhase(now, first, budgeter.Idle)
	second, _, ok := c.Open(now, "a", func() {})
	c.Close(first)
	c.SetPhase(now, first, budgeter.Serving)
	if !ok || c.Count() != 1 {
		t.Errorf("opened %t, %d connections, want true, 1", ok, c.Count())
	}
	c.Close(second)
	c.Close(second)
	if c.Count() != 0 {
		t.Errorf("%d connections after all were closed", c.Count())
	}
}

// FuzzGrants checks that what is granted is never negative nor above the budget, that a refusal changes
// nothing, and that nothing is granted once all grants are released.
func FuzzGrants(f *testing.F) {
	f.Add([]byte{0, 10, 1, 200, 2, 0, 3, 255, 1, 90}, int64(1000), int64(100))
	f.Add([]byte{0, 0, 1, 0, 2, 0}, int64(0), int64(-1))
	f.Fuzz(func(t *testing.T, operations []byte, bytes, small int64) {
		const most = 1 << 40
		bytes, small = bytes%most, small%most
		b := budgeter.New(budgeter.Config{Bytes: bytes, SmallBytes: small, SmallGrant: 64})
		var grants []*budgeter.Grant
		for len(operations) >= 2 {
			operation, amount := operations[0], int64(operations[1])
			operations = operations[2:]
			before := b.Used()
			var err error
			switch {
			case operation%4 == 0 || len(grants) == 0:
				var g *budgeter.Grant
				if g, err = b.Acquire(fmt.Sprint(operation%5), amount-8); err == nil {
					grants = append(grants, g)
				}
			case operation%4 == 1:
				err = grants[int(operation)%len(grants)].Grow(amount * amount * amount * amount)
			default:
				grants[int(operation)%len(grants)].Release()
			}
			if err != nil && b.Used() != before {
				t.Fatalf("a refusal changed the bytes in use from %d to %d", before, b.Used())
			}
			if b.Used() < 0 || b.Used() > max(0, bytes)+max(0, small) {
				t.Fatalf("used %d of %d and %d", b.Used(), bytes, small)
			}
		}
		for _, g := range grants {
			g.Release()
		}
		if b.Used() != 0 {
			t.Fatalf("used %d after all were released", b.Used())
		}
	})
}

// BenchmarkAcquireRelease measures what a request costs while others hold grants.
func BenchmarkAcquireRelease(b *testing.B) {
	budget := budgeter.New(budgeter.Config{Bytes: 64 << 20, SmallBytes: 8 << 20, SmallGrant: 16 << 10})
	for i := range 100 {
		if _, err := budget.Acquire(fmt.Sprint(i), 1000); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		g, err := budget.Acquire("10.0.0.1", 1000)
		if err != nil {
			b.Fatal(err)
		}
		g.Release()
	}
}

// TestCrowdDisplacesNoOther guards against a crowd of new connections that displaces the idle connection of a peer
// that has only one, as the crowd's own are too young to yield: an owner lost its peers that way.
func TestCrowdDisplacesNoOther(t *testing.T) {
	now := time.Unix(0, 0)
	c := budgeter.NewConnections(3)
	displaced := false
	other, _, _ := c.Open(now, "other", func() { displaced = true })
	c.SetPhase(now, other, budgeter.Idle)
	for range 10 {
		if _, evict, _ := c.Open(now, "crowd", func() {}); evict != nil {
			evict()
		}
	}
	if displaced || c.Count() != 3 {
		t.Errorf("displaced %t, %d connections, want false, 3", displaced, c.Count())
	}
}

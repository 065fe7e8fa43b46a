package claimer_test

import (
	"fmt"
	"time"

	"apricotwinch/claimer"
	"apricotwinch/messenger"
)

const partitions = 5

// step is the resolution of the simulated time.
const step = 200 * time.Millisecond

var epochStart = time.Unix(1000, 0)

// stream is the claims stream with appends that land later, twice or never.
type stream struct {
	records  []messenger.ClaimRecord
	earliest int
	flying   []flying
}

type flying struct {
	at     time.Time
	record messenger.ClaimRecord
}

func (s *stream) land(now time.Time) {
	var later []flying
	for _, f := range s.flying {
		if f.at.After(now) {
			later = append(later, f)
			continue
		}
		s.records = append(s.records, f.record)
	}
	s.flying = later
}

// node is one entry's process with its claimer.
type node struct {
	name    string
	claimer *claimer.Claimer
	next    int
	paused  time.Time // Until when the process stands still.
	cut     time.Time // Until when it reaches the log neither way.
	gone    bool
	trace   func(string)
	asOf    time.Time
	view    []messenger.ClaimRecord
	viewAt  time.Time // When the view that is under way arrives.
}

func newNode(name, incarnation string, s *stream, trace func(string)) *node {
	address := messenger.EntryAddress{Entry: name, Incarnation: incarnation, Address: name + ":1", DataCentre: "dc"}
	n := &node{name: name, trace: trace, next: s.earliest}
	n.claimer = claimer.New(address, "region", partitions, claimer.DefaultTiming())
	n.claimer.Gap(int64(s.earliest))
	return n
}

// run lets the node do what is due at now; delay tells when an append lands, and a
// negative one that it is lost; lag is how long a read takes.
func (n *node) run(now time.Time, s *stream, delays func() []time.Duration, lag time.Duration) {
	if n.gone || now.Before(n.paused) {
		return
	}
	if !n.viewAt.IsZero() && !now.Before(n.viewAt) {
		for _, r := range n.view {
			n.do(now, s, n.claimer.Observe(now, int64(n.next), r), delays)
			n.next++
		}
		n.claimer.Current(n.asOf)
		n.viewAt = time.Time{}
	}
	if n.viewAt.IsZero() && !now.Before(n.cut) {
		n.view, n.asOf, n.viewAt = s.records[n.next:len(s.records):len(s.records)], now, now.Add(lag)
	}
	n.do(now, s, n.claimer.Tick(now), delays)
}

func (n *node) do(now time.Time, s *stream, actions []claimer.Action, delays func() []time.Duration) {
	for _, a := range actions {
		if a.Type() != claimer.Append {
			n.trace(fmt.Sprintf("%s %s %d epoch %d clean %v", n.name, a.Type(), a.Partition(), a.Epoch(), a.Clean()))
			continue
		}
		if now.Before(n.cut) {
			continue
		}
		for _, d := range delays() {
			s.flying = append(s.flying, flying{at: now.Add(d), record: a.Record()})
		}
	}
}

// holders returns the nodes that may act as owners of partition at now.
func holders(now time.Time, nodes []*node, partition int) []string {
	var names []string
	for _, n := range nodes {
		if n.gone || now.Before(n.paused) {
			continue
		}
		if _, fresh := n.claimer.Holds(now, partition); fresh {
			names = append(names, n.name)
		}
	}
	return names
}

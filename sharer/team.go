package sharer

import (
	"slices"
	"time"

	"apricotwinch"
)

// urgencies lists the classes, the most urgent first.
var urgencies = [...]apricotwinch.Urgency{apricotwinch.Critical, apricotwinch.Standard, apricotwinch.Batch}

// team is the account of one team.
type team struct {
	name      string
	number    int
	quota     apricotwinch.Resources
	weight    float64
	used      apricotwinch.Resources
	share     float64
	lanes     map[apricotwinch.Urgency]*lane
	oversized []*entry
}

// lane is the queue of one team and class.
type lane struct {
	team      *team
	urgency   apricotwinch.Urgency
	entries   *ordered[*entry]
	since     time.Time
	turn      uint64
	fairAt    int
	waitingAt int
}

func newTeam(name string, number int) *team {
	t := &team{name: name, number: number, weight: 1, lanes: map[apricotwinch.Urgency]*lane{}}
	for _, u := range urgencies {
		t.lanes[u] = &lane{
			team:      t,
			urgency:   u,
			fairAt:    absent,
			waitingAt: absent,
			entries: &ordered[*entry]{
				less:     func(a, b *entry) bool { return a.sequence < b.sequence },
				position: func(e *entry) *int { return &e.position },
			},
		}
	}
	return t
}

// has reports whether the quota leaves room for need.
func (t *team) has(need apricotwinch.Resources) bool { return t.used.Add(need).Fits(t.quota) }

// weigh sets the dominant share of the team: the largest part that it uses of
// any resource of the fleet, over its weight.
func (t *team) weigh(total apricotwinch.Resources) {
	t.share = max(
		part(t.used.ProcessorMillis(), total.ProcessorMillis()),
		part(t.used.MemoryBytes(), total.MemoryBytes()),
		part(t.used.Accelerators(), total.Accelerators()),
	) / t.weight
}

func part(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// head returns the first entry that the quota of the team can ever hold, and
// sets aside those before it that it can't.
func (l *lane) head() *entry {
	for {
		e, ok := l.entries.first()
		if !ok {
			return nil
		}
		if e.item.need.Fits(l.team.quota) {
			return e
		}
		l.entries.drop(e)
		e.state = oversized
		l.team.oversized = append(l.team.oversized, e)
	}
}

// waitingSince returns since when the lane has had a head and got no start.
func (l *lane) waitingSince() time.Time {
	if e, ok := l.entries.first(); ok && e.since.After(l.since) {
		return e.since
	}
	return l.since
}

// readmit queues again what was set aside as larger than the quota.
func (t *team) readmit() {
	for _, e := range t.oversized {
		e.state = queued
		e.lane.entries.put(e)
	}
	t.oversized = nil
}

func (t *team) forget(e *entry) {
	t.oversized = slices.DeleteFunc(t.oversized, func(other *entry) bool { return other == e })
}

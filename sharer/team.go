package sharer

import (
	"slices"
	"time"

	"apricotwinch"
)

// urgencies lists the urgency classes, the most urgent first.
var urgencies = [...]apricotwinch.Urgency{apricotwinch.Critical, apricotwinch.Standard, apricotwinch.Batch}

// team holds the quota, the usage and the queues of one team.
type team struct {
	name      string
	ordinal   int
	quota     apricotwinch.Resources
	weight    float64
	used      apricotwinch.Resources
	share     float64
	queues    map[apricotwinch.Urgency]*queue
	oversized []*trackedItem
}

// queue holds the waiting tasks of one team and urgency class. lastStart is the number of
// the last start that it got, and lastStartAt the time of it.
type queue struct {
	team          *team
	urgency       apricotwinch.Urgency
	items         *indexedHeap[*trackedItem]
	lastStartAt   time.Time
	lastStart     uint64
	sharePosition int
	waitPosition  int
}

func newTeam(name string, ordinal int) *team {
	t := &team{name: name, ordinal: ordinal, weight: 1, queues: map[apricotwinch.Urgency]*queue{}}
	for _, u := range urgencies {
		t.queues[u] = &queue{
			team:          t,
			urgency:       u,
			sharePosition: notInHeap,
			waitPosition:  notInHeap,
			items: &indexedHeap[*trackedItem]{
				less:     func(a, b *trackedItem) bool { return a.sequence < b.sequence },
				position: func(e *trackedItem) *int { return &e.position },
			},
		}
	}
	return t
}

// hasRoom reports whether the quota leaves room for need.
func (t *team) hasRoom(need apricotwinch.Resources) bool { return t.used.Add(need).Fits(t.quota) }

// updateShare sets the team's weighted dominant share.
func (t *team) updateShare(total apricotwinch.Resources) {
	t.share = usageOf(t.used).weightedShare(total, t.weight)
}

// head returns the first item that fits in the team's whole quota. It moves the items
// before that one, which don't fit, to the oversized ones.
func (q *queue) head() *trackedItem {
	for {
		e, ok := q.items.min()
		if !ok {
			return nil
		}
		if e.item.need.Fits(q.team.quota) {
			return e
		}
		q.items.remove(e)
		e.state = oversized
		q.team.oversized = append(q.team.oversized, e)
	}
}

// waitingSince returns the time since which the queue has waited: that of its last start,
// or that at which its first item was queued if this is later.
func (q *queue) waitingSince() time.Time {
	if e, ok := q.items.min(); ok && e.queuedAt.After(q.lastStartAt) {
		return e.queuedAt
	}
	return q.lastStartAt
}

// requeueOversized queues again the items that were set aside as larger than the quota.
func (t *team) requeueOversized() {
	for _, e := range t.oversized {
		e.state = queued
		e.queue.items.addOrFix(e)
	}
	t.oversized = nil
}

func (t *team) removeOversized(e *trackedItem) {
	t.oversized = slices.DeleteFunc(t.oversized, func(other *trackedItem) bool { return other == e })
}

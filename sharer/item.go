package sharer

import (
	"time"

	"apricotwinch"
)

// Item is one task that waits for a start.
type Item struct {
	id      apricotwinch.AttemptID
	team    string
	urgency apricotwinch.Urgency
	need    apricotwinch.Resources
}

// NewItem returns an item for the attempt id of a task of team. need is the task's size.
func NewItem(id apricotwinch.AttemptID, team string, urgency apricotwinch.Urgency, need apricotwinch.Resources) Item {
	return Item{id: id, team: team, urgency: urgency, need: need}
}

// ID returns the id of the attempt.
func (i Item) ID() apricotwinch.AttemptID { return i.id }

// Team returns the team that owns the task.
func (i Item) Team() string { return i.team }

// Urgency returns the urgency class of the task.
func (i Item) Urgency() apricotwinch.Urgency { return i.urgency }

// Need returns the resources that the task needs.
func (i Item) Need() apricotwinch.Resources { return i.need }

// state says where an item is: in its queue, among the delayed items, among those larger
// than the team's quota, or started.
type state int

const (
	queued state = iota
	delayed
	oversized
	started
)

// trackedItem is an item with its state and its position in a heap. queuedAt is when it was
// last queued, and due the end of its delay.
type trackedItem struct {
	item     Item
	queue    *queue
	state    state
	sequence uint64
	queuedAt time.Time
	due      time.Time
	position int
}

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

// NewItem returns the task of attempt id, owned by team, with its size.
func NewItem(id apricotwinch.AttemptID, team string, urgency apricotwinch.Urgency, need apricotwinch.Resources) Item {
	return Item{id: id, team: team, urgency: urgency, need: need}
}

// ID returns the id of the attempt.
func (i Item) ID() apricotwinch.AttemptID { return i.id }

// Team returns the team that owns the task.
func (i Item) Team() string { return i.team }

// Urgency returns the class of the task.
func (i Item) Urgency() apricotwinch.Urgency { return i.urgency }

// Need returns the size of the task.
func (i Item) Need() apricotwinch.Resources { return i.need }

// state is where an entry is.
type state int

const (
	queued state = iota
	delayed
	oversized
	started
)

// entry is an item with its place in a queue.
type entry struct {
	item     Item
	lane     *lane
	state    state
	sequence uint64
	since    time.Time
	due      time.Time
	position int
}

package claimer

import "apricotwinch/messenger"

// ActionType tells what an action asks for.
type ActionType int

const (
	// Append asks to append the record to the claims stream.
	Append ActionType = iota
	// Own asks to start as the owner of the partition.
	Own
	// Lose asks to stop as the owner of the partition.
	Lose
)

var actionNames = map[ActionType]string{Append: "append", Own: "own", Lose: "lose"}

// String returns the name of t.
func (t ActionType) String() string { return actionNames[t] }

// Action is what the driver does next. Actions are carried out in order, each
// before the next: a release goes out only after the partition was lost.
type Action struct {
	actionType ActionType
	record     messenger.ClaimRecord
	partition  int
	epoch      int64
	clean      bool
}

// Type returns what the action asks for.
func (a Action) Type() ActionType { return a.actionType }

// Record returns the record of an Append.
func (a Action) Record() messenger.ClaimRecord { return a.record }

// Partition returns the partition of an Own or Lose.
func (a Action) Partition() int { return a.partition }

// Epoch returns the epoch of an Own or Lose: the offset of the claim.
func (a Action) Epoch() int64 { return a.epoch }

// Clean reports whether, in an Own, the last owner released the partition or
// there was none, so that no outage allowance has to pass.
func (a Action) Clean() bool { return a.clean }

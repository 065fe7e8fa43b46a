package claimer

import "apricotwinch/messenger"

// ActionType is the kind of an Action.
type ActionType int

const (
	// Append appends the action's record to the claims stream.
	Append ActionType = iota
	// StartOwning makes this entry start to act as the owner of the partition.
	StartOwning
	// StopOwning makes this entry stop acting as the owner of the partition.
	StopOwning
)

var actionNames = map[ActionType]string{Append: "append", StartOwning: "own", StopOwning: "lose"}

// String returns the name of t.
func (t ActionType) String() string { return actionNames[t] }

// Action is a step for the caller of the Claimer (the driver) to execute. The
// driver completes each action before it starts the next, so that a release is
// appended only after the entry has stopped acting as the owner.
type Action struct {
	kind             ActionType
	record           messenger.ClaimRecord
	partition        int
	epoch            int64
	previousReleased bool
}

// Type returns the kind of the action.
func (a Action) Type() ActionType { return a.kind }

// Record returns the record to append, for an Append.
func (a Action) Record() messenger.ClaimRecord { return a.record }

// Partition returns the partition, for a StartOwning or a StopOwning.
func (a Action) Partition() int { return a.partition }

// Epoch returns the epoch, which is the stream offset of the accepted claim, for a
// StartOwning or a StopOwning.
func (a Action) Epoch() int64 { return a.epoch }

// PreviousReleased reports, for a StartOwning, whether the previous owner released the
// partition or there was none. The new owner then needn't wait for the outage allowance.
func (a Action) PreviousReleased() bool { return a.previousReleased }

package deduplicator

import "apricotwinch/messenger"

// ActionType is the type of an action.
type ActionType int

const (
	// ClaimKey appends the record. The driver reports its result by ClaimEnded.
	ClaimKey ActionType = iota
	// Append appends the record. Its result isn't reported.
	Append
	// Dispatch sends the request to the target. The driver reports the reply by
	// DispatchEnded.
	Dispatch
	// Revoke asks a host to revoke a request, or for its outcome if it ran. The driver
	// reports the reply by RevokeEnded.
	Revoke
	// Answer sends the reply to the caller.
	Answer
	// Refuse sends the error to the caller.
	Refuse
)

var actionNames = map[ActionType]string{
	ClaimKey: "claim",
	Append:   "append",
	Dispatch: "dispatch",
	Revoke:   "ask",
	Answer:   "answer",
	Refuse:   "refuse",
}

// String returns the name of t.
func (t ActionType) String() string { return actionNames[t] }

// Action is an operation that a request asks its driver to perform.
type Action struct {
	actionType ActionType
	record     messenger.KeyRecord
	target     Target
	request    string
	reply      messenger.DispatchReply
	err        error
}

// Type returns the type of the action.
func (a Action) Type() ActionType { return a.actionType }

// Record returns the record of a ClaimKey or Append.
func (a Action) Record() messenger.KeyRecord { return a.record }

// Target returns the agent that a Dispatch or Revoke is sent to.
func (a Action) Target() Target { return a.target }

// Request returns the id of the request that a Dispatch or Revoke is about.
func (a Action) Request() string { return a.request }

// Reply returns the reply of an Answer.
func (a Action) Reply() messenger.DispatchReply { return a.reply }

// Err returns the error of a Refuse.
func (a Action) Err() error { return a.err }

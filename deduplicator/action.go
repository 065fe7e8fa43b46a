package deduplicator

import "apricotwinch/messenger"

// ActionType tells what an action asks for.
type ActionType int

const (
	// ClaimKey asks to append the record and to report the end by ClaimEnded.
	ClaimKey ActionType = iota
	// Append asks to append the record; its end isn't waited for.
	Append
	// Dispatch asks to send the request to the target and to report by Dispatched.
	Dispatch
	// Ask asks to revoke a request at a host and to report by Asked.
	Ask
	// Answer asks to give the caller the reply.
	Answer
	// Refuse asks to give the caller the error.
	Refuse
)

var actionNames = map[ActionType]string{
	ClaimKey: "claim",
	Append:   "append",
	Dispatch: "dispatch",
	Ask:      "ask",
	Answer:   "answer",
	Refuse:   "refuse",
}

// String returns the name of t.
func (t ActionType) String() string { return actionNames[t] }

// Action is what the driver does next.
type Action struct {
	actionType ActionType
	record     messenger.KeyRecord
	target     Target
	request    string
	reply      messenger.DispatchReply
	err        error
}

// Type returns what the action asks for.
func (a Action) Type() ActionType { return a.actionType }

// Record returns the record of a ClaimKey or Append.
func (a Action) Record() messenger.KeyRecord { return a.record }

// Target returns where a Dispatch or Ask goes.
func (a Action) Target() Target { return a.target }

// Request returns the id of the request that a Dispatch or Ask is about.
func (a Action) Request() string { return a.request }

// Reply returns the reply of an Answer.
func (a Action) Reply() messenger.DispatchReply { return a.reply }

// Err returns the error of a Refuse.
func (a Action) Err() error { return a.err }

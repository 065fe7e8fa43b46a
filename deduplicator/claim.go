package deduplicator

import (
	"time"

	"apricotwinch/messenger"
)

// Phase is the state of a claimed key.
type Phase int

const (
	// Claimed is a key whose request may have been sent.
	Claimed Phase = iota
	// Released is a key whose request provably did not run. It is free to be claimed.
	Released
	// Settled is a key whose request has an outcome.
	Settled
)

// Claim is the latest winning claim of a key, with the phase of the key.
type Claim struct {
	request          string
	bodyHash         string
	entry            string
	entryIncarnation string
	host             string
	incarnation      string
	ticketMillis     int
	deadline         time.Time
	phase            Phase
	answer           messenger.DispatchReply
}

func newClaim(record messenger.KeyRecord) Claim {
	return Claim{
		request:          record.Request,
		bodyHash:         record.BodyHash,
		entry:            record.Entry,
		entryIncarnation: record.EntryIncarnation,
		host:             record.Host,
		incarnation:      record.Incarnation,
		ticketMillis:     record.TicketMillis,
		deadline:         time.UnixMilli(int64(record.DeadlineUnixMillis)),
	}
}

// Request returns the id of the request that claimed the key.
func (c Claim) Request() string { return c.request }

// BodyHash returns the hash of the request's body.
func (c Claim) BodyHash() string { return c.bodyHash }

// Entry returns the name of the entry that sends the request.
func (c Claim) Entry() string { return c.entry }

// EntryIncarnation returns the incarnation of that entry.
func (c Claim) EntryIncarnation() string { return c.entryIncarnation }

// Host returns the host that the request is sent to.
func (c Claim) Host() string { return c.host }

// Incarnation returns the incarnation of that host's agent.
func (c Claim) Incarnation() string { return c.incarnation }

// TicketMillis returns the ticket that the request is sent with: a time of the agent's
// monotonic clock, in milliseconds.
func (c Claim) TicketMillis() int { return c.ticketMillis }

// Deadline returns the deadline of the request.
func (c Claim) Deadline() time.Time { return c.deadline }

// Phase returns the state of the key.
func (c Claim) Phase() Phase { return c.phase }

// Answer returns the outcome of a settled key.
func (c Claim) Answer() messenger.DispatchReply { return c.answer }

// isFinal reports whether the key has an answer, which no later record replaces.
func (c Claim) isFinal() bool {
	return c.phase == Settled && c.answer.Outcome == messenger.OutcomeAnswered
}

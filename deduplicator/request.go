package deduplicator

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

const (
	// revokeInterval is the minimum time between two Revoke actions of a request.
	revokeInterval = 500 * time.Millisecond
	// abandonMargin is the time after the deadline of a claim from which it counts as
	// abandoned, even if its entry isn't known to be dead.
	abandonMargin = 5 * time.Second
)

// Target is the agent that a request is sent to.
type Target struct {
	host         string
	incarnation  string
	ticketMillis int
}

// NewTarget returns the agent on host. Its incarnation and its ticket are those at the
// time of the claim.
func NewTarget(host, incarnation string, ticketMillis int) Target {
	return Target{host: host, incarnation: incarnation, ticketMillis: ticketMillis}
}

// TicketMillis returns the ticket that the request is sent with: a time of the agent's
// monotonic clock, in milliseconds.
func (t Target) TicketMillis() int { return t.ticketMillis }

// Host returns the name of the host.
func (t Target) Host() string { return t.host }

// Incarnation returns the incarnation of the agent.
func (t Target) Incarnation() string { return t.incarnation }

// Spec is a request with a key as an entry received it.
type Spec struct {
	id       string
	team     string
	service  string
	key      string
	bodyHash string
	deadline time.Time
}

// NewSpec returns the spec of a request. Each try of a request needs its own id.
func NewSpec(id, team, service, key, bodyHash string, deadline time.Time) Spec {
	return Spec{id: id, team: team, service: service, key: key, bodyHash: bodyHash, deadline: deadline}
}

// step is a state of the state machine of a request.
type step int

const (
	stepCheckKey   step = iota // The key is to be looked up, or its outcome is awaited.
	stepClaiming               // The claim is being appended.
	stepAppended               // The claim was appended but isn't read back yet.
	stepDispatched             // The request was sent.
	stepRevoking               // A host is asked to revoke the request of revokeClaim.
	stepDone                   // The caller has its answer.
)

// Request is the state machine of one request with a key at one entry. The driver calls
// Step after each event, after records were applied, and a few times per second, and
// performs the returned actions in order.
type Request struct {
	spec        Spec
	self        messenger.EntryAddress
	target      Target
	isDead      func(entry, incarnation string) bool
	step        step
	offset      int64
	revokeClaim Claim // The claim that Revoke actions are about.
	nextRevoke  time.Time
	sequence    int
	pending     []Action
}

// NewRequest returns the state machine of spec at the entry self, which sends the
// request to target if its claim wins. The function isDead reports whether the process
// of an entry is known to be dead.
func NewRequest(spec Spec, self messenger.EntryAddress, target Target, isDead func(entry, incarnation string) bool) *Request {
	return &Request{spec: spec, self: self, target: target, isDead: isDead}
}

// Done reports whether an Answer or Refuse was issued.
func (q *Request) Done() bool { return q.step == stepDone }

// Step returns the actions that are due at now, given the current state of the keys.
func (q *Request) Step(now time.Time, keys *KeyTable) []Action {
	switch q.step {
	case stepCheckKey:
		q.checkKey(now, keys)
	case stepAppended:
		q.checkClaim(now, keys)
	case stepRevoking:
		q.revokeOrCheckKey(now, keys)
	}
	actions := q.pending
	q.pending = nil
	return actions
}

// checkKey looks up the key. It answers with the outcome of the key, waits for it, or
// claims the key.
func (q *Request) checkKey(now time.Time, keys *KeyTable) {
	claim, ok := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	switch {
	case keys.wasReleased(q.keyID(), q.spec.id):
		q.refuse(apricotwinch.Revoked, "the request was withdrawn before it started")
	case !ok || claim.phase == Released:
		q.claim(now, keys)
	case claim.bodyHash != q.spec.bodyHash:
		q.refuse(apricotwinch.Conflict, "key %q was used for a request with another body", q.spec.key)
	case claim.phase == Settled:
		q.answer(claim.answer)
	case !now.Before(q.spec.deadline):
		q.refuse(apricotwinch.Unknown, "key %q: the first request with it has no outcome yet", q.spec.key)
	case q.abandoned(now, claim) && !now.Before(q.nextRevoke):
		q.startRevoke(now, claim)
	}
}

// abandoned reports whether the entry that made claim won't settle it anymore.
func (q *Request) abandoned(now time.Time, claim Claim) bool {
	return q.isDead(claim.entry, claim.entryIncarnation) || now.After(claim.deadline.Add(abandonMargin))
}

func (q *Request) claim(now time.Time, keys *KeyTable) {
	if !now.Before(q.spec.deadline) {
		q.refuse(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent")
		return
	}
	if keys.Full() {
		q.refuse(apricotwinch.Overloaded, "no more idempotency keys can be remembered: %d are held", keys.Len())
		return
	}
	q.step = stepClaiming
	q.emit(Action{actionType: ClaimKey, record: q.record(messenger.KeyClaimed, q.ownClaim())})
}

// ClaimEnded reports the result of the append of the claim: its offset, or err.
func (q *Request) ClaimEnded(offset int64, err error) {
	if q.step != stepClaiming {
		return
	}
	if err == nil {
		q.step = stepAppended
		q.offset = offset
		return
	}
	kind := apricotwinch.KindOf(err)
	if !kind.ErrorResponse().NotRun() {
		q.release(q.ownClaim())
		kind = apricotwinch.LogUnavailable
	}
	q.refuse(kind, "key %q was not claimed and the request not sent: %v", q.spec.key, err)
}

// checkClaim sends the request once its claim is read back and has won. If the claim
// lost, it looks up the key again.
func (q *Request) checkClaim(now time.Time, keys *KeyTable) {
	applied := keys.Next() > q.offset
	claim, _ := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	won := claim.request == q.spec.id && claim.phase == Claimed
	switch {
	case applied && !won:
		q.step = stepCheckKey
		q.checkKey(now, keys)
	case !now.Before(q.spec.deadline):
		q.release(q.ownClaim())
		q.refuse(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent")
	case applied:
		q.step = stepDispatched
		q.emit(Action{actionType: Dispatch, target: q.target, request: q.spec.id})
	}
}

// DispatchEnded reports the reply to the dispatch. A lost reply has the outcome unknown.
func (q *Request) DispatchEnded(reply messenger.DispatchReply) {
	if q.step == stepDispatched {
		q.handleOutcome(q.ownClaim(), reply)
	}
}

// handleOutcome handles the outcome of the request that made claim.
func (q *Request) handleOutcome(claim Claim, reply messenger.DispatchReply) {
	switch reply.Outcome {
	case messenger.OutcomeAnswered:
		q.settle(claim, reply)
		q.answer(reply)
	case messenger.OutcomeRefused:
		q.handleNotRun(claim, apricotwinch.Kind(reply.Kind), reply.Text)
	default:
		q.revokeClaim = claim
		q.step = stepRevoking
	}
}

// handleNotRun releases claim, whose request provably did not run. If that is this
// request, the caller gets an error of kind; otherwise the key is looked up again.
func (q *Request) handleNotRun(claim Claim, kind apricotwinch.Kind, text string) {
	q.release(claim)
	if claim.request != q.spec.id {
		q.step = stepCheckKey
		return
	}
	if !kind.ErrorResponse().NotRun() {
		kind = apricotwinch.Revoked
	}
	q.refuse(kind, "%s", text)
}

func (q *Request) startRevoke(now time.Time, claim Claim) {
	q.step = stepRevoking
	q.revokeClaim = claim
	q.sendRevoke(now)
}

// revokeOrCheckKey repeats the Revoke of revokeClaim, or looks up the key if that has
// another claim, was released or has an answer.
func (q *Request) revokeOrCheckKey(now time.Time, keys *KeyTable) {
	claim, _ := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	if claim.request != q.revokeClaim.request || claim.phase == Released || claim.isFinal() {
		q.step = stepCheckKey
		q.checkKey(now, keys)
		return
	}
	q.sendRevoke(now)
}

// sendRevoke issues a Revoke of revokeClaim, at most once per revokeInterval, and gives up
// at the deadline.
func (q *Request) sendRevoke(now time.Time) {
	if !now.Before(q.spec.deadline) {
		q.giveUp("the host has not reported the outcome by the deadline")
		return
	}
	if now.Before(q.nextRevoke) {
		return
	}
	q.nextRevoke = now.Add(revokeInterval)
	q.emit(Action{actionType: Revoke, target: NewTarget(q.revokeClaim.host, q.revokeClaim.incarnation, q.revokeClaim.ticketMillis), request: q.revokeClaim.request})
}

// RevokeEnded reports the reply of a host to the Revoke about request, or the error of the
// Revoke. A late reply, about a request other than that of the current Revoke, is ignored.
func (q *Request) RevokeEnded(request string, reply messenger.RevokeReply, err error) {
	if q.step != stepRevoking || request != q.revokeClaim.request {
		return
	}
	switch {
	case apricotwinch.KindOf(err) == apricotwinch.StaleIncarnation:
		q.giveUp("the agent that had the request was replaced")
	case err != nil:
		// Wait for the next Revoke, which may reach the host.
	case reply.Forgotten:
		q.giveUp("the agent that had the request no longer remembers it")
	case reply.Revoked:
		q.handleNotRun(q.revokeClaim, apricotwinch.Revoked, "the request was withdrawn before it started")
	case reply.Reply != nil && reply.Reply.Outcome != messenger.OutcomeUnknown:
		q.handleOutcome(q.revokeClaim, *reply.Reply)
	}
}

// giveUp settles revokeClaim with an unknown outcome, which a later answer replaces.
func (q *Request) giveUp(text string) {
	q.settle(q.revokeClaim, messenger.DispatchReply{
		Request: q.revokeClaim.request,
		Outcome: messenger.OutcomeUnknown,
		Kind:    string(apricotwinch.Unknown),
		Text:    text,
	})
	q.refuse(apricotwinch.Unknown, "key %q: %s", q.spec.key, text)
}

// answer sends the outcome of the key to the caller.
func (q *Request) answer(reply messenger.DispatchReply) {
	if reply.Outcome != messenger.OutcomeAnswered {
		q.refuse(apricotwinch.Unknown, "%s", reply.Text)
		return
	}
	reply.Request = q.spec.id
	q.step = stepDone
	q.emit(Action{actionType: Answer, reply: reply})
}

func (q *Request) refuse(kind apricotwinch.Kind, format string, args ...any) {
	q.step = stepDone
	q.emit(Action{actionType: Refuse, err: apricotwinch.Errorf(kind, format, args...)})
}

func (q *Request) release(claim Claim) {
	q.emit(Action{actionType: Append, record: q.record(messenger.KeyReleased, claim)})
}

func (q *Request) settle(claim Claim, reply messenger.DispatchReply) {
	record := q.record(messenger.KeySettled, claim)
	record.Answer = &reply
	q.emit(Action{actionType: Append, record: record})
}

func (q *Request) emit(a Action) { q.pending = append(q.pending, a) }

func (q *Request) keyID() keyID {
	return keyID{team: q.spec.team, service: q.spec.service, key: q.spec.key}
}

// ownClaim returns the claim that this request makes.
func (q *Request) ownClaim() Claim {
	return Claim{
		request:          q.spec.id,
		bodyHash:         q.spec.bodyHash,
		entry:            q.self.Entry,
		entryIncarnation: q.self.Incarnation,
		host:             q.target.host,
		incarnation:      q.target.incarnation,
		ticketMillis:     q.target.ticketMillis,
		deadline:         q.spec.deadline,
	}
}

// record returns a record about claim with the next record id of this request.
func (q *Request) record(recordType string, claim Claim) messenger.KeyRecord {
	q.sequence++
	return messenger.KeyRecord{
		Id:                 fmt.Sprintf("%s-%s-%d", q.self.Incarnation, q.spec.id, q.sequence),
		Type:               recordType,
		Team:               q.spec.team,
		Service:            q.spec.service,
		Key:                q.spec.key,
		BodyHash:           claim.bodyHash,
		Request:            claim.request,
		Entry:              q.self.Entry,
		EntryIncarnation:   q.self.Incarnation,
		Host:               claim.host,
		Incarnation:        claim.incarnation,
		TicketMillis:       claim.ticketMillis,
		DeadlineUnixMillis: int(claim.deadline.UnixMilli()),
	}
}

package deduplicator

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

const (
	// askInterval is the time between two questions to a host.
	askInterval = 500 * time.Millisecond
	// goneMargin is how long after its deadline a claimant is taken for gone.
	goneMargin = 5 * time.Second
)

// Target is the agent that a request is sent to.
type Target struct {
	host         string
	incarnation  string
	ticketMillis int
}

// NewTarget returns the agent on host with its incarnation and its ticket, as of
// when the request was claimed for it.
func NewTarget(host, incarnation string, ticketMillis int) Target {
	return Target{host: host, incarnation: incarnation, ticketMillis: ticketMillis}
}

// TicketMillis returns the ticket that the request is sent with.
func (t Target) TicketMillis() int { return t.ticketMillis }

// Host returns the name of the host.
func (t Target) Host() string { return t.host }

// Incarnation returns the incarnation of the agent.
func (t Target) Incarnation() string { return t.incarnation }

// Spec is a keyed request as an entry got it.
type Spec struct {
	id       string
	team     string
	service  string
	key      string
	bodyHash string
	deadline time.Time
}

// NewSpec returns the request called id, which is never used for another try.
func NewSpec(id, team, service, key, bodyHash string, deadline time.Time) Spec {
	return Spec{id: id, team: team, service: service, key: key, bodyHash: bodyHash, deadline: deadline}
}

type step int

const (
	stepLook       step = iota // Looks at the key, or waits for its outcome.
	stepClaiming               // The claim is being appended.
	stepLanded                 // The claim landed; its verdict isn't folded yet.
	stepDispatched             // The request was sent.
	stepAsking                 // A host was asked about the subject.
	stepDone                   // The caller has its answer.
)

// Request is the state machine of one keyed request at one entry. After each
// event, each advance of the fold and a few times a second the driver calls Step
// and carries out its actions in order.
type Request struct {
	spec     Spec
	self     messenger.EntryAddress
	target   Target
	gone     func(entry, incarnation string) bool
	step     step
	offset   int64
	subject  Claim // The claim that a host is asked about.
	nextAsk  time.Time
	sequence int
	pending  []Action
}

// NewRequest returns the machine of spec at the entry self, which would send it to
// target. The function gone reports whether an entry's process is known dead.
func NewRequest(spec Spec, self messenger.EntryAddress, target Target, gone func(entry, incarnation string) bool) *Request {
	return &Request{spec: spec, self: self, target: target, gone: gone}
}

// Done reports whether the caller's answer was given.
func (q *Request) Done() bool { return q.step == stepDone }

// Step returns what is due at now by the keys folded so far.
func (q *Request) Step(now time.Time, keys *Folder) []Action {
	switch q.step {
	case stepLook:
		q.look(now, keys)
	case stepLanded:
		q.judge(now, keys)
	case stepAsking:
		q.askOrLook(now, keys)
	}
	actions := q.pending
	q.pending = nil
	return actions
}

// look answers from the key, waits for its outcome, or claims it.
func (q *Request) look(now time.Time, keys *Folder) {
	claim, ok := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	switch {
	case keys.wasReleased(q.keyID(), q.spec.id):
		q.refuse(apricotwinch.Revoked, "the request was withdrawn before it started")
	case !ok || claim.phase == Released:
		q.claim(now, keys)
	case claim.bodyHash != q.spec.bodyHash:
		q.refuse(apricotwinch.Conflict, "key %q stands for a request with another body", q.spec.key)
	case claim.phase == Settled:
		q.answer(claim.answer)
	case !now.Before(q.spec.deadline):
		q.refuse(apricotwinch.Unknown, "key %q: the first request with it has no outcome yet", q.spec.key)
	case q.abandoned(now, claim) && !now.Before(q.nextAsk):
		q.ask(now, claim)
	}
}

// abandoned reports whether nobody settles claim.
func (q *Request) abandoned(now time.Time, claim Claim) bool {
	return q.gone(claim.entry, claim.entryIncarnation) || now.After(claim.deadline.Add(goneMargin))
}

func (q *Request) claim(now time.Time, keys *Folder) {
	if !now.Before(q.spec.deadline) {
		q.refuse(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent")
		return
	}
	if keys.Full() {
		q.refuse(apricotwinch.Overloaded, "%d idempotency keys are remembered", keys.Len())
		return
	}
	q.step = stepClaiming
	q.do(Action{actionType: ClaimKey, record: q.record(messenger.KeyClaimed, q.own())})
}

// ClaimEnded tells how the append of the claim ended: at offset, or with err.
func (q *Request) ClaimEnded(offset int64, err error) {
	if q.step != stepClaiming {
		return
	}
	if err == nil {
		q.step = stepLanded
		q.offset = offset
		return
	}
	kind := apricotwinch.KindOf(err)
	if !kind.Answer().NotRun() {
		q.release(q.own())
		kind = apricotwinch.LogUnavailable
	}
	q.refuse(kind, "key %q was not claimed and the request not sent: %v", q.spec.key, err)
}

// judge sends the request when the fold shows that its claim won.
func (q *Request) judge(now time.Time, keys *Folder) {
	folded := keys.Next() > q.offset
	claim, _ := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	won := claim.request == q.spec.id && claim.phase == Claimed
	switch {
	case folded && !won:
		q.step = stepLook
		q.look(now, keys)
	case !now.Before(q.spec.deadline):
		q.release(q.own())
		q.refuse(apricotwinch.DeadlineExceeded, "the deadline passed before the request was sent")
	case folded:
		q.step = stepDispatched
		q.do(Action{actionType: Dispatch, target: q.target, request: q.spec.id})
	}
}

// Dispatched tells the reply to the dispatch; a reply that was lost has the
// outcome unknown.
func (q *Request) Dispatched(reply messenger.DispatchReply) {
	if q.step == stepDispatched {
		q.end(q.own(), reply)
	}
}

// end acts on the outcome of claim.
func (q *Request) end(claim Claim, reply messenger.DispatchReply) {
	switch reply.Outcome {
	case messenger.OutcomeAnswered:
		q.settle(claim, reply)
		q.answer(reply)
	case messenger.OutcomeRefused:
		q.withdrawn(claim, apricotwinch.Kind(reply.Kind), reply.Text)
	default:
		q.subject = claim
		q.step = stepAsking
	}
}

// withdrawn releases claim, which provably did not run.
func (q *Request) withdrawn(claim Claim, kind apricotwinch.Kind, text string) {
	q.release(claim)
	if claim.request != q.spec.id {
		q.step = stepLook
		return
	}
	if !kind.Answer().NotRun() {
		kind = apricotwinch.Revoked
	}
	q.refuse(kind, "%s", text)
}

func (q *Request) ask(now time.Time, claim Claim) {
	q.step = stepAsking
	q.subject = claim
	q.askAgain(now)
}

// askOrLook asks the host of the subject again unless the key has moved on.
func (q *Request) askOrLook(now time.Time, keys *Folder) {
	claim, _ := keys.Lookup(q.spec.team, q.spec.service, q.spec.key)
	if claim.request != q.subject.request || claim.phase == Released || claim.final() {
		q.step = stepLook
		q.look(now, keys)
		return
	}
	q.askAgain(now)
}

// askAgain asks the host of the subject, or gives up at the deadline.
func (q *Request) askAgain(now time.Time) {
	if !now.Before(q.spec.deadline) {
		q.giveUp("the host has not told the outcome by the deadline")
		return
	}
	if now.Before(q.nextAsk) {
		return
	}
	q.nextAsk = now.Add(askInterval)
	q.do(Action{actionType: Ask, target: NewTarget(q.subject.host, q.subject.incarnation, q.subject.ticketMillis), request: q.subject.request})
}

// Asked tells what a host said about request, which an Ask named. What comes late,
// about another request than the host is asked about now, changes nothing.
func (q *Request) Asked(request string, reply messenger.RevokeReply, err error) {
	if q.step != stepAsking || request != q.subject.request {
		return
	}
	switch {
	case apricotwinch.KindOf(err) == apricotwinch.StaleIncarnation:
		q.giveUp("the agent that had the request was replaced")
	case err != nil:
		// The next question may reach the host.
	case reply.Forgotten:
		q.giveUp("the agent that had the request no longer remembers it")
	case reply.Revoked:
		q.withdrawn(q.subject, apricotwinch.Revoked, "the request was withdrawn before it started")
	case reply.Reply != nil && reply.Reply.Outcome != messenger.OutcomeUnknown:
		q.end(q.subject, *reply.Reply)
	}
}

// giveUp settles the subject as unknown, which a later answer replaces.
func (q *Request) giveUp(text string) {
	q.settle(q.subject, messenger.DispatchReply{
		Request: q.subject.request,
		Outcome: messenger.OutcomeUnknown,
		Kind:    string(apricotwinch.Unknown),
		Text:    text,
	})
	q.refuse(apricotwinch.Unknown, "key %q: %s", q.spec.key, text)
}

// answer gives the caller the outcome of the key.
func (q *Request) answer(reply messenger.DispatchReply) {
	if reply.Outcome != messenger.OutcomeAnswered {
		q.refuse(apricotwinch.Unknown, "%s", reply.Text)
		return
	}
	reply.Request = q.spec.id
	q.step = stepDone
	q.do(Action{actionType: Answer, reply: reply})
}

func (q *Request) refuse(kind apricotwinch.Kind, format string, args ...any) {
	q.step = stepDone
	q.do(Action{actionType: Refuse, err: apricotwinch.Errorf(kind, format, args...)})
}

func (q *Request) release(claim Claim) {
	q.do(Action{actionType: Append, record: q.record(messenger.KeyReleased, claim)})
}

func (q *Request) settle(claim Claim, reply messenger.DispatchReply) {
	record := q.record(messenger.KeySettled, claim)
	record.Answer = &reply
	q.do(Action{actionType: Append, record: record})
}

func (q *Request) do(a Action) { q.pending = append(q.pending, a) }

func (q *Request) keyID() keyID {
	return keyID{team: q.spec.team, service: q.spec.service, key: q.spec.key}
}

// own returns the claim that this request makes.
func (q *Request) own() Claim {
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

// record returns the next record of this request about claim.
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

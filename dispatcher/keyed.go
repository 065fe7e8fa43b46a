package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/deduplicator"
	"apricotwinch/messenger"
	"apricotwinch/retrier"
	"apricotwinch/router"
)

// Limits on the keys that an entry retains for one partition: their age, number and
// total size in bytes.
const (
	keyRetention     = time.Hour
	maxKeys          = 200_000
	maxKeyTableBytes = 48 << 20
)

const (
	exchangePollPeriod = 50 * time.Millisecond
	keyExpiryPeriod    = time.Minute
	keyAppendTimeout   = 10 * time.Second
)

// keyPartition maintains the table of idempotency keys of one partition from its
// stream.
type keyPartition struct {
	entry    *Entry
	stream   string
	appender *appender.Appender

	mu       sync.Mutex
	keyTable *deduplicator.KeyTable
	// changed is closed and replaced whenever records were applied.
	changed chan struct{}
}

func newKeyPartition(entry *Entry, number int) *keyPartition {
	stream := appender.KeysStream(number)
	return &keyPartition{
		entry:    entry,
		stream:   stream,
		appender: entry.newAppender(stream),
		keyTable: deduplicator.New(deduplicator.NewBounds(keyRetention, maxKeys, maxKeyTableBytes)),
		changed:  make(chan struct{}),
	}
}

// run follows the stream, appends to it and expires old keys until ctx ends.
func (k *keyPartition) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.appender.Run(ctx) })
	group.Go(func() {
		appender.NewFollower(k.entry.log, k.stream, k.entry.clock, k.entry.registry, k.applyView).Run(ctx, 0)
	})
	ticker := k.entry.clock.NewTicker(keyExpiryPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.Chan():
			k.mu.Lock()
			k.keyTable.Expire(now)
			k.mu.Unlock()
		}
	}
	group.Wait()
}

func (k *keyPartition) applyView(view appender.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if view.Gap() {
		k.keyTable.HandleGap(view.Earliest())
	}
	now := k.entry.clock.Now()
	for _, record := range view.Records() {
		if err := k.keyTable.ApplyData(now, record.Offset(), record.Data()); err != nil {
			k.entry.count("keys.malformed_records")
		}
	}
	if len(view.Records()) > 0 {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

func (k *keyPartition) append(record messenger.KeyRecord) (int64, error) {
	if err := k.entry.checkLog(); err != nil {
		return 0, err
	}
	data, err := json.Marshal(record)
	if err != nil {
		return 0, apricotwinch.Errorf(apricotwinch.Invalid, "record: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyAppendTimeout)
	defer cancel()
	return k.appender.Append(ctx, record.Id, data)
}

// keyedRequest is a request with an idempotency key.
type keyedRequest struct {
	request  *request
	keys     *keyPartition
	bodyHash string
}

func (e *Entry) newKeyedRequest(r *request) keyedRequest {
	sum := sha256.Sum256(r.body)
	return keyedRequest{request: r, keys: e.keyPartitions[e.partitionOf(r.service.Team())], bodyHash: hex.EncodeToString(sum[:])}
}

// lookupClaim returns the claim that holds the key; false means that no claim does.
func (q keyedRequest) lookupClaim() (deduplicator.Claim, bool) {
	q.keys.mu.Lock()
	defer q.keys.mu.Unlock()
	claim, ok := q.keys.keyTable.Lookup(q.request.service.Team(), q.request.service.Name(), q.request.key)
	return claim, ok && claim.Phase() != deduplicator.Released
}

// recordedAnswer returns the answer that an earlier request with the same key and body
// got.
func (q keyedRequest) recordedAnswer() (messenger.DispatchReply, bool) {
	claim, ok := q.lookupClaim()
	answered := ok && claim.Phase() == deduplicator.Settled && claim.Answer().Outcome == messenger.OutcomeAnswered
	return claim.Answer(), answered && claim.BodyHash() == q.bodyHash
}

// duplicateClaim returns the claim of another request with the same key and body; false means
// that no such request holds the key.
func (q keyedRequest) duplicateClaim() (deduplicator.Claim, bool) {
	claim, ok := q.lookupClaim()
	return claim, ok && claim.Request() != q.request.id && claim.BodyHash() == q.bodyHash
}

// awaitDuplicate returns the answer of the request that holds the key. That answer may have
// reached its caller before its record is read back from the log. awaitDuplicate returns err if
// the request has no answer, releases the key, or has no outcome when ctx ends.
func (q keyedRequest) awaitDuplicate(ctx context.Context, err error) (messenger.DispatchReply, error) {
	for {
		q.keys.mu.Lock()
		changed := q.keys.changed
		q.keys.mu.Unlock()
		claim, held := q.duplicateClaim()
		settled := held && claim.Phase() == deduplicator.Settled
		switch {
		case settled && claim.Answer().Outcome == messenger.OutcomeAnswered:
			return claim.Answer(), nil
		case settled || !held:
			return messenger.DispatchReply{}, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return messenger.DispatchReply{}, err
		}
	}
}

// callerError returns the error for the caller. If err means that this request did not
// run, but another request with the same key and body holds the key, that one may have
// run, so the error is of kind Unknown instead.
func (q keyedRequest) callerError(err error) error {
	if err == nil || !apricotwinch.KindOf(err).ErrorResponse().NotRun() {
		return err
	}
	if _, held := q.duplicateClaim(); !held {
		return err
	}
	return apricotwinch.Errorf(apricotwinch.Unknown, "%s: another request with this key has no recorded outcome yet: %w", headerKey, err)
}

// answerKeyed answers a request that must run at most once.
func (e *Entry) answerKeyed(ctx context.Context, q keyedRequest) (messenger.DispatchReply, error) {
	r := q.request
	for number := 1; ; number++ {
		r.id = uuid.NewString()
		target, err := e.fleet.choose(r, e.settings.DataCentre)
		if err != nil {
			return messenger.DispatchReply{}, err
		}
		if number == 1 {
			e.admission.recordFirstTry(r.service.Team(), target.Host())
		}
		x := newKeyedExchange(e, q, target)
		reply, err := x.run(ctx)
		if err == nil {
			return reply, nil
		}
		if !x.sent || !e.retryKeyed(ctx, r, target, number, err) {
			return messenger.DispatchReply{}, err
		}
		x.appends.Wait()
	}
}

// retryKeyed reports whether a keyed request that certainly did not run may go to
// another target, and waits until the time of that try.
func (e *Entry) retryKeyed(ctx context.Context, r *request, target router.Target, number int, err error) bool {
	r.tried = append(r.tried, target.Host())
	kind := apricotwinch.KindOf(err)
	if !kind.ErrorResponse().NotRun() {
		return false
	}
	decision := e.admission.decideRetry(retrier.NewTry(r.service.Team(), target.Host(), number, false, r.deadline, kind))
	return decision.Retry() && !e.attemptsExhausted(r, number) && e.sleepUntil(ctx, decision.At())
}

// keyedExchange drives the deduplicator's state machine for one try of a keyed
// request.
type keyedExchange struct {
	entry   *Entry
	keys    *keyPartition
	request *request
	target  router.Target
	ticket  int
	machine *deduplicator.Request
	wake    chan struct{}
	appends sync.WaitGroup
	// sent is whether the request was dispatched.
	sent bool
	// claiming is whether the append of the claim is in progress, and abandoned
	// whether the deadline passed; keys.mu guards both.
	claiming  bool
	abandoned bool
}

func newKeyedExchange(e *Entry, q keyedRequest, target router.Target) *keyedExchange {
	r := q.request
	ticket := e.fleet.ticket(target.Host())
	spec := deduplicator.NewSpec(r.id, r.service.Team(), r.service.Name(), r.key, q.bodyHash, r.deadline)
	return &keyedExchange{
		entry:   e,
		keys:    q.keys,
		request: r,
		target:  target,
		ticket:  ticket,
		machine: deduplicator.NewRequest(spec, e.self(),
			deduplicator.NewTarget(target.Host(), target.Incarnation(), ticket), e.ownership.entryGone),
		wake: make(chan struct{}, 1),
	}
}

// run steps the state machine after each event until it answers or refuses the
// request, or ctx ends.
func (x *keyedExchange) run(ctx context.Context) (messenger.DispatchReply, error) {
	ticker := x.entry.clock.NewTicker(exchangePollPeriod)
	defer ticker.Stop()
	for {
		actions, changed := x.step()
		for _, action := range actions {
			if reply, err, done := x.execute(ctx, action); done {
				return reply, err
			}
		}
		select {
		case <-x.wake:
		case <-changed:
		case <-ticker.Chan():
		case <-ctx.Done():
			return messenger.DispatchReply{}, x.abandon()
		}
	}
}

// abandon ends the exchange at its deadline. A request that was not sent by then is
// never sent, and its claim is released once the claim is durable.
func (x *keyedExchange) abandon() error {
	x.keys.mu.Lock()
	defer x.keys.mu.Unlock()
	x.abandoned = true
	if x.claiming && !x.sent {
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "request %s: its key was not claimed in time and it was not sent", x.request.id)
	}
	return apricotwinch.Errorf(apricotwinch.Unknown, "request %s: no outcome by the deadline", x.request.id)
}

func (x *keyedExchange) step() ([]deduplicator.Action, <-chan struct{}) {
	x.keys.mu.Lock()
	defer x.keys.mu.Unlock()
	return x.machine.Step(x.entry.clock.Now(), x.keys.keyTable), x.keys.changed
}

// applyEvent calls event, which passes an event to the state machine, with keys.mu
// held, and wakes run.
func (x *keyedExchange) applyEvent(event func()) {
	x.keys.mu.Lock()
	event()
	x.keys.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// execute carries out one action; done means that reply or err is the final result.
func (x *keyedExchange) execute(ctx context.Context, action deduplicator.Action) (reply messenger.DispatchReply, err error, done bool) { //nolint:revive // The error goes with the reply.
	switch action.Type() {
	case deduplicator.ClaimKey:
		x.applyEvent(func() { x.claiming = true })
		go x.appendClaim(action.Record())
	case deduplicator.Append:
		x.appends.Go(func() {
			if _, err := x.keys.append(action.Record()); err != nil {
				x.entry.count("keys.append." + string(apricotwinch.KindOf(err)))
			}
		})
	case deduplicator.Dispatch:
		x.sent = true
		go x.dispatch(ctx)
	case deduplicator.Revoke:
		go x.revoke(ctx, action)
	case deduplicator.Answer:
		return action.Reply(), nil, true
	case deduplicator.Refuse:
		return messenger.DispatchReply{}, action.Err(), true
	}
	return messenger.DispatchReply{}, nil, false
}

func (x *keyedExchange) appendClaim(record messenger.KeyRecord) {
	err := x.entry.checkLog()
	var offset int64
	if err == nil {
		offset, err = x.keys.append(record)
	}
	if err != nil {
		x.entry.count("keys.claim." + string(apricotwinch.KindOf(err)))
	}
	x.applyEvent(func() {
		x.claiming = false
		x.machine.ClaimEnded(offset, err)
	})
	if err == nil && x.isAbandoned() {
		x.releaseClaim(record)
	}
}

func (x *keyedExchange) isAbandoned() bool {
	x.keys.mu.Lock()
	defer x.keys.mu.Unlock()
	return x.abandoned
}

// releaseClaim frees the key of a claim that became durable after its request was
// abandoned.
func (x *keyedExchange) releaseClaim(claim messenger.KeyRecord) {
	claim.Id = uuid.NewString()
	claim.Type = messenger.KeyReleased
	if _, err := x.keys.append(claim); err != nil {
		x.entry.count("keys.release." + string(apricotwinch.KindOf(err)))
	}
}

func (x *keyedExchange) dispatch(ctx context.Context) {
	reply, err := x.entry.sendKeyed(ctx, x.request, x.target, x.ticket)
	if err != nil {
		reply = replyForError(x.request.id, err)
	}
	x.applyEvent(func() { x.machine.DispatchEnded(reply) })
}

// replyForError returns the outcome for an error of a dispatch: refused if the request
// certainly did not run, otherwise unknown.
func replyForError(id string, err error) messenger.DispatchReply {
	kind := apricotwinch.KindOf(err)
	outcome := messenger.OutcomeUnknown
	if kind.ErrorResponse().NotRun() {
		outcome = messenger.OutcomeRefused
	}
	return messenger.DispatchReply{Request: id, Outcome: outcome, Kind: string(kind), Text: err.Error()}
}

func (x *keyedExchange) revoke(ctx context.Context, action deduplicator.Action) {
	target := action.Target()
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	var reply messenger.RevokeReply
	err := apricotwinch.Errorf(apricotwinch.Unreachable, "host %s is not known", target.Host())
	if host, ok := x.entry.fleet.lookup(target.Host()); ok {
		command := messenger.Revoke{Request: action.Request(), Incarnation: target.Incarnation(), TicketMillis: target.TicketMillis()}
		err = x.entry.pool.Call(ctx, host.Address, messenger.MethodRevoke, command, &reply)
	}
	if err != nil {
		x.entry.count("keys.ask." + string(apricotwinch.KindOf(err)))
	}
	x.applyEvent(func() { x.machine.RevokeEnded(action.Request(), reply, err) })
}

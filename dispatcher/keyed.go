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

// What an entry remembers of the keys of one partition.
const (
	keyRetention = time.Hour
	maxKeys      = 200_000
	maxKeyState  = 48 << 20
)

const (
	keyTick        = 50 * time.Millisecond
	keyExpiry      = time.Minute
	keyAppendLimit = 10 * time.Second
)

// keyPartition follows the keys stream of one partition.
type keyPartition struct {
	entry    *Entry
	stream   string
	appender *appender.Appender

	mu     sync.Mutex
	folder *deduplicator.Folder
	moved  chan struct{}
}

func newKeyPartition(entry *Entry, number int) *keyPartition {
	stream := appender.KeysStream(number)
	return &keyPartition{
		entry:    entry,
		stream:   stream,
		appender: entry.newAppender(stream),
		folder:   deduplicator.New(deduplicator.NewBounds(keyRetention, maxKeys, maxKeyState)),
		moved:    make(chan struct{}),
	}
}

// run follows the stream and appends to it until ctx ends.
func (k *keyPartition) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.appender.Run(ctx) })
	group.Go(func() {
		appender.NewFollower(k.entry.log, k.stream, k.entry.clock, k.entry.registry, k.handle).Run(ctx, 0)
	})
	ticker := k.entry.clock.NewTicker(keyExpiry)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.Chan():
			k.mu.Lock()
			k.folder.Expire(now)
			k.mu.Unlock()
		}
	}
	group.Wait()
}

func (k *keyPartition) handle(view appender.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if view.Gap() {
		k.folder.Gap(view.Earliest())
	}
	now := k.entry.clock.Now()
	for _, record := range view.Records() {
		if err := k.folder.FoldData(now, record.Offset(), record.Data()); err != nil {
			k.entry.count("keys.malformed_records")
		}
	}
	if len(view.Records()) > 0 {
		close(k.moved)
		k.moved = make(chan struct{})
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
	ctx, cancel := context.WithTimeout(context.Background(), keyAppendLimit)
	defer cancel()
	return k.appender.Append(ctx, record.Id, data)
}

// keyed is a request with an idempotency key.
type keyed struct {
	request *request
	keys    *keyPartition
	hash    string
}

func (e *Entry) newKeyed(r *request) keyed {
	sum := sha256.Sum256(r.body)
	return keyed{request: r, keys: e.keys[e.partitionOf(r.service.Team())], hash: hex.EncodeToString(sum[:])}
}

// lookup returns the claim that holds the key.
func (q keyed) lookup() (deduplicator.Claim, bool) {
	q.keys.mu.Lock()
	defer q.keys.mu.Unlock()
	claim, ok := q.keys.folder.Lookup(q.request.service.Team(), q.request.service.Name(), q.request.key)
	return claim, ok && claim.Phase() != deduplicator.Released
}

// settled returns the answer that the key already has.
func (q keyed) settled() (messenger.DispatchReply, bool) {
	claim, ok := q.lookup()
	answered := ok && claim.Phase() == deduplicator.Settled && claim.Answer().Outcome == messenger.OutcomeAnswered
	return claim.Answer(), answered && claim.BodyHash() == q.hash
}

// refusal returns what the caller is told for err: a request whose key is held by
// another copy of it may have run, whatever became of this copy.
func (q keyed) refusal(err error) error {
	if err == nil || !apricotwinch.KindOf(err).Answer().NotRun() {
		return err
	}
	claim, ok := q.lookup()
	if !ok || claim.Request() == q.request.id || claim.BodyHash() != q.hash {
		return err
	}
	return apricotwinch.Errorf(apricotwinch.Unknown, "%s: another request with it has no outcome here yet: %w", headerKey, err)
}

// answerKeyed answers a request that must run at most once.
func (e *Entry) answerKeyed(ctx context.Context, q keyed) (messenger.DispatchReply, error) {
	r := q.request
	for number := 1; ; number++ {
		r.id = uuid.NewString()
		target, err := e.members.choose(r, e.settings.DataCentre)
		if err != nil {
			return messenger.DispatchReply{}, err
		}
		if number == 1 {
			e.admission.began(r.service.Team(), target.Host())
		}
		x := newKeyedExchange(e, q, target)
		reply, err := x.run(ctx)
		if err == nil {
			return reply, nil
		}
		if !x.sent || !e.retryKeyed(ctx, r, target, number, err) {
			return messenger.DispatchReply{}, err
		}
		x.writes.Wait()
	}
}

// retryKeyed reports whether a keyed request that provably did not run is sent
// to another target, and waits until then.
func (e *Entry) retryKeyed(ctx context.Context, r *request, target router.Target, number int, err error) bool {
	r.tried = append(r.tried, target.Host())
	kind := apricotwinch.KindOf(err)
	if !kind.Answer().NotRun() {
		return false
	}
	decision := e.admission.decide(retrier.NewTry(r.service.Team(), target.Host(), number, false, r.deadline, kind))
	return decision.Retry() && !e.exhausted(r, number) && e.sleepUntil(ctx, decision.At())
}

// keyedExchange drives the state machine of one keyed request.
type keyedExchange struct {
	entry   *Entry
	keys    *keyPartition
	request *request
	target  router.Target
	ticket  int
	machine *deduplicator.Request
	wake    chan struct{}
	writes  sync.WaitGroup
	// sent is whether the request was dispatched.
	sent bool
	// claiming is whether the claim is being appended, abandoned whether the
	// deadline passed; keys.mu guards both.
	claiming  bool
	abandoned bool
}

func newKeyedExchange(e *Entry, q keyed, target router.Target) *keyedExchange {
	r := q.request
	ticket := e.members.ticket(target.Host())
	spec := deduplicator.NewSpec(r.id, r.service.Team(), r.service.Name(), r.key, q.hash, r.deadline)
	return &keyedExchange{
		entry:   e,
		keys:    q.keys,
		request: r,
		target:  target,
		ticket:  ticket,
		machine: deduplicator.NewRequest(spec, e.self(),
			deduplicator.NewTarget(target.Host(), target.Incarnation(), ticket), e.ownership.gone),
		wake: make(chan struct{}, 1),
	}
}

// run steps the machine after each event until it answers, refuses or ctx ends.
func (x *keyedExchange) run(ctx context.Context) (messenger.DispatchReply, error) {
	ticker := x.entry.clock.NewTicker(keyTick)
	defer ticker.Stop()
	for {
		actions, moved := x.step()
		for _, action := range actions {
			if reply, err, done := x.do(ctx, action); done {
				return reply, err
			}
		}
		select {
		case <-x.wake:
		case <-moved:
		case <-ticker.Chan():
		case <-ctx.Done():
			return messenger.DispatchReply{}, x.abandon()
		}
	}
}

// abandon ends the exchange at its deadline. A request that was not sent never
// will be; its claim is released when it lands.
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
	return x.machine.Step(x.entry.clock.Now(), x.keys.folder), x.keys.moved
}

// event tells the machine of an event and wakes the loop.
func (x *keyedExchange) event(tell func()) {
	x.keys.mu.Lock()
	tell()
	x.keys.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// do carries out one action; done tells that the caller has its answer.
func (x *keyedExchange) do(ctx context.Context, action deduplicator.Action) (reply messenger.DispatchReply, err error, done bool) { //nolint:revive // The error goes with the reply.
	switch action.Type() {
	case deduplicator.ClaimKey:
		x.event(func() { x.claiming = true })
		go x.claim(action.Record())
	case deduplicator.Append:
		x.writes.Go(func() {
			if _, err := x.keys.append(action.Record()); err != nil {
				x.entry.count("keys.append." + string(apricotwinch.KindOf(err)))
			}
		})
	case deduplicator.Dispatch:
		x.sent = true
		go x.dispatch(ctx)
	case deduplicator.Ask:
		go x.ask(ctx, action)
	case deduplicator.Answer:
		return action.Reply(), nil, true
	case deduplicator.Refuse:
		return messenger.DispatchReply{}, action.Err(), true
	}
	return messenger.DispatchReply{}, nil, false
}

func (x *keyedExchange) claim(record messenger.KeyRecord) {
	err := x.entry.checkLog()
	var offset int64
	if err == nil {
		offset, err = x.keys.append(record)
	}
	if err != nil {
		x.entry.count("keys.claim." + string(apricotwinch.KindOf(err)))
	}
	x.event(func() {
		x.claiming = false
		x.machine.ClaimEnded(offset, err)
	})
	if err == nil && x.isAbandoned() {
		x.release(record)
	}
}

func (x *keyedExchange) isAbandoned() bool {
	x.keys.mu.Lock()
	defer x.keys.mu.Unlock()
	return x.abandoned
}

// release frees the key of a claim that landed after its request was abandoned.
func (x *keyedExchange) release(claim messenger.KeyRecord) {
	claim.Id = uuid.NewString()
	claim.Type = messenger.KeyReleased
	if _, err := x.keys.append(claim); err != nil {
		x.entry.count("keys.release." + string(apricotwinch.KindOf(err)))
	}
}

func (x *keyedExchange) dispatch(ctx context.Context) {
	reply, err := x.entry.sendOnce(ctx, x.request, x.target, x.ticket)
	if err != nil {
		reply = replyOf(x.request.id, err)
	}
	x.event(func() { x.machine.Dispatched(reply) })
}

// replyOf returns the outcome that an error of a dispatch stands for.
func replyOf(id string, err error) messenger.DispatchReply {
	kind := apricotwinch.KindOf(err)
	outcome := messenger.OutcomeUnknown
	if kind.Answer().NotRun() {
		outcome = messenger.OutcomeRefused
	}
	return messenger.DispatchReply{Request: id, Outcome: outcome, Kind: string(kind), Text: err.Error()}
}

func (x *keyedExchange) ask(ctx context.Context, action deduplicator.Action) {
	target := action.Target()
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	var reply messenger.RevokeReply
	err := apricotwinch.Errorf(apricotwinch.Unreachable, "host %s is not known", target.Host())
	if host, ok := x.entry.members.lookup(target.Host()); ok {
		command := messenger.Revoke{Request: action.Request(), Incarnation: target.Incarnation(), TicketMillis: target.TicketMillis()}
		err = x.entry.pool.Call(ctx, host.Address, messenger.MethodRevoke, command, &reply)
	}
	if err != nil {
		x.entry.count("keys.ask." + string(apricotwinch.KindOf(err)))
	}
	x.event(func() { x.machine.Asked(action.Request(), reply, err) })
}

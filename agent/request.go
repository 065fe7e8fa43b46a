package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/arbiter"
	"apricotwinch/drainer"
	"apricotwinch/messenger"
)

const (
	// MaxBodyBytes bounds the body of a request and of its answer.
	MaxBodyBytes = 1 << 20
	// maxDeadlineMillis bounds the deadline of a request, in milliseconds.
	maxDeadlineMillis = 3_600_000
	// defaultKeepAnswers is how long a request that ended is remembered for an
	// entry that lost its answer.
	defaultKeepAnswers = time.Minute
	// maxExchanges bounds the requests that are known at once.
	maxExchanges = 100_000
	// maxAnswerBytes bounds the bodies of the answers that are kept.
	maxAnswerBytes = 32 << 20
	// queuePerSlot is the bound of a target's queue for each of its slots.
	queuePerSlot = 2
)

// requests passes requests of entries to the host's targets.
type requests struct {
	mu          *sync.Mutex
	clock       clockwork.Clock
	registry    metrics.Registry
	grace       time.Duration
	incarnation string
	origin      time.Time
	room        *arbiter.Arbiter
	targets     *targets
	exchanges   *exchanges
	drainer     *drainer.Drainer
}

// dispatch answers one request of an entry. A request id that is known joins the
// first dispatch of it.
func (r *requests) dispatch(ctx context.Context, d messenger.Dispatch) (messenger.DispatchReply, error) {
	if err := r.check(d); err != nil {
		r.countRefusal(err)
		reply := refused(err)
		reply.Request = d.Request
		return reply, nil
	}
	x := r.join(d)
	select {
	case <-x.answered:
	case <-ctx.Done():
		return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.Unknown, "request %s: %w", d.Request, ctx.Err())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := x.reply
	reply.Busy, reply.Queued = r.targets.load(x.service)
	return reply, nil
}

// check returns an error for a dispatch that can't be taken, whoever sent it.
func (r *requests) check(d messenger.Dispatch) error {
	if d.Incarnation != r.incarnation {
		return apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the request is for incarnation %q, this is %q", d.Incarnation, r.incarnation)
	}
	if d.Request == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "request: is missing")
	}
	if len(d.Body) > MaxBodyBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "body: %d bytes are over %d", len(d.Body), MaxBodyBytes)
	}
	if age := r.ticketAge(d.TicketMillis); age > r.exchanges.keep/2 {
		return apricotwinch.Errorf(apricotwinch.StaleView, "ticketMillis: the ticket is %s old, over %s", age, r.exchanges.keep/2)
	}
	_, err := apricotwinch.ParseUrgency(d.Urgency)
	return err
}

// ticketAge returns the age of a ticket of this agent.
func (r *requests) ticketAge(ticketMillis int) time.Duration {
	return r.clock.Since(r.origin) - time.Duration(ticketMillis)*time.Millisecond
}

// join returns the exchange of a request id, a new one when it isn't known.
func (r *requests) join(d messenger.Dispatch) *exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.exchanges.byID[d.Request]; known != nil {
		r.count("requests.joined")
		return known
	}
	now := r.clock.Now()
	urgency, _ := apricotwinch.ParseUrgency(d.Urgency)
	x := &exchange{
		request:  d,
		service:  serviceKey{team: d.Team, service: d.Service},
		urgency:  urgency,
		deadline: now.Add(time.Duration(min(d.DeadlineMillis, maxDeadlineMillis)) * time.Millisecond),
		answered: make(chan struct{}),
	}
	if !r.exchanges.add(now, x) {
		err := apricotwinch.Errorf(apricotwinch.Overloaded, "%d requests are known", maxExchanges)
		r.countRefusal(err)
		x.answer(refused(err))
		return x
	}
	if err := r.admit(now, x); err != nil {
		r.refuse(now, x, err)
	}
	return x
}

// admit sends x to its target, or queues it for a slot.
func (r *requests) admit(now time.Time, x *exchange) error {
	if !now.Before(x.deadline) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "deadlineMillis: the deadline passed before the request was sent")
	}
	leave, err := r.drainer.Enter()
	if err != nil {
		return err
	}
	x.leave = leave
	known, err := r.targets.find(x.service)
	if err != nil {
		return err
	}
	x.timer = r.clock.AfterFunc(x.deadline.Sub(now), func() { r.deadlinePassed(x) })
	if r.room.Acquire(x.service.String()) == nil {
		r.start(x)
		return nil
	}
	if shed := known.enqueue(x, queuePerSlot*known.announce.Slots); shed != nil {
		r.refuse(now, shed, apricotwinch.Errorf(apricotwinch.Overloaded, "service %s: the queue on this host is full", x.service))
	}
	return nil
}

// start sends x, which holds a slot.
func (r *requests) start(x *exchange) {
	x.state = sent
	go r.send(x)
}

// send passes x to its target and ends it with what came back.
func (r *requests) send(x *exchange) {
	known := r.lookup(x.service)
	started := r.clock.Now()
	reply := r.post(known, x)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known != nil && reply.Outcome == messenger.OutcomeAnswered {
		known.latencies.add(now, now.Sub(started))
	}
	r.countOutcome(reply)
	r.exchanges.end(now, x, reply)
	r.room.Release(x.service.String())
	r.pump(x.service)
}

func (r *requests) lookup(key serviceKey) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.byKey[key]
}

// announce takes a target's heartbeat and sends what waited for its slots.
func (r *requests) announce(now time.Time, message messenger.TargetAnnounce) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.targets.announce(now, message); err != nil {
		r.countRefusal(err)
		return err
	}
	r.pump(serviceKey{team: message.Team, service: message.Service})
	return nil
}

// pump starts waiting requests of key while there are slots.
func (r *requests) pump(key serviceKey) {
	known := r.targets.byKey[key]
	for known != nil && len(known.queue) > 0 && r.room.Acquire(key.String()) == nil {
		x := known.queue[0]
		known.queue = known.queue[1:]
		r.start(x)
	}
}

// deadlinePassed refuses x while it waits, and answers unknown while it runs; it
// keeps its slot until the target is done with it.
func (r *requests) deadlinePassed(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch x.state {
	case queued:
		r.withdraw(x, apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "the deadline passed while the request waited for a slot"))
	case sent:
		r.count("requests.deadline_while_running")
		x.answer(unknown(apricotwinch.Errorf(apricotwinch.Unknown, "the deadline passed while the target ran the request")))
	}
}

// withdraw refuses a request that waits.
func (r *requests) withdraw(x *exchange, err error) {
	if known := r.targets.byKey[x.service]; known != nil {
		known.dequeue(x)
	}
	r.refuse(r.clock.Now(), x, err)
}

func (r *requests) refuse(now time.Time, x *exchange, err error) {
	r.countRefusal(err)
	r.exchanges.end(now, x, refused(err))
}

// revoke withdraws a request that has not started. A request that isn't known is
// refused when it arrives later; but when its ticket is older than what the agent
// remembers, it may have run and been forgotten.
func (r *requests) revoke(_ context.Context, m messenger.Revoke) (messenger.RevokeReply, error) {
	if m.Incarnation != r.incarnation {
		return messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the request was sent to incarnation %q, this is %q", m.Incarnation, r.incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	revoked := apricotwinch.Errorf(apricotwinch.Revoked, "the entry withdrew the request")
	x := r.exchanges.byID[m.Request]
	if x == nil && r.ticketAge(m.TicketMillis) >= r.exchanges.keep {
		r.count("requests.forgotten")
		return messenger.RevokeReply{Forgotten: true}, nil
	}
	if x == nil {
		x = &exchange{request: messenger.Dispatch{Request: m.Request}, answered: make(chan struct{})}
		if !r.exchanges.add(now, x) {
			return messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.Overloaded, "%d requests are known", maxExchanges)
		}
		r.refuse(now, x, revoked)
		return messenger.RevokeReply{Revoked: true}, nil
	}
	if x.state == queued {
		r.withdraw(x, revoked)
	}
	if x.state != over {
		return messenger.RevokeReply{}, nil
	}
	reply := x.reply
	return messenger.RevokeReply{Revoked: x.notRun(), Reply: &reply}, nil
}

// expire drops silent targets and refuses the requests that waited for them.
func (r *requests) expire(now time.Time) {
	for _, x := range r.targets.expire(now) {
		r.refuse(now, x, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s: its target on this host is gone", x.service))
	}
	r.exchanges.sweep(now)
}

func (r *requests) count(name string) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(1)
}

func (r *requests) countRefusal(err error) {
	r.count(apricotwinch.KindOf(err).Answer().Counter())
}

func (r *requests) countOutcome(reply messenger.DispatchReply) {
	r.count("requests." + reply.Outcome)
	if reply.Outcome == messenger.OutcomeRefused {
		r.count(apricotwinch.Kind(reply.Kind).Answer().Counter())
	}
}

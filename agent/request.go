package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/drainer"
	"apricotwinch/messenger"
	"apricotwinch/reserver"
)

const (
	// MaxBodyBytes bounds the size of the body of a request and of its response, in bytes.
	MaxBodyBytes = 1 << 20
	// maxDeadlineMillis bounds the time until the deadline of a request, in milliseconds.
	maxDeadlineMillis = 3_600_000
	// defaultAnswerRetention is how long an ended request is kept, for an entry that did not receive
	// the reply.
	defaultAnswerRetention = time.Minute
	// maxExchanges bounds the number of requests that are known at a time, including ended ones.
	maxExchanges = 100_000
	// maxRetainedAnswerBytes bounds the total size of the bodies of kept replies, in bytes.
	maxRetainedAnswerBytes = 32 << 20
	// queuePerSlot is the number of requests that may wait for each slot of a target.
	queuePerSlot = 2
)

// requestForwarder forwards requests from entries to the host's targets.
type requestForwarder struct {
	mu           *sync.Mutex
	clock        clockwork.Clock
	registry     metrics.Registry
	grace        time.Duration
	incarnation  string
	ticketOrigin time.Time
	reservations *reserver.Reserver
	targets      *targets
	exchanges    *exchanges
	drainer      *drainer.Drainer
}

// dispatch handles one request of an entry. If the request ID is already known, it waits for the
// result of the first dispatch.
func (r *requestForwarder) dispatch(ctx context.Context, d messenger.Dispatch) (messenger.DispatchReply, error) {
	if err := r.check(d); err != nil {
		r.countRefusal(err)
		reply := refusedReply(err)
		reply.Request = d.Request
		return reply, nil
	}
	x := r.joinOrAdmit(d)
	select {
	case <-x.replied:
	case <-ctx.Done():
		return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.Unknown, "request %s: %w", d.Request, ctx.Err())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := x.reply
	reply.Busy, reply.Queued = r.targets.load(x.service)
	return reply, nil
}

// check returns an error if the agent can't accept the dispatch, whatever its service.
func (r *requestForwarder) check(dispatch messenger.Dispatch) error {
	if dispatch.Incarnation != r.incarnation {
		return apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the request is for incarnation %q, this is %q", dispatch.Incarnation, r.incarnation)
	}
	if dispatch.Request == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "request: is missing")
	}
	if len(dispatch.Body) > MaxBodyBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "body: %d bytes, the limit is %d", len(dispatch.Body), MaxBodyBytes)
	}
	if age := r.ticketAge(dispatch.TicketMillis); age > r.exchanges.retention/2 {
		return apricotwinch.Errorf(apricotwinch.StaleView, "ticketMillis: the ticket is %s old, the limit is %s", age, r.exchanges.retention/2)
	}
	_, err := apricotwinch.ParseUrgency(dispatch.Urgency)
	return err
}

// ticketAge returns the time since the agent issued a ticket. A ticket is the agent's clock in
// milliseconds since ticketOrigin.
func (r *requestForwarder) ticketAge(ticketMillis int) time.Duration {
	return r.clock.Since(r.ticketOrigin) - time.Duration(ticketMillis)*time.Millisecond
}

// joinOrAdmit returns the exchange of the request's ID, and admits the request if the ID is new.
func (r *requestForwarder) joinOrAdmit(d messenger.Dispatch) *exchange {
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
		replied:  make(chan struct{}),
	}
	if !r.exchanges.add(now, x) {
		err := apricotwinch.Errorf(apricotwinch.Overloaded, "the agent already tracks %d requests", maxExchanges)
		r.countRefusal(err)
		x.deliver(refusedReply(err))
		return x
	}
	if err := r.admit(now, x); err != nil {
		r.refuse(now, x, err)
	}
	return x
}

// admit sends x to its target, or queues it until a slot is free.
func (r *requestForwarder) admit(now time.Time, x *exchange) error {
	if !now.Before(x.deadline) {
		return apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "deadlineMillis: the deadline passed before the request was sent")
	}
	leave, err := r.drainer.Enter()
	if err != nil {
		return err
	}
	x.leaveDrainer = leave
	known, err := r.targets.find(x.service)
	if err != nil {
		return err
	}
	x.timer = r.clock.AfterFunc(x.deadline.Sub(now), func() { r.deadlinePassed(x) })
	if r.reservations.Acquire(x.service.String()) == nil {
		r.start(x)
		return nil
	}
	if shed := known.enqueue(x, queuePerSlot*known.announcement.Slots); shed != nil {
		r.refuse(now, shed, apricotwinch.Errorf(apricotwinch.Overloaded, "service %s: the queue on this host is full", x.service))
	}
	return nil
}

// start sends x, for which a slot has been acquired, in the background.
func (r *requestForwarder) start(x *exchange) {
	x.state = stateSent
	go r.send(x)
}

// send forwards x to its target, ends it with the result and starts the next queued request.
func (r *requestForwarder) send(x *exchange) {
	dest := r.lookup(x.service)
	started := r.clock.Now()
	reply := r.forward(dest, x)
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if dest != nil && reply.Outcome == messenger.OutcomeAnswered {
		dest.latencies.add(now, now.Sub(started))
	}
	r.countOutcome(reply)
	r.exchanges.end(now, x, reply)
	r.reservations.Release(x.service.String())
	r.startQueued(x.service)
}

func (r *requestForwarder) lookup(key serviceKey) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets.byKey[key]
}

// registerTarget handles a target's heartbeat and starts queued requests for which it has slots.
func (r *requestForwarder) registerTarget(now time.Time, message messenger.TargetAnnounce) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.targets.register(now, message); err != nil {
		r.countRefusal(err)
		return err
	}
	r.startQueued(serviceKey{team: message.Team, service: message.Service})
	return nil
}

// startQueued starts queued requests of key while slots are free.
func (r *requestForwarder) startQueued(key serviceKey) {
	known := r.targets.byKey[key]
	for known != nil && len(known.queue) > 0 && r.reservations.Acquire(key.String()) == nil {
		x := known.queue[0]
		known.queue = known.queue[1:]
		r.start(x)
	}
}

// deadlinePassed refuses x if it is queued. If x is running, its callers get an unknown outcome,
// and x keeps its slot until the target has finished.
func (r *requestForwarder) deadlinePassed(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch x.state {
	case stateQueued:
		r.withdraw(x, apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "the deadline passed while the request waited for a slot"))
	case stateSent:
		r.count("requests.deadline_while_running")
		x.deliver(unknownReply(apricotwinch.Errorf(apricotwinch.Unknown, "the deadline passed while the target ran the request")))
	}
}

// withdraw removes a queued request and refuses it.
func (r *requestForwarder) withdraw(x *exchange, err error) {
	if known := r.targets.byKey[x.service]; known != nil {
		known.dequeue(x)
	}
	r.refuse(r.clock.Now(), x, err)
}

func (r *requestForwarder) refuse(now time.Time, x *exchange, err error) {
	r.countRefusal(err)
	r.exchanges.end(now, x, refusedReply(err))
}

// revoke withdraws a request that has not started. An unknown request is recorded as revoked, so
// that it is refused if it arrives later. But if its ticket is older than the retention period,
// the request may have run and been removed, and the reply says that it is forgotten.
func (r *requestForwarder) revoke(_ context.Context, m messenger.Revoke) (messenger.RevokeReply, error) {
	if m.Incarnation != r.incarnation {
		return messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation,
			"the request was sent to incarnation %q, this is %q", m.Incarnation, r.incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	revoked := apricotwinch.Errorf(apricotwinch.Revoked, "the entry withdrew the request")
	x := r.exchanges.byID[m.Request]
	if x == nil && r.ticketAge(m.TicketMillis) >= r.exchanges.retention {
		r.count("requests.forgotten")
		return messenger.RevokeReply{Forgotten: true}, nil
	}
	if x == nil {
		x = &exchange{request: messenger.Dispatch{Request: m.Request}, replied: make(chan struct{})}
		if !r.exchanges.add(now, x) {
			return messenger.RevokeReply{}, apricotwinch.Errorf(apricotwinch.Overloaded, "the agent already tracks %d requests", maxExchanges)
		}
		r.refuse(now, x, revoked)
		return messenger.RevokeReply{Revoked: true}, nil
	}
	if x.state == stateQueued {
		r.withdraw(x, revoked)
	}
	if x.state != stateEnded {
		return messenger.RevokeReply{}, nil
	}
	reply := x.reply
	return messenger.RevokeReply{Revoked: x.notRun(), Reply: &reply}, nil
}

// expire removes targets that sent no heartbeat in time, refuses the requests queued for them, and
// removes ended requests after the retention period.
func (r *requestForwarder) expire(now time.Time) {
	for _, x := range r.targets.expire(now) {
		r.refuse(now, x, apricotwinch.Errorf(apricotwinch.NoTarget, "service %s: its target on this host is no longer registered", x.service))
	}
	r.exchanges.removeExpired(now)
}

func (r *requestForwarder) count(name string) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(1)
}

func (r *requestForwarder) countRefusal(err error) {
	r.count(apricotwinch.KindOf(err).ErrorResponse().Counter())
}

func (r *requestForwarder) countOutcome(reply messenger.DispatchReply) {
	r.count("requests." + reply.Outcome)
	if reply.Outcome == messenger.OutcomeRefused {
		r.count(apricotwinch.Kind(reply.Kind).ErrorResponse().Counter())
	}
}

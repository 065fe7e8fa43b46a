package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/retrier"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

// Headers of the interface to callers.
const (
	headerKey        = "Idempotency-Key"
	headerIdempotent = "X-Idempotent"
	headerDeadline   = "X-Timeout-Millis"
	headerUrgency    = "X-Urgency"
	headerRequest    = "X-Request-Id"
	headerErrorKind  = "X-Error-Kind"
)

// Limits of a request.
const (
	maxTimeout    = 10 * time.Minute
	maxKeyBytes   = 256
	revokeTimeout = time.Second
	// answerGrace is how long after its deadline a target's answer is still awaited.
	answerGrace = 100 * time.Millisecond
	// minTryTimeout is the least timeout of a try, unless less time is left.
	minTryTimeout = 100 * time.Millisecond
)

func init() {
	register("POST /v1/services/{service}/requests", (*Entry).serveRequest)
}

// request is one request of a caller on its way to a target.
type request struct {
	id          string
	service     tracker.Service
	urgency     apricotwinch.Urgency
	idempotent  bool
	deadline    time.Time
	contentType string
	key         string
	body        []byte
	// maxAttempts bounds the tries; 0 leaves it to the retrier.
	maxAttempts int
	tried       []string
}

// serveRequest answers a caller's request to a service.
func (e *Entry) serveRequest(c *call) error {
	r, err := e.newRequest(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), r.deadline.Add(answerGrace))
	defer cancel()
	c.writer.Header().Set(headerRequest, r.id)
	started := e.clock.Now()
	reply, err := e.answer(ctx, r)
	if err != nil {
		return err
	}
	e.observeLatency(r, e.clock.Since(started))
	return writeReply(c.writer, reply)
}

// answer returns the answer to a request. A request with an idempotency key runs at
// most once; any other may be tried at several targets.
func (e *Entry) answer(ctx context.Context, r *request) (messenger.DispatchReply, error) {
	if r.key == "" {
		return e.withAdmission(r, func() (messenger.DispatchReply, error) { return e.sendWithRetries(ctx, r) })
	}
	keyed := e.newKeyedRequest(r)
	if reply, settled := keyed.recordedAnswer(); settled {
		return reply, nil
	}
	reply, err := e.withAdmission(r, func() (messenger.DispatchReply, error) { return e.answerKeyed(ctx, keyed) })
	if apricotwinch.KindOf(err) == apricotwinch.NoTarget {
		reply, err = keyed.awaitDuplicate(ctx, err)
	}
	return reply, keyed.callerError(err)
}

// withAdmission calls answer while the request counts against the limits of the entry.
func (e *Entry) withAdmission(r *request, answer func() (messenger.DispatchReply, error)) (messenger.DispatchReply, error) {
	release, err := e.admission.admit(r.service, r.urgency)
	if err != nil {
		return messenger.DispatchReply{}, err
	}
	defer release()
	return answer()
}

func writeReply(w http.ResponseWriter, reply messenger.DispatchReply) error {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
	return nil
}

// newRequest reads and checks a caller's request to a service.
func (e *Entry) newRequest(c *call) (*request, error) {
	team, err := c.team()
	if err != nil {
		return nil, err
	}
	service, ok := e.settingsStream.current().Service(team, c.PathValue("service"))
	if !ok {
		return nil, apricotwinch.Errorf(apricotwinch.NotFound, "service: %s has no service %q", team, c.PathValue("service"))
	}
	e.fleet.setService(service)
	r := &request{
		maxAttempts: service.MaxAttempts(),
		id:          uuid.NewString(),
		service:     tracker.NewService(team, service.Name()),
		urgency:     service.Urgency(),
		contentType: c.Header.Get("Content-Type"),
	}
	if r.deadline, err = e.parseDeadline(c, service.Timeout()); err != nil {
		return nil, err
	}
	if err := c.readOptions(r); err != nil {
		return nil, err
	}
	r.body, err = c.readBody()
	return r, err
}

// readOptions reads the headers that change how a request is handled.
func (c *call) readOptions(r *request) (err error) {
	if r.key, err = c.idempotencyKey(); err != nil {
		return err
	}
	if text := c.Header.Get(headerIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %q is not true or false", headerIdempotent, text)
		}
		r.idempotent = idempotent
	}
	if r.idempotent && r.key != "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: can't be combined with %s", headerIdempotent, headerKey)
	}
	if text := c.Header.Get(headerUrgency); text != "" {
		urgency, err := apricotwinch.ParseUrgency(text)
		if err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", headerUrgency, err)
		}
		r.urgency = min(r.urgency, urgency)
	}
	return nil
}

func (e *Entry) parseDeadline(c *call, defaultTimeout time.Duration) (time.Time, error) {
	now := e.clock.Now()
	text := c.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(defaultTimeout), nil
	}
	timeout, err := strconv.Atoi(text)
	if err != nil || timeout < 1 || int64(timeout) > maxTimeout.Milliseconds() {
		return time.Time{}, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %q is not a number from 1 to %d", headerDeadline, text, maxTimeout.Milliseconds())
	}
	return now.Add(time.Duration(timeout) * time.Millisecond), nil
}

// sendWithRetries sends a request to one target after another until one answers or the
// retrier allows no further try.
func (e *Entry) sendWithRetries(ctx context.Context, r *request) (messenger.DispatchReply, error) {
	var callerErr error
	for number := 1; ; number++ {
		target, err := e.fleet.choose(r, e.settings.DataCentre)
		if err != nil {
			return messenger.DispatchReply{}, retrier.CombineErrors(callerErr, err)
		}
		if number == 1 {
			e.admission.recordFirstTry(r.service.Team(), target.Host())
		}
		reply, err := e.send(ctx, r, target)
		if err == nil {
			return reply, nil
		}
		callerErr = retrier.CombineErrors(callerErr, err)
		r.tried = append(r.tried, target.Host())
		try := retrier.NewTry(r.service.Team(), target.Host(), number, r.idempotent, r.deadline, apricotwinch.KindOf(err))
		decision := e.admission.decideRetry(try)
		if !decision.Retry() || e.attemptsExhausted(r, number) || !e.sleepUntil(ctx, decision.At()) {
			return messenger.DispatchReply{}, callerErr
		}
	}
}

// attemptsExhausted reports whether a request was tried as often as its service allows.
func (e *Entry) attemptsExhausted(r *request, tries int) bool {
	if r.maxAttempts == 0 || tries < r.maxAttempts {
		return false
	}
	e.count("requests.max_attempts")
	return true
}

func (e *Entry) sleepUntil(ctx context.Context, at time.Time) bool {
	timer := e.clock.NewTimer(at.Sub(e.clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// send makes one try at a target. A try of an idempotent request gets half of the time
// left, so that another target can still answer. For any other request, an unknown
// outcome is resolved by revoking it.
func (e *Entry) send(ctx context.Context, r *request, target router.Target) (messenger.DispatchReply, error) {
	left, err := e.admission.remaining(r.deadline)
	if err != nil {
		return messenger.DispatchReply{}, err
	}
	ticket := e.fleet.ticket(target.Host())
	if r.idempotent {
		return e.dispatch(ctx, r, target, max(left/2, min(left, minTryTimeout)), ticket)
	}
	reply, err := e.dispatch(ctx, r, target, left, ticket)
	if apricotwinch.KindOf(err) == apricotwinch.Unknown && reply.Outcome == "" {
		return e.revoke(r.id, target, ticket)
	}
	return reply, err
}

// sendKeyed sends a keyed request; its outcome may be unknown.
func (e *Entry) sendKeyed(ctx context.Context, r *request, target router.Target, ticket int) (messenger.DispatchReply, error) {
	left, err := e.admission.remaining(r.deadline)
	if err != nil {
		return messenger.DispatchReply{}, err
	}
	return e.dispatch(ctx, r, target, left, ticket)
}

// dispatch sends a request to its target through the agent and reports the outcome to
// the router.
func (e *Entry) dispatch(ctx context.Context, r *request, target router.Target, left time.Duration, ticket int) (messenger.DispatchReply, error) {
	command := messenger.Dispatch{
		Request:        r.id,
		Incarnation:    target.Incarnation(),
		TicketMillis:   ticket,
		Service:        r.service.Name(),
		Team:           r.service.Team(),
		Urgency:        r.urgency.String(),
		Idempotent:     r.idempotent,
		DeadlineMillis: int(left.Milliseconds()),
		ContentType:    r.contentType,
		Body:           r.body,
	}
	ctx, cancel := context.WithTimeout(ctx, left+answerGrace)
	defer cancel()
	started := e.clock.Now()
	e.fleet.requestSent(target)
	var reply messenger.DispatchReply
	err := e.pool.Call(ctx, target.Address(), messenger.MethodDispatch, command, &reply)
	if err == nil {
		reply, err = outcomeError(reply)
	}
	e.fleet.requestEnded(target, e.clock.Since(started), apricotwinch.KindOf(err), reply)
	return reply, err
}

// outcomeError returns reply, with an error of its kind if it is a refusal or its
// outcome is unknown.
func outcomeError(reply messenger.DispatchReply) (messenger.DispatchReply, error) {
	if reply.Outcome == messenger.OutcomeAnswered {
		return reply, nil
	}
	kind := apricotwinch.Kind(reply.Kind)
	if reply.Outcome == messenger.OutcomeUnknown {
		kind = apricotwinch.Unknown
	}
	return reply, apricotwinch.Errorf(kind, "%s", reply.Text)
}

// revoke asks the agent about a request whose answer was lost. The agent revokes a
// request that has not started and returns the answer of one that has ended.
func (e *Entry) revoke(id string, target router.Target, ticket int) (messenger.DispatchReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	var reply messenger.RevokeReply
	command := messenger.Revoke{Request: id, Incarnation: target.Incarnation(), TicketMillis: ticket}
	err := e.pool.Call(ctx, target.Address(), messenger.MethodRevoke, command, &reply)
	switch {
	case err != nil:
		e.count("revoke.error." + string(apricotwinch.KindOf(err)))
		return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.Unknown, "request %s: the outcome is not known: %w", id, err)
	case reply.Revoked:
		e.count("revoke.revoked")
		return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.Revoked, "request %s: withdrawn before it started", id)
	case reply.Reply != nil:
		e.count("revoke.answered")
		return outcomeError(*reply.Reply)
	default:
		e.count("revoke.unknown")
		return messenger.DispatchReply{}, apricotwinch.Errorf(apricotwinch.Unknown, "request %s: the outcome is not known", id)
	}
}

package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/cataloger"
	"apricotwinch/messenger"
)

// Limits of the requests to the advice service.
const (
	// maxRequestExecutors bounds the executors in one request: the service takes time for each
	// of them, and users expect one request of that size for each step.
	maxRequestExecutors = 30
	// costNoRoom ranks executors without room after all others. They are asked about only if
	// their ticket has expired.
	costNoRoom = 1000
	// ticketMargin is the least time for which a ticket must still be valid to start a run with
	// it.
	ticketMargin = 300 * time.Millisecond
	// adviceBackoff is the delay after a failed request; it doubles with each failure in a row,
	// up to adviceMaxBackoff.
	adviceBackoff    = 100 * time.Millisecond
	adviceMaxBackoff = 2 * time.Second
)

// AdviceRequest asks the advice service which executors may run a step.
type AdviceRequest struct {
	// Step identifies the step; its Index is not used.
	Step messenger.TaskRef
	// Executors holds the ids of the executors.
	Executors []string
	// ExpectedDuration is how long the service is expected to take for the answer.
	ExpectedDuration time.Duration
}

// advice holds the answers of the advice service about a step, by the id of the executor.
type advice struct {
	tickets map[string]ticket
	// denied is true for executors that may not run the step. They are not asked about again, as
	// a denial is final.
	denied map[string]bool
}

// ticket is the permission to run a step on one incarnation of an executor.
type ticket struct {
	incarnation int
	text        string
	expiresAt   time.Time
}

// validTicket returns the ticket of a step for an executor, if there is a valid one.
func (s *step) validTicket(now time.Time, e *executor) (string, bool) {
	t, ok := s.advice.tickets[e.id]
	if !ok || t.incarnation != e.incarnation || now.Add(ticketMargin).After(t.expiresAt) {
		return "", false
	}
	return t.text, true
}

// scheduleAdvised starts waiting tasks of a step on the executors for which it has a valid ticket. If these
// don't take all of them, it requests advice about others that have room.
func (p *schedulingPass) scheduleAdvised(s *step, q *cataloger.Queue) {
	c := p.conductor
	var allowed, unknown []*executor
	unknownHasRoom := false
	idle := p.mayStartIdle(s, q.Service)
	for _, e := range p.pool(q.Service) {
		if _, valid := s.validTicket(p.now, e); valid {
			allowed = append(allowed, e)
			continue
		}
		_, hadTicket := s.advice.tickets[e.id]
		fits := c.fits(s, e) && c.respectsReservation(p.now, s, e) || idle && p.admitsIdle(s, e)
		if !s.advice.denied[e.id] && (fits || hadTicket) {
			unknown = append(unknown, e)
			unknownHasRoom = unknownHasRoom || fits
		}
	}
	s.blockedAt = time.Time{}
	p.updateRoomy(s, allowed)
	if p.startTasks(s, q.Service, allowed) {
		return
	}
	s.blockedAt = p.now // Its waiting tasks claim no room from others.
	if unknownHasRoom {
		c.requestAdvice(p.now, s, q, unknown)
	}
	p.startIdle(s, q.Service, allowed)
	if !unknownHasRoom {
		p.reserveRoom(s, q.Service, allowed)
	}
}

// requestAdvice sets the pending request about executors that the step has no ticket for. It does nothing if
// there is one already, as the service takes one at a time, or while it backs off after a failure. Steps are
// tried in order, so the first one that needs advice gets it.
func (c *Conductor) requestAdvice(now time.Time, s *step, q *cataloger.Queue, unknown []*executor) {
	if c.pendingRequest != nil || now.Before(c.nextAdviceAt) {
		return
	}
	first := s.tasks[0]
	rank := func(e *executor) float64 {
		if !c.fits(s, e) {
			return costNoRoom + c.cost(now, first, e)
		}
		return c.cost(now, first, e)
	}
	slices.SortStableFunc(unknown, func(a, b *executor) int { return cmp.Compare(rank(a), rank(b)) })
	request := &AdviceRequest{Step: first.ref}
	for _, e := range unknown[:min(len(unknown), requestSize(q))] {
		request.Executors = append(request.Executors, e.id)
	}
	request.ExpectedDuration = q.AdviceDecide + time.Duration(len(request.Executors))*q.AdviceEach
	c.pendingRequest = request
	c.count("advice.asked")
}

// requestSize returns how many executors a request may name: at most so many that the tickets are valid for as
// long after the answer as it takes, as each counts from the request on.
func requestSize(q *cataloger.Queue) int {
	size := maxRequestExecutors
	if q.AdviceEach > 0 && q.TicketLife > 0 {
		size = min(size, int((q.TicketLife/2-q.AdviceDecide)/q.AdviceEach))
	}
	return max(1, size)
}

// TakeAdviceRequest returns the request to send to the advice service, if there is one that was not
// taken yet. Its answer must be passed to HandleAdvice.
func (c *Conductor) TakeAdviceRequest() (AdviceRequest, bool) {
	if c.pendingRequest == nil || c.requestSent {
		return AdviceRequest{}, false
	}
	c.requestSent = true
	return *c.pendingRequest, true
}

// HandleAdvice processes the answer to a request that was sent at the time sent: a ticket for each
// executor that may run the step, by its id, or the error of a failed request.
func (c *Conductor) HandleAdvice(now, sent time.Time, q AdviceRequest, tickets map[string]string, err error) {
	c.pendingRequest, c.requestSent = nil, false
	if err != nil {
		c.nextAdviceAt = now.Add(apricotwinch.ExponentialBackoff(adviceBackoff, adviceMaxBackoff, c.adviceFailures))
		c.adviceFailures++
		c.count("advice.failed." + string(apricotwinch.KindOf(err)))
		c.logger.Info("advice failed", "step", q.Step, "executors", len(q.Executors), "kind", string(apricotwinch.KindOf(err)), "error", err)
		return
	}
	c.adviceFailures = 0
	c.logger.Info("advice", "step", q.Step, "asked", len(q.Executors), "allowed", len(tickets))
	w := c.workloads[q.Step.Workload]
	if w == nil {
		return
	}
	t := w.task(q.Step)
	queue, ok := c.queue(w)
	if t == nil || !ok {
		return
	}
	a := &t.step.advice
	if a.tickets == nil {
		a.tickets, a.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range q.Executors {
		text, allowed := tickets[id]
		if e := c.executor(id); e != nil && allowed {
			a.tickets[id] = ticket{incarnation: e.incarnation, text: text, expiresAt: sent.Add(queue.TicketLife)}
		}
		a.denied[id] = !allowed
	}
}

// executor returns the executor with the given id, or nil.
func (c *Conductor) executor(id string) *executor {
	for _, h := range c.hosts {
		if e := h.executors[id]; e != nil {
			return e
		}
	}
	return nil
}

package conductor

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/cataloger"
	"apricotwinch/messenger"
)

// Bounds of the questions to the advice service.
const (
	// maxAsked is the number of executors in one question: each takes the service time,
	// and users expect one question of that size for each step.
	maxAsked = 30
	// costFull puts executors without room last, with those whose ticket has lapsed.
	costFull = 1000
	// ticketMargin is the least time that a ticket must still be valid for a start.
	ticketMargin = 300 * time.Millisecond
	// adviceBackoff is the delay after a question that failed; it doubles with each in a
	// row, up to adviceMaxBackoff.
	adviceBackoff    = 100 * time.Millisecond
	adviceMaxBackoff = 2 * time.Second
)

// Question asks the advice service which executors may run a step.
type Question struct {
	// Step names the step; its index is not used.
	Step messenger.TaskRef
	// Executors are the ids of the executors.
	Executors []string
	// Takes is how long the service needs.
	Takes time.Duration
}

// advice is what is known of the executors that may run a step.
type advice struct {
	tickets map[string]ticket
	// denied holds the executors that may not; that doesn't change.
	denied map[string]bool
}

// ticket is the permission to run a step on one life of an executor.
type ticket struct {
	born  int
	text  string
	until time.Time
}

// valid returns the ticket of a step for an executor, if there is one.
func (s *step) valid(now time.Time, e *executor) (string, bool) {
	t, ok := s.advice.tickets[e.id]
	if !ok || t.born != e.born || now.Add(ticketMargin).After(t.until) {
		return "", false
	}
	return t.text, true
}

// advised returns the executors of a pool for which a step has a ticket, and notes the
// question to ask when there are too few.
func (c *Conductor) advised(now time.Time, s *step, q *cataloger.Queue, pool []*executor) []*executor {
	var allowed, unknown []*executor
	roomy, worth := false, false
	for _, e := range pool {
		_, valid := s.valid(now, e)
		_, lapsed := s.advice.tickets[e.id]
		fits := c.fits(s, e)
		switch {
		case valid:
			allowed = append(allowed, e)
			roomy = roomy || fits
		case !s.advice.denied[e.id] && (fits || lapsed):
			unknown = append(unknown, e)
			worth = worth || fits
		}
	}
	if !roomy && worth {
		c.ask(now, s, q, unknown)
	}
	return allowed
}

// ask notes a question, unless another one is under way: the service takes one at a
// time. The first step in order gets it.
func (c *Conductor) ask(now time.Time, s *step, q *cataloger.Queue, unknown []*executor) {
	if c.question != nil || now.Before(c.askAgainAt) {
		return
	}
	first := s.tasks[0]
	rank := func(e *executor) float64 {
		if !c.fits(s, e) {
			return costFull + c.cost(now, first, e)
		}
		return c.cost(now, first, e)
	}
	slices.SortStableFunc(unknown, func(a, b *executor) int { return cmp.Compare(rank(a), rank(b)) })
	question := &Question{Step: first.ref}
	for _, e := range unknown[:min(len(unknown), maxAsked)] {
		question.Executors = append(question.Executors, e.id)
	}
	question.Takes = q.AdviceDecide + time.Duration(len(question.Executors))*q.AdviceEach
	c.question = question
	c.count("advice.asked")
}

// TakeQuestion returns the question that must be asked now, if there is one. Its answer
// goes to Advised.
func (c *Conductor) TakeQuestion() (Question, bool) {
	if c.question == nil || c.questionTaken {
		return Question{}, false
	}
	c.questionTaken = true
	return *c.question, true
}

// Advised takes the answer to a question that was asked at sent: a ticket for each
// executor that may run the step, or why there is none.
func (c *Conductor) Advised(now, sent time.Time, q Question, tickets map[string]string, err error) {
	c.question, c.questionTaken = nil, false
	if err != nil {
		c.askAgainAt = now.Add(apricotwinch.Doubled(adviceBackoff, adviceMaxBackoff, c.askFailures))
		c.askFailures++
		c.count("advice.failed." + string(apricotwinch.KindOf(err)))
		c.logger.Info("advice failed", "step", q.Step, "executors", len(q.Executors), "kind", string(apricotwinch.KindOf(err)), "error", err)
		return
	}
	c.askFailures = 0
	c.logger.Info("advice", "step", q.Step, "asked", len(q.Executors), "allowed", len(tickets))
	w := c.jobs[q.Step.Workload]
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
			a.tickets[id] = ticket{born: e.born, text: text, until: sent.Add(queue.TicketLife)}
		}
		a.denied[id] = !allowed
	}
}

// executor returns the executor with an id, or nil.
func (c *Conductor) executor(id string) *executor {
	for _, h := range c.hosts {
		if e := h.executors[id]; e != nil {
			return e
		}
	}
	return nil
}

package custodian

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
)

// underWayStarts holds the starts under one id of an executor that may still be carried out, by any incarnation.
type underWayStarts struct {
	unanswered map[messenger.RunRef]*unansweredStart
	// answeredAt is when the last answer came.
	answeredAt time.Time
	// inherited is whether an earlier agent started runs, which may have left starts without an answer.
	inherited bool
}

// unansweredStart is a start without an answer.
type unansweredStart struct {
	calls int
	// until is when the last of the calls can't be carried out any more.
	until time.Time
}

// durableEnds are the ends through a number, which were known to be durable at a time.
type durableEnds struct {
	through int
	at      time.Time
}

// startsTo returns the starts under an id of an executor.
func (c *Custodian) startsTo(id string) *underWayStarts {
	s := c.starts[id]
	if s == nil {
		s = &underWayStarts{unanswered: map[messenger.RunRef]*unansweredStart{}}
		c.starts[id] = s
	}
	return s
}

// begin records that a start is about to be sent, which can be carried out before until.
func (s *underWayStarts) begin(ref messenger.RunRef, until time.Time) {
	if s.unanswered[ref] == nil {
		s.unanswered[ref] = &unansweredStart{}
	}
	s.unanswered[ref].calls++
	s.unanswered[ref].until = until
}

// end records the outcome of a start.
func (s *underWayStarts) end(now time.Time, ref messenger.RunRef, kind apricotwinch.Kind) {
	if mayBeCarriedOut(kind) {
		return
	}
	s.answeredAt = now
	if u := s.unanswered[ref]; u != nil {
		u.calls--
		if u.calls == 0 {
			delete(s.unanswered, ref)
		}
	}
}

// list records that an executor has listed a run for the first time, before a start of it was answered.
func (s *underWayStarts) list(r *run) {
	if r == nil {
		s.inherited = true
		return
	}
	if u := s.unanswered[r.order.Run]; u != nil && u.calls == 1 && r.confirmedAt.IsZero() {
		delete(s.unanswered, r.order.Run)
	}
}

// underWay reports whether a start may still be carried out.
func (s *underWayStarts) underWay(now time.Time) bool {
	for ref, u := range s.unanswered {
		if now.Before(u.until) {
			return true
		}
		delete(s.unanswered, ref)
	}
	return false
}

// forgetStarts forgets the starts under the ids of executors that have ended.
func (c *Custodian) forgetStarts(now time.Time) {
	for id, s := range c.starts {
		if c.executors[id] == nil && !s.underWay(now) {
			delete(c.starts, id)
		}
	}
}

// nextAcknowledgment returns the number of the last end to acknowledge to an executor; 0 for none. Its next
// incarnation numbers its ends anew, and may carry out the acknowledgment: it would drop the unheard end of a run that
// a start for this incarnation began there. Nor must the end of a run be acknowledged while a repeated start of it may
// begin the run there once more. So ends wait while starts may be under way, but not for longer than
// Config.MaxAckDelay, nor in a list that may hide others because it is full or has a row that can't be read.
func (c *Custodian) nextAcknowledgment(now time.Time, e *executor) int {
	through := min(e.durableEnd, e.doubt.ackLimit())
	if through <= e.ackedEnd || !e.confirmed {
		return 0
	}
	if e.endsIncomplete || e.doubt.unreadable || !c.mayHaveStartUnderWay(now, e) {
		return through
	}
	waited := 0
	for _, d := range e.durable {
		if now.Sub(d.at) >= c.config.MaxAckDelay {
			waited = min(through, d.through)
		}
	}
	if waited <= e.ackedEnd {
		metrics.GetOrRegisterCounter("acknowledgments.delayed", c.registry).Inc(1)
		return 0
	}
	return waited
}

// mayHaveStartUnderWay reports whether a start may be under way to an executor. The next incarnation may have given
// the last answers unless this one has answered a hold that was sent after them.
func (c *Custodian) mayHaveStartUnderWay(now time.Time, e *executor) bool {
	s := c.startsTo(e.ID)
	inherited := s.inherited && now.Before(c.startedAt.Add(c.config.MaxCallDelay))
	return s.underWay(now) || inherited || e.answeredHoldAt.Before(s.answeredAt)
}

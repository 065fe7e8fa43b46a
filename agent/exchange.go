package agent

import (
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/messenger"
)

// exchangeState is the stage of a request.
type exchangeState int

const (
	// stateQueued means that the request waits for a slot.
	stateQueued exchangeState = iota
	// stateSent means that the request may have reached its target.
	stateSent
	// stateEnded means that the request has ended.
	stateEnded
)

// exchange is one request and its reply.
type exchange struct {
	request      messenger.Dispatch
	service      serviceKey
	urgency      apricotwinch.Urgency
	deadline     time.Time
	state        exchangeState
	timer        clockwork.Timer
	leaveDrainer func()
	replied      chan struct{}
	reply        messenger.DispatchReply
	endedAt      time.Time
}

// deliver sets the reply and wakes the callers that wait for it. A later reply replaces an
// earlier one.
func (x *exchange) deliver(reply messenger.DispatchReply) {
	reply.Request = x.request.Request
	x.reply = reply
	select {
	case <-x.replied:
	default:
		close(x.replied)
	}
}

// notRun reports whether the request ended without having run.
func (x *exchange) notRun() bool {
	return x.state == stateEnded && x.reply.Outcome == messenger.OutcomeRefused
}

// exchanges holds requests by ID, and ended ones for the retention period. The number of requests
// and the total size of kept bodies are bounded.
type exchanges struct {
	retention time.Duration
	maxCount  int
	maxBytes  int

	byID       map[string]*exchange
	ended      []*exchange
	bodyBytes  int
	nextToTrim int
}

func newExchanges(retention time.Duration, maxCount, maxBytes int) *exchanges {
	return &exchanges{retention: retention, maxCount: maxCount, maxBytes: maxBytes, byID: make(map[string]*exchange)}
}

// add stores a new exchange. It reports false when maxCount exchanges are stored.
func (e *exchanges) add(now time.Time, x *exchange) bool {
	e.removeExpired(now)
	if len(e.byID) >= e.maxCount {
		return false
	}
	e.byID[x.request.Request] = x
	return true
}

// end ends x with reply and keeps it for the retention period.
func (e *exchanges) end(now time.Time, x *exchange, reply messenger.DispatchReply) {
	x.state = stateEnded
	x.endedAt = now
	x.request.Body = nil
	if x.timer != nil {
		x.timer.Stop()
	}
	x.deliver(reply)
	if x.leaveDrainer != nil {
		x.leaveDrainer()
	}
	e.ended = append(e.ended, x)
	e.bodyBytes += len(reply.Body)
	e.trimBodies()
}

// trimBodies drops the oldest reply bodies while their total size is over maxBytes. A later query
// for such a request gets an unknown outcome.
func (e *exchanges) trimBodies() {
	for e.bodyBytes > e.maxBytes && e.nextToTrim < len(e.ended) {
		x := e.ended[e.nextToTrim]
		e.nextToTrim++
		if len(x.reply.Body) == 0 {
			continue
		}
		e.bodyBytes -= len(x.reply.Body)
		x.reply = unknownReply(apricotwinch.Errorf(apricotwinch.Unknown, "the request ran, but its response is no longer kept"))
		x.reply.Request = x.request.Request
	}
}

// removeExpired removes exchanges that ended at least the retention period ago.
func (e *exchanges) removeExpired(now time.Time) {
	expired := 0
	for expired < len(e.ended) && now.Sub(e.ended[expired].endedAt) >= e.retention {
		x := e.ended[expired]
		e.bodyBytes -= len(x.reply.Body)
		delete(e.byID, x.request.Request)
		e.ended[expired] = nil
		expired++
	}
	e.ended = e.ended[expired:]
	e.nextToTrim = max(0, e.nextToTrim-expired)
}

// refusedReply returns the reply for a request that provably did not run.
func refusedReply(err error) messenger.DispatchReply {
	return messenger.DispatchReply{
		Outcome: messenger.OutcomeRefused,
		Kind:    string(apricotwinch.KindOf(err)),
		Text:    err.Error(),
	}
}

// unknownReply returns the reply for a request that may or may not have run.
func unknownReply(err error) messenger.DispatchReply {
	return messenger.DispatchReply{
		Outcome: messenger.OutcomeUnknown,
		Kind:    string(apricotwinch.KindOf(err)),
		Text:    err.Error(),
	}
}

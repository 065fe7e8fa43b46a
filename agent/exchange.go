package agent

import (
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/messenger"
)

// exchangeState is where a request stands.
type exchangeState int

const (
	// queued is a request that waits for a slot.
	queued exchangeState = iota
	// sent is a request that may have reached its target.
	sent
	// over is a request that ended.
	over
)

// exchange is one request and its answer.
type exchange struct {
	request  messenger.Dispatch
	service  serviceKey
	urgency  apricotwinch.Urgency
	deadline time.Time
	state    exchangeState
	timer    clockwork.Timer
	leave    func()
	answered chan struct{}
	reply    messenger.DispatchReply
	endedAt  time.Time
}

// answer gives the reply to those who wait; a later one replaces it.
func (x *exchange) answer(reply messenger.DispatchReply) {
	reply.Request = x.request.Request
	x.reply = reply
	select {
	case <-x.answered:
	default:
		close(x.answered)
	}
}

// notRun reports whether the request ended without having run.
func (x *exchange) notRun() bool {
	return x.state == over && x.reply.Outcome == messenger.OutcomeRefused
}

// exchanges keeps requests by id, ended ones for a while, within bounds.
type exchanges struct {
	keep     time.Duration
	maxCount int
	maxBytes int

	byID  map[string]*exchange
	ended []*exchange
	bytes int
	next  int
}

func newExchanges(keep time.Duration, maxCount, maxBytes int) *exchanges {
	return &exchanges{keep: keep, maxCount: maxCount, maxBytes: maxBytes, byID: make(map[string]*exchange)}
}

// add keeps a new exchange; it reports false when there is no room.
func (e *exchanges) add(now time.Time, x *exchange) bool {
	e.sweep(now)
	if len(e.byID) >= e.maxCount {
		return false
	}
	e.byID[x.request.Request] = x
	return true
}

// end ends x with reply.
func (e *exchanges) end(now time.Time, x *exchange, reply messenger.DispatchReply) {
	x.state = over
	x.endedAt = now
	x.request.Body = nil
	if x.timer != nil {
		x.timer.Stop()
	}
	x.answer(reply)
	if x.leave != nil {
		x.leave()
	}
	e.ended = append(e.ended, x)
	e.bytes += len(reply.Body)
	e.trim()
}

// trim drops the oldest bodies over the bound; their outcome is then unknown to
// whoever asks later.
func (e *exchanges) trim() {
	for e.bytes > e.maxBytes && e.next < len(e.ended) {
		x := e.ended[e.next]
		e.next++
		if len(x.reply.Body) == 0 {
			continue
		}
		e.bytes -= len(x.reply.Body)
		x.reply = unknown(apricotwinch.Errorf(apricotwinch.Unknown, "the request ran; its answer is no longer kept"))
		x.reply.Request = x.request.Request
	}
}

// sweep forgets exchanges that ended long ago.
func (e *exchanges) sweep(now time.Time) {
	drop := 0
	for drop < len(e.ended) && now.Sub(e.ended[drop].endedAt) >= e.keep {
		x := e.ended[drop]
		e.bytes -= len(x.reply.Body)
		delete(e.byID, x.request.Request)
		e.ended[drop] = nil
		drop++
	}
	e.ended = e.ended[drop:]
	e.next = max(0, e.next-drop)
}

// refused returns the reply for a request that provably did not run.
func refused(err error) messenger.DispatchReply {
	return messenger.DispatchReply{
		Outcome: messenger.OutcomeRefused,
		Kind:    string(apricotwinch.KindOf(err)),
		Text:    err.Error(),
	}
}

// unknown returns the reply for a request that may or may not have run.
func unknown(err error) messenger.DispatchReply {
	return messenger.DispatchReply{
		Outcome: messenger.OutcomeUnknown,
		Kind:    string(apricotwinch.KindOf(err)),
		Text:    err.Error(),
	}
}

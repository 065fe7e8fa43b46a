package gauger

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// host simulates a target: slots that serve requests and a queue in front of them.
type host struct {
	model       *model
	number      int
	name        string
	dataCentre  string
	incarnation int
	sequence    int

	slowdown float64 // factor on the service times
	failing  bool
	down     bool

	running           []*attempt
	queue             []*attempt
	meanLatencyMicros float64 // exponentially weighted mean
}

func newHost(m *model, number int) *host {
	return &host{
		model:      m,
		number:     number,
		name:       fmt.Sprintf("h%02d", number),
		dataCentre: dataCentres[number%len(dataCentres)],
		slowdown:   1,
	}
}

// attempt is one attempt of a request at one host.
type attempt struct {
	request *request
	host    *host
	handle  any // what the policy returned for the target
	sent    time.Time
	started time.Time
	ended   bool
}

// outcome is the answer of a host: the kind of its error, empty for a success, and the load
// of the host.
type outcome struct {
	kind   apricotwinch.Kind
	busy   int
	queued int
}

func (h *host) answer(a *attempt, kind apricotwinch.Kind) {
	out := outcome{kind: kind, busy: len(h.running), queued: len(h.queue)}
	h.model.afterFunc(networkDelay, func() { h.model.handleReply(a, out) })
}

// receive handles an attempt that arrives at the host.
func (h *host) receive(a *attempt) {
	switch {
	case h.down:
		h.answer(a, apricotwinch.Unreachable)
	case h.failing:
		h.model.afterFunc(failingReplyDelay, func() { h.answer(a, apricotwinch.TargetFailed) })
	case len(h.running)+len(h.queue) >= connections:
		h.answer(a, apricotwinch.NoCapacity)
	case len(h.running) < slots:
		h.serve(a)
	default:
		h.queue = append(h.queue, a)
	}
}

// serve runs an attempt in a free slot.
func (h *host) serve(a *attempt) {
	a.started = h.model.now
	a.request.runs++
	h.running = append(h.running, a)
	incarnation := h.incarnation
	h.model.afterFunc(time.Duration(h.slowdown*float64(a.request.serviceTime)), func() {
		if h.incarnation == incarnation {
			h.finish(a)
		}
	})
}

// finish ends a running attempt and serves queued attempts whose deadline has not passed.
func (h *host) finish(a *attempt) {
	h.running = remove(h.running, a)
	latency := float64(h.model.now.Sub(a.started).Microseconds())
	if h.meanLatencyMicros == 0 {
		h.meanLatencyMicros = latency
	}
	h.meanLatencyMicros += (latency - h.meanLatencyMicros) / 16
	h.answer(a, "")
	for len(h.queue) > 0 && len(h.running) < slots {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if h.model.now.Before(next.request.deadline) {
			h.serve(next)
		} else {
			h.answer(next, apricotwinch.DeadlineExceeded)
		}
	}
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i := range list {
		if list[i] == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// crash takes the host down; the requests that it held end with an unknown outcome.
func (h *host) crash() {
	lost := append(h.running, h.queue...)
	h.down, h.running, h.queue = true, nil, nil
	h.incarnation++
	for _, a := range lost {
		h.answer(a, apricotwinch.Unknown)
	}
}

// restart brings the host up again with a new sequence of heartbeats and no measured
// latency.
func (h *host) restart() {
	h.down, h.sequence, h.meanLatencyMicros = false, 0, 0
}

// announce returns the host's next heartbeat.
func (h *host) announce() messenger.Announce {
	h.sequence++
	return messenger.Announce{
		Host:        h.name,
		Incarnation: fmt.Sprint(h.incarnation),
		Sequence:    h.sequence,
		Address:     h.name + ":1",
		Region:      "harju",
		DataCentre:  h.dataCentre,
		Services: []messenger.ServiceSummary{{
			Team:          service.Team(),
			Service:       service.Name(),
			Slots:         slots,
			Connections:   connections,
			Busy:          len(h.running),
			Queued:        len(h.queue),
			LatencyMicros: int(h.meanLatencyMicros),
		}},
	}
}

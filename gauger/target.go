package gauger

import (
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// host is a fake target: slots that serve requests and a queue before them.
type host struct {
	model       *model
	number      int
	name        string
	dataCentre  string
	incarnation int
	sequence    int

	slowness float64
	failing  bool
	dark     bool

	running []*attempt
	queue   []*attempt
	latency float64 // mean latency in microseconds
}

func newHost(m *model, number int) *host {
	return &host{
		model:      m,
		number:     number,
		name:       fmt.Sprintf("h%02d", number),
		dataCentre: dataCentres[number%len(dataCentres)],
		slowness:   1,
	}
}

// attempt is one try at a request, at one host.
type attempt struct {
	request *request
	host    *host
	handle  any
	sent    time.Time
	started time.Time
	ended   bool
}

// outcome is what a host answers: the kind of its error and its load.
type outcome struct {
	kind   apricotwinch.Kind
	busy   int
	queued int
}

func (h *host) answer(a *attempt, kind apricotwinch.Kind) {
	out := outcome{kind: kind, busy: len(h.running), queued: len(h.queue)}
	h.model.after(networkDelay, func() { h.model.reply(a, out) })
}

// arrive takes a request off the network.
func (h *host) arrive(a *attempt) {
	switch {
	case h.dark:
		h.answer(a, apricotwinch.Unreachable)
	case h.failing:
		h.model.after(failingDelay, func() { h.answer(a, apricotwinch.TargetFailed) })
	case len(h.running)+len(h.queue) >= connections:
		h.answer(a, apricotwinch.NoCapacity)
	case len(h.running) < slots:
		h.start(a)
	default:
		h.queue = append(h.queue, a)
	}
}

// start runs a request in a free slot.
func (h *host) start(a *attempt) {
	a.started = h.model.now
	a.request.runs++
	h.running = append(h.running, a)
	incarnation := h.incarnation
	h.model.after(time.Duration(h.slowness*float64(a.request.service)), func() {
		if h.incarnation == incarnation {
			h.finish(a)
		}
	})
}

// finish ends a running request and starts the next one that is still in time.
func (h *host) finish(a *attempt) {
	h.running = remove(h.running, a)
	latency := float64(h.model.now.Sub(a.started).Microseconds())
	if h.latency == 0 {
		h.latency = latency
	}
	h.latency += (latency - h.latency) / 16
	h.answer(a, "")
	for len(h.queue) > 0 && len(h.running) < slots {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if h.model.now.Before(next.request.deadline) {
			h.start(next)
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

// goDark loses the host with what it runs.
func (h *host) goDark() {
	lost := append(h.running, h.queue...)
	h.dark, h.running, h.queue = true, nil, nil
	h.incarnation++
	for _, a := range lost {
		h.answer(a, apricotwinch.Unknown)
	}
}

// comeBack starts the host anew.
func (h *host) comeBack() {
	h.dark, h.sequence, h.latency = false, 0, 0
}

// announce returns the next heartbeat.
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
			LatencyMicros: int(h.latency),
		}},
	}
}

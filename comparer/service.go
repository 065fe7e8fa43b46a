package comparer

import (
	"math"
	"time"
)

const (
	// slots is the number of requests that an instance serves concurrently.
	slots = 4
	// meanServiceTime is the mean service time of a request without slowdown.
	meanServiceTime = 50 * time.Millisecond
	// serviceTimeSigma is the standard deviation of the logarithm of the service time.
	serviceTimeSigma = 0.25
)

// service is a latency-critical service and the hosts of its instances.
type service struct {
	index int
	hosts []*host
}

// instance is the instance of a service on a host. waiting holds the arrival times of the
// queued requests.
type instance struct {
	service *service
	busy    int
	waiting []time.Duration
}

func (i *instance) outstanding() int { return i.busy + len(i.waiting) }

// nextRequest schedules the next open-loop request to a service. The request goes to the
// one of two random instances that has fewer outstanding requests.
func (r *run) nextRequest(s *service) {
	rate := r.scenario.serviceLoad * slots * float64(len(s.hosts)) / meanServiceTime.Seconds()
	delay := time.Duration(r.requests.ExpFloat64() / rate * float64(time.Second))
	r.after(delay, func() {
		first, second := r.pickInstance(s), r.pickInstance(s)
		if second.outstanding() < first.outstanding() {
			first = second
		}
		first.waiting = append(first.waiting, r.elapsed)
		r.serve(first)
		r.nextRequest(s)
	})
}

// pickInstance returns the host of a random instance. It prefers hosts that are up, with a
// limited number of tries.
func (r *run) pickInstance(s *service) *host {
	h := s.hosts[r.requests.IntN(len(s.hosts))]
	for tries := 0; !h.up && tries < len(s.hosts); tries++ {
		h = s.hosts[r.requests.IntN(len(s.hosts))]
	}
	return h
}

// serve starts waiting requests while the host is up and has free slots.
func (r *run) serve(h *host) {
	for h.up && h.busy < slots && len(h.waiting) > 0 {
		arrived := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.busy++
		factor := math.Exp(serviceTimeSigma*r.requests.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
		serviceTime := time.Duration(factor * h.serviceSlowdown(r) * float64(meanServiceTime))
		r.after(serviceTime, func() {
			h.busy--
			r.result.recordLatency(r.elapsed, r.elapsed-arrived, r.scenario.warmUp)
			r.serve(h)
		})
	}
}

package comparer

import (
	"math"
	"time"
)

const (
	// slots is the number of requests that an instance serves at once.
	slots = 4
	// meanService is the mean time of an undisturbed request.
	meanService = 50 * time.Millisecond
	// serviceSpread is the sigma of the logarithm of that time.
	serviceSpread = 0.25
)

// service is one latency-critical service with its instances.
type service struct {
	index int
	hosts []*host
}

// instance is the instance of a service on a host.
type instance struct {
	service *service
	busy    int
	waiting []time.Duration
}

func (i *instance) outstanding() int { return i.busy + len(i.waiting) }

// nextRequest sends open-loop requests to a service, each to the less busy of
// two instances.
func (r *run) nextRequest(s *service) {
	rate := r.scenario.serviceLoad * slots * float64(len(s.hosts)) / meanService.Seconds()
	delay := time.Duration(r.requests.ExpFloat64() / rate * float64(time.Second))
	r.after(delay, func() {
		first, second := r.pick(s), r.pick(s)
		if second.outstanding() < first.outstanding() {
			first = second
		}
		first.waiting = append(first.waiting, r.elapsed)
		r.serve(first)
		r.nextRequest(s)
	})
}

// pick returns a random instance that is up, as far as a few tries find one.
func (r *run) pick(s *service) *host {
	h := s.hosts[r.requests.IntN(len(s.hosts))]
	for tries := 0; !h.up && tries < len(s.hosts); tries++ {
		h = s.hosts[r.requests.IntN(len(s.hosts))]
	}
	return h
}

// serve begins waiting requests while slots are free.
func (r *run) serve(h *host) {
	for h.up && h.busy < slots && len(h.waiting) > 0 {
		arrived := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.busy++
		factor := math.Exp(serviceSpread*r.requests.NormFloat64() - serviceSpread*serviceSpread/2)
		took := time.Duration(factor * h.serviceSlowdown(r) * float64(meanService))
		r.after(took, func() {
			h.busy--
			r.result.answered(r.elapsed, r.elapsed-arrived, r.scenario.warmUp)
			r.serve(h)
		})
	}
}

package dispatcher

import (
	"time"

	"apricotwinch"
	"apricotwinch/configurator"
	"apricotwinch/messenger"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

// setService applies the settings of a service that decide where its requests go.
func (f *fleet) setService(service configurator.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RestrictDataCentres(f.clock.Now(), tracker.NewService(service.Team(), service.Name()), service.DataCentres())
}

// choose returns the target that gets the next try of a request.
func (f *fleet) choose(r *request, dataCentre string) (router.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Choose(f.clock.Now(), r.service, r.urgency, dataCentre, r.tried...)
}

// requestSent records that a request goes to a target.
func (f *fleet) requestSent(target router.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordSent(f.clock.Now(), target)
}

// requestEnded records the outcome of a request that went to a target.
func (f *fleet) requestEnded(target router.Target, latency time.Duration, kind apricotwinch.Kind, reply messenger.DispatchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if event := f.router.RecordAnswer(now, target, latency, kind); event != "" {
		f.count(event.Counter())
	}
	if reply.Outcome != "" {
		f.router.RecordLoad(now, target, reply.Busy, reply.Queued)
	}
}

// capacity returns the capacity of the usable targets of a service.
func (f *fleet) capacity(service tracker.Service) router.Capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Capacity(f.clock.Now(), service)
}

// ticket returns the reading of the agent's monotonic clock, in milliseconds, in the
// latest heartbeat of a host that the entry has seen.
func (f *fleet) ticket(name string) int {
	host, _ := f.lookup(name)
	return host.TicketMillis
}

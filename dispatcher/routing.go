package dispatcher

import (
	"time"

	"apricotwinch"
	"apricotwinch/configurator"
	"apricotwinch/messenger"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

// setService takes the settings of a service that decide where its requests go.
func (m *members) setService(service configurator.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.router.SetDataCentres(m.clock.Now(), tracker.NewService(service.Team(), service.Name()), service.DataCentres())
}

// choose returns the target that gets the next try of a request.
func (m *members) choose(r *request, dataCentre string) (router.Target, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.router.Choose(m.clock.Now(), r.service, r.urgency, dataCentre, r.tried...)
}

// sent counts a request that goes to a target.
func (m *members) sent(target router.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.router.Sent(m.clock.Now(), target)
}

// answered takes the end of a request that went to a target.
func (m *members) answered(target router.Target, latency time.Duration, kind apricotwinch.Kind, reply messenger.DispatchReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if event := m.router.Answered(now, target, latency, kind); event != "" {
		m.count(event.Counter())
	}
	if reply.Outcome != "" {
		m.router.Loaded(now, target, reply.Busy, reply.Queued)
	}
}

// capacity returns what the usable targets of a service hold.
func (m *members) capacity(service tracker.Service) router.Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.router.Capacity(m.clock.Now(), service)
}

// ticket returns the latest ticket of a host that the entry has seen.
func (m *members) ticket(name string) int {
	host, _ := m.lookup(name)
	return host.TicketMillis
}

package dispatcher

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/configurator"
	"apricotwinch/estimator"
	"apricotwinch/judge"
	"apricotwinch/messenger"
	"apricotwinch/observer"
	"apricotwinch/placer"
	"apricotwinch/router"
	"apricotwinch/scheduler"
	"apricotwinch/tracker"
)

// seedOf returns the seed of an entry's random choices; entries choose apart from
// each other.
func seedOf(entry string) uint64 { return xxhash.Sum64String(entry) }

// members joins the decisions that rest on the hosts: who is alive, which
// target gets a request and which host gets a task.
type members struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry

	mu        sync.Mutex
	tracker   *tracker.Tracker
	router    *router.Router
	placer    *placer.Placer
	judge     *judge.Judge
	estimator *estimator.Estimator
	observer  *observer.Observer
	// neighbors holds what is known of the work on each host.
	neighbors map[string]*neighbors
	// capacities holds the capacity of each host that is present, and capacitySum
	// their sum.
	capacities  map[string]apricotwinch.Resources
	capacitySum apricotwinch.Resources
	view        *configurator.View
	centres     map[string]int
}

func newMembers(clock clockwork.Clock, logger hclog.Logger, registry metrics.Registry, seed uint64) *members {
	m := &members{
		clock:      clock,
		logger:     logger,
		registry:   registry,
		tracker:    tracker.New(tracker.DefaultConfig()),
		router:     router.New(router.DefaultConfig(), seed),
		judge:      judge.New(judge.DefaultConfig(), seed),
		view:       configurator.New().View(),
		centres:    make(map[string]int),
		estimator:  estimator.New(estimator.DefaultConfig()),
		capacities: make(map[string]apricotwinch.Resources),
		observer:   observer.New(observer.DefaultConfig()),
		neighbors:  make(map[string]*neighbors),
	}
	config := placer.DefaultConfig()
	config.Penalty = m.penalty
	m.placer = placer.New(config, seed)
	return m
}

// observe takes a host's heartbeat.
func (m *members) observe(announce messenger.Announce) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changes, err := m.tracker.Observe(now, announce)
	if err != nil {
		return err
	}
	m.apply(now, changes)
	return nil
}

// observeDigest takes the heartbeats that a peer passes on.
func (m *members) observeDigest(digest messenger.Digest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changes, err := m.tracker.ObserveDigest(now, digest)
	m.apply(now, changes)
	return err
}

// digest returns the heartbeats that arrived here since since.
func (m *members) digest(since time.Time, entry, incarnation string) messenger.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Digest(m.clock.Now(), since, entry, incarnation)
}

// tick lets silent hosts go and quarantines end.
func (m *members) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.apply(now, m.tracker.Tick(now))
	m.judge.Tick(now)
	m.applyStandings()
}

func (m *members) applyStandings() {
	for _, change := range m.judge.Changes() {
		m.placer.SetStanding(change.Host(), change.Standing())
		m.count(string(change.Reason()))
		m.logger.Info("host standing changed", "host", change.Host(), "standing", change.Standing().String(), "reason", string(change.Reason()))
	}
}

func (m *members) apply(now time.Time, changes []tracker.Change) {
	for _, change := range changes {
		m.router.Apply(now, change)
		m.applyToPlacer(now, change)
		m.learn(now, change)
		if change.Kind() == tracker.Updated || change.Kind() == tracker.Reported {
			continue
		}
		m.count(change.Kind().Counter())
		if !change.Kind().Ignored() {
			m.logger.Info("host changed", "host", change.Host().Name(), "change", change.Kind().String(), "state", change.Host().State().String())
		}
	}
}

// applyToPlacer brings the table of hosts up to date.
func (m *members) applyToPlacer(now time.Time, change tracker.Change) {
	host := change.Host()
	switch change.Kind() {
	case tracker.Joined, tracker.Replaced:
		m.join(now, host)
	case tracker.Left:
		m.leave(now, host)
	case tracker.Updated, tracker.Recovered, tracker.BecameDraining, tracker.BecameSuspected:
		m.placer.SetDraining(host.Name(), host.State() != tracker.Alive)
		m.placer.Update(now, host.Name(), host.Committed(), host.Received())
	}
}

func (m *members) join(now time.Time, host tracker.Host) {
	if _, known := m.placer.Free(host.Name()); !known {
		m.centres[host.Locality().DataCentre()]++
	}
	m.setCapacity(host.Name(), host.Capacity())
	m.placer.Join(now, host.Name(), host.Locality(), host.Capacity())
	m.placer.SetStanding(host.Name(), m.judge.Joined(host.Name()))
	m.placer.SetDraining(host.Name(), host.State() != tracker.Alive)
	m.placer.Update(now, host.Name(), host.Committed(), host.Received())
	m.setOut(now, host.Locality(), m.view.DataCentreOut(host.Locality().DataCentre()))
	m.judge.SetFleet(m.placer.Hosts(), len(m.centres))
}

func (m *members) leave(now time.Time, host tracker.Host) {
	centre := host.Locality().DataCentre()
	m.centres[centre]--
	if m.centres[centre] <= 0 {
		delete(m.centres, centre)
	}
	m.setCapacity(host.Name(), apricotwinch.Resources{})
	m.placer.Remove(now, host.Name())
	m.judge.Left(host.Name())
	m.judge.SetFleet(m.placer.Hosts(), len(m.centres))
}

// setCapacity keeps the sum of the hosts' capacities; a host that left has none.
func (m *members) setCapacity(name string, capacity apricotwinch.Resources) {
	m.capacitySum = m.capacitySum.Sub(m.capacities[name]).Add(capacity)
	m.capacities[name] = capacity
	if capacity.Zero() {
		delete(m.capacities, name)
	}
}

func (m *members) setOut(now time.Time, locality apricotwinch.Locality, out bool) {
	m.router.SetOut(now, locality.DataCentre(), out)
	m.placer.SetDataCentreOut(locality.Region(), locality.DataCentre(), out)
}

// setView takes the settings in force.
func (m *members) setView(view *configurator.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = view
	now := m.clock.Now()
	for host := range m.tracker.Hosts() {
		m.setOut(now, host.Locality(), view.DataCentreOut(host.Locality().DataCentre()))
	}
}

// out reports whether operators took a data centre out of service, so that what
// runs there is evicted. One that the settings don't list, or don't list yet, gets
// no new work, but keeps what runs.
func (m *members) out(dataCentre string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.view.DataCentre(dataCentre)
	return ok && known.Out()
}

// seams returns what a scheduler needs of the hosts.
func (m *members) seams() scheduler.Seams {
	return scheduler.Seams{
		Quota:         m.quota,
		Total:         m.total,
		Size:          m.size,
		Place:         m.place,
		Accepted:      m.accepted,
		Adopted:       m.adopted,
		Unplace:       func(_ string, id apricotwinch.AttemptID) { m.release(id) },
		Lookup:        m.lookup,
		DataCentreOut: m.out,
		Ended:         m.ended,
	}
}

// quota returns what a team's tasks may hold at once and its weight.
func (m *members) quota(team string) (apricotwinch.Resources, float64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	quota, ok := m.view.Quota(team)
	return quota.Maximum(), quota.Weight(), ok
}

// total returns the capacity of the hosts that are present.
func (m *members) total() apricotwinch.Resources {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.capacitySum
}

// size corrects a declared size by the use observed so far.
func (m *members) size(now time.Time, team, name string, declared apricotwinch.Resources) apricotwinch.Resources {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.estimator.Size(now, estimator.NewClass(team, name), declared)
}

func (m *members) place(now time.Time, request scheduler.Request) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	avoid := append(m.judge.Avoid(request.Attempt.Job()), request.FailedHosts...)
	return m.placer.Choose(now, placeRequest(request).Avoiding(avoid...))
}

func placeRequest(request scheduler.Request) placer.Request {
	return placer.NewRequest(request.Attempt, taskClass(request.Team, request.Name), request.Need)
}

func (m *members) accepted(now time.Time, id apricotwinch.AttemptID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Confirm(now, id)
}

func (m *members) adopted(host string, request scheduler.Request) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Restore(placeRequest(request), host)
	return m.share(host, request.Attempt)
}

func (m *members) release(id apricotwinch.AttemptID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placer.Release(id)
}

func (m *members) lookup(name string) (scheduler.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, ok := m.tracker.Host(name)
	if !ok {
		return scheduler.Host{}, false
	}
	return scheduler.Host{
		Name:         host.Name(),
		Address:      host.Address(),
		Incarnation:  host.Incarnation(),
		DataCentre:   host.Locality().DataCentre(),
		TicketMillis: int(host.Ticket().Millis()),
		TicketAt:     host.Ticket().Received(),
	}, true
}

// endRule is what the judge is told of one type of end.
type endRule func(m *members, now time.Time, a judge.Attempt, end scheduler.End) judge.Verdict

// endRules is the table from type of record to what the judge is told.
var endRules = map[string]endRule{
	messenger.RecordCompleted: func(m *members, now time.Time, a judge.Attempt, _ scheduler.End) judge.Verdict {
		m.judge.Completed(now, a)
		return judge.Verdict{}
	},
	messenger.RecordFailed: func(m *members, now time.Time, a judge.Attempt, end scheduler.End) judge.Verdict {
		return m.judge.Failed(now, a, end.MaxAttempts)
	},
	messenger.RecordLost: func(m *members, now time.Time, a judge.Attempt, _ scheduler.End) judge.Verdict {
		return m.judge.Lost(now, a)
	},
	messenger.RecordReturned: func(m *members, now time.Time, a judge.Attempt, end scheduler.End) judge.Verdict {
		m.judge.Withdrawn(a)
		if end.Reason == string(apricotwinch.NoCapacity) {
			m.placer.Refuse(now, a.ID())
		}
		return judge.Verdict{}
	},
	messenger.RecordEvicted: func(m *members, _ time.Time, a judge.Attempt, _ scheduler.End) judge.Verdict {
		m.judge.Withdrawn(a)
		return judge.Verdict{}
	},
}

// ended tells judge and placer how an attempt ended.
func (m *members) ended(now time.Time, end scheduler.End) scheduler.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count("attempt." + end.Type)
	rule, ok := endRules[end.Type]
	if !ok {
		return scheduler.Verdict{}
	}
	verdict := rule(m, now, judge.NewAttempt(end.Attempt, end.Host, end.DataCentre), end)
	m.placer.Release(end.Attempt)
	m.departed(now, end.Host, end.Attempt)
	m.applyStandings()
	if verdict.Reason() != "" {
		m.count(string(verdict.Reason()))
	}
	if verdict.Park() {
		return scheduler.Verdict{Park: string(verdict.Reason())}
	}
	return scheduler.Verdict{NotBefore: verdict.NotBefore()}
}

// forget drops what the judge keeps of a job that has finished.
func (m *members) forget(job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.judge.Forget(job)
}

// known returns the number of hosts that are known.
func (m *members) known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Len()
}

// hosts returns what is known of every host, in order of name.
func (m *members) hosts() []messenger.HostView {
	m.mu.Lock()
	defer m.mu.Unlock()
	views := make([]messenger.HostView, 0, m.tracker.Len())
	for host := range m.tracker.Hosts() {
		views = append(views, messenger.HostView{
			Host:       host.Name(),
			State:      host.State().String(),
			Address:    host.Address(),
			Region:     host.Locality().Region(),
			DataCentre: host.Locality().DataCentre(),
			Rack:       host.Locality().Rack(),
			Capacity:   messenger.FromResources(host.Capacity()),
			Committed:  messenger.FromResources(host.Committed()),
			Services:   host.Services(),
		})
	}
	return views
}

func (m *members) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

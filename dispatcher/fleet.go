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
	"apricotwinch/diagnoser"
	"apricotwinch/estimator"
	"apricotwinch/messenger"
	"apricotwinch/observer"
	"apricotwinch/placer"
	"apricotwinch/router"
	"apricotwinch/scheduler"
	"apricotwinch/tracker"
)

// seedOf returns the seed of an entry's random choices. It derives from the name so
// that entries choose independently of each other.
func seedOf(entry string) uint64 { return xxhash.Sum64String(entry) }

// fleet tracks the hosts and, under one lock, drives the components whose decisions
// depend on them: which hosts are alive, which target gets a request and which host
// gets a task.
type fleet struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry

	mu        sync.Mutex
	tracker   *tracker.Tracker
	router    *router.Router
	placer    *placer.Placer
	diagnoser *diagnoser.Diagnoser
	estimator *estimator.Estimator
	observer  *observer.Observer
	// workByHost holds what is known about the work on each host.
	workByHost map[string]*hostWork
	// capacities holds the capacity of each host that is present, and capacitySum
	// their sum.
	capacities         map[string]apricotwinch.Resources
	capacitySum        apricotwinch.Resources
	view               *configurator.View
	hostsPerDataCentre map[string]int
}

func newFleet(clock clockwork.Clock, logger hclog.Logger, registry metrics.Registry, seed uint64) *fleet {
	f := &fleet{
		clock:              clock,
		logger:             logger,
		registry:           registry,
		tracker:            tracker.New(tracker.DefaultConfig()),
		router:             router.New(router.DefaultConfig(), seed),
		diagnoser:          diagnoser.New(diagnoser.DefaultConfig(), seed),
		view:               configurator.New().View(),
		hostsPerDataCentre: make(map[string]int),
		estimator:          estimator.New(estimator.DefaultConfig()),
		capacities:         make(map[string]apricotwinch.Resources),
		observer:           observer.New(observer.DefaultConfig()),
		workByHost:         make(map[string]*hostWork),
	}
	config := placer.DefaultConfig()
	config.Penalty = f.penalty
	f.placer = placer.New(config, seed)
	return f
}

// observe applies a host's heartbeat.
func (f *fleet) observe(announce messenger.Announce) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	changes, err := f.tracker.Observe(now, announce)
	if err != nil {
		return err
	}
	f.applyChanges(now, changes)
	return nil
}

// observeDigest applies the heartbeats that a peer forwards.
func (f *fleet) observeDigest(digest messenger.Digest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	changes, err := f.tracker.ObserveDigest(now, digest)
	f.applyChanges(now, changes)
	return err
}

// digest returns the heartbeats that this entry has received since the given time.
func (f *fleet) digest(since time.Time, entry, incarnation string) messenger.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Digest(f.clock.Now(), since, entry, incarnation)
}

// tick expires hosts whose heartbeats stopped and ends quarantines that are over.
func (f *fleet) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.applyChanges(now, f.tracker.Tick(now))
	f.diagnoser.Tick(now)
	f.applyEligibility()
}

func (f *fleet) applyEligibility() {
	for _, change := range f.diagnoser.Changes() {
		f.placer.SetEligibility(change.Host(), change.Eligibility())
		f.count(string(change.Reason()))
		f.logger.Info("host standing changed", "host", change.Host(), "standing", change.Eligibility().String(), "reason", string(change.Reason()))
	}
}

func (f *fleet) applyChanges(now time.Time, changes []tracker.Change) {
	for _, change := range changes {
		f.router.Apply(now, change)
		f.applyToPlacer(now, change)
		f.observeWork(now, change)
		if change.Kind() == tracker.Updated || change.Kind() == tracker.UsageUpdated {
			continue
		}
		f.count(change.Kind().Counter())
		if !change.Kind().Ignored() {
			f.logger.Info("host changed", "host", change.Host().Name(), "change", change.Kind().String(), "state", change.Host().State().String())
		}
	}
}

// applyToPlacer updates the placer's table of hosts.
func (f *fleet) applyToPlacer(now time.Time, change tracker.Change) {
	host := change.Host()
	switch change.Kind() {
	case tracker.Joined, tracker.Replaced:
		f.addHost(now, host)
	case tracker.Left:
		f.removeHost(now, host)
	case tracker.Updated, tracker.Recovered, tracker.BecameDraining, tracker.BecameSuspected:
		f.placer.SetDraining(host.Name(), host.State() != tracker.Alive)
		f.placer.Update(now, host.Name(), host.Committed(), host.Received())
	}
}

func (f *fleet) addHost(now time.Time, host tracker.Host) {
	if _, known := f.placer.Free(host.Name()); !known {
		f.hostsPerDataCentre[host.Locality().DataCentre()]++
	}
	f.setCapacity(host.Name(), host.Capacity())
	f.placer.Join(now, host.Name(), host.Locality(), host.Capacity())
	f.placer.SetEligibility(host.Name(), f.diagnoser.HostJoined(host.Name()))
	f.placer.SetDraining(host.Name(), host.State() != tracker.Alive)
	f.placer.Update(now, host.Name(), host.Committed(), host.Received())
	f.setDataCentreOut(now, host.Locality(), f.view.DataCentreOut(host.Locality().DataCentre()))
	f.diagnoser.SetFleet(f.placer.Hosts(), len(f.hostsPerDataCentre))
}

func (f *fleet) removeHost(now time.Time, host tracker.Host) {
	centre := host.Locality().DataCentre()
	f.hostsPerDataCentre[centre]--
	if f.hostsPerDataCentre[centre] <= 0 {
		delete(f.hostsPerDataCentre, centre)
	}
	f.setCapacity(host.Name(), apricotwinch.Resources{})
	f.placer.Remove(now, host.Name())
	f.diagnoser.HostLeft(host.Name())
	f.diagnoser.SetFleet(f.placer.Hosts(), len(f.hostsPerDataCentre))
}

// setCapacity sets a host's capacity and updates the sum; a host that left has none.
func (f *fleet) setCapacity(name string, capacity apricotwinch.Resources) {
	f.capacitySum = f.capacitySum.Sub(f.capacities[name]).Add(capacity)
	f.capacities[name] = capacity
	if capacity.Zero() {
		delete(f.capacities, name)
	}
}

func (f *fleet) setDataCentreOut(now time.Time, locality apricotwinch.Locality, out bool) {
	f.router.SetOutOfService(now, locality.DataCentre(), out)
	f.placer.SetDataCentreOut(locality.Region(), locality.DataCentre(), out)
}

// setView applies the settings in force.
func (f *fleet) setView(view *configurator.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
	now := f.clock.Now()
	for host := range f.tracker.Hosts() {
		f.setDataCentreOut(now, host.Locality(), view.DataCentreOut(host.Locality().DataCentre()))
	}
}

// dataCentreOut reports whether operators took a data centre out of service, so that
// the work there is evicted. A data centre that the settings don't list, or don't list
// yet, gets no new work but keeps what runs.
func (f *fleet) dataCentreOut(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.view.DataCentre(dataCentre)
	return ok && known.Out()
}

// schedulerDependencies returns the functions through which a scheduler uses the hosts.
func (f *fleet) schedulerDependencies() scheduler.Dependencies {
	return scheduler.Dependencies{
		Quota:            f.quota,
		Total:            f.totalCapacity,
		CorrectSize:      f.correctedSize,
		Place:            f.place,
		OnAccepted:       f.confirmPlacement,
		OnAdopted:        f.adoptPlacement,
		ReleasePlacement: func(_ string, id apricotwinch.AttemptID) { f.releasePlacement(id) },
		Lookup:           f.lookup,
		DataCentreOut:    f.dataCentreOut,
		OnEnded:          f.attemptEnded,
	}
}

// quota returns the resources that a team's tasks may hold at once and the team's
// weight; false means that the team has no quota.
func (f *fleet) quota(team string) (apricotwinch.Resources, float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quota, ok := f.view.Quota(team)
	return quota.Maximum(), quota.Weight(), ok
}

// totalCapacity returns the capacity of the hosts that are present.
func (f *fleet) totalCapacity() apricotwinch.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.capacitySum
}

// correctedSize corrects a declared size by the usage observed so far.
func (f *fleet) correctedSize(now time.Time, team, name string, declared apricotwinch.Resources) apricotwinch.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.estimator.Size(now, estimator.NewClass(team, name), declared)
}

func (f *fleet) place(now time.Time, request scheduler.Request) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	avoid := append(f.diagnoser.HostsToAvoid(request.Attempt.Job()), request.FailedHosts...)
	return f.placer.Choose(now, placeRequest(request).Avoiding(avoid...))
}

func placeRequest(request scheduler.Request) placer.Request {
	return placer.NewRequest(request.Attempt, taskClass(request.Team, request.Name), request.Need)
}

func (f *fleet) confirmPlacement(now time.Time, id apricotwinch.AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Confirm(now, id)
}

func (f *fleet) adoptPlacement(host string, request scheduler.Request) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Restore(placeRequest(request), host)
	return f.processorShare(host, request.Attempt)
}

func (f *fleet) releasePlacement(id apricotwinch.AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Release(id)
}

func (f *fleet) lookup(name string) (scheduler.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host, ok := f.tracker.Host(name)
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

// endHandler passes one type of end of an attempt to the diagnoser.
type endHandler func(f *fleet, now time.Time, a diagnoser.Attempt, end scheduler.AttemptEnd) diagnoser.Verdict

// endHandlers maps the type of the record that ended an attempt to its handler.
var endHandlers = map[string]endHandler{
	messenger.RecordCompleted: func(f *fleet, now time.Time, a diagnoser.Attempt, _ scheduler.AttemptEnd) diagnoser.Verdict {
		f.diagnoser.Completed(now, a)
		return diagnoser.Verdict{}
	},
	messenger.RecordFailed: func(f *fleet, now time.Time, a diagnoser.Attempt, end scheduler.AttemptEnd) diagnoser.Verdict {
		return f.diagnoser.Failed(now, a, end.MaxAttempts)
	},
	messenger.RecordLost: func(f *fleet, now time.Time, a diagnoser.Attempt, _ scheduler.AttemptEnd) diagnoser.Verdict {
		return f.diagnoser.Lost(now, a)
	},
	messenger.RecordReturned: func(f *fleet, now time.Time, a diagnoser.Attempt, end scheduler.AttemptEnd) diagnoser.Verdict {
		f.diagnoser.ExcusedEnd(a)
		if end.Reason == string(apricotwinch.NoCapacity) {
			f.placer.Refuse(now, a.ID())
		}
		return diagnoser.Verdict{}
	},
	messenger.RecordEvicted: func(f *fleet, _ time.Time, a diagnoser.Attempt, _ scheduler.AttemptEnd) diagnoser.Verdict {
		f.diagnoser.ExcusedEnd(a)
		return diagnoser.Verdict{}
	},
}

// attemptEnded passes the end of an attempt to the diagnoser, the placer and the observer,
// and returns what follows for its task.
func (f *fleet) attemptEnded(now time.Time, end scheduler.AttemptEnd) scheduler.NextStep {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count("attempt." + end.Type)
	handle, ok := endHandlers[end.Type]
	if !ok {
		return scheduler.NextStep{}
	}
	verdict := handle(f, now, diagnoser.NewAttempt(end.Attempt, end.Host, end.DataCentre), end)
	f.placer.Release(end.Attempt)
	f.taskEnded(now, end.Host, end.Attempt)
	f.applyEligibility()
	if verdict.Reason() != "" {
		f.count(string(verdict.Reason()))
	}
	if verdict.Park() {
		return scheduler.NextStep{Park: string(verdict.Reason())}
	}
	return scheduler.NextStep{NotBefore: verdict.NotBefore()}
}

// forgetJob drops what the diagnoser keeps about a job that has finished.
func (f *fleet) forgetJob(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.diagnoser.Forget(job)
}

// hostCount returns the number of known hosts.
func (f *fleet) hostCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Len()
}

// hosts returns the state of every known host, ordered by name.
func (f *fleet) hosts() []messenger.HostView {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := make([]messenger.HostView, 0, f.tracker.Len())
	for host := range f.tracker.Hosts() {
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

func (f *fleet) count(name string) {
	metrics.GetOrRegisterCounter(name, f.registry).Inc(1)
}

package dispatcher

import (
	"context"
	"time"

	"apricotwinch"
	"apricotwinch/estimator"
	"apricotwinch/messenger"
	"apricotwinch/observer"
	"apricotwinch/tracker"
)

const (
	// reasonInterference is the recorded reason for evicting an attempt that slows its
	// neighbors down.
	reasonInterference = "interference"
	// throttledPermille is the share of its processors, in thousandths, that a
	// throttled attempt keeps.
	throttledPermille = 250
	// unthrottledPermille is the share without a throttle.
	unthrottledPermille = 1000
	// undisturbedPermille is the slowdown, in thousandths, of work that suffers no
	// interference.
	undisturbedPermille = 1000
	// sampleRoundingMillis is how far apart the times computed for one measurement may
	// be when two heartbeats report it, because each rounds its age.
	sampleRoundingMillis = 2
)

// hostWork holds what an entry knows about the work on one host.
type hostWork struct {
	// usageReceivedAt is when the latest applied usage report was received.
	usageReceivedAt time.Time
	// teams holds the team of each task.
	teams map[apricotwinch.AttemptID]string
	// lastSampleMillis holds the time of the latest measurement of each service, in
	// milliseconds of the agent's clock, and -1 before the first one.
	lastSampleMillis map[apricotwinch.AttemptID]int
	// throttled holds whether the observer has throttled each task.
	throttled map[apricotwinch.AttemptID]bool
}

// teamAction is an action of the observer and the team of the work that it concerns.
type teamAction struct {
	observer.Action
	team string
}

// serviceResidentID returns the id under which the observer knows the target of a
// service on a host. It differs from the id of any task because ids of jobs have no
// slash.
func serviceResidentID(s *messenger.ServiceSummary) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(s.Team+"/"+s.Service, 0, 1)
}

// serviceClass returns the class of the targets of a service; taskClass does so for
// tasks.
func serviceClass(s *messenger.ServiceSummary) string { return s.Team + "/services/" + s.Service }

// taskClass returns the class of the tasks of the jobs called name of a team.
func taskClass(team, name string) string { return team + "/" + name }

func taskResidentID(u *messenger.TaskUsage) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(u.Job, u.Task, u.Attempt)
}

// observeWork passes what a heartbeat reports about the work on its host to the
// estimator and the observer. f.mu is held.
func (f *fleet) observeWork(now time.Time, change tracker.Change) {
	host := change.Host()
	switch {
	case change.Kind() == tracker.Left:
		f.observer.HostLeft(host.Name())
		delete(f.workByHost, host.Name())
		return
	case change.Kind() == tracker.BecameSuspected, change.Kind().Ignored():
		return
	}
	work := f.workByHost[host.Name()]
	if work == nil {
		work = &hostWork{
			teams:            make(map[apricotwinch.AttemptID]string),
			lastSampleMillis: make(map[apricotwinch.AttemptID]int),
			throttled:        make(map[apricotwinch.AttemptID]bool),
		}
		f.workByHost[host.Name()] = work
	}
	if change.Kind() == tracker.Replaced {
		clear(work.lastSampleMillis)
	}
	changed := f.observeServices(now, host, work)
	if host.UsageReceived().After(work.usageReceivedAt) {
		work.usageReceivedAt = host.UsageReceived()
		changed = f.observeTasks(now, host, work) || changed
	}
	if changed {
		f.placer.SetResidents(host.Name(), f.observer.Classes(host.Name()))
	}
}

// observeServices treats the targets on a host as latency-critical work. It reports
// the slowdown of a service only if it was measured after the last one reported. It
// returns whether the set of services on the host changed.
func (f *fleet) observeServices(now time.Time, host tracker.Host, work *hostWork) (changed bool) {
	present := make(map[apricotwinch.AttemptID]bool, len(host.Services()))
	for i := range host.Services() {
		s := &host.Services()[i]
		id := serviceResidentID(s)
		present[id] = true
		if _, running := work.lastSampleMillis[id]; !running {
			work.lastSampleMillis[id] = -1
			changed = true
			f.observer.ResidentStarted(now, host.Name(), observer.NewResident(id, serviceClass(s), apricotwinch.Critical))
		}
		sample := host.Heartbeat().TicketMillis - s.LagMillis
		if s.SlowdownPermille == 0 || sample <= work.lastSampleMillis[id]+sampleRoundingMillis {
			continue
		}
		work.lastSampleMillis[id] = sample
		f.count("interference.service_reports")
		f.reportSlowdown(now, host, id, s.SlowdownPermille, sampleTime(host.Received(), s.LagMillis))
	}
	for id := range work.lastSampleMillis {
		if !present[id] {
			delete(work.lastSampleMillis, id)
			f.observer.ResidentEnded(now, host.Name(), id)
			changed = true
		}
	}
	return changed
}

// observeTasks applies a usage report, which lists every task on the host. It returns
// whether the set of tasks on the host changed.
func (f *fleet) observeTasks(now time.Time, host tracker.Host, work *hostWork) (changed bool) {
	present := make(map[apricotwinch.AttemptID]bool, len(host.Usage()))
	for i := range host.Usage() {
		u := &host.Usage()[i]
		id := taskResidentID(u)
		present[id] = true
		if _, running := work.teams[id]; !running {
			work.teams[id] = u.Team
			changed = true
			urgency, _ := apricotwinch.ParseUrgency(u.Urgency)
			f.observer.ResidentStarted(now, host.Name(), observer.NewResident(id, taskClass(u.Team, u.Name), urgency))
		}
		f.count("interference.task_reports")
		sampledAt := sampleTime(host.UsageReceived(), u.LagMillis)
		if used := u.Used.Value(); !used.Zero() {
			f.estimator.Observe(estimator.NewSample(estimator.NewClass(u.Team, u.Name), used, u.Granted.Value(), sampledAt))
		}
		if u.SlowdownPermille > 0 {
			f.reportSlowdown(now, host, id, u.SlowdownPermille, sampledAt)
		}
	}
	for id := range work.teams {
		if !present[id] {
			f.taskEnded(now, host.Name(), id)
			changed = true
		}
	}
	return changed
}

func (f *fleet) reportSlowdown(now time.Time, host tracker.Host, id apricotwinch.AttemptID, permille int, sampledAt time.Time) {
	slowdown := max(1, float64(permille)/undisturbedPermille)
	f.observer.Report(now, observer.NewReport(host.Name(), id, slowdown, sampledAt))
}

// taskEnded removes a task that no longer runs on a host.
func (f *fleet) taskEnded(now time.Time, host string, id apricotwinch.AttemptID) {
	work := f.workByHost[host]
	if work == nil {
		return
	}
	delete(work.teams, id)
	delete(work.throttled, id)
	f.observer.ResidentEnded(now, host, id)
	f.placer.SetResidents(host, f.observer.Classes(host))
}

func sampleTime(received time.Time, lagMillis int) time.Time {
	return received.Add(-time.Duration(lagMillis) * time.Millisecond)
}

// penalty returns the harm expected from placing work of a class on a host beside
// residents. The placer calls it, so f.mu is held already.
func (f *fleet) penalty(host, class string, residents []string) float64 {
	return f.observer.ExpectedHarm(f.clock.Now(), host, class, residents)
}

// interferenceActions returns the actions that are due for work that slows its
// neighbors down.
func (f *fleet) interferenceActions() []teamAction {
	f.mu.Lock()
	defer f.mu.Unlock()
	var actions []teamAction
	for _, action := range f.observer.Tick(f.clock.Now()) {
		if work := f.workByHost[action.Host()]; work != nil {
			work.throttled[action.ID()] = action.Step() != observer.Restore
			actions = append(actions, teamAction{Action: action, team: work.teams[action.ID()]})
		}
	}
	return actions
}

// processorShare returns the share of its processors, in thousandths, that an attempt
// on a host should keep. f.mu is held.
func (f *fleet) processorShare(host string, id apricotwinch.AttemptID) int {
	if work := f.workByHost[host]; work != nil && work.throttled[id] {
		return throttledPermille
	}
	return unthrottledPermille
}

// stepHandlers maps each step to what the owner of the attempt does. A handler returns
// false if the attempt is not assigned here.
var stepHandlers = map[observer.Step]func(p *partition, id apricotwinch.AttemptID) bool{
	observer.Throttle: func(p *partition, id apricotwinch.AttemptID) bool {
		return p.scheduler.Throttle(id, throttledPermille)
	},
	observer.Restore: func(p *partition, id apricotwinch.AttemptID) bool {
		return p.scheduler.Throttle(id, unthrottledPermille)
	},
	observer.Evict: func(p *partition, id apricotwinch.AttemptID) bool {
		return p.scheduler.Evict(id, reasonInterference)
	},
}

// mitigateInterference carries out the actions that are due for attempts owned here.
// Every other entry gets the same reports and acts on the attempts that it owns.
func (e *Entry) mitigateInterference() {
	for _, action := range e.fleet.interferenceActions() {
		name := "interference." + string(action.Step())
		p := e.ownership.partition(e.partitionOf(action.team))
		if p == nil || !p.mitigate(action) {
			e.count(name + ".not_owned")
			continue
		}
		e.count(name)
		e.logger.Info("interference mitigated", "step", action.Step(), "attempt", action.ID(), "host", action.Host())
	}
}

// mitigate carries out an action for an attempt. It returns false if the attempt is
// not assigned here.
func (p *partition) mitigate(action teamAction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler != nil && stepHandlers[action.Step()](p, action.ID())
}

// throttle sends a command to an agent and passes the scheduler the outcome.
func (p *partition) throttle(ctx context.Context, address string, command messenger.Throttle) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var reply messenger.ThrottleReply
	err := p.entry.pool.Call(ctx, address, messenger.MethodThrottle, command, &reply)
	if err != nil {
		p.entry.count("throttle.error." + string(apricotwinch.KindOf(err)))
	} else if !reply.Found {
		p.entry.count("throttle.not_found")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler != nil {
		p.scheduler.ThrottleAnswered(command, err)
	}
}

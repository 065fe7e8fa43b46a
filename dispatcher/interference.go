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
	// reasonInterference is why an attempt that harms its neighbors is evicted.
	reasonInterference = "interference"
	// throttledPermille is the share of its processors that throttled work keeps.
	throttledPermille = 250
	// unthrottledPermille is the share without a throttle.
	unthrottledPermille = 1000
	// undisturbedPermille is the slowdown of undisturbed work.
	undisturbedPermille = 1000
	// sampleJitterMillis is how much the ages of one measurement may differ that are
	// rounded in two heartbeats.
	sampleJitterMillis = 2
)

// neighbors is what an entry knows of the work on one host.
type neighbors struct {
	usageAt time.Time
	// teams holds the team of each task.
	teams map[apricotwinch.AttemptID]string
	// sampled holds, for each service, when it was last measured by the agent's
	// clock in milliseconds.
	sampled map[apricotwinch.AttemptID]int
}

// step is an observer's action for the work of a team.
type step struct {
	observer.Action
	team string
}

// serviceID names a service at its target on a host. Ids of jobs have no slash.
func serviceID(s *messenger.ServiceSummary) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(s.Team+"/"+s.Service, 0, 1)
}

// serviceClass names the targets of a service, as taskClass names tasks.
func serviceClass(s *messenger.ServiceSummary) string { return s.Team + "/services/" + s.Service }

// taskClass names the tasks of the jobs called name of a team.
func taskClass(team, name string) string { return team + "/" + name }

func usageID(u *messenger.TaskUsage) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(u.Job, u.Task, u.Attempt)
}

// learn feeds estimator and observer what a heartbeat told of the work on its
// host; m.mu is held.
func (m *members) learn(now time.Time, change tracker.Change) {
	host := change.Host()
	switch {
	case change.Kind() == tracker.Left:
		m.observer.Left(host.Name())
		delete(m.neighbors, host.Name())
		return
	case change.Kind() == tracker.BecameSuspected, change.Kind().Ignored():
		return
	}
	known := m.neighbors[host.Name()]
	if known == nil {
		known = &neighbors{teams: make(map[apricotwinch.AttemptID]string), sampled: make(map[apricotwinch.AttemptID]int)}
		m.neighbors[host.Name()] = known
	}
	if change.Kind() == tracker.Replaced {
		clear(known.sampled)
	}
	changed := m.learnServices(now, host, known)
	if host.UsageReceived().After(known.usageAt) {
		known.usageAt = host.UsageReceived()
		changed = m.learnTasks(now, host, known) || changed
	}
	if changed {
		m.placer.SetResidents(host.Name(), m.observer.Classes(host.Name()))
	}
}

// learnServices takes the targets on a host for latency-critical work. A service
// that was not measured since its last report brings none. It reports whether
// others run than before.
func (m *members) learnServices(now time.Time, host tracker.Host, known *neighbors) (changed bool) {
	present := make(map[apricotwinch.AttemptID]bool, len(host.Services()))
	for i := range host.Services() {
		s := &host.Services()[i]
		id := serviceID(s)
		present[id] = true
		if _, running := known.sampled[id]; !running {
			known.sampled[id] = -1
			changed = true
			m.observer.Started(now, host.Name(), observer.NewResident(id, serviceClass(s), apricotwinch.Critical))
		}
		sample := host.Announce().TicketMillis - s.LagMillis
		if s.SlowdownPermille == 0 || sample <= known.sampled[id]+sampleJitterMillis {
			continue
		}
		known.sampled[id] = sample
		m.count("interference.service_reports")
		m.report(now, host, id, s.SlowdownPermille, lagged(host.Received(), s.LagMillis))
	}
	for id := range known.sampled {
		if !present[id] {
			delete(known.sampled, id)
			m.observer.Ended(now, host.Name(), id)
			changed = true
		}
	}
	return changed
}

// learnTasks takes usage reports, which name every task on the host. It reports
// whether others run than before.
func (m *members) learnTasks(now time.Time, host tracker.Host, known *neighbors) (changed bool) {
	present := make(map[apricotwinch.AttemptID]bool, len(host.Usage()))
	for i := range host.Usage() {
		u := &host.Usage()[i]
		id := usageID(u)
		present[id] = true
		if _, running := known.teams[id]; !running {
			known.teams[id] = u.Team
			changed = true
			urgency, _ := apricotwinch.ParseUrgency(u.Urgency)
			m.observer.Started(now, host.Name(), observer.NewResident(id, taskClass(u.Team, u.Name), urgency))
		}
		m.count("interference.task_reports")
		sampledAt := lagged(host.UsageReceived(), u.LagMillis)
		if used := u.Used.Value(); !used.Zero() {
			m.estimator.Observe(estimator.NewSample(estimator.NewClass(u.Team, u.Name), used, u.Granted.Value(), sampledAt))
		}
		if u.SlowdownPermille > 0 {
			m.report(now, host, id, u.SlowdownPermille, sampledAt)
		}
	}
	for id := range known.teams {
		if !present[id] {
			m.departed(now, host.Name(), id)
			changed = true
		}
	}
	return changed
}

func (m *members) report(now time.Time, host tracker.Host, id apricotwinch.AttemptID, permille int, sampledAt time.Time) {
	slowdown := max(1, float64(permille)/undisturbedPermille)
	m.observer.Report(now, observer.NewReport(host.Name(), id, slowdown, sampledAt))
}

// departed takes that a task no longer runs on a host.
func (m *members) departed(now time.Time, host string, id apricotwinch.AttemptID) {
	known := m.neighbors[host]
	if known == nil {
		return
	}
	delete(known.teams, id)
	m.observer.Ended(now, host, id)
	m.placer.SetResidents(host, m.observer.Classes(host))
}

func lagged(received time.Time, lagMillis int) time.Time {
	return received.Add(-time.Duration(lagMillis) * time.Millisecond)
}

// penalty returns the expected harm of putting work of a class on a host; m.mu is
// held by whoever asks the placer.
func (m *members) penalty(host, class string, residents []string) float64 {
	return m.observer.Penalty(m.clock.Now(), host, class, residents)
}

// steps returns what must happen to work that harms its neighbors.
func (m *members) steps() []step {
	m.mu.Lock()
	defer m.mu.Unlock()
	var steps []step
	for _, action := range m.observer.Tick(m.clock.Now()) {
		if known := m.neighbors[action.Host()]; known != nil {
			steps = append(steps, step{Action: action, team: known.teams[action.ID()]})
		}
	}
	return steps
}

// stepRules is the table from step to what the owner of the attempt does.
var stepRules = map[observer.Step]func(p *partition, id apricotwinch.AttemptID) bool{
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

// react carries out the steps that are due for attempts owned here; each other
// entry sees the same reports and takes those of its own.
func (e *Entry) react() {
	for _, s := range e.members.steps() {
		name := "interference." + string(s.Step())
		p := e.ownership.partition(e.partitionOf(s.team))
		if p == nil || !p.react(s) {
			e.count(name + ".not_owned")
			continue
		}
		e.count(name)
		e.logger.Info("work that harms its neighbors", "step", s.Step(), "attempt", s.ID(), "host", s.Host())
	}
}

// react takes a step for an attempt; it reports false for one not assigned here.
func (p *partition) react(s step) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler != nil && stepRules[s.Step()](p, s.ID())
}

// throttle sends a command until it is answered or fails.
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

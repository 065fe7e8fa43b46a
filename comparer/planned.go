package comparer

import (
	"time"

	"apricotwinch"
	"apricotwinch/diagnoser"
	"apricotwinch/estimator"
	"apricotwinch/observer"
	"apricotwinch/placer"
	"apricotwinch/sharer"
)

const (
	// maxStarts, maxUnplaced and maxCancels bound, for one tick, the starts, the tasks
	// for which no host was found, and the cancellations.
	maxStarts   = 200
	maxUnplaced = 500
	maxCancels  = 500
	// unplacedDelay is how long a task for which no host was found waits for its next
	// try.
	unplacedDelay = 50 * time.Millisecond
	// holdAfter is how long a task waits before the placer holds a host for it.
	holdAfter = 5 * time.Second
	// resizeDelay is how long a task that exhausted its memory waits before its next
	// attempt.
	resizeDelay = time.Second
)

// planned combines the decision packages in the same way as the owner of a partition.
type planned struct {
	run            *run
	clock          time.Time
	sharer         *sharer.Sharer
	placer         *placer.Placer
	diagnoser      *diagnoser.Diagnoser
	estimator      *estimator.Estimator
	observer       *observer.Observer
	hosts          map[string]*host
	tasks          map[apricotwinch.AttemptID]*task
	openTasks      map[string]int
	pendingCancels []*task
	unplacedKinds  map[string]bool
	hostsUp        int
}

func newPlanned(r *run) policy {
	p := &planned{
		run:       r,
		clock:     startTime,
		diagnoser: diagnoser.New(diagnoser.DefaultConfig(), 1),
		estimator: estimator.New(estimator.DefaultConfig()),
		observer:  observer.New(observer.DefaultConfig()),
		hosts:     map[string]*host{},
		tasks:     map[apricotwinch.AttemptID]*task{},
		openTasks: map[string]int{},
	}
	config := placer.DefaultConfig()
	config.Penalty = func(host, class string, residents []string) float64 {
		return p.observer.ExpectedHarm(p.clock, host, class, residents)
	}
	p.placer = placer.New(config, 1)
	total := apricotwinch.NewResources(
		hostCapacity.ProcessorMillis()*int64(len(r.hosts)), hostCapacity.MemoryBytes()*int64(len(r.hosts)), 0)
	p.sharer = sharer.New(sharer.DefaultConfig(), total)
	for _, k := range r.kinds {
		_ = p.sharer.SetTeam(k.team, total, 1)
	}
	for _, h := range r.hosts {
		p.hostJoined(startTime, h)
	}
	return policy{
		submit:        func(now time.Time, t *task) { p.submit(now, t) },
		cancel:        func(_ time.Time, t *task) { p.pendingCancels = append(p.pendingCancels, t) },
		tick:          p.tick,
		attemptEnded:  p.attemptEnded,
		hostSummary:   p.hostSummary,
		serviceReport: p.serviceReport,
		taskReport:    p.taskReport,
		hostJoined:    p.hostJoined,
		hostLeft:      p.hostLeft,
		setDataCentreOut: func(_ time.Time, dataCentre string, out bool) {
			p.placer.SetDataCentreOut("region", dataCentre, out)
		},
	}
}

func serviceID(h *host) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID("service", h.index, 1)
}

func (p *planned) hostJoined(now time.Time, h *host) {
	p.hostsUp++
	p.hosts[h.name] = h
	p.placer.Join(now, h.name, h.locality, hostCapacity)
	p.placer.Update(now, h.name, h.committed, now)
	p.placer.SetEligibility(h.name, p.diagnoser.HostJoined(h.name))
	p.diagnoser.SetFleet(p.hostsUp, p.run.scenario.dataCentres)
	class := "service-" + string(rune('a'+h.service.index))
	p.observer.ResidentStarted(now, h.name, observer.NewResident(serviceID(h), class, apricotwinch.Critical))
	p.placer.SetResidents(h.name, p.observer.Classes(h.name))
}

func (p *planned) hostLeft(now time.Time, h *host) {
	p.hostsUp--
	p.placer.Remove(now, h.name)
	p.diagnoser.HostLeft(h.name)
	p.diagnoser.SetFleet(p.hostsUp, p.run.scenario.dataCentres)
	p.observer.HostLeft(h.name)
}

func (p *planned) submit(now time.Time, t *task) {
	p.openTasks[t.job]++
	p.enqueue(now, t, now)
}

func (p *planned) enqueue(now time.Time, t *task, notBefore time.Time) {
	t.attempt++
	item := sharer.NewItem(t.id(), t.kind.team, apricotwinch.Batch, t.kind.declared)
	if err := p.sharer.Submit(now, item, notBefore); err != nil {
		p.park(t)
		return
	}
	t.eligibleAt = notBefore
	p.tasks[t.id()] = t
}

// park ends a task that the diagnoser parked, that fits no host, or that the sharer rejected.
func (p *planned) park(t *task) {
	p.run.result.parked++
	p.finish(t)
}

func (p *planned) finish(t *task) {
	t.finished = true
	p.openTasks[t.job]--
	if p.openTasks[t.job] == 0 {
		delete(p.openTasks, t.job)
		p.diagnoser.Forget(t.job)
	}
}

func (p *planned) tick(now time.Time) {
	p.clock = now
	p.diagnoser.Tick(now)
	p.applyEligibilityChanges()
	p.mitigateInterference(now)
	p.processCancels(now)
	p.unplacedKinds = map[string]bool{}
	for starts, unplaced := 0, 0; starts < maxStarts && unplaced < maxUnplaced; {
		item, ok := p.sharer.Next(now)
		if !ok {
			return
		}
		t := p.tasks[item.ID()]
		if !p.unplacedKinds[t.kind.name] && p.tryStart(now, t) {
			starts++
			continue
		}
		p.unplacedKinds[t.kind.name] = true
		p.sharer.Requeue(now, t.id(), now.Add(unplacedDelay))
		unplaced++
	}
}

func (p *planned) applyEligibilityChanges() {
	for _, change := range p.diagnoser.Changes() {
		p.placer.SetEligibility(change.Host(), change.Eligibility())
	}
}

// mitigateInterference applies the evictions and throttles that the observer requests.
func (p *planned) mitigateInterference(now time.Time) {
	for _, action := range p.observer.Tick(now) {
		p.run.result.tickWork++
		t := p.tasks[action.ID()]
		switch {
		case t == nil:
		case action.Step() == observer.Evict:
			p.run.evict(t)
		default:
			p.run.throttle(t, action.Step() == observer.Throttle)
		}
	}
}

func (p *planned) processCancels(now time.Time) {
	batch := p.pendingCancels[:min(maxCancels, len(p.pendingCancels))]
	p.pendingCancels = p.pendingCancels[len(batch):]
	for _, t := range batch {
		p.run.result.tickWork++
		if t.finished {
			continue
		}
		t.finished = true
		if t.host != nil {
			p.run.endAttempt(t, lost)
			continue
		}
		p.removeAttempt(now, t, nil)
		p.finish(t)
	}
}

// tryStart starts a task on a host, or parks it if no host can ever fit it. It reports
// false when no host took the task, in which case other tasks of its kind aren't tried
// in this tick either.
func (p *planned) tryStart(now time.Time, t *task) bool {
	class := estimator.NewClass(t.kind.team, t.kind.name)
	if !p.observer.Admit(class.String()) {
		return false
	}
	need := p.estimator.Size(now, class, t.kind.declared)
	request := placer.NewRequest(t.id(), class.String(), need).Avoiding(p.diagnoser.HostsToAvoid(t.job)...)
	name, err := p.placer.Choose(now, request)
	if apricotwinch.KindOf(err) == apricotwinch.Unschedulable {
		p.removeAttempt(now, t, nil)
		p.park(t)
		return true
	}
	if err != nil {
		if now.Sub(t.eligibleAt) >= holdAfter {
			p.placer.Hold(now, request)
		}
		return false
	}
	h := p.hosts[name]
	if !p.run.startAttempt(t, h, need) {
		p.placer.Refuse(now, t.id())
		return false
	}
	p.placer.Confirm(now, t.id())
	p.observer.ResidentStarted(now, name, observer.NewResident(t.id(), class.String(), apricotwinch.Batch))
	return true
}

// removeAttempt removes an attempt from the placer, the sharer and the observer.
func (p *planned) removeAttempt(now time.Time, t *task, h *host) {
	p.placer.Release(t.id())
	p.sharer.Finish(t.id())
	delete(p.tasks, t.id())
	if h != nil {
		p.observer.ResidentEnded(now, h.name, t.id())
	}
}

func (p *planned) attemptEnded(now time.Time, t *task, h *host, o outcome) {
	p.removeAttempt(now, t, h)
	attempt := diagnoser.NewAttempt(t.id(), h.name, h.locality.DataCentre())
	switch {
	case o == completed:
		p.diagnoser.Completed(now, attempt)
		p.finish(t)
	case t.finished:
		p.diagnoser.ExcusedEnd(attempt)
		p.finish(t)
	case o == failed:
		p.retry(now, t, p.diagnoser.Failed(now, attempt, 0))
	case o == lost:
		p.retry(now, t, p.diagnoser.Lost(now, attempt))
	case o == exhausted:
		p.estimator.MemoryExhausted(now, estimator.NewClass(t.kind.team, t.kind.name), t.granted)
		p.diagnoser.ExcusedEnd(attempt)
		p.enqueue(now, t, now.Add(resizeDelay))
	default:
		p.diagnoser.ExcusedEnd(attempt)
		p.enqueue(now, t, now)
	}
	p.applyEligibilityChanges()
}

func (p *planned) retry(now time.Time, t *task, verdict diagnoser.Verdict) {
	if verdict.Park() {
		p.park(t)
		return
	}
	p.enqueue(now, t, verdict.NotBefore())
}

func (p *planned) hostSummary(now time.Time, h *host, committed apricotwinch.Resources, sampledAt time.Time) {
	p.clock = now
	p.placer.Update(now, h.name, committed, sampledAt)
	p.placer.SetResidents(h.name, p.observer.Classes(h.name))
}

func (p *planned) serviceReport(now time.Time, h *host, slowdown float64, sampledAt time.Time) {
	p.observer.Report(now, observer.NewReport(h.name, serviceID(h), slowdown, sampledAt))
}

func (p *planned) taskReport(now time.Time, t *task, h *host, used, granted apricotwinch.Resources, slowdown float64, sampledAt time.Time) {
	class := estimator.NewClass(t.kind.team, t.kind.name)
	p.estimator.Observe(estimator.NewSample(class, used, granted, sampledAt))
	p.observer.Report(now, observer.NewReport(h.name, t.id(), slowdown, sampledAt))
}

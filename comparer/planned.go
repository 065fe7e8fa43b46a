package comparer

import (
	"time"

	"apricotwinch"
	"apricotwinch/estimator"
	"apricotwinch/judge"
	"apricotwinch/observer"
	"apricotwinch/placer"
	"apricotwinch/sharer"
)

const (
	// maxStarts, maxMisses and maxCancels bound the starts, the tasks without a host
	// and the cancellations of one tick.
	maxStarts  = 200
	maxMisses  = 500
	maxCancels = 500
	// missDelay is how long a task without a host waits.
	missDelay = 50 * time.Millisecond
	// holdAfter is how long a task waits before a host is held for it.
	holdAfter = 5 * time.Second
	// resizeDelay is how long a task that used up its memory waits.
	resizeDelay = time.Second
)

// planned joins the decision packages as the owner of a partition does.
type planned struct {
	run       *run
	clock     time.Time
	sharer    *sharer.Sharer
	placer    *placer.Placer
	judge     *judge.Judge
	estimator *estimator.Estimator
	observer  *observer.Observer
	hosts     map[string]*host
	tasks     map[apricotwinch.AttemptID]*task
	open      map[string]int
	canceled  []*task
	missed    map[string]bool
	up        int
}

func newPlanned(r *run) policy {
	p := &planned{
		run:       r,
		clock:     start,
		judge:     judge.New(judge.DefaultConfig(), 1),
		estimator: estimator.New(estimator.DefaultConfig()),
		observer:  observer.New(observer.DefaultConfig()),
		hosts:     map[string]*host{},
		tasks:     map[apricotwinch.AttemptID]*task{},
		open:      map[string]int{},
	}
	config := placer.DefaultConfig()
	config.Penalty = func(host, class string, residents []string) float64 {
		return p.observer.Penalty(p.clock, host, class, residents)
	}
	p.placer = placer.New(config, 1)
	total := apricotwinch.NewResources(
		hostCapacity.ProcessorMillis()*int64(len(r.hosts)), hostCapacity.MemoryBytes()*int64(len(r.hosts)), 0)
	p.sharer = sharer.New(sharer.DefaultConfig(), total)
	for _, k := range r.kinds {
		_ = p.sharer.SetTeam(k.team, total, 1)
	}
	for _, h := range r.hosts {
		p.joined(start, h)
	}
	return policy{
		submit:        func(now time.Time, t *task) { p.submit(now, t) },
		cancel:        func(_ time.Time, t *task) { p.canceled = append(p.canceled, t) },
		tick:          p.tick,
		ended:         p.ended,
		summary:       p.summary,
		serviceReport: p.serviceReport,
		taskReport:    p.taskReport,
		joined:        p.joined,
		left:          p.left,
		outage: func(_ time.Time, dataCentre string, out bool) {
			p.placer.SetDataCentreOut("region", dataCentre, out)
		},
	}
}

func serviceID(h *host) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID("service", h.index, 1)
}

func (p *planned) joined(now time.Time, h *host) {
	p.up++
	p.hosts[h.name] = h
	p.placer.Join(now, h.name, h.locality, hostCapacity)
	p.placer.Update(now, h.name, h.committed, now)
	p.placer.SetStanding(h.name, p.judge.Joined(h.name))
	p.judge.SetFleet(p.up, p.run.scenario.dataCentres)
	class := "service-" + string(rune('a'+h.service.index))
	p.observer.Started(now, h.name, observer.NewResident(serviceID(h), class, apricotwinch.Critical))
	p.placer.SetResidents(h.name, p.observer.Classes(h.name))
}

func (p *planned) left(now time.Time, h *host) {
	p.up--
	p.placer.Remove(now, h.name)
	p.judge.Left(h.name)
	p.judge.SetFleet(p.up, p.run.scenario.dataCentres)
	p.observer.Left(h.name)
}

func (p *planned) submit(now time.Time, t *task) {
	p.open[t.job]++
	p.enqueue(now, t, now)
}

func (p *planned) enqueue(now time.Time, t *task, notBefore time.Time) {
	t.attempt++
	item := sharer.NewItem(t.id(), t.kind.team, apricotwinch.Batch, t.kind.declared)
	if err := p.sharer.Submit(now, item, notBefore); err != nil {
		p.giveUp(t)
		return
	}
	t.since = notBefore
	p.tasks[t.id()] = t
}

// giveUp ends a task that is parked or can't be queued.
func (p *planned) giveUp(t *task) {
	p.run.result.parked++
	p.close(t)
}

func (p *planned) close(t *task) {
	t.over = true
	p.open[t.job]--
	if p.open[t.job] == 0 {
		delete(p.open, t.job)
		p.judge.Forget(t.job)
	}
}

func (p *planned) tick(now time.Time) {
	p.clock = now
	p.judge.Tick(now)
	p.applyStandings()
	p.react(now)
	p.cancelSome(now)
	p.missed = map[string]bool{}
	for starts, misses := 0, 0; starts < maxStarts && misses < maxMisses; {
		item, ok := p.sharer.Next(now)
		if !ok {
			return
		}
		t := p.tasks[item.ID()]
		if !p.missed[t.kind.name] && p.start(now, t) {
			starts++
			continue
		}
		p.missed[t.kind.name] = true
		p.sharer.Requeue(now, t.id(), now.Add(missDelay))
		misses++
	}
}

func (p *planned) applyStandings() {
	for _, change := range p.judge.Changes() {
		p.placer.SetStanding(change.Host(), change.Standing())
	}
}

// react takes the steps against interference.
func (p *planned) react(now time.Time) {
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

func (p *planned) cancelSome(now time.Time) {
	batch := p.canceled[:min(maxCancels, len(p.canceled))]
	p.canceled = p.canceled[len(batch):]
	for _, t := range batch {
		p.run.result.tickWork++
		if t.over {
			continue
		}
		t.over = true
		if t.host != nil {
			p.run.end(t, lost)
			continue
		}
		p.forget(now, t, nil)
		p.close(t)
	}
}

// start gives a task a host; false means that it found none, and that others of
// its kind won't in this tick.
func (p *planned) start(now time.Time, t *task) bool {
	class := estimator.NewClass(t.kind.team, t.kind.name)
	if !p.observer.Admit(class.String()) {
		return false
	}
	need := p.estimator.Size(now, class, t.kind.declared)
	request := placer.NewRequest(t.id(), class.String(), need).Avoiding(p.judge.Avoid(t.job)...)
	name, err := p.placer.Choose(now, request)
	if apricotwinch.KindOf(err) == apricotwinch.Unschedulable {
		p.forget(now, t, nil)
		p.giveUp(t)
		return true
	}
	if err != nil {
		if now.Sub(t.since) >= holdAfter {
			p.placer.Hold(now, request)
		}
		return false
	}
	h := p.hosts[name]
	if !p.run.begin(t, h, need) {
		p.placer.Refuse(now, t.id())
		return false
	}
	p.placer.Confirm(now, t.id())
	p.observer.Started(now, name, observer.NewResident(t.id(), class.String(), apricotwinch.Batch))
	return true
}

// forget drops an attempt from all books.
func (p *planned) forget(now time.Time, t *task, h *host) {
	p.placer.Release(t.id())
	p.sharer.Finish(t.id())
	delete(p.tasks, t.id())
	if h != nil {
		p.observer.Ended(now, h.name, t.id())
	}
}

func (p *planned) ended(now time.Time, t *task, h *host, how outcome) {
	p.forget(now, t, h)
	attempt := judge.NewAttempt(t.id(), h.name, h.locality.DataCentre())
	switch {
	case how == completed:
		p.judge.Completed(now, attempt)
		p.close(t)
	case t.over:
		p.judge.Withdrawn(attempt)
		p.close(t)
	case how == failed:
		p.again(now, t, p.judge.Failed(now, attempt, 0))
	case how == lost:
		p.again(now, t, p.judge.Lost(now, attempt))
	case how == exhausted:
		p.estimator.Exhausted(now, estimator.NewClass(t.kind.team, t.kind.name), t.granted)
		p.judge.Withdrawn(attempt)
		p.enqueue(now, t, now.Add(resizeDelay))
	default:
		p.judge.Withdrawn(attempt)
		p.enqueue(now, t, now)
	}
	p.applyStandings()
}

func (p *planned) again(now time.Time, t *task, v judge.Verdict) {
	if v.Park() {
		p.giveUp(t)
		return
	}
	p.enqueue(now, t, v.NotBefore())
}

func (p *planned) summary(now time.Time, h *host, committed apricotwinch.Resources, sampledAt time.Time) {
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

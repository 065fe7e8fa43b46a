package conductor

import (
	"maps"
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/provisioner"
)

// Periods and bounds of the reserve that follows demand.
const (
	// demandSharesPeriod is the time for which the shares of data centres are kept, as they change only with
	// the fleet.
	demandSharesPeriod = time.Second
	// maxDemandShares bounds the labels whose shares are kept; work with others counts as if it had none.
	maxDemandShares = 64
	// minReserveChange is the least change of a reserve, as a share of the capacity, that is logged, and
	// reserveLogPeriod the least time between two lines about one data centre.
	minReserveChange = 0.02
	reserveLogPeriod = 5 * time.Second
	// listPeriod is the time between two lists of runs of an executor. A learned duration counts from the first list
	// of a run, which holds its room from its order on.
	listPeriod = 250 * time.Millisecond
)

// Prefixes of the names of the gauges of the reserve by data centre, in thousandths of a processor and in bytes.
const (
	gaugeReserve       = "urgent_reserve.processor_millis."
	gaugeReserveMemory = "urgent_reserve.memory_bytes."
)

// reserve is what is known of the demand of urgent work: the work that is neither long-running nor best-effort.
type reserve struct {
	processors, memory *provisioner.Provisioner
	// shares holds the shares of the data centres by service and label, as of sharesAt.
	shares   map[demandKey]map[string]provisioner.Share
	sharesAt time.Time
	// logged holds the reserve that was last logged by service and data centre.
	logged map[site]loggedReserve
	// gauged holds the data centres whose gauges were set.
	gauged map[string]bool
}

// demandKey identifies urgent work that may start on the same executors; an empty label is any.
type demandKey struct{ service, label string }

// site is the part of a service in one data centre.
type site struct{ service, dc string }

// key returns the name of the site for a provisioner.
func (s site) key() string { return s.service + "/" + s.dc }

// loggedReserve is a reserve, in thousandths of a processor, that was logged.
type loggedReserve struct {
	at     time.Time
	millis int64
}

func newReserve() reserve {
	return reserve{
		processors: provisioner.New(provisioner.DefaultConfig()),
		memory:     provisioner.New(provisioner.MemoryConfig()),
		shares:     map[demandKey]map[string]provisioner.Share{},
		logged:     map[site]loggedReserve{},
		gauged:     map[string]bool{},
	}
}

// urgent reports whether a step is work that the reserve is kept for.
func (s *step) urgent() bool { return !s.spec.Lasting && !s.spec.Fills }

// short reports whether a step is urgent work whose runs free their resources within the time that the reserve
// looks ahead.
func (s *step) short() bool {
	return s.urgent() && time.Duration(s.spec.EstimateMillis)*time.Millisecond <= provisioner.MaxWindow
}

// observeDemand records that a step has become ready to start. It counts for all data centres with executors that
// have its label, by their capacity: where it starts follows from the room that the reserve has left, and
// would lower the reserve of a full data centre further.
func (c *Conductor) observeDemand(now time.Time, s *step) {
	w := s.occurrence.workload
	if !s.urgent() || !c.config.Features.Enabled(apricotwinch.FeatureAdaptiveReserve) {
		return
	}
	if w.inherited && !now.After(c.startedAt) {
		return // It became ready before this owner began.
	}
	q, ok := c.queue(w)
	if !ok {
		return
	}
	amount, duration := int64(s.waiting), c.taskDuration(s, typicalQuantile)
	if c.learnsDurations() {
		duration += listPeriod
	}
	for dc, share := range c.demandShares(now, demandKey{service: q.Service, label: s.spec.Label}) {
		key := site{service: q.Service, dc: dc}.key()
		c.reserve.processors.Observe(now, key, amount*s.need.ProcessorMillis(), share, duration)
		c.reserve.memory.Observe(now, key, amount*s.need.MemoryBytes(), share, duration)
	}
}

// demandShares returns, by data centre, the shares of urgent work for which each must have room.
func (c *Conductor) demandShares(now time.Time, key demandKey) map[string]provisioner.Share {
	r := &c.reserve
	if now.Sub(r.sharesAt) >= demandSharesPeriod {
		clear(r.shares)
		r.sharesAt = now
	}
	if shares, ok := r.shares[key]; ok {
		return shares
	}
	if len(r.shares) >= maxDemandShares && key.label != "" {
		return c.demandShares(now, demandKey{service: key.service})
	}
	dcs := map[string]provisioner.DataCentre{}
	for _, e := range c.allExecutors() {
		if e.service == key.service && (key.label == "" || e.labels[key.label]) {
			d := dcs[e.dc]
			d.Capacity += e.capacity.ProcessorMillis()
			d.OutOfService = c.outOfService[e.dc]
			dcs[e.dc] = d
		}
	}
	r.shares[key] = provisioner.Shares(dcs)
	return r.shares[key]
}

// keepsReserve reports whether a task must leave the reserve free. A long-running task that ran before may use
// it, unless it gave its room to others or urgent work lacks room, until there is room for it twice over.
func (p *schedulingPass) keepsReserve(t *task) bool {
	s := t.step
	if !s.spec.Lasting || s.spec.Fills {
		return false
	}
	if !t.ranBefore() {
		return true
	}
	return (t.preempted || p.lacksUrgentRoom(s)) && !p.isRoomy(t)
}

// lacksUrgentRoom reports whether urgent work of the service of a step has waited for room lately.
func (p *schedulingPass) lacksUrgentRoom(s *step) bool {
	q, ok := p.conductor.queue(s.occurrence.workload)
	return ok && p.conductor.urgentShort(p.now, q.Service)
}

// ranBefore reports whether a task may have had a run.
func (t *task) ranBefore() bool { return t.highestRun > 0 || t.inherited }

// leavesReserve reports whether a new long-running task of a step leaves the reserve free in the data centre of an
// executor.
func (p *schedulingPass) leavesReserve(s *step, e *executor) bool {
	if e.holdsRoomFor(p.now, s) {
		return true // It takes the place of runs that were stopped for it.
	}
	free := p.unreservedIn(e.service)[e.dc]
	if r := s.reservation; r != nil && r.executor.service == e.service && r.executor.dc == e.dc {
		free = free.Add(r.Need)
	}
	return free.ProcessorMillis() >= s.need.ProcessorMillis() && (s.need.MemoryBytes() == 0 || free.MemoryBytes() >= s.need.MemoryBytes())
}

// unreservedIn returns the resources that new long-running tasks of a service may take, by data centre.
func (p *schedulingPass) unreservedIn(service string) map[string]apricotwinch.Resources {
	if p.unreserved[service] == nil {
		p.unreserved[service] = p.conductor.unreserved(p.now, service, p.pool(service))
	}
	return p.unreserved[service]
}

// recordStart records what a task that was started changes on its executor: the resources that
// are not reserved, and the outlook of best-effort tasks.
func (p *schedulingPass) recordStart(service string, s *step, e *executor) {
	delete(p.outlooks, e)
	delete(p.described, e)
	free := p.unreserved[service]
	if free == nil {
		return
	}
	need := s.need
	if s.spec.Fills {
		need = need.WithoutProcessors()
	}
	free[e.dc] = free[e.dc].Sub(need)
}

// unreserved returns the resources that new long-running tasks may take in each data centre. The rest of the free
// ones is reserved for urgent work, in every data centre, as any one may go out of service, or kept for tasks that
// fit on no executor.
func (c *Conductor) unreserved(now time.Time, service string, pool []*executor) map[string]apricotwinch.Resources {
	free := map[string]apricotwinch.Resources{}
	kept := c.reservedRoom(service)
	for dc, u := range usageByDataCentre(pool) {
		free[dc] = u.capacity.Sub(u.allocated).Sub(c.reserveOf(now, site{service: service, dc: dc}, u)).Sub(kept[dc])
	}
	return free
}

// usage is what the executors of a data centre have and what is taken of it. urgent is the part taken by short
// urgent work.
type usage struct{ capacity, allocated, urgent apricotwinch.Resources }

func usageByDataCentre(pool []*executor) map[string]usage {
	usages := map[string]usage{}
	for _, e := range pool {
		u := usages[e.dc]
		usages[e.dc] = usage{capacity: u.capacity.Add(e.capacity), allocated: u.allocated.Add(e.allocated), urgent: u.urgent.Add(e.urgent)}
	}
	return usages
}

// reserveOf returns the resources that new long-running tasks leave free at a site.
func (c *Conductor) reserveOf(now time.Time, at site, u usage) apricotwinch.Resources {
	if !c.config.Features.Enabled(apricotwinch.FeatureAdaptiveReserve) {
		return apricotwinch.NewResources(int64(c.config.UrgentReserve*float64(u.capacity.ProcessorMillis())), 0, 0)
	}
	return apricotwinch.NewResources(
		c.reserve.processors.Reserve(now, at.key(), u.capacity.ProcessorMillis(), u.urgent.ProcessorMillis()),
		c.reserve.memory.Reserve(now, at.key(), u.capacity.MemoryBytes(), u.urgent.MemoryBytes()), 0)
}

// checkReserve sets the gauges of the reserve of each data centre, and logs reserves that have changed.
func (c *Conductor) checkReserve(now time.Time, pools map[string][]*executor) {
	sums := map[string]apricotwinch.Resources{}
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		usages := usageByDataCentre(pools[service])
		for _, dc := range slices.Sorted(maps.Keys(usages)) {
			at := site{service: service, dc: dc}
			kept := c.reserveOf(now, at, usages[dc])
			sums[dc] = sums[dc].Add(kept)
			c.logReserve(now, at, usages[dc], kept)
		}
	}
	for dc := range c.reserve.gauged {
		if _, ok := sums[dc]; !ok {
			c.setReserveGauges(dc, apricotwinch.Resources{})
		}
	}
	for dc, sum := range sums {
		c.setReserveGauges(dc, sum)
		c.reserve.gauged[dc] = true
	}
}

func (c *Conductor) setReserveGauges(dc string, r apricotwinch.Resources) {
	c.setGauge(gaugeReserve+dc, r.ProcessorMillis())
	c.setGauge(gaugeReserveMemory+dc, r.MemoryBytes())
}

// clearReserve sets the gauges of the reserve to 0.
func (c *Conductor) clearReserve() {
	for dc := range c.reserve.gauged {
		c.setReserveGauges(dc, apricotwinch.Resources{})
	}
}

// logReserve logs a reserve that differs by minReserveChange from the one that was last logged, with what it was
// derived from.
func (c *Conductor) logReserve(now time.Time, at site, u usage, kept apricotwinch.Resources) {
	if !c.config.Features.Enabled(apricotwinch.FeatureAdaptiveReserve) {
		return
	}
	last, known := c.reserve.logged[at]
	change := max(kept.ProcessorMillis()-last.millis, last.millis-kept.ProcessorMillis())
	if known && (now.Sub(last.at) < reserveLogPeriod || float64(change) < minReserveChange*float64(u.capacity.ProcessorMillis())) {
		return
	}
	c.reserve.logged[at] = loggedReserve{at: now, millis: kept.ProcessorMillis()}
	c.count("urgent_reserve.changed")
	estimate := c.reserve.processors.Estimate(now, at.key())
	c.logger.Info("urgent reserve changed", "service", at.service, "dataCentre", at.dc, "millis", kept.ProcessorMillis(), "before", last.millis,
		"memory", kept.MemoryBytes(), "capacity", u.capacity.String(), "urgent", u.urgent.String(), "mean", int64(estimate.Mean), "deviation", int64(estimate.Deviation), "meanAfterLoss", int64(estimate.MeanAfterLoss),
		"windowMillis", estimate.Window.Milliseconds(), "observedMillis", estimate.Observed.Milliseconds())
}

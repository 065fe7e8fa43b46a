package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/appraiser"
	"apricotwinch/messenger"
)

// rackPrefix begins the label that names an executor's rack.
const rackPrefix = "r"

// host is one host with its agent.
type host struct {
	name        string
	address     string
	incarnation string
	reported    bool
	heardAt     time.Time
	ticket      int
	number      int
	refusals    int
	executors   map[string]*executor
}

// executor is one life of an executor.
type executor struct {
	host    *host
	record  messenger.ExecutorRecord
	id      string
	born    int
	service string
	dc      string
	rack    string
	// durable is whether the record of the executor is: no task starts there before.
	durable bool
	// listed is whether a report of an agent that obeys this owner has listed it, or no
	// earlier owner used it.
	listed bool
	// leasedTo is when its runs have provably ended, if no report lists it any more.
	leasedTo  time.Time
	labels    map[string]bool
	capacity  apricotwinch.Resources
	draining  bool
	reachable bool
	// foreign is whether it runs something of which the need is not known.
	foreign   bool
	runs      map[messenger.RunRef]*run
	committed apricotwinch.Resources
	filling   int64
	// idle is the part of filling, in thousandths of a processor, that work which is
	// held back leaves to other filling work.
	idle     int64
	openness float64
	serving  int64

	// told holds the presses that the agent was told of.
	told map[appraiser.Pair]float64

	taken    int
	seen     int
	pending  []pendingEnd
	streak   int
	streakOf string
	failedAt time.Time
}

func newHost(now time.Time, name, address string) *host {
	return &host{name: name, address: address, heardAt: now, executors: map[string]*executor{}}
}

// ordered returns the executors in order of their ids.
func (h *host) ordered() []*executor {
	list := make([]*executor, 0, len(h.executors))
	for _, e := range h.executors {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	return list
}

func newExecutor(h *host, record messenger.ExecutorRecord) *executor {
	e := &executor{
		host:     h,
		record:   record,
		id:       record.Id,
		born:     record.Born,
		service:  record.Service,
		dc:       record.DataCentre,
		labels:   map[string]bool{},
		capacity: record.Capacity.Value(),
		runs:     map[messenger.RunRef]*run{},
		told:     map[appraiser.Pair]float64{},
	}
	for _, label := range record.Labels {
		e.labels[label] = true
		if strings.HasPrefix(label, rackPrefix) && strings.Contains(label, "-") {
			e.rack = label
		}
	}
	return e
}

// executorGone takes that an executor's life, with all that it ran, is over.
func (c *Conductor) executorGone(e *executor, reason string) {
	c.logger.Info("executor gone", "executor", e.id, "host", e.host.name, "runs", len(e.runs), "reason", reason)
	for _, run := range e.runs {
		c.release(run)
		c.count("runs.lost")
	}
	c.appraiser.Forget(e.id)
	c.monitor.Forget(e.id)
	delete(e.host.executors, e.id)
	c.sorted = nil
	c.recordHost(e.host)
}

// hold counts a run at its executor.
func (c *Conductor) hold(r *run) {
	t := r.task
	t.current = r
	t.inherited = false
	t.step.waiting--
	t.highest = max(t.highest, r.ref.Run)
	c.track(r)
}

// track counts a run, current or stray, in the room of its executor.
func (c *Conductor) track(r *run) {
	r.name = fmt.Sprint(r.ref)
	c.runs[r.ref] = r
	r.executor.runs[r.ref] = r
	r.executor.commit(r.task.step, 1)
}

// release forgets a run that has ended; its task waits again unless it is done.
func (c *Conductor) release(r *run) {
	if c.runs[r.ref] != r {
		return
	}
	delete(c.runs, r.ref)
	delete(r.executor.runs, r.ref)
	r.setIdle(0)
	r.executor.commit(r.task.step, -1)
	if r.task.copied == r {
		r.task.copied = nil
	}
	if r.task.current != r {
		return
	}
	r.task.current = nil
	if !r.task.done {
		r.task.step.waiting++
		c.queueStep(r.task.step)
	}
}

// commit adds the need of one task of a step, or takes it off.
func (e *executor) commit(s *step, sign int64) {
	cpu := s.need.ProcessorMillis()
	if s.spec.Fills {
		e.filling += sign * cpu
		cpu = 0
	}
	if s.spec.Lasting && !s.spec.Fills {
		e.serving += sign * cpu
	}
	e.committed = e.committed.Add(apricotwinch.NewResources(sign*cpu, sign*s.need.MemoryBytes(), sign*s.need.Accelerators()))
}

// Tick does what is due: it counts silent hosts as lost, begins occurrences and
// forgets what ended long ago. wall is the time of day.
func (c *Conductor) Tick(now, wall time.Time) {
	for name, h := range c.hosts {
		c.tickHost(now, name, h)
	}
	c.begin(now, wall)
	c.recordPresses(now)
	c.moveOne(now)
	c.rescue(now)
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > c.config.Keep {
		w := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.jobs, w.id)
		c.drop(prefixWork + w.id)
		c.drop(prefixProgress + w.id)
	}
}

func (c *Conductor) tickHost(now time.Time, name string, h *host) {
	for _, e := range h.ordered() {
		if now.After(e.leasedTo) {
			c.executorGone(e, "its leases are over")
		}
	}
	if len(h.executors) == 0 && now.Sub(h.heardAt) > c.config.ForgetHost {
		delete(c.hosts, name)
		c.drop(prefixHost + name)
	}
}

// settled reports whether every executor that the last owner used was listed or
// is provably idle. Later ones join with a list, so that it stays so.
func (c *Conductor) settled() bool {
	if c.isSettled {
		return true
	}
	for _, h := range c.hosts {
		for _, e := range h.executors {
			if !e.listed {
				return false
			}
		}
	}
	c.isSettled = true
	return true
}

// allExecutors returns the executors in order of their ids.
func (c *Conductor) allExecutors() []*executor {
	if c.sorted == nil {
		c.sorted = []*executor{}
		for _, h := range c.hosts {
			for _, e := range h.executors {
				c.sorted = append(c.sorted, e)
			}
		}
		slices.SortFunc(c.sorted, func(a, b *executor) int { return cmp.Compare(a.id, b.id) })
	}
	return c.sorted
}

// HostOf returns the address and incarnation of a host's agent and its last
// ticket, in milliseconds of the agent's clock.
func (c *Conductor) HostOf(name string) (address, incarnation string, ticket int, ok bool) {
	h := c.hosts[name]
	if h == nil || !h.reported {
		return "", "", 0, false
	}
	return h.address, h.incarnation, h.ticket, true
}

// Package custodian decides for the agent of one host: which orders of the owner
// it carries out, how long its executors' leases last, what it reports, and how
// fast work that fills may go beside work that serves.
//
// A Custodian is fed announcements and answers of executors, orders of the owner
// and the time. It returns calls to make. It does no I/O and starts no goroutine.
// It is not safe for concurrent use.
package custodian

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// Config holds the bounds of a Custodian.
type Config struct {
	// Lease is how long runs go on after the report whose answer renewed them.
	Lease time.Duration
	// Margin is added to a lease that an executor may have got before its runs
	// count as ended.
	Margin time.Duration
	// Retry is how long after an unanswered call it is made again.
	Retry time.Duration
	// Silence is how long an executor is silent before it counts as unreachable.
	Silence time.Duration
	// HoldWait is how long an executor waits for an end before it answers a hold.
	HoldWait time.Duration
	// Smoothing is the part of the latest figure in a serving task's headroom, 0 to 1.
	Smoothing float64
	// Doubtful is how long a tail is over its target before the presses that are
	// known of it are doubted; users allow 4 s.
	Doubtful time.Duration
	// LogPace is the least change of a pace that is logged, in percent.
	LogPace int
	// Pace holds the bounds of the pace.
	Pace pacer.Config
	// Press is the press of a pair of images of which nothing is known.
	Press float64
}

// DefaultConfig returns the bounds used by agents.
func DefaultConfig() Config {
	return Config{
		Lease:     4 * time.Second,
		Margin:    200 * time.Millisecond,
		Retry:     500 * time.Millisecond,
		Silence:   time.Second,
		HoldWait:  250 * time.Millisecond,
		Smoothing: 0.6,
		Doubtful:  1500 * time.Millisecond,
		LogPace:   25,
		Pace:      pacer.DefaultConfig(),
		Press:     0.35,
	}
}

// Calls are what a Custodian wants to be called.
type Calls struct {
	Starts []StartCall
	Stops  []RunCall
	Paces  []RunCall
}

// Custodian is the state of one host's executors.
type Custodian struct {
	config      Config
	logger      hclog.Logger
	registry    metrics.Registry
	host        string
	address     string
	incarnation string
	origin      time.Time

	epoch     int
	taken     int
	ownerAt   time.Time
	executors map[string]*executor
	gone      []life
	refusals  []messenger.RunRefusal
	refused   int
	latest    time.Time
	token     int64
	presses   map[[2]string]float64
}

// New returns the custodian of a host whose agent serves at address.
func New(now time.Time, config Config, host, address, incarnation string, logger hclog.Logger, registry metrics.Registry) *Custodian {
	return &Custodian{
		config:      config,
		logger:      logger,
		registry:    registry,
		host:        host,
		address:     address,
		incarnation: incarnation,
		origin:      now,
		ownerAt:     now,
		executors:   map[string]*executor{},
		presses:     map[[2]string]float64{},
	}
}

// Epoch returns the greatest epoch that the agent has seen.
func (c *Custodian) Epoch() int { return c.epoch }

// Announced takes what an executor tells of itself and reports whether that was
// news to the owner.
func (c *Custodian) Announced(now time.Time, a Announcement) bool {
	c.latest = now
	e := c.executors[a.ID]
	if c.over(a.ID, a.Born) {
		return false
	}
	if e != nil && (a.Born < e.Born || a.Born == e.Born && a.Sequence <= e.Sequence) {
		return false
	}
	if e != nil && a.Born > e.Born {
		c.drop(e, "reborn")
		e = nil
	}
	if e == nil {
		if !c.replaces(a) {
			c.logger.Info("executor over", "executor", a.ID, "born", a.Born, "reason", "a later one has its address")
			c.gone = append(c.gone, life{ExecutorLife: messenger.ExecutorLife{Id: a.ID, Born: a.Born}, at: now})
			return false
		}
		e = &executor{Announcement: a, heardAt: now, runs: map[messenger.RunRef]*run{}, token: c.nextToken(a.Clock)}
		c.executors[a.ID] = e
		c.logger.Info("executor announced", "executor", a.ID, "born", a.Born, "address", a.Address, "draining", a.Draining)
	}
	news := e.Draining != a.Draining || !e.held
	e.Announcement = a
	e.takeClock(now, a.Clock)
	if a.Draining {
		e.leavesAt = now.Add(a.Remaining)
	}
	return news
}

// nextToken returns a token above all that this agent has used, and, as an
// executor's clock only rises, above those of earlier agents in the same life.
func (c *Custodian) nextToken(clock time.Duration) int64 {
	c.token = max(c.token+1, clock.Milliseconds())
	return c.token
}

// replaces drops the older lives at the address of a new one, and reports whether
// it is the newest.
func (c *Custodian) replaces(a Announcement) bool {
	for _, e := range c.executors {
		if e.Address != a.Address {
			continue
		}
		if e.Born > a.Born {
			return false
		}
		c.drop(e, "replaced at its address")
	}
	return true
}

// Left takes that an executor is about to end.
func (c *Custodian) Left(id string) {
	if e := c.executors[id]; e != nil {
		e.Draining = true
	}
}

// goneLife is how long an executor's end is reported. A life that another one
// under the same id follows is reported together with what the next one runs: an
// order for the one may have reached the other.
const goneLife = 30 * time.Second

// life is one life of an executor that is over.
type life struct {
	messenger.ExecutorLife
	at time.Time
}

// over reports whether a life of an executor is known to be over.
func (c *Custodian) over(id string, born int) bool {
	return slices.ContainsFunc(c.gone, func(l life) bool { return l.Id == id && l.Born >= born })
}

func (c *Custodian) drop(e *executor, reason string) {
	c.gone = append(c.gone, life{ExecutorLife: messenger.ExecutorLife{Id: e.ID, Born: e.Born}, at: c.latest})
	c.logger.Info("executor dropped", "executor", e.ID, "born", e.Born, "runs", len(e.runs), "reason", reason)
	delete(c.executors, e.ID)
}

// Executors returns the ids of the executors, in order.
func (c *Custodian) Executors() []string {
	ids := make([]string, 0, len(c.executors))
	for id := range c.executors {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Hold returns the next call to renew the leases of an executor, and false when it
// is not known any more.
func (c *Custodian) Hold(now time.Time, id string) (HoldCall, bool) {
	e := c.executors[id]
	if e == nil {
		return HoldCall{}, false
	}
	call := HoldCall{Executor: e.ID, Address: e.Address, Token: e.token, Seen: e.seen}
	if e.held && e.leaseTo.After(now) {
		call.Deadline = e.deadline(e.leaseTo)
		e.leasedTo = e.leaseTo
	}
	if e.held && e.seen >= e.listed {
		call.Wait = c.config.HoldWait
	}
	return call, true
}

// Held takes the answer to a hold that was sent at sent. It reports whether the
// owner should be told.
func (c *Custodian) Held(now, sent time.Time, call HoldCall, holding Holding, err error) (Calls, bool) {
	c.latest = now
	e := c.executors[call.Executor]
	if e == nil {
		return Calls{}, false
	}
	if err != nil {
		return Calls{}, c.holdFailed(now, e, holding.Answer, err)
	}
	if holding.Born != 0 && holding.Born != e.Born {
		c.reborn(now, e, holding.Answer)
		return Calls{}, true
	}
	e.heardAt = now
	e.takeClock(now, holding.Clock)
	if !e.held {
		if !e.fenced {
			e.token = c.nextToken(holding.Clock)
			e.fenced = true
			return Calls{}, false
		}
		e.held = call.Token == e.token
	}
	changed := c.takeEnds(e, holding.Ends)
	changed = c.takeRuns(e, sent, holding.Runs) || changed
	return c.pace(now, e), changed
}

// reborn takes that an executor answers in another life under its id.
func (c *Custodian) reborn(now time.Time, e *executor, answer Answer) {
	c.drop(e, "another life answers")
	next := e.Announcement
	next.Born, next.Sequence, next.Clock, next.Draining = answer.Born, 0, answer.Clock, false
	c.Announced(now, next)
}

// holdFailed draws the consequences of a hold that was not answered, or refused.
func (c *Custodian) holdFailed(now time.Time, e *executor, answer Answer, err error) bool {
	e.takeClock(now, answer.Clock)
	switch apricotwinch.KindOf(err) {
	case apricotwinch.StaleIncarnation:
		c.drop(e, err.Error())
		return true
	case apricotwinch.StaleEpoch:
		c.token += e.refused
		e.refused = 2*e.refused + 1
		e.token = c.nextToken(answer.Clock)
		e.fenced = answer.Clock > 0
	}
	return false
}

func (c *Custodian) takeEnds(e *executor, ends []messenger.RunEnd) bool {
	news := false
	for _, end := range ends {
		if end.Number <= e.listed {
			continue
		}
		e.listed = end.Number
		e.ends = append(e.ends, end)
		e.remove(end.Run)
		news = true
		metrics.GetOrRegisterCounter("runs.ended."+end.How, c.registry).Inc(1)
		if c.logger.IsInfo() {
			c.logger.Info("run ended", "run", end.Run, "executor", e.ID, "how", end.How, "number", end.Number)
		}
	}
	return news
}

// takeRuns takes the list of what runs, as of a call that was sent at sent.
func (c *Custodian) takeRuns(e *executor, sent time.Time, states []messenger.RunState) bool {
	news := false
	listed := make(map[messenger.RunRef]bool, len(states))
	for _, state := range states {
		listed[state.Run] = true
		r := e.runs[state.Run]
		if r == nil {
			r = &run{order: messenger.RunOrder{Run: state.Run, Executor: e.ID}, phase: messenger.RunRunning, pace: 100}
			e.add(r)
			news = true
		}
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
			news = true
		}
		r.confirmed = sent
		r.state = state
	}
	for ref, r := range e.runs {
		gone := !r.confirmed.IsZero() && r.confirmed.Before(sent) && !r.inFlight
		if gone && !listed[ref] && r.phase != messenger.RunStarting {
			c.logger.Info("run vanished", "run", ref, "executor", e.ID)
			e.remove(ref)
			news = true
		}
	}
	return news
}

// Ordered takes orders of an owner and returns the calls that carry them out.
func (c *Custodian) Ordered(now time.Time, o messenger.Orders) (Calls, error) {
	if o.Epoch < c.epoch {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleEpoch, "epoch: %d is before %d", o.Epoch, c.epoch)
	}
	if o.Incarnation != c.incarnation {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleIncarnation, "incarnation: %s is not %s", o.Incarnation, c.incarnation)
	}
	if age := now.Sub(c.origin) - time.Duration(o.TicketMillis)*time.Millisecond; age > c.config.Lease {
		return Calls{}, apricotwinch.Errorf(apricotwinch.StaleView, "ticketMillis: the orders rest on a report of %s ago", age)
	}
	c.see(o.Epoch)
	c.acknowledge(o.Seen)
	if o.Number <= c.taken {
		return Calls{}, nil
	}
	c.taken = o.Number
	var calls Calls
	for _, order := range o.Known {
		c.describe(order)
	}
	for _, stop := range o.Stops {
		c.stop(now, stop, &calls)
	}
	for _, start := range o.Starts {
		c.start(now, start, &calls)
	}
	return calls, nil
}

// see notes an epoch; a later one starts counting orders anew.
func (c *Custodian) see(epoch int) {
	if epoch > c.epoch {
		c.logger.Info("later epoch", "epoch", epoch, "before", c.epoch)
		c.epoch = epoch
		c.taken = 0
	}
}

func (c *Custodian) acknowledge(seen []messenger.EndsSeen) {
	for _, s := range seen {
		e := c.executors[s.Executor]
		if e == nil || e.Born != s.Born || s.Through <= e.seen {
			continue
		}
		e.seen = s.Through
		e.ends = slices.DeleteFunc(e.ends, func(end messenger.RunEnd) bool { return end.Number <= s.Through })
	}
}

func (c *Custodian) start(now time.Time, order messenger.RunOrder, calls *Calls) {
	e := c.executors[order.Executor]
	if e == nil || !e.held {
		c.refuse(order.Run, apricotwinch.NotFound)
		return
	}
	if e.Draining {
		c.refuse(order.Run, apricotwinch.Draining)
		return
	}
	if r := e.runs[order.Run]; r != nil {
		return
	}
	r := &run{order: order, known: true, phase: messenger.RunStarting, pace: 100}
	if !e.committed.Add(e.need(r)).Fits(e.Capacity) {
		c.refuse(order.Run, apricotwinch.NoCapacity)
		return
	}
	e.add(r)
	c.call(now, e, r, calls)
}

// describe takes what a run is that was found at an executor.
func (c *Custodian) describe(order messenger.RunOrder) {
	e := c.executors[order.Executor]
	if e == nil || e.runs[order.Run] == nil || e.runs[order.Run].known {
		return
	}
	r := e.runs[order.Run]
	e.remove(order.Run)
	r.order = order
	r.known = true
	e.add(r)
}

func (c *Custodian) refuse(ref messenger.RunRef, kind apricotwinch.Kind) {
	c.refused++
	c.refusals = append(c.refusals, messenger.RunRefusal{Run: ref, Kind: string(kind)})
	metrics.GetOrRegisterCounter(kind.Answer().Counter(), c.registry).Inc(1)
	c.logger.Info("run refused", "run", ref, "kind", string(kind))
}

// call adds the call that is due for a run.
func (c *Custodian) call(now time.Time, e *executor, r *run, calls *Calls) {
	r.inFlight = true
	r.retryAt = now.Add(c.config.Retry)
	if r.phase == messenger.RunStopping {
		calls.Stops = append(calls.Stops, RunCall{Executor: e.ID, Address: e.Address, Token: e.token, Run: r.order.Run})
		return
	}
	e.leasedTo = e.leaseTo
	calls.Starts = append(calls.Starts, StartCall{
		Executor: e.ID, Address: e.Address, Token: e.token, Deadline: e.deadline(e.leaseTo), Order: r.order,
	})
}

func (c *Custodian) stop(now time.Time, stop messenger.RunStop, calls *Calls) {
	e := c.executors[stop.Executor]
	if e == nil {
		return
	}
	r := e.runs[stop.Run]
	if r == nil || r.phase == messenger.RunStopping {
		return
	}
	r.phase = messenger.RunStopping
	c.call(now, e, r, calls)
}

// find returns a run that is still held.
func (c *Custodian) find(id string, ref messenger.RunRef) (*executor, *run) {
	e := c.executors[id]
	if e == nil {
		return nil, nil
	}
	return e, e.runs[ref]
}

// Started takes the answer to a start. It reports whether the owner should be
// told.
func (c *Custodian) Started(now time.Time, call StartCall, answer Answer, err error) (Calls, bool) {
	e, r := c.find(call.Executor, call.Order.Run)
	if r == nil {
		return Calls{}, false
	}
	e.takeClock(now, answer.Clock)
	r.inFlight = false
	kind := apricotwinch.KindOf(err)
	switch kind {
	case "":
		e.heardAt = now
		if r.phase == messenger.RunStarting {
			r.phase = messenger.RunRunning
		}
		r.confirmed = now
		return c.pace(now, e), true
	case apricotwinch.Conflict:
		// The run, or a later one, was there: the next list tells whether it ended.
		r.phase = messenger.RunRunning
		r.confirmed = now
		return Calls{}, false
	case apricotwinch.NoCapacity, apricotwinch.Invalid, apricotwinch.NoTarget:
		e.remove(call.Order.Run)
		c.refuse(call.Order.Run, kind)
		return Calls{}, true
	}
	c.logger.Info("start unanswered", "run", call.Order.Run, "executor", e.ID, "kind", string(kind), "error", err)
	return Calls{}, false
}

// Stopped takes the answer to a stop.
func (c *Custodian) Stopped(now time.Time, call RunCall, answer Answer, err error) {
	e, r := c.find(call.Executor, call.Run)
	if r == nil {
		return
	}
	e.takeClock(now, answer.Clock)
	r.inFlight = false
	if err == nil {
		if r.confirmed.IsZero() {
			r.confirmed = now
		}
		r.retryAt = now.Add(c.config.Lease)
	}
}

// Tick returns the calls that are due again, and reports whether the owner should
// be told of something.
func (c *Custodian) Tick(now time.Time) (Calls, bool) {
	var calls Calls
	news := false
	for _, id := range c.Executors() {
		e := c.executors[id]
		if len(e.runs) > 0 && now.After(e.leasedTo.Add(c.config.Margin)) && now.Sub(e.heardAt) > c.config.Silence {
			c.logger.Info("leases over", "executor", id, "runs", len(e.runs), "silentMillis", now.Sub(e.heardAt).Milliseconds())
			for ref := range e.runs {
				e.remove(ref)
			}
			news = true
		}
		for _, r := range e.ordered() {
			if !r.inFlight && r.phase != messenger.RunRunning && !now.Before(r.retryAt) {
				c.call(now, e, r, &calls)
			}
		}
	}
	return calls, news
}

// ordered returns the runs in a fixed order.
func (e *executor) ordered() []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a.order.Run, b.order.Run) })
	return runs
}

func compareRuns(a, b messenger.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task.Workload, b.Task.Workload),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Run, b.Run),
	)
}

// Report returns what the owner is told.
func (c *Custodian) Report(now time.Time, whole bool) messenger.Report {
	report := messenger.Report{
		Host:              c.host,
		Address:           c.address,
		Incarnation:       c.incarnation,
		TicketMillis:      int(now.Sub(c.origin).Milliseconds()),
		Epoch:             c.epoch,
		Orders:            c.taken,
		OwnerSilentMillis: int(now.Sub(c.ownerAt).Milliseconds()),
	}
	if !whole {
		return report
	}
	report.Whole = true
	report.Refusals = slices.Clone(c.refusals)
	report.RefusalsThrough = c.refused
	c.gone = slices.DeleteFunc(c.gone, func(l life) bool { return now.Sub(l.at) > goneLife })
	for _, l := range c.gone {
		if next := c.executors[l.Id]; next == nil || next.held {
			report.Gone = append(report.Gone, l.ExecutorLife)
		}
	}
	for _, id := range c.Executors() {
		e := c.executors[id]
		if !e.held {
			continue
		}
		if e.listedAt.IsZero() {
			e.listedAt = now
		}
		report.Executors = append(report.Executors, c.state(now, e))
	}
	return report
}

func (c *Custodian) state(now time.Time, e *executor) messenger.ExecutorState {
	silent := now.Sub(e.heardAt)
	state := messenger.ExecutorState{
		Executor: messenger.ExecutorRecord{
			Id:         e.ID,
			Born:       e.Born,
			Address:    e.Address,
			Service:    e.Service,
			DataCentre: e.DataCentre,
			Capacity:   messenger.FromResources(e.Capacity),
			Labels:     e.Labels,
		},
		Draining:        e.Draining,
		Reachable:       silent < c.config.Silence,
		RemainingMillis: int(max(0, e.leavesAt.Sub(now)).Milliseconds()),
		SilentMillis:    int(silent.Milliseconds()),
		Ends:            slices.Clone(e.ends),
	}
	for _, r := range e.ordered() {
		s := r.state
		s.Run = r.order.Run
		s.Phase = r.phase
		s.Pace = r.pace
		s.Fills = r.order.Fills
		s.Unknown = !r.known
		state.Runs = append(state.Runs, s)
	}
	return state
}

// Answered takes an entry's answer to a report that was made at sent.
func (c *Custodian) Answered(now, sent time.Time, reply messenger.ReportReply) {
	if !reply.Owner || reply.Epoch < c.epoch {
		return
	}
	c.see(reply.Epoch)
	c.ownerAt = now
	c.acknowledge(reply.Seen)
	for _, e := range c.executors {
		listed := !e.listedAt.IsZero() && !e.listedAt.After(sent)
		if to := sent.Add(c.config.Lease); reply.Lease && listed && to.After(e.leaseTo) {
			e.leaseTo = to
		}
	}
	for _, record := range reply.Executors {
		c.recall(now, record)
	}
	for _, p := range reply.Presses {
		c.presses[[2]string{p.Serving, p.Filling}] = p.Headroom
	}
	if keep := c.refused - reply.RefusalsThrough; keep < len(c.refusals) {
		c.refusals = slices.Clone(c.refusals[len(c.refusals)-max(0, keep):])
	}
}

// recall takes an executor that the owner knows and this agent does not yet.
func (c *Custodian) recall(now time.Time, record messenger.ExecutorRecord) {
	if c.executors[record.Id] != nil || c.over(record.Id, record.Born) {
		return
	}
	c.Announced(now, Announcement{
		ID:         record.Id,
		Born:       record.Born,
		Service:    record.Service,
		Address:    record.Address,
		DataCentre: record.DataCentre,
		Capacity:   record.Capacity.Value(),
		Labels:     record.Labels,
	})
}

// press returns what is known of a pair of images.
func (c *Custodian) press(serving, filling string) float64 {
	if p, ok := c.presses[[2]string{serving, filling}]; ok {
		return p
	}
	return c.config.Press
}

// pace returns the calls that set how fast the work that fills may go.
func (c *Custodian) pace(now time.Time, e *executor) Calls {
	shares := map[string]float64{}
	var filling []pacer.Filling
	var runs []*run
	for _, r := range e.ordered() {
		if r.order.Fills && r.phase == messenger.RunRunning {
			filling = append(filling, pacer.Filling{Image: r.order.Image, Pace: r.pace})
			runs = append(runs, r)
			shares[r.order.Image] += r.share()
		}
	}
	if len(filling) == 0 {
		return Calls{}
	}
	serving := c.serving(now, e, shares)
	var calls Calls
	for i, pace := range pacer.Decide(c.config.Pace, serving, filling, c.press) {
		r := runs[i]
		if r.pace == pace {
			continue
		}
		c.logPace(now, e, r, pace, serving)
		r.pace = pace
		calls.Paces = append(calls.Paces, RunCall{Executor: e.ID, Address: e.Address, Token: e.token, Run: r.order.Run, Percent: pace})
	}
	return calls
}

// serving returns the serving tasks of an executor, with the headroom that each
// would have alone.
func (c *Custodian) serving(now time.Time, e *executor, shares map[string]float64) []pacer.Serving {
	var serving []pacer.Serving
	for _, r := range e.ordered() {
		if r.order.TailTargetMillis <= 0 || r.phase != messenger.RunRunning {
			continue
		}
		if h := r.headroom(); h > 0 && e.heardAt.After(r.smoothedAt) {
			alone := pacer.Undisturbed(h, r.order.Image, shares, c.press)
			if r.alone == 0 || now.Sub(r.smoothedAt) > c.config.Silence {
				r.alone = alone
			}
			r.alone += c.config.Smoothing * (alone - r.alone)
			r.smoothedAt = e.heardAt
		}
		if h := r.headroom(); h == 0 || h >= 1 {
			r.calmAt = now
		}
		doubtful := !r.calmAt.IsZero() && now.Sub(r.calmAt) > c.config.Doubtful
		serving = append(serving, pacer.Serving{Image: r.order.Image, Undisturbed: r.alone, Doubtful: doubtful})
	}
	return serving
}

// logPace tells of a pace that changed much, or not at all for long.
func (c *Custodian) logPace(now time.Time, e *executor, r *run, pace int, serving []pacer.Serving) {
	change := pace - r.loggedPace
	if change < c.config.LogPace && change > -c.config.LogPace {
		return
	}
	r.loggedPace = pace
	c.logger.Info("pace", "run", r.order.Run, "executor", e.ID, "image", r.order.Image, "percent", pace,
		"before", r.pace, "alone", serving, "figuresAgeMillis", now.Sub(e.heardAt).Milliseconds())
}

// share returns the share of full speed at which a filling run worked lately.
func (r *run) share() float64 {
	need := r.order.Resources.ProcessorMillis
	if need <= 0 {
		return 0
	}
	return r.state.Figure / float64(need)
}

// headroom returns the target of a serving run divided by its tail; 0 for unknown.
func (r *run) headroom() float64 {
	if r.state.Figure <= 0 {
		return 0
	}
	return float64(r.order.TailTargetMillis) / r.state.Figure
}

// Paced takes the answer to a change of pace; one that failed is made again.
func (c *Custodian) Paced(call RunCall, err error) {
	if _, r := c.find(call.Executor, call.Run); r != nil && err != nil {
		r.pace = pacer.Full
	}
}

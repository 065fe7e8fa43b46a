// Package attendant runs the agent of one host, the process beside its executors. It reports
// to the owner of the workloads, takes the owner's orders and calls the executors.
//
// Package custodian makes the decisions; this package adds sockets, goroutines and timers.
package attendant

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/connector"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// Periods and limits of the agent.
const (
	// tickPeriod is the period at which the agent checks for calls that are due.
	tickPeriod = 100 * time.Millisecond
	// reportPeriod is the longest time between two reports to the owner. A lease lasts for several
	// of them, so that a lost report does not end it.
	reportPeriod = 400 * time.Millisecond
	// minReportInterval is the least time between two reports to the owner: one report carries the
	// ends of runs that come close together.
	minReportInterval = 15 * time.Millisecond
	// shortReportPeriod is the time between two short reports to an entry that is not the owner,
	// unless that entry asks for a longer one.
	shortReportPeriod = 500 * time.Millisecond
	// standbysPeriod is the time after which an entry is asked for the standbys again.
	standbysPeriod = time.Second
	// searchedAtOnce is how many entries of the store's list are asked for the owner at once.
	searchedAtOnce = 4
	// shortReportTimeout bounds a short report.
	shortReportTimeout = 600 * time.Millisecond
	// dialTimeout bounds the dial of an entry.
	dialTimeout = 400 * time.Millisecond
	// executorTimeout bounds a hold, beyond the wait that the executor is asked for.
	executorTimeout = time.Second
	// orderTimeout bounds a start, a stop or a pace. An executor answers these in milliseconds,
	// and one without an answer is repeated and takes effect once.
	orderTimeout = 300 * time.Millisecond
	// holdPause is the time between two holds while ends are not durable yet, or after a failed
	// hold.
	holdPause = 30 * time.Millisecond
	// searchPeriod is the time between the first two rounds of short reports while no owner is known;
	// it doubles up to maxSearchPeriod.
	searchPeriod    = 30 * time.Millisecond
	maxSearchPeriod = 120 * time.Millisecond
	// membersRetryPeriod is the time between the first reads of the members from the store while
	// no owner is known; it doubles up to maxMembersRetryPeriod.
	membersRetryPeriod    = 500 * time.Millisecond
	maxMembersRetryPeriod = 2 * time.Second
	// storeTimeout bounds a read of the store. The store's client ends a read that brings nothing
	// much earlier.
	storeTimeout = 5 * time.Second
	// maxPeerConns bounds the connections from entries.
	maxPeerConns = 64
)

// Executor calls executors; the driver for the platform supplies its functions. They fail with
// Unreachable when nothing was sent, with Unknown when the executor may have acted, with
// StaleIncarnation when another incarnation answers or no process listens, with StaleEpoch for
// a low fencing token, with Conflict for a run number that is too low, with DeadlineExceeded
// for a deadline that has passed, and with NoCapacity, Invalid, NoTarget or Forbidden when
// nothing was done.
type Executor struct {
	Start func(ctx context.Context, call custodian.StartCall) (custodian.Answer, error)
	Stop  func(ctx context.Context, call custodian.RunCall) (custodian.Answer, error)
	Pace  func(ctx context.Context, call custodian.RunCall) (custodian.Answer, error)
	Hold  func(ctx context.Context, call custodian.HoldCall) (custodian.HoldAnswer, error)
}

// Settings configures the agent of a host.
type Settings struct {
	// Host names the host.
	Host string
	// Listen is the address on which the agent listens for entries, host:port.
	Listen string
	// Advertise is the address that entries dial, host:port; empty for the one that the agent
	// listens on.
	Advertise string
	// Source is the local IP address of connections to entries; empty for the system's choice.
	Source string
	// Seeds are addresses of entries to try while no owner is known, also when the store does not
	// answer.
	Seeds []string
	// PeerLimits bounds the connections and the messages of entries.
	PeerLimits connector.Limits
}

// Dependencies holds what the driver supplies to an attendant.
type Dependencies struct {
	Executor Executor
	Log      appender.KeyedLog
	Clock    clockwork.Clock
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Attendant is the agent of one host.
type Attendant struct {
	settings  Settings
	deps      Dependencies
	pool      *connector.Pool
	listener  net.Listener
	reportNow chan struct{}

	mu        sync.Mutex
	ctx       context.Context
	custodian *custodian.Custodian
	holdLoops map[string]bool
	// members holds the entries that the store lists, by name, and standbys those that take short
	// reports, as an entry last named them.
	members  map[string]messenger.Member
	standbys []messenger.Member
	owner    string
	reporter custodian.Reporter
	// reportingTo is the owner that has yet to answer a report, or empty; reportPending is whether
	// another report is due after the answer.
	reportingTo   string
	reportPending bool
	shortReports  map[string]shortReport
	standbysAt    time.Time
}

// shortReport is the last short report to an entry, and the interval that the entry asks for
// while the owner answers.
type shortReport struct {
	sentAt time.Time
	period time.Duration
}

// New returns an agent that listens on the address of its settings. Its error is of the kind
// Invalid when it cannot listen or the source is not an IP address.
func New(settings Settings, deps Dependencies) (*Attendant, error) {
	pool := connector.NewPool(connector.Security{}, deps.Registry)
	pool.SetDialTimeout(dialTimeout)
	if err := pool.SetSource(settings.Source); err != nil {
		return nil, err
	}
	listener, err := connector.Listen(settings.Listen, settings.PeerLimits.ReceiveBuffer, settings.PeerLimits.ReceiveBuffer)
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "listen: %w", err)
	}
	now := deps.Clock.Now()
	incarnation := uuid.NewString()
	return &Attendant{
		settings:  settings,
		deps:      deps,
		pool:      pool,
		listener:  listener,
		reportNow: make(chan struct{}, 1),
		custodian: custodian.New(now, custodian.DefaultConfig(), settings.Host, cmp.Or(settings.Advertise, listener.Addr().String()), incarnation,
			deps.Logger, deps.Registry),
		holdLoops:    map[string]bool{},
		members:      map[string]messenger.Member{},
		shortReports: map[string]shortReport{},
	}, nil
}

// Run serves until ctx is done. The executors' runs continue; the next agent of the host takes
// them over.
func (a *Attendant) Run(ctx context.Context) error {
	defer a.pool.Close()
	group, groupCtx := errgroup.WithContext(ctx)
	a.mu.Lock()
	a.ctx = groupCtx
	a.mu.Unlock()
	table := connector.Table{messenger.MethodOrder: connector.Handle(a.handleOrders)}
	server := connector.NewServer(table, connector.Security{}, a.deps.Registry, maxPeerConns)
	server.SetLimits(a.settings.PeerLimits)
	group.Go(func() error { return server.Serve(groupCtx, a.listener) })
	group.Go(func() error { a.tickLoop(groupCtx); return nil })
	group.Go(func() error { a.reportLoop(groupCtx); return nil })
	group.Go(func() error { a.findOwner(groupCtx); return nil })
	a.deps.Logger.Info("agent started", "host", a.settings.Host, "address", a.listener.Addr().String())
	err := group.Wait()
	a.deps.Logger.Info("agent stopped", "host", a.settings.Host)
	return err
}

// HandleAnnouncement takes the state that an executor announces.
func (a *Attendant) HandleAnnouncement(announcement custodian.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.custodian.HandleAnnouncement(a.deps.Clock.Now(), announcement) {
		a.triggerReport()
	}
	a.startHoldLoops()
}

// MarkDraining records that an executor is about to end.
func (a *Attendant) MarkDraining(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.MarkDraining(id)
	a.triggerReport()
}

// triggerReport makes the next report go out at once.
func (a *Attendant) triggerReport() {
	select {
	case a.reportNow <- struct{}{}:
	default:
	}
}

// startHoldLoops starts a loop for each executor that has none. The caller holds a.mu.
func (a *Attendant) startHoldLoops() {
	if a.ctx == nil {
		return
	}
	for _, id := range a.custodian.Executors() {
		if !a.holdLoops[id] {
			a.holdLoops[id] = true
			go a.holdLoop(a.ctx, id)
		}
	}
}

// holdLoop renews the leases of an executor until the executor is gone.
func (a *Attendant) holdLoop(ctx context.Context, id string) {
	for ctx.Err() == nil {
		a.mu.Lock()
		sent := a.deps.Clock.Now()
		call, ok := a.custodian.NextHold(sent, id)
		if !ok {
			delete(a.holdLoops, id)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		holdCtx, cancel := context.WithTimeout(ctx, call.Wait+executorTimeout)
		answer, err := a.deps.Executor.Hold(holdCtx, call)
		cancel()
		a.mu.Lock()
		calls, changed := a.custodian.HandleHoldAnswer(a.deps.Clock.Now(), sent, call, answer, err)
		a.makeCalls(calls)
		a.mu.Unlock()
		if changed {
			a.triggerReport()
		}
		if err != nil || call.Wait == 0 {
			timekeeper.Sleep(ctx, a.deps.Clock, holdPause)
		}
	}
}

// makeCalls starts the calls that the custodian returned. The caller holds a.mu.
func (a *Attendant) makeCalls(calls custodian.Calls) {
	for _, call := range calls.Stops {
		go a.stop(a.ctx, call)
	}
	for _, call := range calls.Starts {
		go a.start(a.ctx, call)
	}
	for _, call := range calls.Paces {
		go a.pace(a.ctx, call)
	}
	for _, call := range calls.Probes {
		go a.probe(a.ctx, call)
	}
}

func (a *Attendant) start(ctx context.Context, call custodian.StartCall) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := a.deps.Clock.Now()
	answer, err := a.deps.Executor.Start(ctx, call)
	now := a.deps.Clock.Now()
	metrics.GetOrRegisterTimer("executor.start", a.deps.Registry).Update(now.Sub(sent))
	a.mu.Lock()
	defer a.mu.Unlock()
	calls, changed := a.custodian.HandleStartAnswer(now, call, answer, err)
	a.makeCalls(calls)
	if changed {
		a.triggerReport()
	}
}

func (a *Attendant) stop(ctx context.Context, call custodian.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := a.deps.Executor.Stop(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.HandleStopAnswer(a.deps.Clock.Now(), call, answer, err)
}

func (a *Attendant) pace(ctx context.Context, call custodian.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := a.deps.Executor.Pace(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.HandlePaceAnswer(call, err)
}

func (a *Attendant) probe(ctx context.Context, call custodian.HoldCall) {
	ctx, cancel := context.WithTimeout(ctx, executorTimeout)
	defer cancel()
	sent := a.deps.Clock.Now()
	answer, err := a.deps.Executor.Hold(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.custodian.HandleProbeAnswer(a.deps.Clock.Now(), sent, call, answer.Answer, err) {
		a.triggerReport()
	}
	a.startHoldLoops()
}

// tickLoop makes the calls that are due, each tickPeriod, until ctx is done.
func (a *Attendant) tickLoop(ctx context.Context) {
	ticker := a.deps.Clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		a.mu.Lock()
		calls, changed := a.custodian.Tick(a.deps.Clock.Now())
		a.makeCalls(calls)
		a.startHoldLoops()
		a.mu.Unlock()
		if changed {
			a.triggerReport()
		}
	}
}

// handleOrders takes the owner's orders.
func (a *Attendant) handleOrders(_ context.Context, orders messenger.Orders) (messenger.OrdersReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls, err := a.custodian.HandleOrders(a.deps.Clock.Now(), orders)
	if err != nil {
		a.deps.Logger.Info("orders refused", "epoch", orders.Epoch, "number", orders.Number, "error", err)
		return messenger.OrdersReply{}, err
	}
	a.makeCalls(calls)
	return messenger.OrdersReply{Accepted: true}, nil
}

// reportLoop reports the state of the executors to the owner, at once after a change. Short reports
// don't wait for the owner's answer.
func (a *Attendant) reportLoop(ctx context.Context) {
	searches := 0
	for ctx.Err() == nil {
		wait := reportPeriod
		if a.startReport(ctx) {
			searches = 0
		} else {
			wait = apricotwinch.ExponentialBackoff(searchPeriod, maxSearchPeriod, searches)
			searches++
		}
		a.sendShortReports(ctx)
		timekeeper.Sleep(ctx, a.deps.Clock, minReportInterval)
		select {
		case <-ctx.Done():
			return
		case <-a.reportNow:
		case <-a.deps.Clock.After(wait):
		}
	}
}

// startReport starts a report to the owner, or makes it due after the answer to the last one. It
// reports whether an owner is known.
func (a *Attendant) startReport(ctx context.Context) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner == "" {
		return false
	}
	if a.reportingTo == a.owner {
		a.reportPending = true
		return true
	}
	a.reportingTo = a.owner
	go a.reportTo(ctx, a.owner)
	return true
}

// reportTo sends a report to an owner, and makes the next one go out if it became due meanwhile.
func (a *Attendant) reportTo(ctx context.Context, owner string) {
	a.sendReport(ctx, owner, true)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reportingTo != owner {
		return
	}
	a.reportingTo = ""
	if a.reportPending {
		a.reportPending = false
		a.triggerReport()
	}
}

// sendShortReports reports to the standbys that the host is up and how long the owner has not
// answered it, and to some other entries while no owner is known.
func (a *Attendant) sendShortReports(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	for _, m := range append(a.searchedMembers(now), a.standbys...) {
		last := a.shortReports[m.Address]
		period := shortReportPeriod
		if a.owner != "" && now.Sub(a.reporter.AnsweredAt()) < shortReportPeriod {
			period = max(period, last.period)
		}
		if m.Address == a.owner || now.Sub(last.sentAt) < period {
			continue
		}
		last.sentAt = now
		a.shortReports[m.Address] = last
		go a.sendReport(ctx, m.Address, false)
	}
}

// searchedMembers returns the entries that are asked for the owner now: searchedAtOnce of those
// that were not asked for shortReportPeriod, while no owner is known. The caller holds a.mu.
func (a *Attendant) searchedMembers(now time.Time) []messenger.Member {
	if a.owner != "" {
		return nil
	}
	var searched []messenger.Member
	for _, m := range a.members {
		if now.Sub(a.shortReports[m.Address].sentAt) >= shortReportPeriod {
			searched = append(searched, m)
		}
	}
	slices.SortFunc(searched, func(x, y messenger.Member) int {
		return cmp.Or(a.shortReports[x.Address].sentAt.Compare(a.shortReports[y.Address].sentAt), cmp.Compare(x.Name, y.Name))
	})
	return searched[:min(len(searched), searchedAtOnce)]
}

// sendReport sends a report and applies the answer.
func (a *Attendant) sendReport(ctx context.Context, address string, full bool) {
	a.mu.Lock()
	sent := a.deps.Clock.Now()
	report := a.custodian.Report(sent, false)
	timeout := shortReportTimeout
	if full {
		report = a.custodian.NextReport(sent)
		timeout = a.reporter.AnswerTimeout()
	}
	report.AsksMembers = sent.Sub(a.standbysAt) > standbysPeriod
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply messenger.ReportReply
	err := a.pool.Call(ctx, address, messenger.MethodReport, report, &reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	if err != nil {
		a.handleReportFailure(now, address, full, apricotwinch.KindOf(err))
		return
	}
	a.custodian.HandleReportAnswer(now, sent, reply)
	a.setStandbys(now, address, reply)
	switch {
	case reply.Owner && reply.Epoch >= a.custodian.Epoch():
		if a.owner != address {
			a.setOwner(address, reply.Epoch, "the entry reports that it is the owner")
			a.triggerReport()
		}
		a.reporter.HandleAnswer(now, sent)
	case !reply.Owner && reply.OwnerAddress == address && a.owner == address:
		// The owner may not act at present. It will continue, or another entry takes over.
	case !reply.Owner && reply.OwnerAddress != "" && reply.Epoch >= a.custodian.Epoch() && reply.OwnerAddress != a.owner:
		if a.owner == "" || reply.Epoch > a.custodian.Epoch() || a.owner == address {
			a.setOwner(reply.OwnerAddress, reply.Epoch, "another entry reports the owner")
			a.triggerReport()
		}
	case !reply.Owner && a.owner == address:
		a.setOwner("", reply.Epoch, "the entry is no longer the owner")
	}
}

// handleReportFailure makes the next report list everything again, and forgets an owner that is gone.
// The caller holds a.mu.
func (a *Attendant) handleReportFailure(now time.Time, address string, full bool, kind apricotwinch.Kind) {
	metrics.GetOrRegisterCounter("report.failed."+string(kind), a.deps.Registry).Inc(1)
	if !full {
		return
	}
	a.custodian.RequireWholeReport()
	if a.owner == address && a.reporter.HandleFailure(now, kind) {
		a.setOwner("", a.custodian.Epoch(), "the owner does not answer")
	}
}

// setOwner changes the address that reports are sent to. The caller holds a.mu.
func (a *Attendant) setOwner(address string, epoch int, reason string) {
	a.deps.Logger.Info("owner", "address", address, "epoch", epoch, "before", a.owner, "reason", reason)
	a.owner = address
	a.custodian.RequireWholeReport()
	a.reporter.HandleOwner(a.deps.Clock.Now())
}

// setStandbys records the entries that take short reports, and the interval that an entry asks
// for. The caller holds a.mu.
func (a *Attendant) setStandbys(now time.Time, address string, reply messenger.ReportReply) {
	if len(reply.Members) > 0 {
		a.standbysAt = now
		a.standbys = reply.Members
	}
	if last, ok := a.shortReports[address]; ok {
		last.period = time.Duration(reply.LookoutMillis) * time.Millisecond
		a.shortReports[address] = last
	}
}

// findOwner looks for entries while no owner is known.
func (a *Attendant) findOwner(ctx context.Context) {
	reads := 0
	for ctx.Err() == nil {
		a.mu.Lock()
		noOwner := a.owner == ""
		a.mu.Unlock()
		if !noOwner {
			reads = 0
		} else {
			a.readMembers(ctx)
			reads++
			for _, seed := range a.settings.Seeds {
				go a.sendReport(ctx, seed, false)
			}
		}
		timekeeper.Sleep(ctx, a.deps.Clock, apricotwinch.ExponentialBackoff(membersRetryPeriod, maxMembersRetryPeriod, reads))
	}
}

func (a *Attendant) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, err := a.deps.Log.Newest(ctx, appender.JournalMembers)
	if err != nil {
		a.deps.Logger.Info("members not read", "kind", string(apricotwinch.KindOf(err)), "error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		var m messenger.Member
		if err := json.Unmarshal(r.Value(), &m); err != nil {
			a.deps.Logger.Warn("member record ignored", "key", r.Key(), "error", err)
			continue
		}
		a.members[m.Name] = m
	}
	a.triggerReport()
}

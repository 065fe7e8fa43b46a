// Package attendant is the shell of the process beside the executors of one
// host: it reports to the owner of the workloads, takes its orders and calls the
// executors.
//
// The decisions are those of custodian; this package adds sockets, goroutines
// and timers.
package attendant

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
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

// Periods and bounds of the shell.
const (
	// tickPeriod is the resolution of what is due.
	tickPeriod = 100 * time.Millisecond
	// reportPeriod is the longest time between two reports to the owner; a lease
	// lasts several of them.
	reportPeriod = 400 * time.Millisecond
	// reportGap is the least time between two reports to the owner: ends that come close
	// together go into one.
	reportGap = 15 * time.Millisecond
	// lookoutPeriod is the time between two short reports to an entry that is not
	// the owner, unless that asks for another one.
	lookoutPeriod = 500 * time.Millisecond
	// membersPeriod is the time between two questions to the owner for the entries.
	membersPeriod = 2 * time.Second
	// peerTimeout bounds a call to an entry.
	peerTimeout = 600 * time.Millisecond
	// dialTimeout bounds the dial of an entry.
	dialTimeout = 400 * time.Millisecond
	// executorTimeout bounds a call to an executor, beyond the wait it asks for.
	executorTimeout = time.Second
	// orderTimeout bounds an order to an executor, which is answered in some
	// milliseconds; one without an answer is repeated and carried out once.
	orderTimeout = 300 * time.Millisecond
	// holdPause is the time between two holds while ends wait to be durable, or
	// after one that failed.
	holdPause = 30 * time.Millisecond
	// membersRetry is the time between two reads of the members from the store
	// while no owner is known.
	membersRetry = 500 * time.Millisecond
	// storeTimeout bounds a read of the store.
	storeTimeout = 1500 * time.Millisecond
	// maxPeerConns bounds the connections of entries.
	maxPeerConns = 64
)

// Executor calls executors; its functions are the seam that a driver fills. They
// fail with Unreachable when nothing was sent, with Unknown when the executor may
// have acted, with StaleIncarnation when another life answers or no process
// listens, with StaleEpoch for a low token, with Conflict for a run that is too low, with
// DeadlineExceeded for a deadline that has passed, with NoCapacity, Invalid or
// NoTarget when nothing was done.
type Executor struct {
	Start func(ctx context.Context, call custodian.StartCall) (custodian.Answer, error)
	Stop  func(ctx context.Context, call custodian.RunCall) (custodian.Answer, error)
	Pace  func(ctx context.Context, call custodian.RunCall) (custodian.Answer, error)
	Hold  func(ctx context.Context, call custodian.HoldCall) (custodian.Holding, error)
}

// Settings says which host an agent serves.
type Settings struct {
	// Host names the host.
	Host string
	// Listen is the address for entries, host:port.
	Listen string
	// Advertise is the address that entries dial, host:port; empty for the one that the
	// agent listens on.
	Advertise string
	// Seeds are addresses of entries that may be known before the store answers.
	Seeds []string
}

// Deps is what an attendant is given by its driver.
type Deps struct {
	Executor Executor
	Log      appender.KeyedLog
	Clock    clockwork.Clock
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Attendant is the agent of one host.
type Attendant struct {
	settings Settings
	deps     Deps
	pool     *connector.Pool
	listener net.Listener
	news     chan struct{}

	mu        sync.Mutex
	ctx       context.Context
	custodian *custodian.Custodian
	holding   map[string]bool
	members   map[string]messenger.Member
	owner     string
	ownerAt   time.Time
	lookouts  map[string]lookout
	membersAt time.Time
}

// lookout is the latest short report to an entry, and the time until the next one
// that the entry asks for while the owner is heard.
type lookout struct {
	sentAt time.Time
	period time.Duration
}

// New returns an agent that listens on the address of its settings.
func New(settings Settings, deps Deps) (*Attendant, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", settings.Listen)
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "listen: %w", err)
	}
	pool := connector.NewPool(connector.Security{}, deps.Registry)
	pool.SetDialTimeout(dialTimeout)
	now := deps.Clock.Now()
	incarnation := uuid.NewString()
	return &Attendant{
		settings: settings,
		deps:     deps,
		pool:     pool,
		listener: listener,
		news:     make(chan struct{}, 1),
		custodian: custodian.New(now, custodian.DefaultConfig(), settings.Host, cmp.Or(settings.Advertise, listener.Addr().String()), incarnation,
			deps.Logger, deps.Registry),
		holding:  map[string]bool{},
		members:  map[string]messenger.Member{},
		lookouts: map[string]lookout{},
	}, nil
}

// Run serves until ctx is done. What runs goes on; the next agent of the host
// takes it over.
func (a *Attendant) Run(ctx context.Context) error {
	defer a.pool.Close()
	group, serving := errgroup.WithContext(ctx)
	a.mu.Lock()
	a.ctx = serving
	a.mu.Unlock()
	table := connector.Table{messenger.MethodOrder: connector.Handle(a.ordered)}
	server := connector.NewServer(table, connector.Security{}, a.deps.Registry, maxPeerConns)
	group.Go(func() error { return server.Serve(serving, a.listener) })
	group.Go(func() error { a.tick(serving); return nil })
	group.Go(func() error { a.report(serving); return nil })
	group.Go(func() error { a.find(serving); return nil })
	a.deps.Logger.Info("agent started", "host", a.settings.Host, "address", a.listener.Addr().String())
	err := group.Wait()
	a.deps.Logger.Info("agent stopped", "host", a.settings.Host)
	return err
}

// Announced takes what an executor tells of itself.
func (a *Attendant) Announced(announcement custodian.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.custodian.Announced(a.deps.Clock.Now(), announcement) {
		a.tell()
	}
	a.holdAll()
}

// Left takes that an executor is about to end.
func (a *Attendant) Left(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.Left(id)
	a.tell()
}

// tell lets the next report go out at once.
func (a *Attendant) tell() {
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// holdAll starts a loop for each executor that has none; a.mu is held.
func (a *Attendant) holdAll() {
	if a.ctx == nil {
		return
	}
	for _, id := range a.custodian.Executors() {
		if !a.holding[id] {
			a.holding[id] = true
			go a.hold(a.ctx, id)
		}
	}
}

// hold renews the leases of one executor until it is gone.
func (a *Attendant) hold(ctx context.Context, id string) {
	for ctx.Err() == nil {
		a.mu.Lock()
		sent := a.deps.Clock.Now()
		call, ok := a.custodian.Hold(sent, id)
		if !ok {
			delete(a.holding, id)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, call.Wait+executorTimeout)
		holding, err := a.deps.Executor.Hold(bounded, call)
		cancel()
		a.mu.Lock()
		calls, news := a.custodian.Held(a.deps.Clock.Now(), sent, call, holding, err)
		a.do(calls)
		a.mu.Unlock()
		if news {
			a.tell()
		}
		if err != nil || call.Wait == 0 {
			timekeeper.Sleep(ctx, a.deps.Clock, holdPause)
		}
	}
}

// do makes the calls that the custodian wants; a.mu is held.
func (a *Attendant) do(calls custodian.Calls) {
	for _, call := range calls.Stops {
		go a.stop(a.ctx, call)
	}
	for _, call := range calls.Starts {
		go a.start(a.ctx, call)
	}
	for _, call := range calls.Paces {
		go a.pace(a.ctx, call)
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
	calls, news := a.custodian.Started(now, call, answer, err)
	a.do(calls)
	if news {
		a.tell()
	}
}

func (a *Attendant) stop(ctx context.Context, call custodian.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := a.deps.Executor.Stop(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.Stopped(a.deps.Clock.Now(), call, answer, err)
}

func (a *Attendant) pace(ctx context.Context, call custodian.RunCall) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := a.deps.Executor.Pace(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.custodian.Paced(call, err)
}

// tick drives what is due until ctx is done.
func (a *Attendant) tick(ctx context.Context) {
	ticker := a.deps.Clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		a.mu.Lock()
		calls, news := a.custodian.Tick(a.deps.Clock.Now())
		a.do(calls)
		a.holdAll()
		a.mu.Unlock()
		if news {
			a.tell()
		}
	}
}

// ordered takes orders of the owner.
func (a *Attendant) ordered(_ context.Context, orders messenger.Orders) (messenger.OrdersReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls, err := a.custodian.Ordered(a.deps.Clock.Now(), orders)
	if err != nil {
		a.deps.Logger.Info("orders refused", "epoch", orders.Epoch, "number", orders.Number, "error", err)
		return messenger.OrdersReply{}, err
	}
	a.do(calls)
	return messenger.OrdersReply{Accepted: true}, nil
}

// report tells the owner what the executors hold, at once when there is news.
func (a *Attendant) report(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		owner := a.owner
		a.mu.Unlock()
		if owner != "" {
			a.reportTo(ctx, owner, true)
		}
		a.lookout(ctx)
		wait := reportPeriod
		if owner == "" {
			wait = holdPause
		}
		timekeeper.Sleep(ctx, a.deps.Clock, reportGap)
		select {
		case <-ctx.Done():
			return
		case <-a.news:
		case <-a.deps.Clock.After(wait):
		}
	}
}

// lookout tells the other entries that the host is there.
func (a *Attendant) lookout(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	for _, m := range a.members {
		last := a.lookouts[m.Address]
		period := lookoutPeriod
		if a.owner != "" && now.Sub(a.ownerAt) < lookoutPeriod {
			period = max(period, last.period)
		}
		if m.Address == a.owner || now.Sub(last.sentAt) < period {
			continue
		}
		last.sentAt = now
		a.lookouts[m.Address] = last
		go a.reportTo(ctx, m.Address, false)
	}
}

// reportTo sends one report and takes the answer.
func (a *Attendant) reportTo(ctx context.Context, address string, whole bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	a.mu.Lock()
	sent := a.deps.Clock.Now()
	report := a.custodian.Report(sent, whole)
	report.AsksMembers = !whole || sent.Sub(a.membersAt) > membersPeriod
	a.mu.Unlock()
	var reply messenger.ReportReply
	err := a.pool.Call(ctx, address, messenger.MethodReport, report, &reply)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	if err != nil {
		metrics.GetOrRegisterCounter("report.failed."+string(apricotwinch.KindOf(err)), a.deps.Registry).Inc(1)
		if whole && a.owner == address && now.Sub(a.ownerAt) > peerTimeout {
			a.setOwner("", a.custodian.Epoch(), "it does not answer")
		}
		return
	}
	a.custodian.Answered(now, sent, reply)
	a.learn(now, address, reply)
	switch {
	case reply.Owner && reply.Epoch >= a.custodian.Epoch():
		a.ownerAt = now
		if a.owner != address {
			a.setOwner(address, reply.Epoch, "it says so")
			a.tell()
		}
	case !reply.Owner && reply.OwnerAddress == address && a.owner == address:
		// The owner may not act now; it goes on or another one takes over.
	case !reply.Owner && reply.OwnerAddress != "" && reply.Epoch >= a.custodian.Epoch() && reply.OwnerAddress != a.owner:
		if a.owner == "" || reply.Epoch > a.custodian.Epoch() || a.owner == address {
			a.setOwner(reply.OwnerAddress, reply.Epoch, "another entry says so")
			a.tell()
		}
	case !reply.Owner && a.owner == address:
		a.setOwner("", reply.Epoch, "it is not the owner any more")
	}
}

// setOwner changes the address that reports go to; a.mu is held.
func (a *Attendant) setOwner(address string, epoch int, reason string) {
	a.deps.Logger.Info("owner", "address", address, "epoch", epoch, "before", a.owner, "reason", reason)
	a.owner = address
	a.ownerAt = a.deps.Clock.Now()
}

// learn takes the entries that an entry knows; a.mu is held.
func (a *Attendant) learn(now time.Time, address string, reply messenger.ReportReply) {
	if len(reply.Members) == 0 {
		return
	}
	a.membersAt = now
	for _, m := range reply.Members {
		a.members[m.Name] = m
	}
	if last, ok := a.lookouts[address]; ok {
		last.period = time.Duration(reply.LookoutMillis) * time.Millisecond
		a.lookouts[address] = last
	}
}

// find looks for entries until there is an owner.
func (a *Attendant) find(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		lost := a.owner == ""
		a.mu.Unlock()
		if lost {
			a.readMembers(ctx)
			for _, seed := range a.settings.Seeds {
				go a.reportTo(ctx, seed, false)
			}
		}
		timekeeper.Sleep(ctx, a.deps.Clock, membersRetry)
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
	a.tell()
}

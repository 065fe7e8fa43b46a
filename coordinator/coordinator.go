// Package coordinator runs an entry, a process that accepts workloads. One entry at a time
// is the owner of all workloads. An entry takes part in the election of the owner, runs the
// conductor while it is the owner, and forwards callers' requests to the owner otherwise.
//
// The packages elector and conductor make the decisions; this package adds network
// connections, goroutines and timers.
package coordinator

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/connector"
	"apricotwinch/elector"
	"apricotwinch/messenger"
)

// Periods and bounds of an entry.
const (
	// tickPeriod is the time between two ticks, at which the elector and the conductor do
	// what is due.
	tickPeriod = 25 * time.Millisecond
	// pingPeriod is the time between two looks for peers to ping.
	pingPeriod = 50 * time.Millisecond
	// membersPeriod is the time between two requests to a peer for the entries that it knows, and
	// startMembersPeriod that in the first membersPeriod of an entry.
	membersPeriod      = 10 * time.Second
	startMembersPeriod = 500 * time.Millisecond
	// peerTimeout bounds a call to a peer or an agent.
	peerTimeout = 600 * time.Millisecond
	// dialTimeout bounds one attempt to connect to a peer, so that a host that has come back
	// is soon dialed again.
	dialTimeout = 400 * time.Millisecond
	// storeTimeout bounds a call of the store. An append usually takes 4 ms, in a slow store
	// 60 times that.
	storeTimeout = 1500 * time.Millisecond
	// storeReadTimeout bounds a read of a journal, which may be large for the link. The store's
	// client ends a read that brings nothing much earlier.
	storeReadTimeout = 20 * time.Second
	// storeRetryDelay is the delay before a failed call of the store is repeated.
	storeRetryDelay = 100 * time.Millisecond
	// nonUrgentFlushDelay is how long records that no caller waits for are held back, so that
	// one append carries several of them.
	nonUrgentFlushDelay = 25 * time.Millisecond
	// failFastAfter is how long an append may go unanswered before submissions are refused.
	failFastAfter = 800 * time.Millisecond
	// refusalBackoff is how long after the store has refused an append submissions are
	// refused without another append.
	refusalBackoff = 200 * time.Millisecond
	// peerConfigDelay is how long an entry waits for the store to deliver a configuration
	// that a peer already has, before it requests it from the peer. Users allow 2 s for a
	// new configuration.
	peerConfigDelay = 500 * time.Millisecond
	// peerConfigInterval is the least time between two such requests.
	peerConfigInterval = time.Second
	// ownerRetryDelay is the delay before a request is sent to the owner again; it doubles with each
	// retry, up to maxOwnerRetryDelay. A request goes to a new owner at once.
	ownerRetryDelay    = 25 * time.Millisecond
	maxOwnerRetryDelay = 200 * time.Millisecond
	// maxProofWait is how long the report of an agent that has restarted waits for a proof that this
	// owner has no successor. It is less than the agent waits for the answer.
	maxProofWait = 400 * time.Millisecond
	// maxPeerConns bounds the connections that agents and other entries open to an entry.
	maxPeerConns = 4096
)

// Settings holds the name and the addresses of an entry, and what it may use of its host.
type Settings struct {
	// Name is the unique name of the entry.
	Name string
	// Listen is the address for peers and agents, host:port.
	Listen string
	// Advertise is the address that peers and agents dial, host:port; if it is empty, they
	// dial the address that the entry listens on.
	Advertise string
	// Source is the local IP address of connections to peers and agents; empty for the system's
	// choice.
	Source string
	// Seeds are addresses, host:port, of other entries. The entry pings them while it knows
	// no peer, such as before the store answers.
	Seeds []string
	// ProcessorMillis is the processor time that the entry may use, in thousandths of
	// a processor; 0 for unknown.
	ProcessorMillis int
	// Features holds the optional decisions that the entry makes as the owner.
	Features apricotwinch.Features
	// MaxTasks bounds the tasks of the workloads that have not ended, which the owner holds in memory; 0 for no bound.
	MaxTasks int
	// MaxRecordBytes bounds the records of the workloads that have not ended, which the owner holds in memory; 0 for no bound.
	MaxRecordBytes int
	// PeerLimits bounds the connections and the messages of peers and agents.
	PeerLimits connector.Limits
}

// Deps holds the dependencies of a Coordinator.
type Deps struct {
	// Log is the store that holds the journals.
	Log appender.KeyedLog
	// Advise asks the advice service which executors may run a step, and returns their
	// tickets by the executor's id; it is nil if there is no advice service.
	Advise func(ctx context.Context, step messenger.TaskRef, executors []string) (map[string]string, error)
	Clock  clockwork.Clock
	// Wall returns the time of day.
	Wall     func() time.Time
	Logger   hclog.Logger
	Registry metrics.Registry
}

// Coordinator is one entry. It is safe for concurrent use.
type Coordinator struct {
	settings Settings
	deps     Deps
	self     messenger.Member
	pool     *connector.Pool
	listener net.Listener
	reports  *reportQueue
	// lookups limits what Refuse asks of the owner.
	lookups *rate.Limiter

	// copyMu guards copy; it is held only briefly.
	copyMu sync.Mutex
	copy   stateCopy

	mu      stateLock
	elector *elector.Elector
	// conductor is nil unless this entry is the owner.
	conductor *conductor.Conductor
	// producer identifies the next append to the journal of work.
	producer appender.Producer
	claiming bool
	// lastClaim is the last claim that was sent.
	lastClaim claimAttempt
	// firstReports holds, by host, the first report of the last agent that knew no epoch.
	firstReports map[string]firstReport
	// proofWaits holds the calls that wait for a proof that this owner has no successor.
	proofWaits map[*proofWait]struct{}
	// reportWait and reportAge measure the reports of agents that this owner applies.
	reportWait, reportAge metrics.Timer
	reportLog             reportLog
	// advanceHold and reportsHold measure how long advance and a batch of reports hold mu, and tickDelay
	// how late ticks are.
	advanceHold, reportsHold, tickDelay metrics.Timer
	tickLog                             tickLog
	// ownedSince is when this entry last became the owner.
	ownedSince time.Time
	// failedClaims counts the claims in a row that failed because another entry's claim came
	// first.
	failedClaims int
	// changed is closed, and replaced, when something that a request may wait for changes.
	changed    chan struct{}
	writerWake chan struct{}
	// appendStartedAt is when the pending append was first sent; zero if none is pending.
	// appendRefusedAt is when the store refused the last append, so that it was certainly not
	// carried out; zero if it did not.
	appendStartedAt time.Time
	appendRefusedAt time.Time
	// refusedSince is since when the store has refused all appends; zero if it accepted the last one.
	// appendTook is how long the last append that it accepted took.
	refusedSince time.Time
	appendTook   time.Duration
	refusalLog   refusalLog
	// nonUrgentSince is since when records that no caller waits for have been held back; zero
	// from an append until the next such record is seen.
	nonUrgentSince time.Time
	senders        map[string]*sender
	// catalog is the configuration in force; nil if there is none yet.
	catalog *cataloger.Catalog
	// encodedCatalog is catalog in the form that is sent to peers; empty until one requests it.
	encodedCatalog string
	// behindSince is since when a peer has had a later configuration while that of this entry
	// has not changed; zero if none has. configRequestedAt is when a peer was last asked for its
	// configuration.
	behindSince       time.Time
	configRequestedAt time.Time
	startedAt         time.Time
	// tickedAt is when the last tick began.
	tickedAt       time.Time
	membersAskedAt time.Time
	outOfService   map[string]bool
	// draining is whether the entry shuts down: it never claims the ownership again.
	draining bool
	// yielding is whether the entry is about to step down for one with more processors. It
	// then accepts no more requests as the owner.
	yielding bool
}

// claimAttempt is a claim and when it was first sent.
type claimAttempt struct {
	producer appender.Producer
	sent     time.Time
}

// New returns an entry that listens on the address of its settings. It returns the error of
// the listener if that address can't be used, and one of kind Invalid for a bad source.
func New(settings Settings, deps Deps) (*Coordinator, error) {
	pool := connector.NewPool(connector.Security{}, deps.Registry)
	pool.SetDialTimeout(dialTimeout)
	if err := pool.SetSource(settings.Source); err != nil {
		return nil, err
	}
	listener, err := connector.Listen(settings.Listen, settings.PeerLimits.ReceiveBuffer, settings.PeerLimits.ReceiveBuffer)
	if err != nil {
		return nil, err
	}
	address := cmp.Or(settings.Advertise, listener.Addr().String())
	self := messenger.Member{Name: settings.Name, Address: address, Incarnation: uuid.NewString(), ProcessorMillis: settings.ProcessorMillis}
	c := &Coordinator{
		settings:     settings,
		deps:         deps,
		self:         self,
		pool:         pool,
		listener:     listener,
		reports:      newReportQueue(),
		lookups:      rate.NewLimiter(lookupsPerSecond, lookupsPerSecond),
		startedAt:    deps.Clock.Now(),
		elector:      elector.New(deps.Clock.Now(), elector.DefaultConfig(), self),
		changed:      make(chan struct{}),
		writerWake:   make(chan struct{}, 1),
		senders:      map[string]*sender{},
		firstReports: map[string]firstReport{},
		proofWaits:   map[*proofWait]struct{}{},
		reportWait:   metrics.GetOrRegisterTimer("report.wait", deps.Registry),
		reportAge:    metrics.GetOrRegisterTimer("report.age", deps.Registry),
		advanceHold:  metrics.GetOrRegisterTimer("lock.advance", deps.Registry),
		reportsHold:  metrics.GetOrRegisterTimer("lock.reports", deps.Registry),
		tickDelay:    metrics.GetOrRegisterTimer("tick.delay", deps.Registry),
		reportLog:    reportLog{clocks: map[string]agentClock{}},
		outOfService: map[string]bool{},
	}
	c.mu.publish = c.publish
	return c, nil
}

// Run serves until ctx is done, and then steps down. It returns the error that ended it
// earlier, if any.
func (c *Coordinator) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.pool.Close()
	group, groupCtx := errgroup.WithContext(runCtx)
	server := connector.NewServer(c.handlers(), connector.Security{}, c.deps.Registry, maxPeerConns)
	server.SetLimits(c.settings.PeerLimits)
	group.Go(func() error { return server.Serve(groupCtx, c.listener) })
	group.Go(func() error { c.join(groupCtx); return nil })
	group.Go(func() error { c.tickLoop(groupCtx); return nil })
	group.Go(func() error { c.pingLoop(groupCtx); return nil })
	group.Go(func() error { c.writeLoop(groupCtx); return nil })
	group.Go(func() error { c.reportLoop(groupCtx); return nil })
	c.deps.Logger.Info("entry started", "entry", c.self.Name, "incarnation", c.self.Incarnation, "address", c.self.Address)
	select {
	case <-ctx.Done():
		c.StepDown(groupCtx)
	case <-groupCtx.Done():
	}
	cancel()
	err := group.Wait()
	c.deps.Logger.Info("entry stopped", "entry", c.self.Name)
	return err
}

// StepDown gives up the ownership for good, once the writes that are pending are durable or
// storeTimeout has passed, and notifies the peers. The entry goes on forwarding requests to
// the new owner. Calls after the first have no effect.
func (c *Coordinator) StepDown(ctx context.Context) {
	c.mu.Lock()
	owned := c.elector.IsOwner()
	alreadyDraining := c.draining
	c.draining = true
	c.mu.Unlock()
	if alreadyDraining {
		return
	}
	if owned {
		c.awaitPendingWrites(ctx)
	}
	c.mu.Lock()
	c.elector.Shutdown()
	c.endOwnership("stepped down")
	c.mu.Unlock()
	c.pingAll(ctx)
}

// yield steps down for an entry with more processors, once the writes that are pending are
// durable or storeTimeout has passed.
func (c *Coordinator) yield(ctx context.Context) {
	c.awaitPendingWrites(ctx)
	c.mu.Lock()
	c.yielding = false
	if c.conductor != nil {
		c.elector.RecordYield(c.deps.Clock.Now())
		c.endOwnership("yielded to a stronger entry")
	}
	c.mu.Unlock()
	c.pingAll(ctx)
}

// awaitPendingWrites waits until the writes that are pending now are durable, at most for
// storeTimeout.
func (c *Coordinator) awaitPendingWrites(ctx context.Context) {
	c.mu.Lock()
	owner := c.conductor
	if owner == nil {
		c.mu.Unlock()
		return
	}
	last := owner.LastAppend()
	c.wakeWriter()
	c.mu.Unlock()
	deadline := c.deps.Clock.Now().Add(storeTimeout)
	for c.deps.Clock.Now().Before(deadline) && ctx.Err() == nil {
		c.mu.Lock()
		done := c.conductor != owner || owner.Durable() >= last
		c.mu.Unlock()
		if done {
			return
		}
		c.deps.Clock.Sleep(tickPeriod)
	}
}

// endOwnership stops the conductor and the senders, and logs reason; it does nothing if this
// entry is not the owner. c.mu is held.
func (c *Coordinator) endOwnership(reason string) {
	if c.conductor == nil {
		return
	}
	c.deps.Logger.Info("ownership lost", "epoch", c.conductor.Epoch(), "reason", reason,
		"ownedMillis", c.deps.Clock.Now().Sub(c.ownedSince).Milliseconds())
	c.conductor.ClearGauges()
	c.conductor = nil
	for _, s := range c.senders {
		s.close()
	}
	c.senders = map[string]*sender{}
	c.endProofWaits()
	c.broadcast()
}

// broadcast wakes the goroutines that wait on c.changed; c.mu is held.
func (c *Coordinator) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// broadcastNewOwner calls update, and wakes the goroutines that wait on c.changed if another owner is
// known then; c.mu is held.
func (c *Coordinator) broadcastNewOwner(update func()) {
	before := c.elector.Owner()
	update()
	if owner := c.elector.Owner(); owner.Name != "" && owner != before {
		c.broadcast()
	}
}

// wakeWriter makes writeLoop look for something to write.
func (c *Coordinator) wakeWriter() {
	select {
	case c.writerWake <- struct{}{}:
	default:
	}
}

// tickLoop calls tick every tickPeriod until ctx is done.
func (c *Coordinator) tickLoop(ctx context.Context) {
	ticker := c.deps.Clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.tick(ctx)
		}
	}
}

// tick starts a claim or ends the ownership as the elector decides, and lets the conductor do
// what is due. While the store does not answer, it withdraws the workloads that have not been
// sent to the store, so that their callers are refused at once.
func (c *Coordinator) tick(ctx context.Context) {
	began := c.deps.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	c.recordTick(began, now)
	switch c.elector.Tick(now) {
	case elector.Claim:
		if !c.claiming && !c.draining {
			c.claiming = true
			go c.claim(ctx)
		}
	case elector.Yield:
		if !c.yielding && !c.draining {
			c.yielding = true
			go c.yield(ctx)
		}
	case elector.Release:
		c.endOwnership("the store answers another entry, not this one")
	}
	if c.conductor != nil && !c.elector.IsOwner() {
		c.endOwnership("a later epoch exists")
	}
	if c.conductor != nil && c.elector.PredecessorStopped() {
		c.conductor.RecordPredecessorStopped(now)
	}
	if c.conductor != nil && (c.storeRefuses(now) || c.storeSilent(now)) && c.conductor.WithdrawUnsent(now) > 0 {
		c.broadcast()
	}
	c.advance(ctx, now, true)
	c.renewProof(now)
	c.logReports(now)
}

// renewProof appends the owner's record again, or whatever is to be written, when a new proof is
// due, or awaited, that this owner has no successor: the store accepts an append only if there is
// none. It does so without authority too, as an owner may have lost that in a long outage of the
// store. c.mu is held.
func (c *Coordinator) renewProof(now time.Time) {
	if c.conductor != nil && (c.elector.ProofDue(now) || c.conductor.AwaitsProof() || len(c.proofWaits) > 0) {
		c.requestProof()
	}
}

// requestProof starts the append of renewProof, unless one is under way. c.mu is held, and this
// entry is the owner.
func (c *Coordinator) requestProof() {
	if !c.appendStartedAt.IsZero() {
		return
	}
	if pending, _ := c.conductor.PendingWrites(); !pending {
		c.conductor.RecordOwner(c.self)
	}
	c.wakeWriter()
}

// advance lets the conductor schedule, and also do what is due at a tick if runDue is set, and
// sends its orders and advice requests; c.mu is held.
func (c *Coordinator) advance(ctx context.Context, now time.Time, runDue bool) {
	if c.conductor == nil || !c.elector.HasAuthority(now) {
		return
	}
	defer c.measureHold(c.advanceHold)()
	if runDue {
		c.conductor.Tick(now, c.deps.Wall(), c.elector.ProvenAt(now))
	}
	c.conductor.Schedule(now)
	c.sendOrders(ctx)
	c.askAdvice(ctx)
	if any, urgent := c.conductor.PendingWrites(); any && (urgent || c.flushDue(now)) {
		c.wakeWriter()
	}
}

// flushDue reports whether records that no caller waits for have been held back for
// nonUrgentFlushDelay; c.mu is held.
func (c *Coordinator) flushDue(now time.Time) bool {
	if c.nonUrgentSince.IsZero() {
		c.nonUrgentSince = now
	}
	return now.Sub(c.nonUrgentSince) >= nonUrgentFlushDelay
}

// SetCatalog puts a configuration in force, unless its version is not later than that of the
// one in force.
func (c *Coordinator) SetCatalog(catalog *cataloger.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog != nil && catalog.Version() <= c.catalog.Version() {
		return
	}
	c.deps.Logger.Info("configuration in force", "version", catalog.Version())
	c.catalog = catalog
	c.encodedCatalog = ""
	c.behindSince = time.Time{}
	if c.conductor != nil {
		c.conductor.SetCatalog(catalog)
	}
}

// SetOutOfService sets the data centres that are out of service; it replaces the earlier set.
func (c *Coordinator) SetOutOfService(outOfService map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deps.Logger.Info("data centres out of service", "out", outOfService)
	c.outOfService = outOfService
	if c.conductor != nil {
		c.conductor.SetOutOfService(outOfService)
	}
}

// RecordStoreAnswer records that the store has answered a call.
func (c *Coordinator) RecordStoreAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.RecordStoreAnswer(c.deps.Clock.Now())
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (c *Coordinator) Catalog() *cataloger.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog
}

// Ready reports whether the entry can accept workloads: it has a configuration and
// is the owner or has recently known of one. An entry that shuts down is not ready.
func (c *Coordinator) Ready() bool {
	if !c.mu.TryLock() {
		if state, ok := c.recentCopy(); ok && state.owns {
			return state.ready
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.catalog == nil || c.draining {
		return false
	}
	return c.conductor != nil || c.elector.OwnerRecentlyKnown(c.deps.Clock.Now())
}

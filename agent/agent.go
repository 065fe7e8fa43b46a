// Package agent implements the process that runs on each host: it announces the host to entries,
// forwards requests from entries to local targets and runs task attempts at the host's worker.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/drainer"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
	"apricotwinch/receiver"
	"apricotwinch/reserver"
)

const (
	// maxPeerConns bounds the number of open connections from entries.
	maxPeerConns = 256
	// peerBudgetBytes and smallPeerBudgetBytes are the memory for messages of entries that arrive or are handled.
	// A request takes three times its body until its target has answered.
	peerBudgetBytes      = 256 << 20
	smallPeerBudgetBytes = 128 << 20
	// tickPeriod is the period at which the agent checks its timeouts and due renewals.
	tickPeriod = 100 * time.Millisecond
	// lingerPeriod is the delay between the end of a drain and closing the connections, so that the
	// last replies can be sent.
	lingerPeriod = 250 * time.Millisecond
)

// Agent announces one host to entries, forwards requests to the host's targets and runs attempts
// at its worker.
type Agent struct {
	settings Settings
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry
	security connector.Security
	pool     *connector.Pool

	// announcements receives the announcements of local targets.
	announcements *receiver.Receiver
	incarnation   string
	entryListener net.Listener
	localListener net.Listener

	mu           sync.Mutex
	reservations *reserver.Reserver
	leaser       *leaser.Leaser
	requests     *requestForwarder
	attempts     *attemptDriver
	heartbeat    *heartbeat
}

// New returns an agent that listens on the addresses of its settings and calls worker to run
// attempts. It fails with kind Invalid if a setting is invalid or an address can't be listened on.
func New(settings Settings, worker *Worker, clock clockwork.Clock, logger hclog.Logger, registry metrics.Registry) (*Agent, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	security, err := settings.security()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: settings,
		clock:    clock,
		logger:   logger,
		registry: registry,
		security: security,
		pool:     connector.NewPool(security, registry),

		announcements: receiver.New(announcementLimits, registry, "announcements"),
		incarnation:   uuid.NewString(),
		reservations:  reserver.New(settings.Capacity.Value()),
	}
	a.leaser = leaser.New(a.leaserSettings(), a.reservations)
	a.requests = a.newRequestForwarder()
	a.attempts = a.newAttemptDriver(worker)
	a.heartbeat = a.newHeartbeat()
	if err := a.listen(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agent) leaserSettings() leaser.Settings {
	s := leaser.DefaultSettings(a.incarnation, a.clock.Now())
	s.Settle = a.settings.settlePeriod(s.Settle)
	s.RenewEvery = millisOr(a.settings.RenewMillis, s.RenewEvery)
	return s
}

func (a *Agent) newRequestForwarder() *requestForwarder {
	return &requestForwarder{
		mu:           &a.mu,
		clock:        a.clock,
		registry:     a.registry,
		grace:        millisOr(a.settings.RequestGraceMillis, 10*time.Second),
		incarnation:  a.incarnation,
		ticketOrigin: a.leaser.Origin(),
		reservations: a.reservations,
		targets:      newTargets(a.reservations, millisOr(a.settings.TargetTimeoutMillis, 3*time.Second)),
		exchanges:    newExchanges(millisOr(a.settings.KeepAnswersMillis, defaultAnswerRetention), maxExchanges, maxRetainedAnswerBytes),
		drainer:      drainer.New(),
	}
}

func (a *Agent) newAttemptDriver(worker *Worker) *attemptDriver {
	return &attemptDriver{
		mu:            &a.mu,
		clock:         a.clock,
		registry:      a.registry,
		leaser:        a.leaser,
		worker:        worker,
		workerTimeout: millisOr(a.settings.WorkerTimeoutMillis, 2*time.Second),
		sendRenewal:   a.renew,
		usage:         newUsageReporter(millisOr(a.settings.UsageMillis, usagePeriod), a.mayRun),
	}
}

func (a *Agent) newHeartbeat() *heartbeat {
	return &heartbeat{
		clock:       a.clock,
		logger:      a.logger,
		registry:    a.registry,
		pool:        a.pool,
		settings:    a.settings,
		timeout:     a.callTimeout(),
		state:       a.state,
		onReply:     a.attempts.handleAnnounceReply,
		usage:       a.attempts.usage,
		wakeups:     make(chan struct{}, 1),
		inFlight:    make(map[string]bool),
		lastReplyAt: a.clock.Now(),
	}
}

func (a *Agent) listen() error {
	var config net.ListenConfig
	entryListener, err := config.Listen(context.Background(), "tcp", a.settings.Listen)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "listen: %w", err)
	}
	localListener, err := config.Listen(context.Background(), "tcp", a.settings.HTTP)
	if err != nil {
		entryListener.Close()
		return apricotwinch.Errorf(apricotwinch.Invalid, "http: %w", err)
	}
	a.entryListener = entryListener
	a.localListener = localListener
	return nil
}

// Incarnation returns the ID of this run of the agent process; every run has a new one.
func (a *Agent) Incarnation() string { return a.incarnation }

// PeerAddress returns the address at which entries connect to the agent, as host:port.
func (a *Agent) PeerAddress() string { return a.entryListener.Addr().String() }

// HTTPAddress returns the address that serves local targets and metrics, as host:port.
func (a *Agent) HTTPAddress() string { return a.localListener.Addr().String() }

func (a *Agent) callTimeout() time.Duration {
	return millisOr(a.settings.CallTimeoutMillis, 2*time.Second)
}

// methodTable returns the handlers of the methods that entries call.
func (a *Agent) methodTable() connector.Table {
	return connector.Table{
		messenger.MethodDispatch: connector.Handle(a.requests.dispatch),
		messenger.MethodRevoke:   connector.Handle(a.requests.revoke),
		messenger.MethodAssign:   connector.Handle(a.attempts.assign),
		messenger.MethodStop:     connector.Handle(a.attempts.stop),
		messenger.MethodThrottle: connector.Handle(a.attempts.throttle),
	}
}

// Run serves until ctx is done and then drains: it finishes requests, evicts attempts and reports
// their ends, for at most the drain period. It returns the error that stopped a server, if any.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer a.pool.Close()
	a.attempts.ctx = runCtx
	group, groupCtx := errgroup.WithContext(runCtx)
	server := connector.NewServer(a.methodTable(), a.security, a.registry, maxPeerConns)
	server.SetLimits(connector.Limits{BudgetBytes: peerBudgetBytes, SmallBudgetBytes: smallPeerBudgetBytes})
	group.Go(func() error { return server.Serve(groupCtx, a.entryListener) })
	group.Go(func() error { return a.serveHTTP(groupCtx, a.localListener) })
	group.Go(func() error { a.heartbeat.run(groupCtx); return nil })
	group.Go(func() error { a.runPeriodic(groupCtx); return nil })
	a.logger.Info("agent started", "host", a.settings.Name, "incarnation", a.incarnation, "address", a.PeerAddress())
	select {
	case <-ctx.Done():
		a.drain(groupCtx)
	case <-groupCtx.Done():
	}
	cancel()
	err := group.Wait()
	a.attempts.close()
	a.logger.Info("agent stopped", "host", a.settings.Name)
	return err
}

// runPeriodic advances the leaser and expires targets and requests every tickPeriod until ctx is
// done.
func (a *Agent) runPeriodic(ctx context.Context) {
	ticker := a.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.attempts.applyEvent(a.leaser.Tick)
			a.mu.Lock()
			a.requests.expire(a.clock.Now())
			a.mu.Unlock()
		}
	}
}

// drain announces that the host is draining, finishes requests and evicts attempts.
func (a *Agent) drain(ctx context.Context) {
	a.logger.Info("agent draining", "host", a.settings.Name)
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, millisOr(a.settings.DrainMillis, 30*time.Second))
	defer cancel()
	a.requests.drainer.Start()
	a.heartbeat.requestNow()
	a.attempts.applyEvent(a.leaser.Drain)
	if a.requests.drainer.Wait(ctx) != nil {
		a.logger.Warn("requests are still running at the end of the drain period", "requests", a.requests.drainer.InFlight())
	}
	if !a.awaitDrained(ctx) {
		a.logger.Warn("attempts have not ended or their ends are not durable at the end of the drain period")
	}
	a.clock.Sleep(lingerPeriod)
}

// awaitDrained waits until every attempt has ended and its final report is durable. It reports
// false if ctx is done first.
func (a *Agent) awaitDrained(ctx context.Context) bool {
	ticker := a.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		a.mu.Lock()
		drained := a.leaser.Drained()
		a.mu.Unlock()
		if drained {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.Chan():
		}
	}
}

// state returns the host's state as heartbeats carry it.
func (a *Agent) state() messenger.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	return messenger.Announce{
		Host:         a.settings.Name,
		Address:      a.PeerAddress(),
		Incarnation:  a.incarnation,
		Region:       a.settings.Region,
		DataCentre:   a.settings.DataCentre,
		Rack:         a.settings.Rack,
		TicketMillis: a.leaser.Ticket(now),
		Draining:     a.requests.drainer.Draining(),
		Capacity:     messenger.FromResources(a.reservations.Capacity()),
		Committed:    messenger.FromResources(a.committed()),
		Services:     a.requests.targets.summaries(now),
	}
}

// mayRun reports whether an attempt may still run at the worker.
func (a *Agent) mayRun(ref messenger.AttemptRef) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaser.MayRun(leaser.IDOf(ref))
}

// committed returns the resources that are reserved on the host. It returns the whole capacity
// until the tasks at the worker are known.
func (a *Agent) committed() apricotwinch.Resources {
	if !a.leaser.Settled() {
		return a.reservations.Capacity()
	}
	return a.reservations.Committed()
}

// renew sends a lease renewal to the owner of its partition.
func (a *Agent) renew(ctx context.Context, renewal leaser.Renewal) (messenger.RenewReply, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, a.callTimeout())
	defer cancel()
	var reply messenger.RenewReply
	err := a.pool.Call(ctx, renewal.Address(), messenger.MethodRenew, messenger.RenewRequest{
		Host:         a.settings.Name,
		Address:      a.PeerAddress(),
		Incarnation:  a.incarnation,
		Partition:    renewal.Partition(),
		Epoch:        renewal.Epoch(),
		TicketMillis: renewal.Ticket(),
		Reports:      renewal.Reports(),
	}, &reply)
	return reply, err
}

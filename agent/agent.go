// Package agent is the process beside the targets of one host: it announces the
// host to entries, passes requests to targets and runs attempts at the worker.
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
	"apricotwinch/arbiter"
	"apricotwinch/connector"
	"apricotwinch/drainer"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
)

const (
	// maxPeerConns bounds the connections of entries.
	maxPeerConns = 256
	// tickPeriod is the resolution of the agent's periods.
	tickPeriod = 100 * time.Millisecond
	// lingerPeriod lets the last answers leave before connections are closed.
	lingerPeriod = 250 * time.Millisecond
)

// Agent is the process beside the targets of one host.
type Agent struct {
	settings Settings
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry
	security connector.Security
	pool     *connector.Pool

	incarnation string
	peers       net.Listener
	local       net.Listener

	mu        sync.Mutex
	room      *arbiter.Arbiter
	leaser    *leaser.Leaser
	requests  *requests
	attempts  *attempts
	heartbeat *heartbeat
}

// New returns an agent that listens on the addresses of its settings. It fails
// with kind Invalid for wrong settings.
func New(settings Settings, worker *Worker, clock clockwork.Clock, logger hclog.Logger, registry metrics.Registry) (*Agent, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	security, err := settings.security()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    settings,
		clock:       clock,
		logger:      logger,
		registry:    registry,
		security:    security,
		pool:        connector.NewPool(security, registry),
		incarnation: uuid.NewString(),
		room:        arbiter.New(settings.Capacity.Value()),
	}
	a.leaser = leaser.New(a.leaserSettings(), a.room)
	a.requests = a.newRequests()
	a.attempts = a.newAttempts(worker)
	a.heartbeat = a.newHeartbeat()
	if err := a.listen(); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *Agent) leaserSettings() leaser.Settings {
	s := leaser.DefaultSettings(a.incarnation, a.clock.Now())
	s.Settle = a.settings.settle(s.Settle)
	s.RenewEvery = millis(a.settings.RenewMillis, s.RenewEvery)
	return s
}

func (a *Agent) newRequests() *requests {
	return &requests{
		mu:          &a.mu,
		clock:       a.clock,
		registry:    a.registry,
		grace:       millis(a.settings.RequestGraceMillis, 10*time.Second),
		incarnation: a.incarnation,
		origin:      a.leaser.Origin(),
		room:        a.room,
		targets:     newTargets(a.room, millis(a.settings.TargetTimeoutMillis, 3*time.Second)),
		exchanges:   newExchanges(millis(a.settings.KeepAnswersMillis, defaultKeepAnswers), maxExchanges, maxAnswerBytes),
		drainer:     drainer.New(),
	}
}

func (a *Agent) newAttempts(worker *Worker) *attempts {
	return &attempts{
		mu:            &a.mu,
		clock:         a.clock,
		registry:      a.registry,
		leaser:        a.leaser,
		worker:        worker,
		workerTimeout: millis(a.settings.WorkerTimeoutMillis, 2*time.Second),
		renew:         a.renew,
		usage:         newUsage(millis(a.settings.UsageMillis, usagePeriod), a.live),
	}
}

func (a *Agent) newHeartbeat() *heartbeat {
	return &heartbeat{
		clock:    a.clock,
		logger:   a.logger,
		registry: a.registry,
		pool:     a.pool,
		settings: a.settings,
		timeout:  a.callTimeout(),
		state:    a.state,
		took:     a.attempts.announced,
		usage:    a.attempts.usage,
		changes:  make(chan struct{}, 1),
		calling:  make(map[string]bool),
		heardAt:  a.clock.Now(),
	}
}

func (a *Agent) listen() error {
	var listener net.ListenConfig
	peers, err := listener.Listen(context.Background(), "tcp", a.settings.Listen)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "listen: %w", err)
	}
	local, err := listener.Listen(context.Background(), "tcp", a.settings.HTTP)
	if err != nil {
		peers.Close()
		return apricotwinch.Errorf(apricotwinch.Invalid, "http: %w", err)
	}
	a.peers = peers
	a.local = local
	return nil
}

// Incarnation returns the incarnation of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// PeerAddress returns the address that entries dial, host:port.
func (a *Agent) PeerAddress() string { return a.peers.Addr().String() }

// HTTPAddress returns the address for local targets and metrics, host:port.
func (a *Agent) HTTPAddress() string { return a.local.Addr().String() }

func (a *Agent) callTimeout() time.Duration {
	return millis(a.settings.CallTimeoutMillis, 2*time.Second)
}

// table returns the methods that entries call.
func (a *Agent) table() connector.Table {
	return connector.Table{
		messenger.MethodDispatch: connector.Handle(a.requests.dispatch),
		messenger.MethodRevoke:   connector.Handle(a.requests.revoke),
		messenger.MethodAssign:   connector.Handle(a.attempts.assign),
		messenger.MethodStop:     connector.Handle(a.attempts.stop),
		messenger.MethodThrottle: connector.Handle(a.attempts.throttle),
	}
}

// Run serves until ctx is done and then drains: it finishes requests, evicts
// attempts and reports their ends, for at most the drain period.
func (a *Agent) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer a.pool.Close()
	a.attempts.ctx = running
	group, serving := errgroup.WithContext(running)
	server := connector.NewServer(a.table(), a.security, a.registry, maxPeerConns)
	group.Go(func() error { return server.Serve(serving, a.peers) })
	group.Go(func() error { return a.serveHTTP(serving, a.local) })
	group.Go(func() error { a.heartbeat.run(serving); return nil })
	group.Go(func() error { a.tick(serving); return nil })
	a.logger.Info("agent started", "host", a.settings.Name, "incarnation", a.incarnation, "address", a.PeerAddress())
	select {
	case <-ctx.Done():
		a.drain(serving)
	case <-serving.Done():
	}
	cancel()
	err := group.Wait()
	a.attempts.close()
	a.logger.Info("agent stopped", "host", a.settings.Name)
	return err
}

// tick drives what is due until ctx is done.
func (a *Agent) tick(ctx context.Context) {
	ticker := a.clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			a.attempts.step(a.leaser.Tick)
			a.mu.Lock()
			a.requests.expire(a.clock.Now())
			a.mu.Unlock()
		}
	}
}

// drain announces that the host leaves, finishes requests and evicts attempts.
func (a *Agent) drain(ctx context.Context) {
	a.logger.Info("agent draining", "host", a.settings.Name)
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, millis(a.settings.DrainMillis, 30*time.Second))
	defer cancel()
	a.requests.drainer.Start()
	a.heartbeat.wake()
	a.attempts.step(a.leaser.Drain)
	if a.requests.drainer.Wait(ctx) != nil {
		a.logger.Warn("requests are still running at the end of the drain period", "requests", a.requests.drainer.InFlight())
	}
	if !a.awaitDrained(ctx) {
		a.logger.Warn("attempts are not settled at the end of the drain period")
	}
	a.clock.Sleep(lingerPeriod)
}

// awaitDrained waits until every attempt ended and was reported.
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

// state returns the host's state as a heartbeat tells it.
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
		Capacity:     messenger.FromResources(a.room.Capacity()),
		Committed:    messenger.FromResources(a.committed()),
		Services:     a.requests.targets.summaries(now),
	}
}

// live reports whether an attempt may still run at the worker.
func (a *Agent) live(ref messenger.AttemptRef) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaser.Live(leaser.IDOf(ref))
}

// committed returns what is held on the host: all of it until the tasks at the
// worker are known.
func (a *Agent) committed() apricotwinch.Resources {
	if !a.leaser.Settled() {
		return a.room.Capacity()
	}
	return a.room.Committed()
}

// renew sends a renewal to the owner of its partition.
func (a *Agent) renew(ctx context.Context, renewal leaser.Renewal) (messenger.RenewReply, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, a.callTimeout())
	defer cancel()
	var reply messenger.RenewReply
	err := a.pool.Call(ctx, renewal.Address(), messenger.MethodRenew, messenger.Renew{
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

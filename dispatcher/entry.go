// Package dispatcher runs an entry: the process that serves callers and operators over
// HTTP, sends requests to targets through the agents on their hosts, and owns
// partitions of jobs.
//
// The packages that it uses make the decisions; this package adds sockets, goroutines
// and timers.
package dispatcher

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/appender"
	"apricotwinch/authenticator"
	"apricotwinch/claimer"
	"apricotwinch/connector"
	"apricotwinch/drainer"
	"apricotwinch/messenger"
	"apricotwinch/receiver"
)

// housekeepingPeriod is the interval at which the entry expires silent hosts,
// mitigates interference and checks whether a settings snapshot is due.
const housekeepingPeriod = 100 * time.Millisecond

// gaugePeriod is the interval at which gauges are set.
const gaugePeriod = time.Second

// firstHeartbeatGrace is how long a new entry waits for the first heartbeat of a host
// before it reports itself ready.
const firstHeartbeatGrace = 5 * time.Second

// Deps holds what the caller of New provides.
type Deps struct {
	Log      appender.Log
	Clock    clockwork.Clock
	Logger   hclog.Logger
	Registry metrics.Registry
	// Metrics serves the counters of Registry.
	Metrics http.Handler
}

// Entry is one entry process.
type Entry struct {
	settings    Settings
	timing      claimer.Timing
	security    connector.Security
	httpTLS     *tls.Config
	incarnation string
	address     string
	startedAt   time.Time

	log      appender.Log
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry
	metrics  http.Handler
	bodies   *receiver.Receiver

	pool           *connector.Pool
	drainer        *drainer.Drainer
	fleet          *fleet
	settingsStream *settingsStream
	ownership      *ownership
	admission      *admission
	authenticator  *authenticator.Authenticator
	keyPartitions  []*keyPartition
	claimsLog      *appender.Appender
	settingsLog    *appender.Appender
	jobsLogs       []*appender.Appender

	httpListener net.Listener
	peerListener net.Listener
}

// New returns an entry that listens at the addresses of its settings; Run serves
// them. It fails with kind Invalid, naming the field, when a setting is wrong.
func New(settings Settings, deps Deps) (*Entry, error) {
	settings = settings.withDefaults()
	if err := settings.Check(); err != nil {
		return nil, err
	}
	timing, err := settings.claimTiming()
	if err != nil {
		return nil, err
	}
	security, err := settings.security()
	if err != nil {
		return nil, err
	}
	httpTLS, err := settings.httpTLS()
	if err != nil {
		return nil, err
	}
	callers, err := authenticator.New(operatorName, settings.OperatorTokenHash, deps.Registry)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:      settings,
		timing:        timing,
		security:      security,
		httpTLS:       httpTLS,
		incarnation:   uuid.NewString(),
		log:           deps.Log,
		clock:         deps.Clock,
		logger:        deps.Logger.With("entry", settings.Name),
		registry:      deps.Registry,
		bodies:        receiver.New(settings.Limits.receiver(), deps.Registry, "callers"),
		metrics:       deps.Metrics,
		pool:          connector.NewPool(security, deps.Registry),
		drainer:       drainer.New(),
		authenticator: callers,
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.initComponents()
	return e, nil
}

// initComponents creates the components that need the settings and the peer address.
func (e *Entry) initComponents() {
	e.claimsLog = e.newAppender(appender.StreamClaims)
	e.settingsLog = e.newAppender(appender.StreamSettings)
	for number := range e.settings.Partitions {
		e.jobsLogs = append(e.jobsLogs, e.newAppender(appender.JobsStream(number)))
		e.keyPartitions = append(e.keyPartitions, newKeyPartition(e, number))
	}
	e.fleet = newFleet(e.clock, e.logger, e.registry, seedOf(e.settings.Name))
	e.admission = newAdmission(e)
	e.settingsStream = newSettingsStream(e)
	e.ownership = newOwnership(e)
}

func (e *Entry) newAppender(stream string) *appender.Appender {
	return appender.New(e.log, stream, e.clock, e.registry)
}

// HTTPAddress returns the address that callers reach.
func (e *Entry) HTTPAddress() string { return e.httpListener.Addr().String() }

// PeerAddress returns the address that agents and other entries reach.
func (e *Entry) PeerAddress() string { return e.address }

// self returns the entry as its peers see it.
func (e *Entry) self() messenger.EntryAddress {
	return messenger.EntryAddress{
		Entry:       e.settings.Name,
		Incarnation: e.incarnation,
		Address:     e.address,
		DataCentre:  e.settings.DataCentre,
	}
}

func (e *Entry) count(name string) { metrics.GetOrRegisterCounter(name, e.registry).Inc(1) }

// Run serves until ctx ends and then shuts down gracefully: it reports itself not
// ready, waits for the requests in flight and releases its partitions. It always
// returns nil.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	for _, loop := range e.backgroundLoops() {
		group.Go(func() { loop(runCtx) })
	}
	server := e.httpServer()
	group.Go(func() { e.serveCallers(server) })
	e.logger.Info("entry started", "http", e.HTTPAddress(), "peer", e.address, "incarnation", e.incarnation)
	<-ctx.Done()
	e.shutDown(server)
	cancel()
	group.Wait()
	e.pool.Close()
	e.logger.Info("entry stopped")
	return nil
}

// backgroundLoops returns the functions that run beside the HTTP server until their
// context ends.
func (e *Entry) backgroundLoops() []func(context.Context) {
	loops := []func(context.Context){
		e.claimsLog.Run,
		e.settingsLog.Run,
		e.settingsStream.run,
		e.ownership.run,
		e.sendDigests,
		e.runHousekeeping,
		e.servePeers,
	}
	for _, jobsLog := range e.jobsLogs {
		loops = append(loops, jobsLog.Run)
	}
	for _, keys := range e.keyPartitions {
		loops = append(loops, keys.run)
	}
	return loops
}

func (e *Entry) servePeers(ctx context.Context) {
	server := connector.NewServer(e.peerMethods(), e.security, e.registry, e.settings.Limits.PeerConnections)
	server.SetLimits(connector.Limits{BudgetBytes: peerBudgetBytes, SmallBudgetBytes: smallPeerBudgetBytes})
	if err := server.Serve(ctx, e.peerListener); err != nil {
		e.logger.Error("peer listener failed", "error", err)
	}
}

func (e *Entry) serveCallers(server *http.Server) {
	serve := func() error { return server.Serve(e.httpListener) }
	if server.TLSConfig != nil {
		serve = func() error { return server.ServeTLS(e.httpListener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		e.logger.Error("HTTP listener failed", "error", err)
	}
}

// shutDown waits for the requests in flight and releases the partitions.
func (e *Entry) shutDown(server *http.Server) {
	e.logger.Info("entry draining", "in_flight", e.drainer.InFlight())
	e.drainer.Start()
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.drain())
	defer cancel()
	if err := e.drainer.Wait(ctx); err != nil {
		e.count("drain.timeouts")
	}
	_ = server.Shutdown(ctx)
	e.ownership.releaseAll(ctx)
}

// runHousekeeping does the periodic work of the entry until ctx ends.
func (e *Entry) runHousekeeping(ctx context.Context) {
	ticker := e.clock.NewTicker(housekeepingPeriod)
	defer ticker.Stop()
	for gaugesSetAt := e.clock.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		e.fleet.tick()
		e.mitigateInterference()
		e.settingsStream.tick(ctx)
		if e.clock.Since(gaugesSetAt) >= gaugePeriod {
			gaugesSetAt = e.clock.Now()
			e.setGauges()
		}
	}
}

// setGauges sets the gauges that operators watch.
func (e *Entry) setGauges() {
	missing, waiting, running := 0, 0, 0
	for _, p := range e.ownership.partitions() {
		missing += p.missingWatchTasks()
		w, r := p.taskCounts()
		waiting += w
		running += r
	}
	e.gauge("watch.shortfall", int64(missing))
	e.gauge("tasks.waiting", int64(waiting))
	e.gauge("tasks.assigned", int64(running))
	e.gauge("settings.view_age_millis", e.settingsStream.age().Milliseconds())
	e.gauge("requests.in_flight", int64(e.drainer.InFlight()))
}

func (e *Entry) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.registry).Update(value)
}

// notReady returns why the entry must not receive calls, or "" when it is ready.
func (e *Entry) notReady() string {
	if e.drainer.Draining() {
		return "draining"
	}
	if e.settingsStream.age() == neverCompleteAge {
		return "the settings were not read yet"
	}
	if e.fleet.hostCount() == 0 && e.clock.Since(e.startedAt) < firstHeartbeatGrace {
		return "no host has announced itself yet"
	}
	return ""
}

// observeLatency records how long a caller waited for an answer, by urgency.
func (e *Entry) observeLatency(r *request, latency time.Duration) {
	name := "request.latency." + r.urgency.String()
	metrics.GetOrRegisterTimer(name, e.registry).Update(latency)
}

// Package dispatcher is the shell of an entry: it serves callers and operators
// over HTTP, sends requests to targets by way of their agents, and owns
// partitions of jobs.
//
// The decisions are those of the packages that it drives; it adds sockets,
// goroutines and timers.
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
)

// housekeepingTick is the period of the entry's own housekeeping.
const housekeepingTick = 100 * time.Millisecond

// reportPeriod is the period in which gauges are set.
const reportPeriod = time.Second

// hostsGrace is how long a new entry waits for the first heartbeat of a host
// before it takes calls.
const hostsGrace = 5 * time.Second

// Deps is what an entry is given by its driver.
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

	pool          *connector.Pool
	drainer       *drainer.Drainer
	members       *members
	views         *views
	ownership     *ownership
	admission     *admission
	authenticator *authenticator.Authenticator
	keys          []*keyPartition
	claimsLog     *appender.Appender
	settingsLog   *appender.Appender
	jobs          []*appender.Appender

	httpListener net.Listener
	peerListener net.Listener
}

// New returns an entry that listens at the addresses of its settings; Run serves
// them. It fails with kind Invalid, naming the field, when a setting is bad.
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
		metrics:       deps.Metrics,
		pool:          connector.NewPool(security, deps.Registry),
		drainer:       drainer.New(),
		authenticator: callers,
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.build()
	return e, nil
}

// build makes the parts that rest on the settings and the address.
func (e *Entry) build() {
	e.claimsLog = e.newAppender(appender.StreamClaims)
	e.settingsLog = e.newAppender(appender.StreamSettings)
	for number := range e.settings.Partitions {
		e.jobs = append(e.jobs, e.newAppender(appender.JobsStream(number)))
		e.keys = append(e.keys, newKeyPartition(e, number))
	}
	e.members = newMembers(e.clock, e.logger, e.registry)
	e.admission = newAdmission(e)
	e.views = newViews(e)
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

// Run serves until ctx ends, then shuts down gracefully: readiness goes first,
// requests in flight end, and partitions are released.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	for _, part := range e.parts() {
		group.Go(func() { part(runCtx) })
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

// parts returns what runs beside the HTTP server until its context ends.
func (e *Entry) parts() []func(context.Context) {
	parts := []func(context.Context){
		e.claimsLog.Run,
		e.settingsLog.Run,
		e.views.run,
		e.ownership.run,
		e.sendDigests,
		e.keepHouse,
		e.servePeers,
	}
	for _, jobs := range e.jobs {
		parts = append(parts, jobs.Run)
	}
	for _, keys := range e.keys {
		parts = append(parts, keys.run)
	}
	return parts
}

func (e *Entry) servePeers(ctx context.Context) {
	server := connector.NewServer(e.table(), e.security, e.registry, e.settings.Limits.PeerConnections)
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

// shutDown ends the requests in flight and releases the partitions.
func (e *Entry) shutDown(server *http.Server) {
	e.logger.Info("entry draining", "in_flight", e.drainer.InFlight())
	e.drainer.Start()
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.drain())
	defer cancel()
	if err := e.drainer.Wait(ctx); err != nil {
		e.count("drain.timeouts")
	}
	_ = server.Shutdown(ctx)
	e.ownership.leave(ctx)
}

// keepHouse does what is due from time to time.
func (e *Entry) keepHouse(ctx context.Context) {
	ticker := e.clock.NewTicker(housekeepingTick)
	defer ticker.Stop()
	for reportedAt := e.clock.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		e.members.tick()
		e.react()
		e.views.tick(ctx)
		if e.clock.Since(reportedAt) >= reportPeriod {
			reportedAt = e.clock.Now()
			e.report()
		}
	}
}

// report sets the gauges that operators watch.
func (e *Entry) report() {
	missing, waiting, running := 0, 0, 0
	for _, p := range e.ownership.partitions() {
		missing += p.shortfall()
		w, r := p.sizes()
		waiting += w
		running += r
	}
	e.gauge("watch.shortfall", int64(missing))
	e.gauge("tasks.waiting", int64(waiting))
	e.gauge("tasks.assigned", int64(running))
	e.gauge("settings.view_age_millis", e.views.age().Milliseconds())
	e.gauge("requests.in_flight", int64(e.drainer.InFlight()))
}

func (e *Entry) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.registry).Update(value)
}

// notReady returns why the entry should get no calls, or "".
func (e *Entry) notReady() string {
	if e.drainer.Draining() {
		return "draining"
	}
	if e.views.age() == maxAge {
		return "the settings were not read yet"
	}
	if e.members.known() == 0 && e.clock.Since(e.startedAt) < hostsGrace {
		return "no host has announced itself yet"
	}
	return ""
}

// observeLatency counts the time that a caller waited, by urgency.
func (e *Entry) observeLatency(r *request, latency time.Duration) {
	name := "request.latency." + r.urgency.String()
	metrics.GetOrRegisterTimer(name, e.registry).Update(latency)
}

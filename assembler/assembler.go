// Package assembler runs a whole deployment in one process: real entries and agents, and
// stand-ins for the log, the workers and the targets.
package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/agent"
	"apricotwinch/appender"
	"apricotwinch/authenticator"
	"apricotwinch/dispatcher"
	"apricotwinch/messenger"
	"apricotwinch/reporter"
	"apricotwinch/requester"
	"apricotwinch/standin/journaler"
	"apricotwinch/standin/logserver"
	"apricotwinch/standin/responder"
	"apricotwinch/standin/runner"
)

// Tokens that a deployment accepts from its operator and its team.
const (
	OperatorToken = "local-operator"
	TeamToken     = "local-team"
)

const (
	loopbackAddress = "127.0.0.1:0"
	retryInterval   = 100 * time.Millisecond
	headerTimeout   = 5 * time.Second
	// usageLag is the age of the usage that workers report.
	usageLag = 2 * time.Second
	// requestLimit is the team's quota of requests per second, in a burst and in flight.
	requestLimit = 10_000
)

// Assembly is a running deployment.
type Assembly struct {
	deployment Deployment
	logger     hclog.Logger
	clock      clockwork.Clock
	client     *http.Client

	logURL  string
	entries []*dispatcher.Entry

	cancelEntries  context.CancelFunc
	cancelAgents   context.CancelFunc
	cancelStandins context.CancelFunc
	entriesDone    sync.WaitGroup
	agentsDone     sync.WaitGroup
	standinsDone   sync.WaitGroup
}

// Start starts the log, entries, agents, workers and targets of deployment. The caller
// must call Stop unless Start fails.
func Start(deployment Deployment, logger hclog.Logger) (*Assembly, error) {
	a := &Assembly{
		deployment: deployment,
		logger:     logger,
		clock:      clockwork.NewRealClock(),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	var standinCtx, agentCtx, entryCtx context.Context
	standinCtx, a.cancelStandins = context.WithCancel(context.Background())
	agentCtx, a.cancelAgents = context.WithCancel(context.Background())
	entryCtx, a.cancelEntries = context.WithCancel(context.Background())
	if err := a.start(standinCtx, agentCtx, entryCtx); err != nil {
		a.Stop()
		return nil, err
	}
	return a, nil
}

func (a *Assembly) start(standinCtx, agentCtx, entryCtx context.Context) error {
	url, err := a.serve(standinCtx, logserver.New(logserver.Config{}, a.clock), nil)
	if err != nil {
		return err
	}
	a.logURL = url
	for index := range a.deployment.Entries {
		if err := a.startEntry(entryCtx, index); err != nil {
			return err
		}
	}
	for index := range a.deployment.Workers {
		if err := a.startHost(standinCtx, agentCtx, index); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a stand-in on a free loopback port until ctx ends and returns its base URL.
// wrap, if not nil, wraps the stand-in's listener.
func (a *Assembly) serve(ctx context.Context, handler http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopbackAddress)
	if err != nil {
		return "", err
	}
	url := "http://" + listener.Addr().String()
	if wrap != nil {
		listener = wrap(listener)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	a.standinsDone.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return url, nil
}

// dataCentre returns the data centre of the host or entry with the given index. Hosts
// and entries are spread evenly over the data centres.
func (a *Assembly) dataCentre(index int) string {
	return a.deployment.DataCentres[index%len(a.deployment.DataCentres)]
}

func (a *Assembly) startEntry(ctx context.Context, index int) error {
	registry := metrics.NewRegistry()
	settings := dispatcher.Settings{
		Name:              fmt.Sprintf("entry-%d", index+1),
		Region:            a.deployment.Region,
		DataCentre:        a.dataCentre(index),
		HTTP:              loopbackAddress,
		Peer:              loopbackAddress,
		Log:               a.logURL,
		OperatorTokenHash: authenticator.HashToken(OperatorToken),
	}
	entry, err := dispatcher.New(settings, dispatcher.Deps{
		Log:      appender.NewHTTP(a.logURL, a.client),
		Clock:    a.clock,
		Logger:   a.logger,
		Registry: registry,
		Metrics:  reporter.New(registry),
	})
	if err != nil {
		return err
	}
	a.entries = append(a.entries, entry)
	a.entriesDone.Go(func() { _ = entry.Run(ctx) })
	return nil
}

// startHost starts the worker, the agent and the target of the host with the given index.
func (a *Assembly) startHost(standinCtx, agentCtx context.Context, index int) error {
	d := a.deployment
	name := fmt.Sprintf("%s-worker-%d", d.Name, index+1)
	worker := runner.New(runner.Config{
		Host:       name,
		DataCentre: a.dataCentre(index),
		Capacity:   d.Capacity.Value(),
		UsageLag:   usageLag,
	}, a.clock, journaler.Discard)
	workerURL, err := a.serve(standinCtx, worker, nil)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	hostAgent, err := agent.New(a.agentSettings(name, index, workerURL), agent.NewHTTPWorker(workerURL, a.client), a.clock, a.logger, registry)
	if err != nil {
		return err
	}
	a.agentsDone.Go(func() { _ = hostAgent.Run(agentCtx) })
	return a.startTarget(standinCtx, name, index, hostAgent, worker.Interference)
}

func (a *Assembly) agentSettings(name string, index int, workerURL string) agent.Settings {
	addresses := make([]string, len(a.entries))
	for i, entry := range a.entries {
		addresses[i] = entry.PeerAddress()
	}
	return agent.Settings{
		Name:       name,
		Region:     a.deployment.Region,
		DataCentre: a.dataCentre(index),
		Rack:       fmt.Sprintf("%s-rack-%d", a.dataCentre(index), index/len(a.deployment.DataCentres)/a.deployment.WorkersPerRack+1),
		Listen:     loopbackAddress,
		HTTP:       loopbackAddress,
		Entries:    addresses,
		Worker:     workerURL,
		Capacity:   a.deployment.Capacity,
	}
}

func (a *Assembly) startTarget(ctx context.Context, name string, index int, hostAgent *agent.Agent, interference func() int) error {
	service := a.deployment.Service
	target := responder.New(responder.Config{
		Host:         name,
		DataCentre:   a.dataCentre(index),
		Service:      service.Name,
		Slots:        service.Slots,
		Latency:      time.Duration(service.LatencyMillis) * time.Millisecond,
		Interference: interference,
	}, a.clock, journaler.Discard)
	url, err := a.serve(ctx, target, func(l net.Listener) net.Listener { return responder.LimitConnections(l, service.Connections) })
	if err != nil {
		return err
	}
	announcer := responder.NewAnnouncer("http://"+hostAgent.HTTPAddress(), messenger.TargetAnnounce{
		Service:     service.Name,
		Team:        a.deployment.Team,
		Address:     url,
		Slots:       service.Slots,
		Connections: service.Connections,
		Reserved:    service.Reserved,
	}, a.clock)
	a.standinsDone.Go(func() { announcer.Run(ctx) })
	return nil
}

// Stop shuts down the agents and then the entries gracefully, and ends the stand-ins.
func (a *Assembly) Stop() {
	a.cancelAgents()
	a.agentsDone.Wait()
	a.cancelEntries()
	a.entriesDone.Wait()
	a.cancelStandins()
	a.standinsDone.Wait()
}

// URL returns the base URL of the entry with the given index, from 0.
func (a *Assembly) URL(index int) string { return "http://" + a.entries[index].HTTPAddress() }

// Operator returns a requester with the operator's token at the first entry.
func (a *Assembly) Operator() *requester.Requester {
	return requester.New(a.URL(0), OperatorToken, a.client)
}

// Team returns a requester with the team's token at the entry with the given index, from 0.
func (a *Assembly) Team(index int) *requester.Requester {
	return requester.New(a.URL(index), TeamToken, a.client)
}

// setting is one leaf of the initial settings of a deployment.
type setting struct {
	path  string
	value any
}

func (a *Assembly) settings() []setting {
	d := a.deployment
	var all []setting
	for _, name := range d.DataCentres {
		all = append(all, setting{"dataCentres/" + name, map[string]any{"region": d.Region}})
	}
	hosts := d.Workers
	all = append(all,
		setting{"quotas/" + d.Team, map[string]any{
			"maximum": messenger.Resources{
				ProcessorMillis: d.Capacity.ProcessorMillis * hosts,
				MemoryBytes:     d.Capacity.MemoryBytes * hosts,
				Accelerators:    d.Capacity.Accelerators * hosts,
			},
			"requestsPerSecond": requestLimit, "requestBurst": requestLimit, "requestsInFlight": requestLimit, "weight": 1,
		}},
		setting{"teams/" + d.Team + "/access", map[string]any{"tokenHashes": []string{authenticator.HashToken(TeamToken)}}},
		setting{"teams/" + d.Team + "/services/" + d.Service.Name, map[string]any{
			"urgency": d.Service.Urgency, "timeoutMillis": d.Service.TimeoutMillis,
		}},
	)
	return all
}

// Configure writes the initial settings of the deployment and waits until all of its
// hosts have announced a target, or ctx ends. It fails with kind Invalid when a watch
// service is not a JSON object.
func (a *Assembly) Configure(ctx context.Context) error {
	operator := a.Operator()
	settings := a.settings()
	for _, raw := range a.deployment.Watches {
		var fields map[string]any
		if err := json.Unmarshal(raw, &fields); err != nil {
			return apricotwinch.Errorf(apricotwinch.Invalid, "watches: %w", err)
		}
		name, _ := fields["name"].(string)
		delete(fields, "name")
		settings = append(settings, setting{"teams/" + a.deployment.Team + "/watches/" + name, fields})
	}
	for _, s := range settings {
		value, err := json.Marshal(s.value)
		if err != nil {
			return err
		}
		if err := a.retry(ctx, func() error { return createSetting(ctx, operator, s.path, value) }); err != nil {
			return fmt.Errorf("setting %s: %w", s.path, err)
		}
	}
	return a.retry(ctx, func() error { return a.checkHostsReady(ctx, operator) })
}

// createSetting writes a leaf that has no revision yet. It succeeds without a change when
// the leaf already exists, as it does when an earlier try succeeded without an answer.
func createSetting(ctx context.Context, operator *requester.Requester, path string, value json.RawMessage) error {
	_, err := operator.Edit(ctx, path, 0, value)
	if apricotwinch.KindOf(err) == apricotwinch.Conflict {
		return nil
	}
	return err
}

// checkHostsReady fails with kind NoTarget until every host has announced a target.
func (a *Assembly) checkHostsReady(ctx context.Context, operator *requester.Requester) error {
	hosts, err := operator.Hosts(ctx)
	if err != nil {
		return err
	}
	ready := 0
	for _, host := range hosts {
		if len(host.Services) > 0 {
			ready++
		}
	}
	if ready < a.deployment.Workers {
		return apricotwinch.Errorf(apricotwinch.NoTarget, "%d of %d hosts are ready", ready, a.deployment.Workers)
	}
	return nil
}

// retry calls call until it succeeds, fails with an error that is neither retryable nor
// of kind Unknown, or ctx ends. It returns the last error.
func (a *Assembly) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || !apricotwinch.KindOf(err).ErrorResponse().Retryable() && apricotwinch.KindOf(err) != apricotwinch.Unknown {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-a.clock.After(retryInterval):
		}
	}
}

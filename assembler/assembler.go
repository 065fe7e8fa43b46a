// Package assembler runs a whole deployment in one process: the log and the
// workers and targets as stand-ins, and the entries and agents themselves.
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
	"apricotwinch/standin/recorder"
	"apricotwinch/standin/responder"
	"apricotwinch/standin/runner"
)

// Tokens of a deployment in one process.
const (
	OperatorToken = "local-operator"
	TeamToken     = "local-team"
)

const (
	loopback       = "127.0.0.1:0"
	readyPoll      = 100 * time.Millisecond
	headerTimeout  = 5 * time.Second
	usageLag       = 2 * time.Second
	requestsPerSec = 10_000
)

// Assembly is a running deployment.
type Assembly struct {
	deployment Deployment
	logger     hclog.Logger
	clock      clockwork.Clock
	client     *http.Client

	logURL  string
	entries []*dispatcher.Entry

	cancelEntries context.CancelFunc
	cancelAgents  context.CancelFunc
	cancelRest    context.CancelFunc
	entriesDone   sync.WaitGroup
	agentsDone    sync.WaitGroup
	restDone      sync.WaitGroup
}

// Start starts a deployment; Stop ends it.
func Start(deployment Deployment, logger hclog.Logger) (*Assembly, error) {
	a := &Assembly{
		deployment: deployment,
		logger:     logger,
		clock:      clockwork.NewRealClock(),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	var restCtx, agentCtx, entryCtx context.Context
	restCtx, a.cancelRest = context.WithCancel(context.Background())
	agentCtx, a.cancelAgents = context.WithCancel(context.Background())
	entryCtx, a.cancelEntries = context.WithCancel(context.Background())
	if err := a.start(restCtx, agentCtx, entryCtx); err != nil {
		a.Stop()
		return nil, err
	}
	return a, nil
}

func (a *Assembly) start(restCtx, agentCtx, entryCtx context.Context) error {
	url, err := a.serve(restCtx, recorder.New(recorder.Config{}, a.clock), nil)
	if err != nil {
		return err
	}
	a.logURL = url
	for number := range a.deployment.Entries {
		if err := a.startEntry(entryCtx, number); err != nil {
			return err
		}
	}
	for number := range a.deployment.Workers {
		if err := a.startHost(restCtx, agentCtx, number); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a stand-in until ctx ends and returns its base URL.
func (a *Assembly) serve(ctx context.Context, handler http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
	if err != nil {
		return "", err
	}
	url := "http://" + listener.Addr().String()
	if wrap != nil {
		listener = wrap(listener)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	a.restDone.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return url, nil
}

// dataCentre returns the data centre of host or entry number, spread evenly.
func (a *Assembly) dataCentre(number int) string {
	return a.deployment.DataCentres[number%len(a.deployment.DataCentres)]
}

func (a *Assembly) startEntry(ctx context.Context, number int) error {
	registry := metrics.NewRegistry()
	settings := dispatcher.Settings{
		Name:              fmt.Sprintf("entry-%d", number+1),
		Region:            a.deployment.Region,
		DataCentre:        a.dataCentre(number),
		HTTP:              loopback,
		Peer:              loopback,
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

func (a *Assembly) startHost(restCtx, agentCtx context.Context, number int) error {
	d := a.deployment
	name := fmt.Sprintf("%s-worker-%d", d.Name, number+1)
	worker := runner.New(runner.Config{
		Host:       name,
		DataCentre: a.dataCentre(number),
		Capacity:   d.Capacity.Value(),
		UsageLag:   usageLag,
	}, a.clock, journaler.Discard)
	workerURL, err := a.serve(restCtx, worker, nil)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	beside, err := agent.New(a.agentSettings(name, number, workerURL), agent.NewHTTPWorker(workerURL, a.client), a.clock, a.logger, registry)
	if err != nil {
		return err
	}
	a.agentsDone.Go(func() { _ = beside.Run(agentCtx) })
	return a.startTarget(restCtx, name, number, beside, worker.Noise)
}

func (a *Assembly) agentSettings(name string, number int, workerURL string) agent.Settings {
	addresses := make([]string, len(a.entries))
	for i, entry := range a.entries {
		addresses[i] = entry.PeerAddress()
	}
	return agent.Settings{
		Name:       name,
		Region:     a.deployment.Region,
		DataCentre: a.dataCentre(number),
		Rack:       fmt.Sprintf("%s-rack-%d", a.dataCentre(number), number/len(a.deployment.DataCentres)/a.deployment.WorkersPerRack+1),
		Listen:     loopback,
		HTTP:       loopback,
		Entries:    addresses,
		Worker:     workerURL,
		Capacity:   a.deployment.Capacity,
	}
}

func (a *Assembly) startTarget(ctx context.Context, name string, number int, beside *agent.Agent, noise func() int) error {
	service := a.deployment.Service
	target := responder.New(responder.Config{
		Host:       name,
		DataCentre: a.dataCentre(number),
		Service:    service.Name,
		Slots:      service.Slots,
		Latency:    time.Duration(service.LatencyMillis) * time.Millisecond,
		Noise:      noise,
	}, a.clock, journaler.Discard)
	url, err := a.serve(ctx, target, func(l net.Listener) net.Listener { return responder.Limit(l, service.Connections) })
	if err != nil {
		return err
	}
	announcer := responder.NewAnnouncer("http://"+beside.HTTPAddress(), messenger.TargetAnnounce{
		Service:     service.Name,
		Team:        a.deployment.Team,
		Address:     url,
		Slots:       service.Slots,
		Connections: service.Connections,
		Reserved:    service.Reserved,
	}, a.clock)
	a.restDone.Go(func() { announcer.Run(ctx) })
	return nil
}

// Stop shuts the agents and then the entries down gracefully, and ends the rest.
func (a *Assembly) Stop() {
	a.cancelAgents()
	a.agentsDone.Wait()
	a.cancelEntries()
	a.entriesDone.Wait()
	a.cancelRest()
	a.restDone.Wait()
}

// URL returns the base URL of entry number, from 0.
func (a *Assembly) URL(number int) string { return "http://" + a.entries[number].HTTPAddress() }

// Operator returns a requester with the operator's token.
func (a *Assembly) Operator() *requester.Requester {
	return requester.New(a.URL(0), OperatorToken, a.client)
}

// Team returns a requester with the team's token at entry number, from 0.
func (a *Assembly) Team(number int) *requester.Requester {
	return requester.New(a.URL(number), TeamToken, a.client)
}

// setting is one leaf of the settings that a deployment starts with.
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
	scale := d.Workers
	all = append(all,
		setting{"quotas/" + d.Team, map[string]any{
			"maximum": messenger.Resources{
				ProcessorMillis: d.Capacity.ProcessorMillis * scale,
				MemoryBytes:     d.Capacity.MemoryBytes * scale,
				Accelerators:    d.Capacity.Accelerators * scale,
			},
			"requestsPerSecond": requestsPerSec, "requestBurst": requestsPerSec, "requestsInFlight": requestsPerSec, "weight": 1,
		}},
		setting{"teams/" + d.Team + "/access", map[string]any{"tokenHashes": []string{authenticator.HashToken(TeamToken)}}},
		setting{"teams/" + d.Team + "/services/" + d.Service.Name, map[string]any{
			"urgency": d.Service.Urgency, "timeoutMillis": d.Service.TimeoutMillis,
		}},
	)
	return all
}

// Configure writes the settings of the deployment and waits until its hosts are
// known, or ctx ends.
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
		if err := a.retry(ctx, func() error { return edit(ctx, operator, s.path, value) }); err != nil {
			return fmt.Errorf("setting %s: %w", s.path, err)
		}
	}
	return a.retry(ctx, func() error { return a.allHosts(ctx, operator) })
}

// edit writes a leaf that has no revision yet; one that is there already is fine.
func edit(ctx context.Context, operator *requester.Requester, path string, value json.RawMessage) error {
	_, err := operator.Edit(ctx, path, 0, value)
	if apricotwinch.KindOf(err) == apricotwinch.Conflict {
		return nil
	}
	return err
}

func (a *Assembly) allHosts(ctx context.Context, operator *requester.Requester) error {
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

// retry calls f until it succeeds, fails for good or ctx ends.
func (a *Assembly) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !apricotwinch.KindOf(err).Answer().Retryable() && apricotwinch.KindOf(err) != apricotwinch.Unknown {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-a.clock.After(readyPoll):
		}
	}
}

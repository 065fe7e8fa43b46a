package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"apricotwinch"
	"apricotwinch/agent"
	"apricotwinch/appender"
	"apricotwinch/authenticator"
	"apricotwinch/dispatcher"
	"apricotwinch/messenger"
	"apricotwinch/reporter"
	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/journaler"
	"apricotwinch/standin/logserver"
	"apricotwinch/standin/responder"
	"apricotwinch/standin/runner"
)

// conditionTimeout bounds the wait for a condition.
const conditionTimeout = 60 * time.Second

// Tokens of the callers.
const (
	operatorToken = "the operator's token"
	ketioliToken  = "ketioli's token"
	juaToken      = "jua's token"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, conditionTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// fixture is an entry with its log and, after addTarget, a host with a target.
type fixture struct {
	settings dispatcher.Settings
	log      *logserver.Server
	entry    *dispatcher.Entry
	registry metrics.Registry
	client   *http.Client
	scheme   string
	stop     func()
}

// startEntry starts an entry and waits until it is ready. adjust, if not nil, changes
// its settings.
func startEntry(t *testing.T, adjust func(*dispatcher.Settings)) *fixture {
	t.Helper()
	f := &fixture{log: logserver.New(logserver.Config{}, clockwork.NewRealClock()), registry: metrics.NewRegistry()}
	log := serve(t, f.log)
	settings := dispatcher.Settings{
		Name: "e1", Region: "harju", DataCentre: "kopli", HTTP: "127.0.0.1:0", Peer: "127.0.0.1:0", Log: log,
		Partitions: 2, OperatorTokenHash: authenticator.HashToken(operatorToken),
		Timing: dispatcher.Timing{ClaimHeartbeatMillis: 100, ClaimLeaseMillis: 5000, TakeoverMillis: 6000},
	}
	if adjust != nil {
		adjust(&settings)
	}
	f.settings = settings
	transport := &http.Transport{}
	f.client, f.scheme = &http.Client{Transport: transport}, "http://"
	var err error
	if settings.HTTPTLS != nil {
		f.scheme = "https://"
		if _, transport.TLSClientConfig, err = settings.HTTPTLS.Load(); err != nil {
			t.Fatal(err)
		}
	}
	f.entry, err = dispatcher.New(settings, dispatcher.Deps{
		Log: appender.NewHTTP(log, f.client), Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(),
		Registry: f.registry, Metrics: reporter.New(f.registry),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.stop = runUntilStopped(f.entry.Run)
	t.Cleanup(func() { f.stop(); f.client.CloseIdleConnections() })
	eventually(t, "readiness", func() bool { return f.call(t, "GET /readyz", "", "").status == http.StatusNoContent })
	return f
}

// runUntilStopped calls run in the background. The function that it returns cancels
// run and waits for it.
func runUntilStopped(run func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = run(ctx) })
	return func() { cancel(); group.Wait() }
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// answer is the answer to a call; kind, text and notRun are those of an error.
type answer struct {
	status int
	header http.Header
	body   string
	kind   string
	text   string
	notRun bool
}

// call calls operation, "METHOD PATH", with a token, a body and headers given as pairs
// of name and value.
func (f *fixture) call(t *testing.T, operation, token, body string, headers ...string) answer {
	t.Helper()
	method, path, _ := strings.Cut(operation, " ")
	request, err := http.NewRequest(method, f.scheme+f.entry.HTTPAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatalf("%s: %v", operation, err)
	}
	return readAnswer(t, response)
}

func readAnswer(t *testing.T, response *http.Response) answer {
	t.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := answer{status: response.StatusCode, header: response.Header, body: string(data)}
	var refused messenger.ErrorAnswer
	if kind := response.Header.Get("X-Error-Kind"); kind != "" && json.Unmarshal(data, &refused) == nil {
		got.kind, got.text, got.notRun = refused.Kind, refused.Text, refused.NotRun
	}
	return got
}

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, f.registry).Count()
}

// records returns the number of durable records that calls of callers caused.
func (f *fixture) records() int {
	count := len(f.log.Records(appender.StreamSettings))
	for _, stream := range []string{appender.JobsStream(0), appender.JobsStream(1)} {
		for _, record := range f.log.Records(stream) {
			var decoded messenger.LedgerRecord
			if err := json.Unmarshal(record.Data, &decoded); err != nil || callerRecordTypes[decoded.Type] {
				count++
			}
		}
	}
	return count
}

// callerRecordTypes holds the types of records that callers cause; the partition's
// owner appends the others itself.
var callerRecordTypes = map[string]bool{
	messenger.RecordSubmitted: true,
	messenger.RecordCanceled:  true,
	messenger.RecordResumed:   true,
}

// addSetting sets a settings leaf that does not exist yet.
func (f *fixture) addSetting(t *testing.T, token, path, value string) {
	t.Helper()
	got := f.call(t, "PUT /v1/settings/"+path, token, `{"base":0,"value":`+value+`}`)
	if got.status != http.StatusOK {
		t.Fatalf("set %s: %d %s", path, got.status, got.body)
	}
}

// setOrders replaces the settings of ketioli's service orders.
func (f *fixture) setOrders(t *testing.T, value string) {
	t.Helper()
	const path = "/v1/settings/teams/ketioli/services/orders"
	leaf := f.call(t, "GET "+path, ketioliToken, "").body
	_, rest, _ := strings.Cut(leaf, `"revision":`)
	base, _, _ := strings.Cut(rest, ",")
	if got := f.call(t, "PUT "+path, ketioliToken, `{"base":`+base+`,"value":`+value+`}`); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
}

// configure adds a data centre and gives both teams a quota, a token and a service. It
// waits until the entry owns their partitions.
func (f *fixture) configure(t *testing.T) {
	t.Helper()
	f.addSetting(t, operatorToken, "dataCentres/kopli", `{"region":"harju"}`)
	for team, token := range map[string]string{"ketioli": ketioliToken, "jua": juaToken} {
		f.addSetting(t, operatorToken, "quotas/"+team, `{"maximum":{"processorMillis":8000,"memoryBytes":8589934592,"accelerators":0},
			"requestsPerSecond":1000,"requestBurst":1000,"requestsInFlight":100,"weight":1}`)
		f.addSetting(t, operatorToken, "teams/"+team+"/access", fmt.Sprintf(`{"tokenHashes":[%q]}`, authenticator.HashToken(token)))
		f.addSetting(t, token, "teams/"+team+"/services/orders", `{"urgency":"critical","timeoutMillis":30000}`)
		eventually(t, "the partition of "+team, func() bool { return f.call(t, "GET /v1/jobs", token, "").status == http.StatusOK })
	}
}

// addTarget starts a host with a target of ketioli's service orders and waits until
// the entry knows it.
func (f *fixture) addTarget(t *testing.T, target http.Handler) {
	t.Helper()
	clock := clockwork.NewRealClock()
	worker := runner.New(runner.Config{Host: "h1", DataCentre: "kopli", Capacity: apricotwinch.NewResources(8000, 8<<30, 0)}, clock, journaler.Discard)
	t.Cleanup(worker.Close)
	url, settleMillis := serve(t, worker), 0
	settings := agent.Settings{
		Name: "h1", Region: "harju", DataCentre: "kopli", Rack: "r1", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0",
		Entries: []string{f.entry.PeerAddress()}, Worker: url, SettleMillis: &settleMillis, HeartbeatMillis: 100,
		Capacity: messenger.Resources{ProcessorMillis: 8000, MemoryBytes: 8 << 30},
	}
	hostAgent, err := agent.New(settings, agent.NewHTTPWorker(url, f.client), clock, hclog.NewNullLogger(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runUntilStopped(hostAgent.Run))
	announce := messenger.TargetAnnounce{Service: "orders", Team: "ketioli", Address: serve(t, target), Slots: 8, Connections: 8}
	announcer := responder.NewAnnouncer("http://"+hostAgent.HTTPAddress(), announce, clock)
	t.Cleanup(runUntilStopped(func(ctx context.Context) error { announcer.Run(ctx); return nil }))
	eventually(t, "the target", func() bool {
		return strings.Contains(f.call(t, "GET /v1/hosts", ketioliToken, "").body, `"service":"orders"`)
	})
}

// failLog makes every call of the log fail.
func (f *fixture) failLog(t *testing.T) {
	t.Helper()
	f.log.SetFaults(logserver.Faults{Faults: disrupter.Faults{Down: true}})
}

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
	"apricotwinch/standin/recorder"
	"apricotwinch/standin/responder"
	"apricotwinch/standin/runner"
)

// patience bounds the wait for a condition.
const patience = 60 * time.Second

// Tokens of the callers.
const (
	operator = "the operator's token"
	ketioli  = "ketioli's token"
	jua      = "jua's token"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, patience)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// world is an entry, the log that it reaches and maybe a host with a target.
type world struct {
	settings dispatcher.Settings
	log      *recorder.Recorder
	entry    *dispatcher.Entry
	registry metrics.Registry
	client   *http.Client
	scheme   string
	stop     func()
}

// start starts an entry that is ready and owns its partitions.
func start(t *testing.T, change func(*dispatcher.Settings)) *world {
	t.Helper()
	w := &world{log: recorder.New(recorder.Config{}, clockwork.NewRealClock()), registry: metrics.NewRegistry()}
	log := serve(t, w.log)
	settings := dispatcher.Settings{
		Name: "e1", Region: "harju", DataCentre: "kopli", HTTP: "127.0.0.1:0", Peer: "127.0.0.1:0", Log: log,
		Partitions: 2, OperatorTokenHash: authenticator.HashToken(operator),
		Timing: dispatcher.Timing{ClaimHeartbeatMillis: 100, ClaimLeaseMillis: 5000, TakeoverMillis: 6000},
	}
	if change != nil {
		change(&settings)
	}
	w.settings = settings
	transport := &http.Transport{}
	w.client, w.scheme = &http.Client{Transport: transport}, "http://"
	var err error
	if settings.HTTPTLS != nil {
		w.scheme = "https://"
		if _, transport.TLSClientConfig, err = settings.HTTPTLS.Load(); err != nil {
			t.Fatal(err)
		}
	}
	w.entry, err = dispatcher.New(settings, dispatcher.Deps{
		Log: appender.NewHTTP(log, w.client), Clock: clockwork.NewRealClock(), Logger: hclog.NewNullLogger(),
		Registry: w.registry, Metrics: reporter.New(w.registry),
	})
	if err != nil {
		t.Fatal(err)
	}
	w.stop = runUntilStopped(w.entry.Run)
	t.Cleanup(func() { w.stop(); w.client.CloseIdleConnections() })
	eventually(t, "readiness", func() bool { return w.call(t, "GET /readyz", "", "").status == http.StatusNoContent })
	return w
}

// runUntilStopped runs f in the background; the function that it returns ends it.
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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	kind   string
	text   string
	notRun bool
}

// call makes the call "METHOD PATH" with a token, a body and pairs of headers.
func (w *world) call(t *testing.T, what, token, body string, headers ...string) answer {
	t.Helper()
	method, path, _ := strings.Cut(what, " ")
	request, err := http.NewRequest(method, w.scheme+w.entry.HTTPAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := w.client.Do(request)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return read(t, response)
}

func read(t *testing.T, response *http.Response) answer {
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

func (w *world) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.registry).Count()
}

// records returns how many records a caller's calls made durable.
func (w *world) records() int {
	count := len(w.log.Records(appender.StreamSettings))
	for _, stream := range []string{appender.JobsStream(0), appender.JobsStream(1)} {
		for _, record := range w.log.Records(stream) {
			var decoded messenger.LedgerRecord
			if err := json.Unmarshal(record.Data, &decoded); err != nil || callers[decoded.Type] {
				count++
			}
		}
	}
	return count
}

// callers lists the types of records that callers cause, other than the owner's.
var callers = map[string]bool{
	messenger.RecordSubmitted: true,
	messenger.RecordCanceled:  true,
	messenger.RecordResumed:   true,
}

// set writes a leaf that is new.
func (w *world) set(t *testing.T, token, path, value string) {
	t.Helper()
	got := w.call(t, "PUT /v1/settings/"+path, token, `{"base":0,"value":`+value+`}`)
	if got.status != http.StatusOK {
		t.Fatalf("set %s: %d %s", path, got.status, got.body)
	}
}

// configure gives both teams a token and a service, and waits until the entry
// owns their partitions.
func (w *world) configure(t *testing.T) {
	t.Helper()
	w.set(t, operator, "dataCentres/kopli", `{"region":"harju"}`)
	for team, token := range map[string]string{"ketioli": ketioli, "jua": jua} {
		w.set(t, operator, "quotas/"+team, `{"maximum":{"processorMillis":8000,"memoryBytes":8589934592,"accelerators":0},
			"requestsPerSecond":1000,"requestBurst":1000,"requestsInFlight":100,"weight":1}`)
		w.set(t, operator, "teams/"+team+"/access", fmt.Sprintf(`{"tokenHashes":[%q]}`, authenticator.HashToken(token)))
		w.set(t, token, "teams/"+team+"/services/orders", `{"urgency":"critical","timeoutMillis":30000}`)
		eventually(t, "the partition of "+team, func() bool { return w.call(t, "GET /v1/jobs", token, "").status == http.StatusOK })
	}
}

// addTarget starts a host with a target of ketioli's service and waits for it.
func (w *world) addTarget(t *testing.T, target http.Handler) {
	t.Helper()
	clock := clockwork.NewRealClock()
	worker := runner.New(runner.Config{Host: "h1", DataCentre: "kopli", Capacity: apricotwinch.NewResources(8000, 8<<30, 0)}, clock, journaler.Discard)
	t.Cleanup(worker.Close)
	url, settle := serve(t, worker), 0
	settings := agent.Settings{
		Name: "h1", Region: "harju", DataCentre: "kopli", Rack: "r1", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0",
		Entries: []string{w.entry.PeerAddress()}, Worker: url, SettleMillis: &settle, HeartbeatMillis: 100,
		Capacity: messenger.Resources{ProcessorMillis: 8000, MemoryBytes: 8 << 30},
	}
	beside, err := agent.New(settings, agent.NewHTTPWorker(url, w.client), clock, hclog.NewNullLogger(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runUntilStopped(beside.Run))
	announce := messenger.TargetAnnounce{Service: "orders", Team: "ketioli", Address: serve(t, target), Slots: 8, Connections: 8}
	announcer := responder.NewAnnouncer("http://"+beside.HTTPAddress(), announce, clock)
	t.Cleanup(runUntilStopped(func(ctx context.Context) error { announcer.Run(ctx); return nil }))
	eventually(t, "the target", func() bool {
		return strings.Contains(w.call(t, "GET /v1/hosts", ketioli, "").body, `"service":"orders"`)
	})
}

// down has the log fail, and waits until the entry knows.
func (w *world) down(t *testing.T) {
	t.Helper()
	w.log.SetFaults(recorder.Faults{Faults: disrupter.Faults{Down: true}})
}

package measurer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/agent"
	"apricotwinch/authenticator"
	"apricotwinch/messenger"
	"apricotwinch/requester"
	"apricotwinch/standin/journaler"
	"apricotwinch/standin/recorder"
	"apricotwinch/standin/responder"
	"apricotwinch/standin/runner"
)

const (
	operatorToken = "operator"
	team          = "team"
	service       = "service"
	patience      = 2 * time.Minute
	firstPort     = 14_000
)

// shape is the size of a fleet.
type shape struct {
	entries    int
	partitions int
	hosts      int
	homes      int  // Home entries of a host, 0 for the default.
	embedded   bool // Agents in this process instead of a process each.
	targets    bool
	latency    time.Duration
}

// fleet is a log, entries as processes, and agents; workers and targets are in
// this process.
type fleet struct {
	b         *testing.B
	shape     shape
	directory string
	clock     clockwork.Clock
	log       *recorder.Recorder
	logURL    string
	entries   []*daemon
	agents    []*daemon
	calls     *requester.Requester
	ctx       context.Context
	done      sync.WaitGroup
	starts    sync.Map // Job ids to the time of the job's first start.
	nextPort  int
}

// daemon is one process with its addresses.
type daemon struct {
	command *exec.Cmd
	http    string
	peer    string
}

func newFleet(b *testing.B, s shape) *fleet {
	b.Helper()
	f := &fleet{b: b, shape: s, directory: b.TempDir(), clock: clockwork.NewRealClock(), nextPort: firstPort}
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithCancel(context.Background())
	b.Cleanup(func() { cancel(); f.done.Wait() })
	f.log = recorder.New(recorder.Config{}, f.clock)
	f.logURL = f.serve(f.log)
	for i := range s.entries {
		f.addEntry(i)
	}
	f.calls = requester.New("http://"+f.entries[0].http, operatorToken, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	f.configure()
	for i := range s.hosts {
		f.addHost(i)
	}
	f.await("all hosts", func() bool { return f.alive() == s.hosts })
	return f
}

func (f *fleet) await(what string, condition func() bool) {
	f.b.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.b.Fatalf("%s: not within %s", what, patience)
		}
	}
}

func (f *fleet) alive() int {
	hosts, err := f.calls.Hosts(f.ctx)
	if err != nil {
		return -1
	}
	n := 0
	for _, h := range hosts {
		if h.State == "alive" && (!f.shape.targets || len(h.Services) > 0) {
			n++
		}
	}
	return n
}

// serve runs a stand-in in this process and returns its URL.
func (f *fleet) serve(handler http.Handler) string {
	f.b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	f.done.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	return "http://" + listener.Addr().String()
}

// freeAddress returns an address below the range of outgoing connections.
func (f *fleet) freeAddress() string {
	for {
		f.nextPort++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(f.nextPort))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}

// start runs a daemon as a process with settings.
func (f *fleet) start(name, command string, settings any) *exec.Cmd {
	f.b.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		f.b.Fatal(err)
	}
	file := filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.b.Fatal(err)
	}
	process := exec.Command(filepath.Join(binaries, "apricotwinch"), command, "-config", file, "-log-level", "error")
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

func (f *fleet) addEntry(number int) {
	d := &daemon{http: f.freeAddress(), peer: f.freeAddress()}
	name := fmt.Sprintf("entry-%d", number)
	d.command = f.start(name, "entry", map[string]any{
		"name": name, "region": "r", "dataCentre": "dc", "http": d.http, "peer": d.peer, "log": f.logURL,
		"partitions": f.shape.partitions, "operatorTokenHash": authenticator.HashToken(operatorToken),
	})
	f.entries = append(f.entries, d)
}

// configure publishes the settings of one team.
func (f *fleet) configure() {
	f.publish("dataCentres/dc", map[string]any{"region": "r"})
	f.publishTeam(team)
}

// publishTeam publishes the settings of a team.
func (f *fleet) publishTeam(team string) {
	f.publish("quotas/"+team, map[string]any{
		"maximum":           messenger.Resources{ProcessorMillis: 1_000_000_000, MemoryBytes: 1 << 50},
		"requestsPerSecond": 1_000_000, "requestBurst": 1_000_000, "requestsInFlight": 100_000, "weight": 1,
	})
	f.publish("teams/"+team+"/services/"+service, map[string]any{"urgency": "critical", "timeoutMillis": 10_000})
}

func (f *fleet) publish(path string, value any) {
	f.b.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.b.Fatal(err)
	}
	var last error
	f.await(path, func() bool {
		_, last = f.calls.Edit(f.ctx, path, 0, data)
		if kind := apricotwinch.KindOf(last); kind == apricotwinch.Invalid || kind == apricotwinch.Conflict {
			f.b.Fatal(last)
		}
		return last == nil
	})
}

func (f *fleet) addHost(number int) {
	name := fmt.Sprintf("h%05d", number)
	capacity := messenger.Resources{ProcessorMillis: 16_000, MemoryBytes: 62 << 30}
	worker := runner.New(runner.Config{Host: name, DataCentre: "dc", Capacity: capacity.Value(), UsageLag: 2 * time.Second}, f.clock, f.journal)
	context.AfterFunc(f.ctx, worker.Close)
	var peers []string
	for _, e := range f.entries {
		peers = append(peers, e.peer)
	}
	settle := 0
	settings := agent.Settings{
		Name: name, Region: "r", DataCentre: "dc", Rack: fmt.Sprintf("rack-%d", number/3),
		Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", Entries: peers, Capacity: capacity, SettleMillis: &settle,
		HomeEntries: f.shape.homes,
	}
	if f.shape.embedded {
		f.embed(name, settings, worker)
		return
	}
	settings.Worker = f.serve(worker)
	settings.Listen, settings.HTTP = f.freeAddress(), f.freeAddress()
	d := &daemon{http: settings.HTTP, peer: settings.Listen, command: f.start(name, "agent", settings)}
	f.agents = append(f.agents, d)
	f.addTarget(name, d.http)
}

// journal keeps when jobs started.
func (f *fleet) journal(entry journaler.Entry) {
	if entry.Event == journaler.TaskStarted {
		f.starts.LoadOrStore(entry.Job, entry.At)
	}
}

// embed runs an agent in this process, which calls its worker directly.
func (f *fleet) embed(name string, settings agent.Settings, worker *runner.Runner) {
	f.b.Helper()
	settings.Worker = "http://127.0.0.1:1"
	settings.DrainMillis = 1
	a, err := agent.New(settings, direct(worker), f.clock, hclog.NewNullLogger(), metrics.NewRegistry())
	if err != nil {
		f.b.Fatal(err)
	}
	f.done.Go(func() { _ = a.Run(f.ctx) })
	f.addTarget(name, a.HTTPAddress())
}

// direct returns the worker without HTTP.
func direct(worker *runner.Runner) *agent.Worker {
	return &agent.Worker{
		Start:    func(_ context.Context, m messenger.WorkerStart) error { return worker.Start(m) },
		Renew:    func(_ context.Context, m messenger.WorkerRenew) error { worker.Renew(m); return nil },
		Throttle: func(_ context.Context, m messenger.WorkerThrottle) error { return worker.Throttle(m) },
		Stop:     func(_ context.Context, m messenger.WorkerStop) (messenger.WorkerTask, error) { return worker.Stop(m) },
		Forget:   func(_ context.Context, m messenger.WorkerForget) error { worker.Forget(m); return nil },
		Tasks:    func(context.Context) (messenger.WorkerTasks, error) { return worker.Tasks(), nil },
	}
}

// addTarget runs a target in this process, beside the agent at address.
func (f *fleet) addTarget(name, address string) {
	if !f.shape.targets {
		return
	}
	target := responder.New(responder.Config{Host: name, DataCentre: "dc", Service: service, Slots: 8, Latency: f.shape.latency}, f.clock, journaler.Discard)
	announcer := responder.NewAnnouncer("http://"+address, messenger.TargetAnnounce{
		Service: service, Team: team, Address: f.serve(target), Slots: 8, Connections: 64,
		Reserved: messenger.Resources{ProcessorMillis: 4000, MemoryBytes: 8 << 30},
	}, f.clock)
	f.done.Go(func() { announcer.Run(f.ctx) })
}

// costs reads the costs of daemons.
func (f *fleet) costs(daemons []*daemon) []cost {
	costs := make([]cost, 0, len(daemons))
	for _, d := range daemons {
		costs = append(costs, costOf(f.b, d.command.Process.Pid))
	}
	return costs
}

// counter returns the sum of a counter over daemons.
func (f *fleet) counter(daemons []*daemon, name string) float64 {
	sum := 0.0
	for _, d := range daemons {
		response, err := http.Get("http://" + d.http + "/metrics")
		if err != nil {
			f.b.Fatal(err)
		}
		sum += readCounter(response, name)
	}
	return sum
}

func readCounter(response *http.Response, name string) float64 {
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "apricotwinch_"+name+" "); ok {
			parsed, _ := strconv.ParseFloat(value, 64)
			return parsed
		}
	}
	return 0
}

// measure reports the use of every role over the window, while f goes on as it
// is. Peer bytes are those between agents and entries.
func (f *fleet) measure() {
	const peerRead, peerWritten = "connector_bytes_read_total", "connector_bytes_written_total"
	read, written := f.counter(f.agents, peerRead), f.counter(f.agents, peerWritten)
	stats := f.log.Stats()
	agents, entries, began := f.costs(f.agents), f.costs(f.entries), time.Now()
	time.Sleep(*window)
	if len(f.agents) > 0 {
		ratesOf(agents, f.costs(f.agents)).report(f.b, "agent")
	}
	ratesOf(entries, f.costs(f.entries)).report(f.b, "entry")
	seconds := time.Since(began).Seconds()
	if n := float64(len(f.agents)); n > 0 {
		f.b.ReportMetric((f.counter(f.agents, peerRead)-read)/seconds/n, "agent-peerReadB/s")
		f.b.ReportMetric((f.counter(f.agents, peerWritten)-written)/seconds/n, "agent-peerWriteB/s")
	}
	f.b.ReportMetric(float64(f.log.Stats().Appends-stats.Appends)/seconds, "appends/s")
	f.b.ReportMetric(0, "ns/op")
}

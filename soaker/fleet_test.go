package soaker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch/standin/archiver"
	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/interrupter"
	"apricotwinch/standin/performer"
)

// Names and sizes of the deployment under test.
const (
	hostname    = "soak.example"
	service     = "soaked"
	capacityCPU = 8000
	capacityMB  = 16000
	maxAttempts = 3
	stopMillis  = 200
	holdMax     = 10 * time.Second
	// heartbeat is the time between two announcements of an executor.
	heartbeat = 500 * time.Millisecond
	// advancePeriod is the resolution of the executors' work.
	advancePeriod = 5 * time.Millisecond
)

// zones are the data centres.
var zones = []string{"north", "middle", "south"}

// networks counts the deployments of this process: each has addresses of its own.
var networks atomic.Int64

// fleet is a deployment: the platform's stand-ins in this process, and the programs.
type fleet struct {
	t         *testing.T
	directory string
	network   string

	store     *archiver.Archiver
	storeLink *disrupter.Disrupter
	storeAt   string
	entries   []*entry
	hosts     []*host
	version   int

	mu     sync.Mutex
	events []performer.Event
}

// entry is an entry with the links that lead to and from it.
type entry struct {
	*process
	name  string
	front *interrupter.Proxy
	peer  *interrupter.Proxy
	store *interrupter.Proxy
}

// host is a host: its agent, its executor and the links between them.
type host struct {
	*process
	name     string
	zone     string
	lives    int
	executor *performer.Performer
	peer     *interrupter.Proxy
	store    *interrupter.Proxy
	calls    *interrupter.Proxy
	beats    *interrupter.Proxy
}

// newFleet starts a deployment.
func newFleet(t *testing.T, entries, hosts int, seed uint64) *fleet {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &fleet{
		t:         t,
		directory: t.TempDir(),
		network:   fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, networks.Add(1)),
		store:     archiver.New(clock),
		storeLink: disrupter.New(clock),
	}
	server := httptest.NewServer(f.storeLink.Wrap(f.store))
	t.Cleanup(server.Close)
	f.storeAt = strings.TrimPrefix(server.URL, "http://")
	f.configure()
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i, seed))
	}
	return f
}

// link returns a proxy to a target.
func (f *fleet) link(target string) *interrupter.Proxy {
	proxy, err := interrupter.New(target, clockwork.NewRealClock())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Close)
	return proxy
}

// ports of every process; each has an address of its own.
const (
	portFront = 7800 + iota
	portReady
	portControl
	portPeer
	portMetrics
)

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// settings writes the settings file of a process and returns its path.
func (f *fleet) settings(name, ip, store string) string {
	settings := map[string]any{
		"node_name": name, "ip": ip, "orders": "rpc",
		"listen_addrs":   map[string]string{"front": at(ip, portFront), "ready": at(ip, portReady), "control": at(ip, portControl)},
		"internal_ports": []int{portPeer, portMetrics},
		"platform":       map[string]string{"address": store, "form": "log"},
		"limits":         map[string]float64{"cpu_share": 0.2 * float64(len(f.entries)+1), "cores": 1},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) newProcess(name, command, ip, peer, store string) *process {
	p := &process{
		t: f.t, name: name,
		arguments: []string{command, "-advertise", peer},
		settings:  f.settings(name, ip, store),
		logFile:   filepath.Join(f.directory, name+".log"),
	}
	p.start()
	f.t.Cleanup(p.kill)
	return p
}

func (f *fleet) newEntry(i int) *entry {
	name, ip := fmt.Sprint("entry-", i), fmt.Sprintf("%s.%d", f.network, 1+i)
	e := &entry{name: name, front: f.link(at(ip, portFront)), peer: f.link(at(ip, portPeer)), store: f.link(f.storeAt)}
	e.process = f.newProcess(name, "platform-entry", ip, e.peer.Address(), e.store.Address())
	return e
}

func (f *fleet) newHost(i int, seed uint64) *host {
	name, ip := fmt.Sprint("host-", i), fmt.Sprintf("%s.%d", f.network, 101+i)
	h := &host{name: name, zone: zones[i%len(zones)], peer: f.link(at(ip, portPeer)), store: f.link(f.storeAt), beats: f.link(at(ip, portControl))}
	config := performer.Config{
		Service: service, Zone: h.zone, Labels: []string{"a", fmt.Sprint("r1-", i/2)}, CPU: capacityCPU, MemoryMB: capacityMB,
		HeartbeatEvery: heartbeat, StopTakes: stopMillis * time.Millisecond, SaveEvery: 200 * time.Millisecond, HoldMax: holdMax,
		Rate: 1 - 0.02*float64(i%2),
	}
	h.executor = performer.New(config, h.nextID(), seed+uint64(i), clockwork.NewRealClock(), f.witness)
	server := httptest.NewServer(h.executor.Handler())
	f.t.Cleanup(server.Close)
	h.calls = f.link(strings.TrimPrefix(server.URL, "http://"))
	h.process = f.newProcess(name, "platform-agent", ip, h.peer.Address(), h.store.Address())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { h.executor.Announce(ctx, h.beats.Address(), h.calls.Address()) })
	running.Go(func() {
		for ctx.Err() == nil {
			h.executor.Advance()
			time.Sleep(advancePeriod)
		}
	})
	f.t.Cleanup(func() { cancel(); running.Wait() })
	return h
}

// nextID returns the id of the executor's next life.
func (h *host) nextID() string {
	h.lives++
	return fmt.Sprintf("%s-life-%d", h.name, h.lives)
}

func (f *fleet) witness(e performer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// seen returns the events so far.
func (f *fleet) seen() []performer.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[:len(f.events):len(f.events)]
}

// queues are the queues of the deployment, by priority.
var queues = []string{"/urgent/", "/batch/"}

// configure publishes the next version of the configuration.
func (f *fleet) configure() {
	f.version += 3
	var routes []map[string]any
	for priority, prefix := range queues {
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "hostname": hostname, "path_prefix": prefix, "service": service,
			"priority": 2 * priority, "max_attempts": maxAttempts, "stretch": 2, "target_latency_ms": 500, "timeout_ms": 3000,
		})
	}
	data, err := json.Marshal(map[string]any{"version": f.version, "routes": routes, "limits": map[string]int{"body_bytes": 1 << 18}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Publish("config", data)
}

// evacuate takes a zone out of service, or back.
func (f *fleet) evacuate(zone string, out bool) {
	var value []byte
	if out {
		value = []byte("{}")
	}
	f.store.Publish("evacuate/"+zone, value)
}

// ready waits until an entry serves.
func (f *fleet) ready(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i := range f.entries {
			response, err := client.Get("http://" + at(fmt.Sprintf("%s.%d", f.network, 1+i), portReady) + "/apricotwinch/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					return true
				}
			}
		}
	}
	return false
}

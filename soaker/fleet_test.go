package soaker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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
	capacityCPU = 8000  // Capacity of an executor, in thousandths of a processor.
	capacityMB  = 16000 // Capacity of an executor, in megabytes.
	maxAttempts = 3
	stopMillis  = 200 // How long a run continues after a stop command.
	maxLease    = 10 * time.Second
	// heartbeat is the time between two heartbeats of an executor.
	heartbeat = 500 * time.Millisecond
	// advancePeriod is the time between two updates of the executors' progress.
	advancePeriod = 5 * time.Millisecond
)

// zones are the names of the data centres.
var zones = []string{"north", "middle", "south"}

// deployments counts the deployments of this process. Each deployment uses its own range of
// loopback addresses.
var deployments atomic.Int64

// fleet is a deployment of the programs with stand-ins of the platform. The stand-ins run in
// this process.
type fleet struct {
	t         *testing.T
	directory string
	network   string

	store        *archiver.Archiver
	storeLink    *disrupter.Disrupter
	storeAddress string
	entries      []*entry
	hosts        []*host
	version      int

	mu     sync.Mutex
	events []performer.Event
	// cutIPs holds the addresses of the hosts that are cut off.
	cutIPs map[string]bool
}

// entry is an entry process with the proxies of its links: front for callers, peer for other
// processes of the deployment, and store for its own connections to the store.
type entry struct {
	*process
	name  string
	ip    string
	zone  string
	front *interrupter.Proxy
	peer  *interrupter.Proxy
	store *interrupter.Proxy
}

// host is a host with its agent process, its executor, and the proxies of their links: peer
// and store as for an entry, calls from the agent to the executor, and heartbeats from the
// executor to the agent.
type host struct {
	*process
	name         string
	ip           string
	zone         string
	incarnations int
	executor     *performer.Performer
	peer         *interrupter.Proxy
	store        *interrupter.Proxy
	calls        *interrupter.Proxy
	heartbeats   *interrupter.Proxy
}

// newFleet starts a deployment.
func newFleet(t *testing.T, entries, hosts int, seed uint64) *fleet {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &fleet{
		t:         t,
		directory: t.TempDir(),
		network:   fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, deployments.Add(1)),
		store:     archiver.New(clock),
		storeLink: disrupter.New(clock),
		cutIPs:    map[string]bool{},
	}
	server := httptest.NewServer(f.storeLink.Wrap(f.store))
	t.Cleanup(server.Close)
	f.storeAddress = strings.TrimPrefix(server.URL, "http://")
	f.configure()
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i, seed))
	}
	return f
}

// newLink returns a proxy, which can inject network faults, to a target address.
func (f *fleet) newLink(target string) *interrupter.Proxy {
	proxy, err := interrupter.New(target, clockwork.NewRealClock())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Close)
	return proxy
}

// Ports of every process. Each process has its own IP address.
const (
	portFront = 7800 + iota
	portReady
	portControl
	portPeer
	portMetrics
)

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// writeSettings writes the settings file of a process and returns its path.
func (f *fleet) writeSettings(name, ip, store string) string {
	settings := map[string]any{
		"node_name": name, "ip": ip, "orders": "rpc",
		"listen_addrs":   map[string]string{"front": address(ip, portFront), "ready": address(ip, portReady), "control": address(ip, portControl)},
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
		arguments: []string{command, "-advertise", peer, "-source", ip},
		settings:  f.writeSettings(name, ip, store),
		logFile:   filepath.Join(f.directory, name+".log"),
	}
	p.start()
	f.t.Cleanup(p.kill)
	return p
}

func (f *fleet) newEntry(i int) *entry {
	name, ip := fmt.Sprint("entry-", i), fmt.Sprintf("%s.%d", f.network, 1+i)
	e := &entry{name: name, ip: ip, zone: zones[i%len(zones)], front: f.newLink(address(ip, portFront)), peer: f.newLink(address(ip, portPeer)), store: f.newLink(f.storeAddress)}
	e.process = f.newProcess(name, "platform-entry", ip, e.peer.Address(), e.store.Address())
	return e
}

func (f *fleet) newHost(i int, seed uint64) *host {
	name, ip := fmt.Sprint("host-", i), fmt.Sprintf("%s.%d", f.network, 101+i)
	h := &host{name: name, ip: ip, zone: zones[i%len(zones)], peer: f.newLink(address(ip, portPeer)), store: f.newLink(f.storeAddress), heartbeats: f.newLink(address(ip, portControl))}
	config := performer.Config{
		Service: service, Zone: h.zone, Labels: []string{"a", fmt.Sprint("r1-", i/2)}, CPU: capacityCPU, MemoryMB: capacityMB,
		HeartbeatEvery: heartbeat, StopTime: stopMillis * time.Millisecond, CheckpointEvery: 200 * time.Millisecond, MaxLease: maxLease,
		ClockRate: 1 - 0.02*float64(i%2),
	}
	h.executor = performer.New(config, h.nextID(), seed+uint64(i), clockwork.NewRealClock(), f.recordEvent)
	server := httptest.NewServer(h.executor.Handler())
	f.t.Cleanup(server.Close)
	h.calls = f.newLink(strings.TrimPrefix(server.URL, "http://"))
	h.process = f.newProcess(name, "platform-agent", ip, h.peer.Address(), h.store.Address())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { h.executor.Announce(ctx, h.heartbeats.Address(), h.calls.Address()) })
	running.Go(func() {
		for ctx.Err() == nil {
			h.executor.Advance()
			time.Sleep(advancePeriod)
		}
	})
	f.t.Cleanup(func() { cancel(); running.Wait() })
	return h
}

// nextID returns the id of the executor's next incarnation.
func (h *host) nextID() string {
	h.incarnations++
	return fmt.Sprintf("%s-life-%d", h.name, h.incarnations)
}

// recordEvent records an event of an executor.
func (f *fleet) recordEvent(e performer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// recordedEvents returns the events recorded so far.
func (f *fleet) recordedEvents() []performer.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[:len(f.events):len(f.events)]
}

// queues are the path prefixes of the queues, most urgent first.
var queues = []string{"/urgent/", "/batch/"}

// configure publishes the configuration under its next version number.
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

// cutZone cuts a zone off from the other zones and from the store until healZones is called.
// Callers still reach its entries.
func (f *fleet) cutZone(zone string) {
	zoneOf := map[string]string{}
	peers := map[*interrupter.Proxy]string{}
	for _, e := range f.entries {
		zoneOf[e.ip], peers[e.peer] = e.zone, e.zone
		if e.zone == zone {
			e.store.Partition()
		}
	}
	for _, h := range f.hosts {
		zoneOf[h.ip], peers[h.peer] = h.zone, h.zone
		if h.zone == zone {
			h.store.Partition()
		}
	}
	for peer, target := range peers {
		peer.PartitionFrom(func(ip string) bool { return (zoneOf[ip] == zone) != (target == zone) })
	}
}

// cutHost cuts the agent of a host off from the store and the entries until healHost is called. It
// still reaches its executor.
func (f *fleet) cutHost(h *host) {
	h.peer.Partition()
	h.store.Partition()
	f.setCut(h, true)
}

// healHost heals the links of a host to the store and the entries.
func (f *fleet) healHost(h *host) {
	f.setCut(h, false)
	h.peer.Heal()
	h.store.Heal()
}

// setCut sets whether the entries get nothing from a host.
func (f *fleet) setCut(h *host, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutIPs[h.ip] = cut
	cutIPs := maps.Clone(f.cutIPs)
	for _, e := range f.entries {
		e.peer.PartitionFrom(func(ip string) bool { return cutIPs[ip] })
	}
}

// healZones heals the links among the processes and to the store.
func (f *fleet) healZones() {
	for _, e := range f.entries {
		e.peer.Heal()
		e.store.Heal()
	}
	for _, h := range f.hosts {
		h.peer.Heal()
		h.store.Heal()
	}
}

// evacuate takes a zone out of service, or returns it to service when out is false.
func (f *fleet) evacuate(zone string, out bool) {
	var value []byte
	if out {
		value = []byte("{}")
	}
	f.store.Publish("evacuate/"+zone, value)
}

// waitReady waits until an entry is ready and reports whether one is within the time.
func (f *fleet) waitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i := range f.entries {
			response, err := client.Get("http://" + address(fmt.Sprintf("%s.%d", f.network, 1+i), portReady) + "/apricotwinch/ready")
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

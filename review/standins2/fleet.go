package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch/standin/archiver"
	"apricotwinch/standin/performer"
)

// Names and sizes of the deployment. The executors have the sizes of the pages.
const (
	binary      = "target/apricotwinch"
	hostname    = "review.example"
	service     = "reviewed"
	queuePrefix = "/jobs/"
	zone        = "north"
	executorCPU = 16_000 // In thousandths of a core.
	executorMB  = 62_500
	entryCount  = 3
	// manifestVersion is any: versions rise in uneven steps.
	manifestVersion = 3
)

// Bounds of the deployment, as on the pages.
const (
	stopTime        = 900 * time.Millisecond
	checkpointEvery = 500 * time.Millisecond
	maxLease        = 10 * time.Second
	heartbeatEvery  = 1100 * time.Millisecond
	graceTime       = 6 * time.Second
)

// advancePeriod is the time between two updates of the progress of the executors.
const advancePeriod = 20 * time.Millisecond

// portsOfProcess is the number of ports of a process: front, ready, control, peers and metrics.
const portsOfProcess = 5

// fleet is a deployment of the programs with stand-ins of the platform, which run in this process.
type fleet struct {
	*record
	directory    string
	network      string
	store        *archiver.Archiver
	storeAddress string
	processes    map[string]*process
	fronts       []string
	readies      []string
	hosts        []*host
	closers      []func()

	mu     sync.Mutex
	events []performer.Event
}

// process is a process of the system.
type process struct {
	role, settings, output string
	command                *exec.Cmd
}

// host is a machine with an agent and an executor.
type host struct {
	name     string
	executor *performer.Performer
	gate     *gate
	// address is that of the executor, and server serves it; nil while it refuses connections.
	address string
	server  *http.Server
}

func newFleet(log *record) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: log, directory: directory, network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250),
		store: archiver.New(clockwork.NewRealClock()), processes: map[string]*process{},
	}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(directory) })
	f.storeAddress, err = f.serve(f.store)
	return f, err
}

// serve serves a stand-in on a free port of a loopback address, which it returns.
func (f *fleet) serve(handler http.Handler) (string, error) {
	address, _, err := f.serveAt("127.0.0.1:0", handler)
	return address, err
}

// serveAt serves a stand-in at an address until its server is closed.
func (f *fleet) serveAt(address string, handler http.Handler) (string, *http.Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return listener.Addr().String(), server, nil
}

// configure publishes a manifest with one queue.
func (f *fleet) configure(maxAttempts int) error {
	data, err := json.Marshal(map[string]any{
		"version": manifestVersion,
		"routes": []map[string]any{{
			"name": "jobs", "hostname": hostname, "path_prefix": queuePrefix, "service": service, "priority": 0,
			"max_attempts": maxAttempts, "stretch": 3, "target_latency_ms": 120_000, "timeout_ms": 3000,
		}},
		"services": []map[string]any{{"name": service, "rejects_overload": false}},
		"limits":   map[string]int{"body_bytes": 1 << 18},
	})
	if err != nil {
		return err
	}
	f.store.Publish("config", data)
	return nil
}

// freePorts returns free ports of an address, in order.
func freePorts(ip string) ([]int, error) {
	var ports []int
	for range portsOfProcess {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports, nil
}

// startProcess starts a role with the command of the deploy file, and returns the addresses for clients, checks and
// executors.
func (f *fleet) startProcess(name, role, ip string, cpuShare float64, memoryMB int) (front, ready, control string, err error) {
	ports, err := freePorts(ip)
	if err != nil {
		return "", "", "", err
	}
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	front, ready, control = at(ports[0]), at(ports[1]), at(ports[2])
	settings, err := json.Marshal(map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": "harju", "orders": "rpc",
		"listen_addrs":   map[string]string{"front": front, "ready": ready, "control": control},
		"internal_ports": ports[3:],
		"platform":       map[string]string{"address": f.storeAddress, "form": "log"},
		"limits":         map[string]any{"cpu_share": cpuShare, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100},
	})
	if err != nil {
		return "", "", "", err
	}
	path := filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return "", "", "", err
	}
	p := &process{role: role, settings: path, output: filepath.Join(f.directory, name+".log")}
	f.processes[name] = p
	return front, ready, control, p.start()
}

// start starts a process that doesn't run.
func (p *process) start() error {
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()    // The process has its own descriptor.
	p.command = exec.Command(binary, p.role) //nolint:noctx // fleet.close ends it.
	p.command.Env = append(os.Environ(), "APRICOTWINCH_NODE_FILE="+p.settings)
	p.command.Stdout, p.command.Stderr = output, output
	return p.command.Start()
}

// kill ends a process by SIGKILL.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// start starts entries and hosts, and waits until all entries are ready.
func (f *fleet) start(ctx context.Context, hosts int) error {
	for i := range entryCount {
		front, ready, _, err := f.startProcess(fmt.Sprint("front-", i), "platform-entry", fmt.Sprintf("%s.%d", f.network, 1+i), 0.4, 284)
		if err != nil {
			return err
		}
		f.fronts, f.readies = append(f.fronts, front), append(f.readies, ready)
	}
	for i := range hosts {
		if err := f.startHost(ctx, i); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *fleet) startHost(ctx context.Context, i int) error {
	name := fmt.Sprint("side-", i)
	_, _, control, err := f.startProcess(name, "platform-agent", fmt.Sprintf("%s.%d", f.network, 101+i), 0.24, 152)
	if err != nil {
		return err
	}
	config := performer.Config{
		Service: service, Zone: zone, Labels: []string{"a", fmt.Sprint("r1-", i/3)}, CPU: executorCPU, MemoryMB: executorMB,
		HeartbeatEvery: heartbeatEvery, StopTime: stopTime, CheckpointEvery: checkpointEvery, MaxLease: maxLease, ClockRate: 1,
	}
	executor := performer.New(config, "executor-"+name, uint64(i), clockwork.NewRealClock(), f.observe)
	link := &gate{next: executor.Handler()}
	address, server, err := f.serveAt("127.0.0.1:0", limitEnds(link))
	if err != nil {
		return err
	}
	announcing, cancel := context.WithCancel(ctx)
	f.closers = append(f.closers, cancel)
	go executor.Announce(announcing, control, address)
	go func() {
		for announcing.Err() == nil {
			executor.Advance()
			time.Sleep(advancePeriod)
		}
	}()
	f.hosts = append(f.hosts, &host{name: name, executor: executor, gate: link, address: address, server: server})
	return nil
}

// observe records an event of an executor.
func (f *fleet) observe(e performer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// eventsOf returns the events of the tasks whose names begin with a prefix.
func (f *fleet) eventsOf(prefix string) []performer.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []performer.Event
	for _, e := range f.events {
		if len(e.Task) >= len(prefix) && e.Task[:len(prefix)] == prefix {
			events = append(events, e)
		}
	}
	return events
}

// awaitReady waits until all entries are ready and the executors had time to join.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, ready := range f.readies {
		for {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ready+"/apricotwinch/ready", nil)
			if err != nil {
				return err
			}
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entries not ready: %w", ctx.Err())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// keepLogs copies the logs of the processes to a folder.
func (f *fleet) keepLogs(folder string) {
	paths, err := filepath.Glob(filepath.Join(f.directory, "*.log"))
	if err != nil {
		return
	}
	for _, path := range paths {
		if data, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(folder, filepath.Base(path)), data, 0o600)
		}
	}
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		f.keepLogs(folder)
	}
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.processes {
		timer := time.AfterFunc(graceTime, func() { _ = p.command.Process.Kill() })
		_ = p.command.Wait()
		timer.Stop()
	}
	for _, c := range slices.Backward(f.closers) {
		c()
	}
}

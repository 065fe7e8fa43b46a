package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch/standin/archiver"
)

// Names and sizes of the deployment, as in the settings of a small one.
const (
	entryCount  = 3
	serviceName = "huvo11a"
	hostname    = "nony24.example"
	queueName   = "r-73hh2b9"
	queuePrefix = "/pule252/"
	maxAttempts = 2
	// settleTime is how long after the first readiness the traffic starts.
	settleTime   = 4 * time.Second
	readyTimeout = 20 * time.Second
	// clientTimeout is the time budget of a request.
	clientTimeout = 3 * time.Second
)

// zones are the zones of the deployment.
var zones = []string{"kopli", "kalamaja", "ulemiste"}

// fleet is a deployment of the program, with stand-ins of the platform in this process.
type fleet struct {
	record    *record
	directory string
	program   string
	network   string
	ports     []int

	store     *archiver.Archiver
	storeDown atomic.Bool
	address   string
	server    *http.Server
	version   int

	entries   []*process
	agents    []*process
	executors []*executor
	cancel    context.CancelFunc
	client    *http.Client
}

// Indexes of the ports that all machines use.
const (
	portFront = iota
	portReady
	portControl
	portPeer
	portMetrics
	portCount
)

// newFleet starts a deployment with an executor on each of hosts machines.
func newFleet(ctx context.Context, r *record, program string, s scenario) (*fleet, error) {
	ports, err := freePorts(portCount)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		record: r, directory: directory, program: program, ports: ports, cancel: cancel,
		network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)),
		store:   archiver.New(clockwork.NewRealClock()),
		client:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if err := f.start(ctx, s); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// start starts the store, the executors and the programs.
func (f *fleet) start(ctx context.Context, s scenario) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: http.HandlerFunc(f.serveStore), ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }()
	f.publishConfig(true)
	for i := range entryCount {
		p, err := f.startProcess(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i), "platform-entry", "front", f.entryIP(i), zones[i%len(zones)])
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for i := range s.hosts {
		zone, ip := zones[i%len(zones)], f.hostIP(i)
		p, err := f.startProcess(fmt.Sprintf("side-%s-%d", zone, i), "platform-agent", "side", ip, zone)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
		x, err := newExecutor(f.record, fmt.Sprintf("i-%08x", rand.Uint32()), zone, ip, []string{s.label(i), fmt.Sprintf("r1-%d", i/3)})
		if err != nil {
			return err
		}
		f.executors = append(f.executors, x)
		go x.run(ctx, f.join(ip, portControl))
	}
	return nil
}

// freePorts returns ports that were free on the loopback address.
func freePorts(count int) ([]int, error) {
	var ports []int
	var config net.ListenConfig
	for range count {
		listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports) // The range of internal ports must rise.
	return ports, nil
}

func (f *fleet) entryIP(i int) string { return fmt.Sprintf("%s.%d", f.network, 1+i) }

func (f *fleet) hostIP(i int) string { return fmt.Sprintf("%s.%d", f.network, 101+i) }

func (f *fleet) join(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(f.ports[port]))
}

// serveStore passes calls to the store. While the store is down, it refuses all with status 503
// and does nothing.
func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	if f.storeDown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.store.ServeHTTP(w, r)
}

// setStoreDown takes the store down, or back up.
func (f *fleet) setStoreDown(down bool) {
	f.storeDown.Store(down)
	f.record.printf("store down: %t", down)
}

// publishConfig publishes the next version of the manifest, with the queue or without it.
func (f *fleet) publishConfig(withQueue bool) {
	f.version += 3
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostname, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500,
			"priority": 0, "service": serviceName, "max_attempts": maxAttempts, "stretch": 2.2,
		}
	}
	routes := []map[string]any{route("r-d3zji9n", "/pufi791/")}
	if withQueue {
		routes = append(routes, route(queueName, queuePrefix))
	}
	data, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "limits": map[string]int{"body_bytes": 1 << 18},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "rejects_overload": false}},
	})
	if err != nil {
		panic(err)
	}
	f.store.Publish("config", data)
	f.record.printf("manifest version=%d queue=%t", f.version, withQueue)
}

// process is a process of the program under test.
type process struct {
	name     string
	command  string
	settings string
	logFile  string
	program  string
	cmd      *exec.Cmd
}

// startProcess writes the settings of a machine's role and starts it.
func (f *fleet) startProcess(name, command, class, ip, zone string) (*process, error) {
	cpuShare, memory := 0.4, 284
	if class == "side" {
		cpuShare, memory = 0.24, 152
	}
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, f.join(f.entryIP(i), portControl))
	}
	data, err := json.Marshal(map[string]any{
		"node_name": name, "role": command, "machine_class": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": "harju",
		"listen_addrs":   map[string]string{"front": f.join(ip, portFront), "ready": f.join(ip, portReady), "control": f.join(ip, portControl)},
		"internal_ports": []int{f.ports[portPeer], f.ports[portMetrics]}, "seeds": seeds, "bootstrap": true, "loss_counts": false,
		"limits":       map[string]any{"cpu_share": cpuShare, "cores": 1, "memory_mb": memory, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeatPeriod.Milliseconds(), "orders": "rpc",
		"platform": map[string]any{"address": f.address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 16, "record_bytes": 262144, "call_bytes": 2097152},
	})
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, command: command, program: f.program,
		settings: filepath.Join(f.directory, name+".json"), logFile: filepath.Join(f.directory, name+".log"),
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

func (p *process) start() error {
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	p.cmd = exec.CommandContext(context.Background(), p.program, p.command)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTWINCH_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	return p.cmd.Start()
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, p := range append(f.entries, f.agents...) {
		p.kill()
	}
	f.cancel()
	for _, x := range f.executors {
		_ = x.server.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.directory)
	}
}

// awaitReady waits until all entries are ready and the executors had time to join.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range f.entries {
		for !f.ready(ctx, i) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return sleep(ctx, settleTime)
}

func (f *fleet) ready(ctx context.Context, i int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.join(f.entryIP(i), portReady)+"/apricotwinch/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(request)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// errNoOwner means that no entry has logged that it owns the workloads.
var errNoOwner = errors.New("no entry logged that it owns the workloads")

// owner returns the entry that logged last that it owns the workloads.
func (f *fleet) owner() (*process, error) {
	var owner *process
	latest := ""
	for _, p := range f.entries {
		data, err := os.ReadFile(p.logFile)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			var line struct {
				Message string `json:"@message"`
				Time    string `json:"@timestamp"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "ownership taken" && line.Time > latest {
				owner, latest = p, line.Time
			}
		}
	}
	if owner == nil {
		return nil, errNoOwner
	}
	return owner, nil
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request of a client to an entry and returns the status, or 0 if there was no
// response.
func (f *fleet) send(ctx context.Context, entry int, method, id, body string) int {
	began := time.Now()
	url := "http://" + f.join(f.entryIP(entry%entryCount), portFront) + queuePrefix + id
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostname
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Deadline", fmt.Sprint(clientTimeout.Milliseconds()))
	resp, err := f.client.Do(request)
	status, answer := 0, ""
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if readErr == nil {
			status, answer = resp.StatusCode, string(data)
		}
	}
	f.record.printf("client %s %s entry=%d bytes=%d status=%d answer=%s took=%dms", method, id, entry%entryCount, len(body), status, answer, time.Since(began).Milliseconds())
	return status
}

// submit hands in a job, with retries at other entries as a client makes them, and reports whether
// it was accepted.
func (f *fleet) submit(ctx context.Context, id, body string) bool {
	const tries = 5
	for try := range tries {
		status := f.send(ctx, try, http.MethodPost, id, body)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusNotFound || sleep(ctx, 300*time.Millisecond) != nil {
			return false
		}
	}
	return false
}

// jobBody returns the body of a job.
func jobBody(spec taskSpec, steps []map[string]any, more map[string]any) string {
	body := map[string]any{"task_spec": spec.encode(), "steps": steps}
	for key, value := range more {
		body[key] = value
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return string(data)
}
